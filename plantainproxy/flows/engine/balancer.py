"""Forwarding engine of a balancer for transparent flows, free of I/O."""

from collections import abc
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, packets, policy
from plantainproxy.flows.engine import (
    hedging,
    lookup,
    placement,
    upstream_speed,
    upstreams,
    waiting,
)

MAX_CACHED_FLOWS = 120_000
"""Capacity of the flow cache. An entry takes about 380 bytes (bench.flows), so a full
cache uses a third of the memory of the smallest instances."""
FLOW_LIFETIME_SECONDS = 75.0
"""Maximum age of a flow cache entry. A flow that outlives its entry is looked up
again."""
MAX_LOOKUPS = 8_192
"""Maximum number of lookups that are active or queued."""
MAX_ACTIVE_LOOKUPS = 48
"""Maximum number of lookups that send queries at the same time. When balancers enter or
leave the rotation, many flows reach another balancer and need a lookup; queries for all
of them at once would saturate a small instance's link."""
READINESS_TIMEOUT_SECONDS = 1.0
"""For this long after the first policy, the balancer is ready only if every expected
sidecar has reported; afterwards a report from one sidecar is enough."""
ISOLATED_SECONDS = 2.5
"""The balancer reports itself not ready if no sidecar has reported for this long."""

PROCESS_PAUSE_SECONDS = 0.6
"""If the time between two ticks reaches this, the process was not scheduled and has
missed reports."""

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


class Port(typing.Protocol):
    """The engine's output interface. No call blocks."""

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Send a packet to a sidecar."""

    def reset(self, packet: packets.Packet) -> None:
        """Send a reset for the packet's flow to its caller."""


class CachedFlow(msgspec.Struct):
    """Flow cache entry: the upstream that a flow was placed on or found at."""

    upstream: _types.Address
    used_at: float
    opened_at: float
    refused_by: frozenset[_types.Address] = frozenset()
    """Upstreams that refused or did not accept the flow's opening packet."""


class Engine:
    """State of one balancer, changed by the functions of this module."""

    def __init__(
        self,
        *,
        port: Port,
        domain: str,
        draw: placement.Draw,
        log: event_log.EventLog,
        hedge_percent: float = 0.0,
    ) -> None:
        """Create an engine without a policy, upstreams or flows.

        ``hedge_percent`` is the limit of hedges per hundred first openings.
        """
        self.port = port
        self.domain = domain
        self.draw = draw
        self.log = log
        self.policies = policy.ActivePolicy()
        self.view = upstreams.View(domain)
        self.flows: dict[bytes, CachedFlow] = {}
        self.lookups: dict[bytes, lookup.Lookup] = {}
        self.waiting = waiting.Queue()
        self.first_openings = 0
        """Openings received since the start, without retransmissions."""
        self.hedging = hedging.Hedging(hedge_percent)
        self.retry_budget = hedging.retry_budget()
        self.first_policy_at = float("inf")
        """When the first policy was applied; infinite before."""
        self.stopping = False
        self.last_tick_at = float("inf")
        self.reports_stale_until = float("-inf")
        """Until then, missing reports may be due to a pause of this process or to a
        partition of its network."""
        self.majority_silent = False
        """Whether the majority of the sidecars was silent at the last tick."""
        self.next_speed_comparison_at = float("-inf")


def is_ready(engine: Engine, *, now: float) -> bool:
    """Return whether the fabric may send callers' packets to this balancer."""
    if engine.stopping or engine.policies.current is None:
        return False
    report_times = [
        upstream.last_report_at
        for upstream in engine.view.upstreams.values()
        if upstream.report is not None
    ]
    if not report_times or now - max(report_times) >= ISOLATED_SECONDS:
        return False
    has_timed_out = now - engine.first_policy_at >= READINESS_TIMEOUT_SECONDS
    return has_timed_out or upstreams.is_converged(engine.view, now=now)


def apply_policy(engine: Engine, new_policy: policy.Policy, *, now: float) -> bool:
    """Apply a policy unless it is outdated; return whether it was applied."""
    if not engine.policies.apply_if_newer(new_policy):
        return False
    engine.first_policy_at = min(engine.first_policy_at, now)
    _log_policy(engine)
    return True


def elapse_hold(engine: Engine, seconds: float) -> None:
    """Let time pass in which the store responded; release domains held out."""
    if engine.policies.elapse_hold(seconds):
        _log_policy(engine)


def _log_policy(engine: Engine) -> None:
    if engine.policies.current is not None:
        engine.log.write_policy(engine.policies.current)


def handle_packet(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    """Forward, queue, reset or drop one packet from a caller."""
    if packet.returned or packet.accepting:
        engine.log.count("dropped.invalid")
        return
    active_policy = engine.policies.current
    if active_policy is None:
        if packet.opening:
            _enqueue(engine, packet, now=now)
        engine.log.count("before_policy")
        return
    route = active_policy.routes.get(packet.service)
    if route is None:
        _refuse_unrouted(engine, packet)
        return
    if packet.opening:
        _handle_opening(engine, packet, route, now=now)
        return
    cached = engine.flows.get(packet.flow)
    if cached is not None:
        upstream = engine.view.upstreams.get(cached.upstream)
        loss_timeout_seconds = _loss_timeout_seconds(route)
        if upstream is not None and not upstreams.is_lost(
            upstream, now=now, timeout_seconds=loss_timeout_seconds
        ):
            cached.used_at = now
            engine.port.forward(packet, upstream.data_address, packets.Purpose.FORWARD)
            engine.log.count("forwarded")
            return
        del engine.flows[packet.flow]
    _look_up(engine, packet, route, now=now)


def handle_message(
    engine: Engine,
    message: messages.Message,
    sender: _types.Address,
    *,
    parse: abc.Callable[[bytes], packets.Packet | None],
    now: float,
) -> None:
    """Handle one message from a sidecar.

    ``parse`` decodes the packet that a ``ReturnedPacket`` message contains.
    """
    match message:
        case messages.Report():
            _handle_report(engine, message, sender, now=now)
        case messages.ReportBatch():
            _handle_batch(engine, message, sender, now=now)
        case messages.FlowHeld():
            _handle_held(engine, message.flow, sender, now=now)
        case messages.FlowNotHeld():
            _handle_not_held(engine, message.flow, sender, now=now)
        case messages.ReturnedPacket():
            packet = parse(message.data)
            if packet is not None:
                _handle_returned(engine, message, packet, sender, now=now)
        case _:
            engine.log.count("dropped.invalid_message")


def apply_registrations(
    engine: Engine,
    registered: abc.Mapping[_types.Address, upstreams.ListedSidecar],
    *,
    now: float,
    is_restored: bool = False,
) -> None:
    """Apply the store's list of sidecars by message address.

    ``is_restored`` states that it is the first list since the store was restored from
    an older copy, which may lack live sidecars.
    """
    upstreams.apply_registrations(engine.view, registered, now, is_restored=is_restored)


def tick(engine: Engine, *, now: float) -> None:
    """Do the periodic work: retry lookups, place queued openings, evict sidecars."""
    if now - engine.last_tick_at >= PROCESS_PAUSE_SECONDS:
        engine.reports_stale_until = now + upstreams.SHORT_LOSS_TIMEOUT_SECONDS
        engine.log.write("paused", seconds=round(now - engine.last_tick_at, 3))
    engine.last_tick_at = now
    _update_majority_silent(engine, now=now)
    _compare_speeds(engine, now=now)
    _continue_lookups(engine, now=now)
    _place_waiting(engine, now=now)
    for address in upstreams.evict_silent(engine.view, now=now):
        engine.log.write("upstream forgotten", upstream=str(address))


def evict_expired_flows(engine: Engine, *, now: float) -> None:
    """Evict flow cache entries that are idle or have reached their maximum age."""
    active_policy = engine.policies.current
    idle = active_policy.idle_seconds if active_policy else FLOW_LIFETIME_SECONDS
    for flow, cached in list(engine.flows.items()):
        if now - cached.used_at >= idle or (
            now - cached.opened_at >= FLOW_LIFETIME_SECONDS
        ):
            del engine.flows[flow]


def send_due_hedges(engine: Engine, *, now: float) -> None:
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
    engine: Engine, opening: hedging.WatchedOpening, *, opened_at: float, now: float
) -> None:
    seconds = hedging.record_success(
        engine.hedging, opening, opened_at=opened_at, now=now
    )
    engine.log.observe("opening_seconds", seconds)


def _hedge_or_deny(
    engine: Engine,
    opening: hedging.WatchedOpening,
    cached: CachedFlow,
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
            are_lookups_full=len(engine.lookups) >= MAX_ACTIVE_LOOKUPS,
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


def _update_majority_silent(engine: Engine, *, now: float) -> None:
    """Update the silent-majority flag, which indicates a partition of this process.

    After the partition ends, the sidecars' reports arrive one after the other, so the
    view counts as stale for some time longer.
    """
    is_majority_silent = upstreams.is_majority_silent(engine.view, now=now)
    if is_majority_silent:
        engine.reports_stale_until = now + upstreams.SHORT_LOSS_TIMEOUT_SECONDS
    if is_majority_silent is not engine.majority_silent:
        event = "most sidecars silent" if is_majority_silent else "most sidecars heard"
        engine.log.write(event, known=len(engine.view.upstreams))
    engine.majority_silent = is_majority_silent


def _compare_speeds(engine: Engine, *, now: float) -> None:
    """Update the upstreams' speed factors and log those that changed noticeably."""
    if now < engine.next_speed_comparison_at:
        return
    engine.next_speed_comparison_at = now + upstream_speed.COMPARISON_INTERVAL_SECONDS
    for change in upstream_speed.update_factors(engine.view, now=now):
        report = change.upstream.report
        engine.log.write_limited(
            "upstream speed",
            upstream=str(change.upstream.address),
            factor=round(change.upstream.speed_factor, 2),
            before=round(change.before, 2),
            pool=report.pool if report else "",
            service_ms=sorted(report.service_times.values()) if report else [],
            report_age=round(now - change.upstream.last_report_at, 3),
        )


def _is_view_reliable(engine: Engine, *, now: float) -> bool:
    """Return whether a missing report means that its sidecar is gone.

    A report may also be missing because this process was paused or partitioned, or has
    just started.
    """
    return (
        now >= max(engine.reports_stale_until, engine.view.complete_at)
        and upstreams.is_converged(engine.view, now=now)
        and not upstreams.is_majority_silent(engine.view, now=now)
    )


def _refuse_unrouted(engine: Engine, packet: packets.Packet) -> None:
    engine.log.write_limited(
        "refused",
        flow=packet.flow,
        reason="no route",
        revision=engine.policies.revision,
    )
    engine.flows.pop(packet.flow, None)
    _reset(engine, packet)


def _reset(engine: Engine, packet: packets.Packet) -> None:
    if packet.aborting:
        return
    engine.log.count("resets")
    engine.port.reset(packet)


def _handle_opening(
    engine: Engine, packet: packets.Packet, route: policy.Route, *, now: float
) -> None:
    if packet.flow in engine.waiting.openings:
        return
    cached = engine.flows.get(packet.flow)
    if cached is None:
        _handle_uncached_opening(engine, packet, route, now=now)
        return
    # A retransmission: the upstream chosen first has not accepted the flow in time.
    excluded = cached.refused_by | {cached.upstream}
    if _try_to_place(engine, packet, route, refused_by=excluded, now=now):
        return
    chosen = engine.view.upstreams.get(cached.upstream)
    if chosen is not None:
        engine.port.forward(packet, chosen.data_address, packets.Purpose.OPEN)


def _handle_uncached_opening(
    engine: Engine, packet: packets.Packet, route: policy.Route, *, now: float
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
    engine: Engine,
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
    chosen = engine.view.upstreams.get(hedged.upstreams[-1])
    if chosen is not None:
        engine.port.forward(packet, chosen.data_address, packets.Purpose.OPEN)


def _place_again(
    engine: Engine,
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


def _may_place_again(engine: Engine, *, now: float) -> bool:
    return hedging.has_credit(
        engine.retry_budget, openings=engine.first_openings, now=now
    )


def _count_further_placement(engine: Engine) -> None:
    hedging.spend(engine.retry_budget)
    engine.log.count("further_placements.sent")


def _try_to_place(
    engine: Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    refused_by: frozenset[_types.Address],
    now: float,
) -> bool:
    """Send an opening packet to an upstream; return False if none is eligible."""
    active_policy = engine.policies.current
    assert active_policy is not None
    context = placement.Context(
        policy=active_policy, domain=engine.domain, now=now, draw=engine.draw
    )
    chosen = placement.choose(
        engine.view, route, packet.flow, context=context, excluded=refused_by
    )
    if chosen is None:
        return False
    chosen.placed_flows += 1
    if len(engine.flows) >= MAX_CACHED_FLOWS:
        engine.flows.pop(next(iter(engine.flows)))
    engine.flows[packet.flow] = CachedFlow(chosen.address, now, now, refused_by)
    engine.port.forward(packet, chosen.data_address, packets.Purpose.OPEN)
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
    engine: Engine,
    packet: packets.Packet,
    route: policy.Route,
    refused_by: frozenset[_types.Address],
    *,
    now: float,
) -> None:
    """Queue an opening packet if an upstream may accept it soon; else reset it."""
    engine.flows.pop(packet.flow, None)
    is_unservable = _is_view_reliable(engine, now=now) and not placement.may_recover(
        engine.view, route, engine.policies.current
    )
    engine.log.write_limited(
        "refused" if is_unservable else "waiting",
        flow=packet.flow,
        route=route.name,
        reason="no upstream takes the flow",
        refusals=len(refused_by),
        revision=engine.policies.revision,
    )
    if is_unservable:
        _reset(engine, packet)
        return
    _enqueue(engine, packet, was_refused=bool(refused_by), now=now)


def _enqueue(
    engine: Engine, packet: packets.Packet, *, was_refused: bool = False, now: float
) -> None:
    opening = waiting.Opening(
        packet=packet,
        first_sent_at=waiting.first_sent_at(packet, now=now),
        was_refused=was_refused,
    )
    if not engine.waiting.add(opening):
        engine.log.count("dropped.queue_full")


def _place_waiting(engine: Engine, *, now: float) -> None:
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
            _refuse_unrouted(engine, packet)
            continue
        if packet.service in full_services:
            continue
        if opening.was_refused and not _may_place_again(engine, now=now):
            continue
        if _try_to_place(engine, packet, route, refused_by=frozenset(), now=now):
            del engine.waiting.openings[packet.flow]
            if opening.was_refused:
                _count_further_placement(engine)
        else:
            full_services.add(packet.service)


def _handle_report(
    engine: Engine,
    report: messages.Report,
    sender: _types.Address,
    *,
    now: float,
    is_relayed: bool = False,
) -> None:
    if not upstreams.apply_report(
        engine.view, sender, report, now=now, is_relayed=is_relayed
    ):
        return
    engine.log.write(
        "upstream seen",
        upstream=str(sender),
        pool=report.pool,
        domain=report.domain,
        state=report.state,
        cold=report.cold,
        stopping=report.stopping,
        suspect=report.suspect,
        boot=report.boot,
        number=report.number,
    )


def _handle_batch(
    engine: Engine, batch: messages.ReportBatch, relay: _types.Address, *, now: float
) -> None:
    """Apply reports that a relay passed on, each at the time of its sending."""
    for relayed in batch.reports:
        address = _types.Address(relayed.host, relay.port)
        sent_at = now - relayed.age_ms / messages.MILLISECONDS_PER_SECOND
        if isinstance(relayed.report, messages.Report):
            _handle_report(
                engine, relayed.report, address, now=sent_at, is_relayed=True
            )
        else:
            upstreams.apply_load(engine.view, address, relayed.report, now=sent_at)


def _handle_returned(
    engine: Engine,
    message: messages.ReturnedPacket,
    packet: packets.Packet,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    active_policy = engine.policies.current
    route = active_policy.routes.get(packet.service) if active_policy else None
    if route is None:
        return
    engine.log.write_limited(
        "returned",
        flow=packet.flow,
        upstream=str(sender),
        reason=message.reason,
        revision=message.revision,
    )
    cached = engine.flows.get(packet.flow)
    if message.reason is messages.Refusal.NOT_HELD:
        if cached is not None and cached.upstream == sender:
            del engine.flows[packet.flow]
        _look_up(engine, packet, route, now=now, not_held_by=sender)
        return
    refusing = engine.view.upstreams.get(sender)
    if refusing is not None:
        backoff = max(PLACEMENT_BACKOFF_SECONDS[message.reason], message.retry_after)
        refusing.backoff_until = max(refusing.backoff_until, now + backoff)
        refusing.placed_flows = max(refusing.placed_flows - 1, 0)
    hedged = engine.hedging.hedged.get(packet.flow)
    if hedged is not None:
        _handle_refused_hedge(engine, packet, route, hedged, sender, now=now)
        return
    if cached is None or cached.upstream != sender:
        return
    refused_by = cached.refused_by | {sender}
    _place_again(engine, packet, route, refused_by=refused_by, now=now)


def _handle_refused_hedge(
    engine: Engine,
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
    _place_again(engine, packet, route, refused_by=hedged.refused_by, now=now)


def _loss_timeout_seconds(route: policy.Route) -> float:
    """Return the time without a report after which a flow's upstream counts as lost."""
    if route.is_repeatable:
        return upstreams.SHORT_LOSS_TIMEOUT_SECONDS
    return upstreams.LOSS_TIMEOUT_SECONDS


def _look_up(
    engine: Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    now: float,
    not_held_by: _types.Address | None = None,
) -> None:
    flow_lookup = engine.lookups.get(packet.flow)
    if flow_lookup is not None:
        lookup.buffer(flow_lookup, packet)
        if not_held_by is not None:
            _handle_not_held(engine, packet.flow, not_held_by, now=now)
        return
    if len(engine.lookups) >= MAX_LOOKUPS:
        engine.log.count("dropped.lookups_full")
        return
    pools = engine.policies.pools_seen[packet.service]
    flow_lookup = lookup.start(
        pools, packet, loss_timeout_seconds=_loss_timeout_seconds(route), now=now
    )
    if not_held_by is not None:
        flow_lookup.denied.add(not_held_by)
    engine.lookups[packet.flow] = flow_lookup
    engine.log.count("lookups")
    hedged = engine.hedging.hedged.get(packet.flow)
    if (
        hedged is not None
        and not_held_by is None
        and _query_hedged(engine, flow_lookup, hedged, now=now)
    ):
        return
    if len(engine.lookups) <= MAX_ACTIVE_LOOKUPS:
        _continue_lookup(engine, packet.flow, flow_lookup, now=now)


def _query_hedged(
    engine: Engine,
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
    for address in query.upstreams:
        target = engine.view.upstreams[address].data_address
        engine.port.forward(query.packet, target, packets.Purpose.LOOKUP)
    return bool(query.upstreams)


def _continue_lookups(engine: Engine, *, now: float) -> None:
    """Repeat queries that are due, and start queued lookups up to the limit."""
    active_count = sum(
        bool(flow_lookup.queried) for flow_lookup in engine.lookups.values()
    )
    for flow, flow_lookup in list(engine.lookups.items()):
        if now < flow_lookup.next_query_at:
            continue
        if not flow_lookup.queried:
            if active_count >= MAX_ACTIVE_LOOKUPS:
                continue
            active_count += 1
        _continue_lookup(engine, flow, flow_lookup, now=now)


def _continue_lookup(
    engine: Engine, flow: bytes, flow_lookup: lookup.Lookup, *, now: float
) -> None:
    """Send the lookup's next queries, or end it and reset or drop the packet."""
    step = lookup.advance(flow_lookup, engine.view, now=now)
    if step is None:
        return
    if isinstance(step, lookup.Query):
        for address in step.upstreams:
            target = engine.view.upstreams[address].data_address
            engine.port.forward(step.packet, target, packets.Purpose.LOOKUP)
        return
    del engine.lookups[flow]
    is_conclusive = step.all_denied and _is_view_reliable(engine, now=now)
    engine.log.write_limited(
        "flow not found",
        flow=flow,
        asked=len(flow_lookup.queried),
        denied=len(flow_lookup.denied),
        lost=step.lost,
        waited=round(now - flow_lookup.started_at, 3),
        outcome="reset" if is_conclusive else "dropped",
    )
    if is_conclusive:
        _reset(engine, flow_lookup.packets[-1])


def _handle_held(
    engine: Engine, flow: bytes, sender: _types.Address, *, now: float
) -> None:
    flow_lookup = engine.lookups.pop(flow, None)
    upstream = engine.view.upstreams.get(sender)
    if flow_lookup is None or upstream is None:
        return
    engine.flows[flow] = CachedFlow(sender, now, now)
    hedged = engine.hedging.hedged.pop(flow, None)
    if hedged is not None:
        outcome = "lost" if sender == hedged.first else "won"
        engine.log.count(f"hedges.{outcome}")
        engine.log.write_limited(
            f"hedge {outcome}", flow=flow, first=str(hedged.first), upstream=str(sender)
        )
    engine.log.write_limited(
        "flow found",
        flow=flow,
        upstream=str(sender),
        asked=len(flow_lookup.queried),
        waited=round(now - flow_lookup.started_at, 3),
    )
    # The first packet reached the upstream with the query.
    for packet in flow_lookup.packets[1:]:
        engine.port.forward(packet, upstream.data_address, packets.Purpose.FORWARD)


def _handle_not_held(
    engine: Engine, flow: bytes, sender: _types.Address, *, now: float
) -> None:
    flow_lookup = engine.lookups.get(flow)
    if flow_lookup is None:
        return
    flow_lookup.denied.add(sender)
    if lookup.is_answered(flow_lookup):
        _continue_lookup(engine, flow, flow_lookup, now=now)
