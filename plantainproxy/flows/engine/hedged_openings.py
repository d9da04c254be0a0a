"""Second copies of opening packets whose first upstream is slow to accept."""

from plantainproxy.flows import packets
from plantainproxy.flows.engine import balancer_state, hedging, lookup, placement


def send_due_hedges(engine: balancer_state.Engine, *, now: float) -> None:
    """Check the watched openings, and hedge those that are overdue and may be hedged.

    Called every ``hedging.PASS_INTERVAL_SECONDS`` unless hedging is off. A packet of
    the caller after the opening, which shows that the flow has opened, is seen by the
    time of the flow cache entry's last use, so that packets cost no more.
    """
    is_on_time = hedging.start_pass(engine.hedging, now=now)
    for flow, opening in list(engine.hedging.watched.items()):
        cached = engine.flows.get(flow)
        if cached is None or now - opening.placed_at >= hedging.ABANDONED_SECONDS:
            del engine.hedging.watched[flow]
        elif cached.used_at > cached.opened_at:
            del engine.hedging.watched[flow]
            _record_opened(engine, opening, opened_at=cached.used_at, now=now)
        elif is_on_time and now >= opening.overdue_at and not opening.is_decided:
            _hedge_or_deny(engine, opening, cached, now=now)
    for flow, hedged in list(engine.hedging.hedged.items()):
        if now - hedged.opening.placed_at >= hedging.ABANDONED_SECONDS:
            del engine.hedging.hedged[flow]


def _record_opened(
    engine: balancer_state.Engine,
    opening: hedging.WatchedOpening,
    *,
    opened_at: float,
    now: float,
) -> None:
    seconds = hedging.record_success(
        engine.hedging, opening, opened_at=opened_at, now=now
    )
    engine.log.observe("opening_seconds", seconds)


def _hedge_or_deny(
    engine: balancer_state.Engine,
    opening: hedging.WatchedOpening,
    cached: balancer_state.CachedFlow,
    *,
    now: float,
) -> None:
    """Send a hedge of an overdue opening, or log why none is sent."""
    active_policy = engine.policies.current
    assert active_policy is not None
    opening.is_decided = True
    packet = opening.packet
    decision = hedging.decide(
        engine.hedging,
        opening,
        engine.view,
        first=cached.upstream,
        refused_by=cached.refused_by,
        conditions=hedging.Conditions(
            is_stopping=engine.stopping,
            is_view_reliable=now >= engine.reports_stale_until,
            waiting_openings=len(engine.waiting.openings),
            are_lookups_full=len(engine.lookups) >= balancer_state.MAX_ACTIVE_LOOKUPS,
            first_openings=engine.first_openings,
        ),
        context=placement.Context(
            policy=active_policy, domain=engine.domain, now=now, draw=engine.draw
        ),
    )
    times = engine.hedging.times[packet.service]
    hedging.record_outcome(times, is_overdue=True)
    fields = {
        "flow": packet.flow,
        "route": opening.route.name,
        "first": str(cached.upstream),
        "waited": round(now - opening.placed_at, 3),
        "overdue_share": round(times.overdue_share, 2),
    }
    if isinstance(decision, hedging.Denial):
        engine.log.count(f"hedges.denied.{decision}")
        engine.log.write_limited("hedge denied", reason=decision, **fields)
        return
    decision.placed_flows += 1
    # Without a cache entry, the caller's next packet starts a lookup, which sends it
    # to both upstreams.
    del engine.flows[packet.flow]
    del engine.hedging.watched[packet.flow]
    engine.hedging.hedged[packet.flow] = hedging.HedgedOpening(
        opening,
        cached.upstream,
        [cached.upstream, decision.address],
        cached.refused_by,
    )
    engine.port.forward(packet, decision.data_address, packets.Purpose.OPEN)
    engine.log.count("hedges.sent")
    engine.log.write_limited(
        "hedge sent", reason="overdue", upstream=str(decision.address), **fields
    )


def query_hedged(
    engine: balancer_state.Engine,
    flow_lookup: lookup.Lookup,
    hedged: hedging.HedgedOpening,
    *,
    now: float,
) -> bool:
    """Send a hedged flow's first packet to all upstreams that have a copy.

    Only the one that the caller chose delivers it; the others deny the flow. Returns
    whether the packet was sent.
    """
    if not hedged.is_opened:
        hedged.is_opened = True
        _record_opened(engine, hedged.opening, opened_at=now, now=now)
    query = lookup.query_first(flow_lookup, hedged.upstreams, engine.view, now=now)
    balancer_state.send_query(engine, flow_lookup, query)
    return bool(query.purposes)
