"""Engine of a sidecar: admits, tracks and resets the flows of its upstream.

The engine does no I/O. It sends through a port and takes the time as an argument.
"""

from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import (
    admission,
    completeness,
    flow_table,
    held_requests,
    outlier_detection,
    request_queue,
    sidecar_reports,
    sidecar_state,
    suspect_flows,
    unlisted_flows,
    upstream,
    upstream_events,
    upstream_speed,
    waiting,
)

PACKET_RETURN_TIMEOUT_SECONDS = 0.03
"""If the upstream does not return a packet within this time, it presumably holds the
flow."""

SLOW_RESPONSE_SECONDS = 1.0
"""A response that takes at least this long is logged; far above the latency objectives
of requests."""


def apply_policy(
    engine: sidecar_state.Engine, offered: policy.Policy, *, now: float
) -> bool:
    """Apply a policy unless it is outdated; return whether it was applied."""
    before = engine.policies.current
    if not engine.policies.apply_if_newer(offered):
        return False
    _handle_policy_change(engine, before, now=now)
    return True


def elapse_hold(engine: sidecar_state.Engine, seconds: float, *, now: float) -> None:
    """Let time pass in which the store responded; release domains held out."""
    before = engine.policies.current
    if engine.policies.elapse_hold(seconds):
        _handle_policy_change(engine, before, now=now)


def _handle_policy_change(
    engine: sidecar_state.Engine, before: policy.Policy | None, *, now: float
) -> None:
    current = engine.policies.current
    assert current is not None
    domain = engine.identity.location.domain
    if before is not None and domain in before.domains_out - current.domains_out:
        # Without traffic the upstreams of the domain may have become cold again. Assume
        # so until the next heartbeat states whether they are.
        limits = current.pools.get(engine.identity.location.pool, policy.PoolLimits())
        engine.upstream.cold_until = max(
            engine.upstream.cold_until, now + limits.cold_seconds
        )
    engine.longest_idle_seconds = max(engine.longest_idle_seconds, current.idle_seconds)
    engine.log.write_policy(current)


def handle_inbound(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    """Deliver a caller's packet from a balancer, or return it to the balancer.

    Drops packets that only an upstream may send.
    """
    if packet.returned or packet.accepting:
        engine.log.count("dropped.invalid")
        return
    if packet.opening:
        _handle_opening(engine, packet, now=now)
        return
    if packet.purpose is packets.Purpose.QUERY:
        _answer_query(engine, packet, now=now)
        return
    if flow_table.is_held(engine.table, packet):
        _deliver(engine, packet, now=now)
        if packet.purpose is packets.Purpose.LOOKUP:
            _reply_held(engine, packet)
        return
    if _is_certainly_not_held(engine, packet):
        _reply_not_held(engine, packet, now=now)
        return
    undecided = engine.suspect_flows.undecided.get(packet.flow)
    if packet.purpose is packets.Purpose.LOOKUP and undecided is not None:
        _await_outcome(engine, packet, undecided)
        return
    engine.port.deliver(packet)
    engine.log.count("delivered.unknown")
    balancer = sidecar_state.balancer_address(engine, packet.balancer)
    unlisted_flows.record_delivery(
        engine.unlisted_flows, packet, engine.log, balancer=balancer.host, now=now
    )
    if packet.purpose is packets.Purpose.LOOKUP:
        suspect_flows.record_delivery(
            engine.suspect_flows, packet.flow, balancer, now=now
        )


def _await_outcome(
    engine: sidecar_state.Engine,
    packet: packets.Packet,
    undecided: suspect_flows.Undecided,
) -> None:
    """Let a balancer wait for what the upstream does with an earlier packet."""
    balancer = sidecar_state.balancer_address(engine, packet.balancer)
    suspect_flows.add_asker(undecided, balancer)
    engine.log.count("lookup.undecided")
    if undecided.is_presumed:
        message = messages.FlowHeld(flow=packet.flow, is_presumed=True)
        _reply(engine, packet, message)


def _answer_query(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    """Reply whether the upstream holds a flow, as far as the flow table shows it.

    Otherwise only the upstream can tell, by what it does with the packet itself, which
    the balancer sends if the flow's upstream must be among those that get it.
    """
    if flow_table.is_held(engine.table, packet):
        _reply_held(engine, packet)
    elif _is_certainly_not_held(engine, packet):
        _reply(engine, packet, _not_held(engine, packet.flow, now=now))
    else:
        delivered_ms = _delivered_ms(engine, packet.flow, now=now)
        message = messages.FlowUnknown(flow=packet.flow, delivered_ms=delivered_ms)
        _reply(engine, packet, message)


def _not_held(
    engine: sidecar_state.Engine, flow: bytes, *, now: float
) -> messages.FlowNotHeld:
    delivered_ms = _delivered_ms(engine, flow, now=now)
    return messages.FlowNotHeld(flow=flow, delivered_ms=delivered_ms)


def _delivered_ms(
    engine: sidecar_state.Engine, flow: bytes, *, now: float
) -> int | None:
    """Return how long ago the upstream got a packet of the flow on suspicion."""
    delivered_at = suspect_flows.delivered_at(engine.suspect_flows, flow)
    if delivered_at is None:
        return None
    return round((now - delivered_at) * messages.MILLISECONDS_PER_SECOND)


def _reply_held(engine: sidecar_state.Engine, packet: packets.Packet) -> None:
    message = messages.FlowHeld(flow=packet.flow, is_presumed=False)
    _reply(engine, packet, message)


def _is_certainly_not_held(
    engine: sidecar_state.Engine, packet: packets.Packet
) -> bool:
    """Return whether the upstream cannot hold a flow that the table does not show."""
    return (
        engine.table.complete
        or packet.flow in engine.table.flows
        or packet.flow in engine.suspect_flows.returned
        or engine.upstream.state is messages.UpstreamState.GONE
    )


def handle_outbound(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> float | None:
    """Forward a packet of the upstream to its caller or return it to a balancer.

    Returns the seconds from the request to the response, if the packet is the first
    of a response.
    """
    if packet.returned:
        _handle_returned(engine, packet, now=now)
        return None
    if _would_be_missed(engine, packet, now=now):
        return None
    if engine.unlisted_flows and not packet.accepting:
        answered = unlisted_flows.Outcome.ANSWERED
        unlisted_flows.record_outcome(
            engine.unlisted_flows, packet.flow, answered, engine.log, now=now
        )
    waited = flow_table.record_outbound(engine.table, packet, now=now)
    engine.port.forward_to_caller(packet)
    if not packet.accepting:
        _confirm_held(engine, packet.flow)
    if packet.closing or packet.aborting:
        held_requests.end_held_request(engine, packet, now=now)
    if waited is None:
        return None
    if packet.aborting:
        request_queue.discard(engine.request_queue, packet.flow, now=now)
    else:
        request_queue.record_response(engine.request_queue, packet.flow, now=now)
    held_requests.release_held(engine, now=now)
    if packet.aborting:
        _log_request(engine, packet, "request cut by upstream", waited)
        upstream_speed.discard(engine.speed, packet.flow, now=now)
        outlier_detection.record_reset(engine.outlier_detector, now=now)
        return None
    outlier_detection.record_response(engine.outlier_detector, now=now)
    upstream_speed.record_response(engine.speed, packet.flow, packet.service, now=now)
    if waited >= SLOW_RESPONSE_SECONDS:
        _log_request(engine, packet, "request answered late", waited)
    return waited


def _would_be_missed(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> bool:
    """Return whether the next process would not know the flow that a packet opens.

    It is then dropped; the upstream sends it again. A process that has handed over
    knows all open flows; one that has just started and is not registered does not, but
    only an acceptance may open another one.
    """
    is_held_back = packet.accepting and now < engine.admits_flows_at
    if not engine.has_handed_over and not is_held_back:
        return False
    if not completeness.is_outbound_new(engine.table, packet):
        return False
    reason = "handed_over" if engine.has_handed_over else "not_registered"
    engine.log.count(f"dropped.{reason}")
    return True


def _confirm_held(engine: sidecar_state.Engine, flow: bytes) -> None:
    """Answer the waiting balancers: the upstream's own packet proves that it holds it.

    An acceptance proves nothing, as the caller may have chosen another upstream's.
    """
    undecided = suspect_flows.record_held(engine.suspect_flows, flow)
    if undecided is not None:
        message = messages.FlowHeld(flow=flow, is_presumed=False)
        for balancer in undecided.askers:
            engine.port.send_message(balancer, message)


def tick(engine: sidecar_state.Engine, *, now: float) -> None:
    """Answer overdue queries, end grace periods and send the reports that are due."""
    _report_presumed(engine, now=now)
    if engine.exit_deadline is not None and now >= engine.exit_deadline:
        upstream_events.end_exit_grace(engine, now=now)
    not_listening_since = engine.not_listening_since
    if (
        not_listening_since is not None
        and now - not_listening_since >= upstream_events.EXIT_GRACE_SECONDS
    ):
        upstream_events.end_not_listening_grace(engine)
    for key in request_queue.discard_stalled(engine.request_queue, now=now):
        engine.log.write_limited("request stalled", flow=key)
    held_requests.release_held(engine, now=now)
    is_cold = upstream.is_cold(engine.upstream, now=now)
    upstream_speed.tick(engine.speed, is_cold=is_cold, now=now)
    sidecar_reports.send_due_reports(engine, now=now)


def observe(engine: sidecar_state.Engine, *, now: float) -> None:
    """Complete the flow table once every flow in use must have had a packet.

    To be called at every tick. ``now`` must also count while the machine is suspended.
    """
    idle_seconds = engine.longest_idle_seconds
    if completeness.observe(engine.table, idle_seconds=idle_seconds, now=now):
        engine.log.write("flow table complete", reason="observed")


def _report_presumed(engine: sidecar_state.Engine, *, now: float) -> None:
    """Report the flows whose packets the upstream has not returned in time."""
    for flow, undecided in engine.suspect_flows.undecided.items():
        is_due = now >= undecided.delivered_at + PACKET_RETURN_TIMEOUT_SECONDS
        if undecided.is_presumed or not is_due:
            continue
        undecided.is_presumed = True
        message = messages.FlowHeld(flow=flow, is_presumed=True)
        for balancer in undecided.askers:
            engine.port.send_message(balancer, message)
        unlisted_flows.record_reported_held(
            engine.unlisted_flows,
            flow,
            engine.log,
            balancer=undecided.askers[0].host,
            now=now,
        )


def evict_expired(engine: sidecar_state.Engine, *, now: float) -> None:
    """Evict closed and idle flows and expired subscriptions of balancers."""
    current = engine.policies.current
    if current is not None:
        flow_table.evict_expired(
            engine.table, now=now, idle_seconds=current.idle_seconds
        )
        held_requests.discard_evicted(engine, now=now)
    unlisted_flows.evict_expired(engine.unlisted_flows, engine.log, now=now)
    suspect_flows.evict_expired(engine.suspect_flows, now=now)
    for balancer, seen_at in list(engine.balancers_seen.items()):
        if now - seen_at >= sidecar_reports.SUBSCRIPTION_TIMEOUT_SECONDS:
            del engine.balancers_seen[balancer]
    for process, subscriber in list(engine.subscribers.items()):
        timeout_seconds = sidecar_reports.subscription_timeout_seconds(subscriber)
        if now - subscriber.last_hello_at >= timeout_seconds:
            del engine.subscribers[process]
            engine.log.write("subscriber expired", process=str(process))


def stop(engine: sidecar_state.Engine, *, now: float) -> None:
    """Report to the balancers and relays that this process is about to end.

    Each call repeats the report, since datagrams may be lost. Without it, balancers
    reset the upstream's flows when the sidecar has been silent for a while. Openings
    are refused from the first call on, so that the final snapshot has all flows.
    """
    engine.stopping = True
    held_requests.release_held(engine, now=now)
    sidecar_reports.send_reports(engine, now=now)


def _cold_wait(engine: sidecar_state.Engine, *, now: float) -> float:
    """Return the seconds until a cold upstream may get one more flow."""
    current = engine.policies.current
    if current is None or not upstream.is_cold(engine.upstream, now=now):
        return 0.0
    limits = current.pools.get(engine.identity.location.pool, policy.PoolLimits())
    return engine.slow_start_limiter.wait_seconds(limits, now=now)


def _is_full(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> bool:
    """Return whether the upstream has no room for a new flow.

    A request that will be late gets only a free slot, so that it takes no room from
    requests that can be answered on time.
    """
    room = sidecar_reports.available_requests(engine, now=now)
    current = engine.policies.current
    route = current.routes.get(packet.service) if current else None
    if route is not None and waiting.is_deferrable(
        waiting.first_sent_at(packet, now=now), route.objective_seconds, now=now
    ):
        room -= sidecar_state.slots(engine)
    return room <= 0


def _handle_opening(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    engine.balancers_seen[packet.balancer] = now
    flow = engine.table.flows.get(packet.flow)
    # The opening of an inherited flow may be of a new one with the same addresses.
    is_copy = flow is not None and not flow.is_inherited
    cold_wait = 0.0 if is_copy else _cold_wait(engine, now=now)
    refusal = admission.check_opening(
        packet,
        location=engine.identity.location,
        current=engine.policies.current,
        state=engine.upstream.state,
        cold_wait=cold_wait,
        is_full=not is_copy and _is_full(engine, packet, now=now),
        may_admit_flows=sidecar_state.may_admit_flows(engine, now=now),
    )
    if refusal is not None and flow_table.is_late_copy(engine.table, packet):
        engine.log.count("dropped.late_opening")
        return
    if refusal is not None:
        engine.log.write_limited(
            "refused",
            flow=packet.flow,
            reason=refusal,
            state=engine.upstream.state,
            cold_wait=round(cold_wait, 3),
            revision=engine.policies.revision,
        )
        _return_packet(engine, packet, refusal, retry_after=cold_wait)
        return
    if not is_copy:
        engine.slow_start_limiter.record_flow(now=now)
    flow_table.record_opening(engine.table, packet, now=now)
    suspect_flows.record_held(engine.suspect_flows, packet.flow)
    engine.port.deliver(packet)
    engine.log.count("delivered.opening")


def _log_request(
    engine: sidecar_state.Engine, packet: packets.Packet, event: str, waited: float
) -> None:
    engine.log.write_limited(
        event,
        flow=packet.flow,
        waited=round(waited, 3),
        running=engine.table.running_requests,
        slots=sidecar_state.slots(engine),
        state=engine.upstream.state,
    )


def _deliver(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    if engine.has_handed_over and not engine.table.flows[packet.flow].confirmed:
        engine.log.count("dropped.handed_over")
        return
    if packet.closing or packet.aborting:
        waited = flow_table.request_wait_seconds(engine.table, packet.flow, now=now)
        if waited is not None:
            _log_request(engine, packet, "request given up by caller", waited)
        held_requests.end_held_request(engine, packet, now=now)
    objective_from = flow_table.record_inbound(engine.table, packet, now=now)
    if packet.size and held_requests.hold(engine, packet, objective_from, now=now):
        return
    engine.port.deliver(packet)
    held_requests.measure_delivered(engine, packet, now=now)
    engine.log.count("delivered")
    if packet.closing or packet.aborting:
        request_queue.discard(engine.request_queue, packet.flow, now=now)
        held_requests.release_held(engine, now=now)


def _reply_not_held(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    if packet.purpose is packets.Purpose.LOOKUP:
        _reply(engine, packet, _not_held(engine, packet.flow, now=now))
        return
    _return_packet(engine, packet, messages.Refusal.NOT_HELD)


def _handle_returned(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    """Notify the balancer of a packet that the upstream returned."""
    returned = unlisted_flows.Outcome.RETURNED
    unlisted_flows.record_outcome(
        engine.unlisted_flows, packet.flow, returned, engine.log, now=now
    )
    # The upstream returns what is held for the flow, too.
    reason = request_queue.Reason.FLOW_ENDED
    held_requests.release_flow(engine, packet.flow, reason, now=now)
    flow_table.remove(engine.table, packet.flow)
    request_queue.discard(engine.request_queue, packet.flow, now=now)
    held_requests.release_held(engine, now=now)
    upstream_speed.discard(engine.speed, packet.flow, now=now)
    if packet.opening:
        _return_packet(engine, packet, messages.Refusal.DECLINED)
        return
    undecided = suspect_flows.record_return(engine.suspect_flows, packet.flow, now=now)
    if undecided is None:
        _return_packet(engine, packet, messages.Refusal.NOT_HELD)
        return
    sender = sidecar_state.balancer_address(engine, packet.balancer)
    message = _not_held(engine, packet.flow, now=now)
    for balancer in undecided.askers:
        if undecided.is_presumed and balancer == sender:
            # It may have taken the upstream as the holder, and needs the packet.
            _return_packet(engine, packet, messages.Refusal.NOT_HELD)
        else:
            engine.port.send_message(balancer, message)


def _return_packet(
    engine: sidecar_state.Engine,
    packet: packets.Packet,
    reason: messages.Refusal,
    *,
    retry_after: float = 0.0,
) -> None:
    engine.log.count(f"returned.{reason}")
    message = messages.ReturnedPacket(
        reason=reason,
        revision=engine.policies.revision,
        data=packet.data,
        retry_after=retry_after,
    )
    _reply(engine, packet, message)


def _reply(
    engine: sidecar_state.Engine, packet: packets.Packet, message: messages.Message
) -> None:
    balancer = sidecar_state.balancer_address(engine, packet.balancer)
    engine.port.send_message(balancer, message)
