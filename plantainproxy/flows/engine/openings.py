"""Placement of opening packets on upstreams, and the queue of those that wait."""

from plantainproxy import _types
from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import balancer_state, hedging, placement, waiting

PLACEMENT_BACKOFF_SECONDS = {
    messages.Refusal.NOT_READY: 0.2,
    messages.Refusal.WRONG_POOL: 0.3,
    messages.Refusal.DOMAIN_OUT: 0.3,
    messages.Refusal.DRAINING: 0.5,
    messages.Refusal.COLD: 0.0,
    messages.Refusal.FULL: 0.03,
    messages.Refusal.DECLINED: 0.05,
}
"""How long an upstream gets no new flows after it refused one, by reason: about the
time in which the condition can clear. Reports that arrive earlier do not shorten it."""


def handle_opening(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    now: float,
) -> None:
    """Place or queue an opening packet, or repeat its placement."""
    if packet.flow in engine.waiting.openings:
        return
    cached = engine.flows.get(packet.flow)
    if cached is None:
        _handle_uncached_opening(engine, packet, route, now=now)
        return
    if balancer_state.is_late_copy(cached, packet):
        _repeat_placement(engine, packet, cached.upstream)
        return
    # A retransmission: the upstream chosen first has not accepted the flow in time.
    excluded = cached.refused_by | {cached.upstream}
    if _try_to_place(engine, packet, route, refused_by=excluded, now=now):
        return
    _repeat_placement(engine, packet, cached.upstream)


def _repeat_placement(
    engine: balancer_state.Engine, packet: packets.Packet, address: _types.Address
) -> None:
    """Send a retransmission to the upstream that the flow was last placed on."""
    balancer_state.forward(engine, packet, address, packets.Purpose.OPEN)


def _handle_uncached_opening(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    now: float,
) -> None:
    hedged = engine.hedging.hedged.get(packet.flow)
    if hedged is not None:
        _repeat_hedged_opening(engine, packet, route, hedged, now=now)
        return
    is_first = packet.acknowledgement == 0
    if is_first:
        engine.first_openings += 1
    if not _try_to_place(engine, packet, route, refused_by=frozenset(), now=now):
        _enqueue_or_refuse(engine, packet, route, frozenset(), now=now)
    elif is_first and engine.hedging.percent:
        hedging.watch(engine.hedging, packet, route, now=now)


def _repeat_hedged_opening(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    hedged: hedging.HedgedOpening,
    *,
    now: float,
) -> None:
    """Send a caller's retransmission of a hedged opening to one more upstream."""
    excluded = hedged.refused_by.union(hedged.upstreams)
    if _try_to_place(engine, packet, route, refused_by=excluded, now=now):
        # Any of the upstreams may hold the flow; the next packet is sent to all.
        hedged.upstreams.append(engine.flows.pop(packet.flow).upstream)
        return
    _repeat_placement(engine, packet, hedged.upstreams[-1])


def place_again(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    refused_by: frozenset[_types.Address],
    now: float,
) -> None:
    """Place a refused opening on another upstream within the budget; else queue it."""
    is_allowed = _may_place_again(engine, now=now)
    if is_allowed and _try_to_place(
        engine, packet, route, refused_by=refused_by, now=now
    ):
        _count_further_placement(engine)
        return
    if not is_allowed:
        engine.log.count("further_placements.denied")
        engine.log.write_limited(
            "further placement denied",
            flow=packet.flow,
            route=route.name,
            reason="budget",
            refusals=len(refused_by),
        )
    _enqueue_or_refuse(engine, packet, route, refused_by, now=now)


def _may_place_again(engine: balancer_state.Engine, *, now: float) -> bool:
    return hedging.has_credit(
        engine.retry_budget, openings=engine.first_openings, now=now
    )


def _count_further_placement(engine: balancer_state.Engine) -> None:
    hedging.spend(engine.retry_budget)
    engine.log.count("further_placements.sent")


def _try_to_place(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    refused_by: frozenset[_types.Address],
    now: float,
) -> bool:
    """Send an opening packet to an upstream; return False if none is eligible."""
    active_policy = engine.policies.current
    assert active_policy is not None
    first_sent_at = waiting.first_sent_at(packet, now=now)
    context = placement.Context(
        policy=active_policy,
        domain=engine.domain,
        now=now,
        draw=engine.draw,
        is_deferrable=waiting.is_deferrable(
            first_sent_at, route.objective_seconds, now=now
        ),
    )
    chosen = placement.choose(
        engine.view, route, packet.flow, context=context, excluded=refused_by
    )
    if chosen is None:
        return False
    chosen.placed_flows += 1
    if len(engine.flows) >= balancer_state.MAX_CACHED_FLOWS:
        engine.flows.pop(next(iter(engine.flows)))
    engine.flows[packet.flow] = balancer_state.CachedFlow(
        chosen.address, now, now, refused_by, opening_sequence=packet.sequence
    )
    placed = packet._replace(waited_seconds=now - first_sent_at)
    engine.port.forward(placed, chosen.data_address, packets.Purpose.OPEN)
    assert chosen.report is not None
    engine.log.write_limited(
        "placed",
        flow=packet.flow,
        route=route.name,
        upstream=str(chosen.address),
        running=chosen.report.running,
        flows=chosen.report.flows,
        report_age=round(now - chosen.last_report_at, 3),
        refusals=len(refused_by),
        revision=active_policy.revision,
    )
    return True


def _enqueue_or_refuse(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    refused_by: frozenset[_types.Address],
    *,
    now: float,
) -> None:
    """Queue an opening packet if an upstream may accept it soon; else reset it."""
    engine.flows.pop(packet.flow, None)
    is_unservable = balancer_state.is_view_reliable(
        engine, now=now
    ) and not placement.may_recover(engine.view, route, engine.policies.current)
    engine.log.write_limited(
        "refused" if is_unservable else "waiting",
        flow=packet.flow,
        route=route.name,
        reason="no upstream takes the flow",
        refusals=len(refused_by),
        revision=engine.policies.revision,
    )
    if is_unservable:
        balancer_state.reset(engine, packet)
        return
    enqueue(engine, packet, was_refused=bool(refused_by), now=now)


def enqueue(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    *,
    was_refused: bool = False,
    now: float,
) -> None:
    """Queue an opening packet until an upstream may accept it."""
    opening = waiting.Opening(
        packet=packet,
        first_sent_at=waiting.first_sent_at(packet, now=now),
        was_refused=was_refused,
    )
    if not engine.waiting.add(opening):
        engine.log.count("dropped.queue_full")


def place_waiting(engine: balancer_state.Engine, *, now: float) -> None:
    """Evict expired openings, then place the queued ones that upstreams can accept."""
    expired_count = engine.waiting.evict_expired(now=now)
    if expired_count:
        engine.log.write_limited("openings dropped", count=expired_count)
    active_policy = engine.policies.current
    if active_policy is None:
        return
    full_services: set[bytes] = set()
    for opening in waiting.placement_order(engine.waiting, active_policy, now=now):
        packet = opening.packet
        route = active_policy.routes.get(packet.service)
        if route is None:
            del engine.waiting.openings[packet.flow]
            balancer_state.refuse_unrouted(engine, packet)
            continue
        if packet.service in full_services:
            continue
        if opening.was_refused and not _may_place_again(engine, now=now):
            continue
        packet = packet._replace(waited_seconds=now - opening.first_sent_at)
        if _try_to_place(engine, packet, route, refused_by=frozenset(), now=now):
            del engine.waiting.openings[packet.flow]
            if opening.was_refused:
                _count_further_placement(engine)
        else:
            full_services.add(packet.service)


def handle_refused_hedge(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    hedged: hedging.HedgedOpening,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """Place the opening again only if no other upstream still has a copy."""
    if sender not in hedged.upstreams:
        return
    hedged.upstreams.remove(sender)
    hedged.refused_by |= {sender}
    if hedged.upstreams:
        return
    del engine.hedging.hedged[packet.flow]
    place_again(engine, packet, route, refused_by=hedged.refused_by, now=now)
