"""Forwarding engine of a balancer for transparent flows, free of I/O."""

from collections import abc
import functools

from plantainproxy import _types
from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import (
    balancer_state,
    flow_lookups,
    openings,
    upstream_speed,
    upstreams,
)

FLOW_LIFETIME_SECONDS = 75.0
"""Maximum age of a flow cache entry. A flow that outlives its entry is looked up
again."""

READINESS_TIMEOUT_SECONDS = 1.0
"""For this long after the first policy, the balancer is ready only if every expected
sidecar has reported; afterwards a report from one sidecar is enough."""

ISOLATED_SECONDS = 2.5
"""The balancer reports itself not ready if no sidecar has reported for this long."""

MAX_CACHED_ADDRESSES = 16_384
"""Capacity of the cache of sidecars' message addresses; above the size of a fleet."""

PROCESS_PAUSE_SECONDS = 0.6
"""If the time between two ticks reaches this, the process was not scheduled and has
missed reports."""


def is_ready(engine: balancer_state.Engine, *, now: float) -> bool:
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


def apply_policy(
    engine: balancer_state.Engine, new_policy: policy.Policy, *, now: float
) -> bool:
    """Apply a policy unless it is outdated; return whether it was applied."""
    if not engine.policies.apply_if_newer(new_policy):
        return False
    engine.first_policy_at = min(engine.first_policy_at, now)
    _log_policy(engine)
    return True


def elapse_hold(engine: balancer_state.Engine, seconds: float) -> None:
    """Let time pass in which the store responded; release domains held out."""
    if engine.policies.elapse_hold(seconds):
        _log_policy(engine)


def _log_policy(engine: balancer_state.Engine) -> None:
    if engine.policies.current is not None:
        engine.log.write_policy(engine.policies.current)


def handle_packet(
    engine: balancer_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    """Forward, queue, reset or drop one packet from a caller."""
    if packet.returned or packet.accepting:
        engine.log.count("dropped.invalid")
        return
    active_policy = engine.policies.current
    if active_policy is None:
        if packet.opening:
            openings.enqueue(engine, packet, now=now)
        engine.log.count("before_policy")
        return
    route = active_policy.routes.get(packet.service)
    if route is None:
        _handle_unrouted(engine, packet)
        return
    if packet.opening:
        openings.handle_opening(engine, packet, route, now=now)
        return
    cached = engine.flows.get(packet.flow)
    if cached is not None:
        upstream = engine.view.upstreams.get(cached.upstream)
        loss_timeout_seconds = flow_lookups.loss_timeout_seconds(route)
        if upstream is not None and not upstreams.is_lost(
            upstream, now=now, timeout_seconds=loss_timeout_seconds
        ):
            cached.used_at = now
            cached.is_in_use = True
            engine.port.forward(packet, upstream.data_address, packets.Purpose.FORWARD)
            engine.log.count("forwarded")
            return
        del engine.flows[packet.flow]
    flow_lookups.look_up(engine, packet, route, now=now)


def _handle_unrouted(engine: balancer_state.Engine, packet: packets.Packet) -> None:
    """Reset a flow without a route, unless a later policy may have the route.

    Another balancer that has the later policy may have opened the flow.
    """
    is_dropped_route = packet.service in engine.policies.pools_seen
    if packet.opening or is_dropped_route:
        balancer_state.refuse_unrouted(engine, packet)
        return
    engine.log.count("dropped.unrouted")


def handle_message(
    engine: balancer_state.Engine,
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
            flow_lookups.handle_held(engine, message, sender, now=now)
        case messages.FlowNotHeld():
            flow_lookups.handle_not_held(engine, message, sender, now=now)
        case messages.FlowUnknown():
            flow_lookups.handle_unknown(engine, message, sender, now=now)
        case messages.ReturnedPacket():
            packet = parse(message.data)
            if packet is not None:
                _handle_returned(engine, message, packet, sender, now=now)
        case _:
            engine.log.count("dropped.invalid_message")


def apply_registrations(
    engine: balancer_state.Engine,
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


def tick(engine: balancer_state.Engine, *, now: float) -> None:
    """Do the periodic work: retry lookups, place queued openings, evict sidecars."""
    if now - engine.last_tick_at >= PROCESS_PAUSE_SECONDS:
        engine.reports_stale_until = now + upstreams.SHORT_LOSS_TIMEOUT_SECONDS
        engine.log.write("paused", seconds=round(now - engine.last_tick_at, 3))
    engine.last_tick_at = now
    _update_majority_silent(engine, now=now)
    _compare_speeds(engine, now=now)
    flow_lookups.continue_lookups(engine, now=now)
    openings.place_waiting(engine, now=now)
    for address in upstreams.evict_silent(engine.view, now=now):
        engine.log.write("upstream forgotten", upstream=str(address))


def evict_expired_flows(engine: balancer_state.Engine, *, now: float) -> None:
    """Evict flow cache entries that are idle or have reached their maximum age."""
    active_policy = engine.policies.current
    idle = active_policy.idle_seconds if active_policy else FLOW_LIFETIME_SECONDS
    for flow, cached in list(engine.flows.items()):
        if now - cached.used_at >= idle or (
            now - cached.opened_at >= FLOW_LIFETIME_SECONDS
        ):
            del engine.flows[flow]


def _update_majority_silent(engine: balancer_state.Engine, *, now: float) -> None:
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


def _compare_speeds(engine: balancer_state.Engine, *, now: float) -> None:
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


def _handle_report(
    engine: balancer_state.Engine,
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
    engine: balancer_state.Engine,
    batch: messages.ReportBatch,
    relay: _types.Address,
    *,
    now: float,
) -> None:
    """Apply reports that a relay passed on, each at the time of its sending."""
    for relayed in batch.reports:
        address = _message_address(relayed.host, relay.port)
        sent_at = now - relayed.age_ms / messages.MILLISECONDS_PER_SECOND
        if isinstance(relayed.report, messages.Report):
            _handle_report(
                engine, relayed.report, address, now=sent_at, is_relayed=True
            )
        else:
            upstreams.apply_load(engine.view, address, relayed.report, now=sent_at)


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _message_address(host: str, port: int) -> _types.Address:
    """Return an address; each batch names the same sidecars."""
    return _types.Address(host, port)


def _handle_returned(
    engine: balancer_state.Engine,
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
        if cached is not None and cached.upstream != sender:
            # The holder was found after the packet had been sent.
            balancer_state.forward(
                engine, packet, cached.upstream, packets.Purpose.FORWARD
            )
            return
        if cached is not None:
            del engine.flows[packet.flow]
        flow_lookups.look_up(engine, packet, route, now=now, not_held_by=sender)
        return
    refusing = engine.view.upstreams.get(sender)
    if refusing is not None:
        backoff = max(
            openings.PLACEMENT_BACKOFF_SECONDS[message.reason], message.retry_after
        )
        refusing.backoff_until = max(refusing.backoff_until, now + backoff)
        refusing.placed_flows = max(refusing.placed_flows - 1, 0)
    if cached is not None and balancer_state.is_late_copy(cached, packet):
        # A late copy of the opening was refused; the flow is open.
        return
    hedged = engine.hedging.hedged.get(packet.flow)
    if hedged is not None:
        openings.handle_refused_hedge(engine, packet, route, hedged, sender, now=now)
        return
    if cached is None or cached.upstream != sender:
        return
    refused_by = cached.refused_by | {sender}
    openings.place_again(engine, packet, route, refused_by=refused_by, now=now)
