"""Lookups of the upstreams that hold the flows which a balancer has not cached."""

from plantainproxy import _types
from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import (
    balancer_state,
    hedged_openings,
    lookup,
    upstreams,
)

MAX_LOOKUPS = 8_192
"""Maximum number of lookups that are active or queued."""


def loss_timeout_seconds(route: policy.Route) -> float:
    """Return the time without a report after which a flow's upstream counts as lost."""
    if route.is_repeatable:
        return upstreams.SHORT_LOSS_TIMEOUT_SECONDS
    return upstreams.LOSS_TIMEOUT_SECONDS


def look_up(
    engine: balancer_state.Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    now: float,
    not_held_by: _types.Address | None = None,
) -> None:
    """Start the lookup of a packet's flow, or add the packet to it.

    ``not_held_by`` is the sidecar that has returned the packet, if any.
    """
    flow_lookup = engine.lookups.get(packet.flow)
    if flow_lookup is not None:
        if not_held_by is None:
            lookup.buffer(flow_lookup, packet, now=now)
            return
        if not lookup.is_buffered(flow_lookup, packet):
            lookup.buffer(flow_lookup, packet, now=now)
        lookup.record_not_held(flow_lookup, not_held_by)
        _continue_if_answered(engine, packet.flow, flow_lookup, now=now)
        return
    if len(engine.lookups) >= MAX_LOOKUPS:
        engine.log.count("dropped.lookups_full")
        return
    pools = engine.policies.pools_seen[packet.service]
    flow_lookup = lookup.start(
        pools, packet, loss_timeout_seconds=loss_timeout_seconds(route), now=now
    )
    if not_held_by is not None:
        delivered_at = now if _may_have_delivered(engine, not_held_by) else None
        lookup.record_not_held(flow_lookup, not_held_by, delivered_at=delivered_at)
    engine.lookups[packet.flow] = flow_lookup
    engine.log.count("lookups")
    hedged = engine.hedging.hedged.get(packet.flow)
    if (
        hedged is not None
        and not_held_by is None
        and hedged_openings.query_hedged(engine, flow_lookup, hedged, now=now)
    ):
        return
    if len(engine.lookups) <= balancer_state.MAX_ACTIVE_LOOKUPS:
        _send_first_queries(engine, packet.flow, flow_lookup, now=now)


def _may_have_delivered(engine: balancer_state.Engine, sender: _types.Address) -> bool:
    """Return whether a sidecar returned a packet that its upstream may have got."""
    upstream = engine.view.upstreams.get(sender)
    return upstream is None or upstream.report is None or not upstream.report.complete


def _send_first_queries(
    engine: balancer_state.Engine,
    flow: bytes,
    flow_lookup: lookup.Lookup,
    *,
    now: float,
) -> None:
    """Query the sidecar that the snapshots name for the flow, or else the first wave.

    After a restart of all processes, queries of all candidates for every flow would
    saturate a small instance's link.
    """
    hint = engine.hints.pop(flow, None)
    if hint is not None and hint not in flow_lookup.denied:
        query = lookup.query_first(flow_lookup, [hint], engine.view, now=now)
        balancer_state.send_query(engine, flow_lookup, query)
        if query.purposes:
            return
    _continue_lookup(engine, flow, flow_lookup, now=now)


def continue_lookups(engine: balancer_state.Engine, *, now: float) -> None:
    """Repeat queries that are due, and start queued lookups up to the limit."""
    _continue_checked(engine, now=now)
    active_count = sum(
        bool(flow_lookup.queries)
        and not flow_lookup.awaits_list_check
        and not lookup.is_held_back(flow_lookup, now=now)
        for flow_lookup in engine.lookups.values()
    )
    for flow, flow_lookup in list(engine.lookups.items()):
        if now < lookup.next_step_at(flow_lookup):
            continue
        if flow_lookup.queries:
            _continue_lookup(engine, flow, flow_lookup, now=now)
        elif active_count < balancer_state.MAX_ACTIVE_LOOKUPS:
            active_count += 1
            _send_first_queries(engine, flow, flow_lookup, now=now)


def _continue_lookup(
    engine: balancer_state.Engine,
    flow: bytes,
    flow_lookup: lookup.Lookup,
    *,
    now: float,
) -> None:
    """Send the lookup's next queries, or end it and reset or drop the packet."""
    step = lookup.advance(
        flow_lookup,
        engine.view,
        is_view_reliable=lambda: balancer_state.is_view_reliable(engine, now=now),
        now=now,
    )
    if step is None:
        return
    if isinstance(step, lookup.Query):
        balancer_state.send_query(engine, flow_lookup, step)
        return
    if step.presumed is not None:
        _end_found(engine, flow, flow_lookup, step.presumed, now=now)
        return
    del engine.lookups[flow]
    is_conclusive = (
        step.all_denied
        and step.is_list_checked
        and balancer_state.is_view_reliable(engine, now=now)
    )
    engine.log.write_limited(
        "flow not found",
        flow=flow,
        asked=len(flow_lookup.queries),
        denied=len(flow_lookup.denied),
        unknown=len(flow_lookup.unknown),
        delivered=len(flow_lookup.deliveries),
        lost=step.lost,
        restarting=step.restarting,
        away=step.away,
        list_checked=step.is_list_checked,
        waited=round(now - flow_lookup.started_at, 3),
        outcome="reset" if is_conclusive else "dropped",
    )
    if is_conclusive:
        balancer_state.reset(engine, flow_lookup.packets[-1])


def awaits_list_check(engine: balancer_state.Engine) -> bool:
    """Return whether a lookup needs a list of sidecars that is newer than itself."""
    return any(
        flow_lookup.awaits_list_check
        and not lookup.is_list_checked(flow_lookup, engine.view)
        for flow_lookup in engine.lookups.values()
    )


def handle_list_checked(
    engine: balancer_state.Engine, *, asked_at: float, now: float
) -> None:
    """Continue the lookups that wait for a list of sidecars as of ``asked_at``.

    The engine has been given the list if it has changed.
    """
    engine.view.list_checked_at = max(engine.view.list_checked_at, asked_at)
    _continue_checked(engine, now=now)


def _continue_checked(engine: balancer_state.Engine, *, now: float) -> None:
    """Continue lookups for which the list has been checked, up to the limit.

    They collect while the store does not answer, and all at once would delay the
    packets of other flows. The rest is continued by the next ticks.
    """
    checked = [
        (flow, flow_lookup)
        for flow, flow_lookup in engine.lookups.items()
        if flow_lookup.awaits_list_check
        and lookup.is_list_checked(flow_lookup, engine.view)
    ]
    for flow, flow_lookup in checked[: balancer_state.MAX_ACTIVE_LOOKUPS]:
        _continue_lookup(engine, flow, flow_lookup, now=now)


def handle_held(
    engine: balancer_state.Engine,
    message: messages.FlowHeld,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """End a lookup if the answer proves that the sender's upstream holds the flow."""
    flow_lookup = engine.lookups.get(message.flow)
    if flow_lookup is None or sender not in engine.view.upstreams:
        return
    if lookup.record_held(flow_lookup, sender, is_presumed=message.is_presumed):
        _end_found(engine, message.flow, flow_lookup, sender, now=now)
        return
    _continue_if_answered(engine, message.flow, flow_lookup, now=now)


def _end_found(
    engine: balancer_state.Engine,
    flow: bytes,
    flow_lookup: lookup.Lookup,
    holder: _types.Address,
    *,
    now: float,
) -> None:
    """End a lookup: cache the holder and send it the buffered packets."""
    del engine.lookups[flow]
    engine.flows[flow] = balancer_state.CachedFlow(holder, now, now, is_in_use=True)
    hedged = engine.hedging.hedged.pop(flow, None)
    if hedged is not None:
        outcome = "lost" if holder == hedged.first else "won"
        engine.log.count(f"hedges.{outcome}")
        engine.log.write_limited(
            f"hedge {outcome}", flow=flow, first=str(hedged.first), upstream=str(holder)
        )
    engine.log.write_limited(
        "flow found",
        flow=flow,
        upstream=str(holder),
        asked=len(flow_lookup.queries),
        unknown=len(flow_lookup.unknown),
        delivered=len(flow_lookup.deliveries),
        away=flow_lookup.away,
        presumed=holder in flow_lookup.presumed,
        waited=round(now - flow_lookup.started_at, 3),
    )
    has_first_packet = holder in flow_lookup.reached
    upstream = engine.view.upstreams[holder]
    for packet in flow_lookup.packets[1 if has_first_packet else 0 :]:
        engine.port.forward(packet, upstream.data_address, packets.Purpose.FORWARD)


def handle_not_held(
    engine: balancer_state.Engine,
    message: messages.FlowNotHeld,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """Record that the sender's upstream does not hold the flow."""
    flow_lookup = engine.lookups.get(message.flow)
    if flow_lookup is None:
        return
    delivered_at = _delivered_at(message, now)
    lookup.record_not_held(flow_lookup, sender, delivered_at=delivered_at)
    _continue_if_answered(engine, message.flow, flow_lookup, now=now)


def handle_unknown(
    engine: balancer_state.Engine,
    message: messages.FlowUnknown,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """Record that the flow is unknown to the sender."""
    flow_lookup = engine.lookups.get(message.flow)
    if flow_lookup is None:
        return
    delivered_at = _delivered_at(message, now)
    if lookup.record_unknown(
        flow_lookup, sender, engine.view, delivered_at=delivered_at, now=now
    ):
        _continue_if_answered(engine, message.flow, flow_lookup, now=now)


def _delivered_at(
    message: messages.FlowNotHeld | messages.FlowUnknown, now: float
) -> float | None:
    """Return when the sender's upstream got a packet on suspicion, if it did."""
    if message.delivered_ms is None:
        return None
    return now - message.delivered_ms / messages.MILLISECONDS_PER_SECOND


def _continue_if_answered(
    engine: balancer_state.Engine,
    flow: bytes,
    flow_lookup: lookup.Lookup,
    *,
    now: float,
) -> None:
    if lookup.is_answered(flow_lookup):
        _continue_lookup(engine, flow, flow_lookup, now=now)
