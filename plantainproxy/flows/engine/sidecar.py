"""Engine of a sidecar: admits, tracks and resets the flows of its upstream.

The engine does no I/O. It sends through a port and takes the time as an argument.
"""

import math
import socket
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, packets, policy
from plantainproxy.flows.engine import (
    admission,
    flow_table,
    outlier_detection,
    request_queue,
    upstream,
    upstream_speed,
)

PACKET_RETURN_TIMEOUT_SECONDS = 0.03
"""If the upstream does not return a packet within this time, it holds the flow."""
REPORT_INTERVAL_SECONDS = 0.5
"""Maximum interval between two reports to a balancer."""
LOAD_REPORT_INTERVAL_SECONDS = 0.15
"""Minimum interval between two reports when only the load has changed."""
SATURATED_REPORT_INTERVAL_SECONDS = 0.04
"""The same while all slots are in use: balancers queue new flows until the upstream has
capacity."""
REQUESTS_PER_SLOT = 2.0
"""Requests in progress per slot at which an upstream is full and gets no new flow. The
balancers queue further flows and place them in order of priority."""
SLOW_RESPONSE_SECONDS = 1.0
"""A response that takes at least this long is logged; far above the latency objectives
of requests."""
DRAIN_GRACE_SECONDS = 1.0
"""How long a draining upstream may serve its last flows after it stopped listening."""
DEFAULT_SLOTS = 2
"""Assumed slots of an upstream before its first heartbeat; the smallest number that
any upstream has."""
DEFAULT_OBJECTIVE_SECONDS = 1.0
"""Objective of requests on flows whose route has been removed."""
SUBSCRIPTION_TIMEOUT_SECONDS = 30.0
"""A balancer that sent no ``ReportRequest`` for this long gets no more reports."""
RELAY_TIMEOUT_SECONDS = 3.0
"""The same for a relay that no ``ReportRequest`` has named; three times the interval of
the requests."""


class Port(typing.Protocol):
    """Output of the engine; no call blocks."""

    def deliver(self, packet: packets.Packet) -> None:
        """Send a caller's packet to the upstream."""

    def forward_to_caller(self, packet: packets.Packet) -> None:
        """Send a packet of the upstream to the caller."""

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Send a reset to the caller of a flow.

        ``acknowledgement`` is the caller's newest one; the reset takes it as its
        sequence number.
        """

    def send_message(self, balancer: _types.Address, message: messages.Message) -> None:
        """Send a message to a balancer."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and ports of the sidecar; constant while the process runs."""

    location: admission.Location
    data_port: int
    """UDP port for packets of flows."""
    message_port: int
    """UDP port on which balancers receive messages."""
    boot: int
    """Start of this process in milliseconds since the epoch, which identifies it."""


class PendingQuery(msgspec.Struct):
    """A balancer's unanswered query whether the upstream holds a flow."""

    balancer: _types.Address
    deadline: float


class Subscriber(msgspec.Struct):
    """A balancer or relay that receives reports."""

    is_relay: bool
    is_local_domain: bool
    """Whether it is in this sidecar's failure domain. Others subscribe only if their
    domain has no relay."""
    last_hello_at: float
    """When it last asked, or a balancer last named it as a relay."""
    last_report_at: float = float("-inf")
    last_reported_load: tuple[int, int] = (0, 0)
    """Requests in progress and open flows in the last report."""


class Engine:
    """The state of one sidecar."""

    def __init__(
        self,
        *,
        port: Port,
        identity: Identity,
        slow_start_limiter: admission.SlowStartLimiter,
        log: event_log.EventLog,
    ) -> None:
        """Start without a policy, flows or a heartbeat of the upstream."""
        self.port = port
        self.identity = identity
        self.log = log
        self.policies = policy.ActivePolicy()
        self.table = flow_table.FlowTable()
        self.request_queue = request_queue.RequestQueue(slots=DEFAULT_SLOTS)
        self.upstream = upstream.UpstreamStatus()
        self.slow_start_limiter = slow_start_limiter
        self.outlier_detector = outlier_detection.OutlierDetector()
        self.speed = upstream_speed.Measurement()
        self.drain_deadline: float | None = None
        """When a draining upstream that no longer listens counts as ended."""
        self.pending_queries: dict[bytes, PendingQuery] = {}
        self.subscribers: dict[_types.Address, Subscriber] = {}
        self.balancers_seen: dict[bytes, float] = {}
        """Packed addresses of the balancers of all domains that asked for reports or
        sent openings, and when each last did."""
        self.fleet_size = 1
        """Number of sidecars that the last ``ReportRequest`` of a balancer stated."""
        self.previous_snapshot: tuple[int, dict[bytes, int]] | None = None
        """Flows that an earlier sidecar process saved: the upstream's incarnation, and
        its flows with their callers' acknowledgements. ``None`` once processed."""
        self.not_listening_since: float | None = None
        """When this process found at its start that no upstream listened. ``None`` if
        one listened, and after the grace period."""
        self.report_number = 0
        self.last_reported_status: tuple[object, ...] = ()
        self.stopping = False


def apply_policy(engine: Engine, offered: policy.Policy, *, now: float) -> bool:
    """Apply a policy unless it is outdated; return whether it was applied."""
    before = engine.policies.current
    if not engine.policies.apply_if_newer(offered):
        return False
    _handle_policy_change(engine, before, now=now)
    return True


def elapse_hold(engine: Engine, seconds: float, *, now: float) -> None:
    """Let time pass in which the store responded; release domains held out."""
    before = engine.policies.current
    if engine.policies.elapse_hold(seconds):
        _handle_policy_change(engine, before, now=now)


def _handle_policy_change(
    engine: Engine, before: policy.Policy | None, *, now: float
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
    engine.log.write_policy(current)


def handle_inbound(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    """Deliver a caller's packet from a balancer, or return it to the balancer.

    Drops packets that only an upstream may send.
    """
    if packet.returned or packet.accepting:
        engine.log.count("dropped.invalid")
        return
    if packet.opening:
        _handle_opening(engine, packet, now=now)
        return
    if flow_table.is_held(engine.table, packet):
        _deliver(engine, packet, now=now)
        if packet.purpose is packets.Purpose.LOOKUP:
            _reply(engine, packet, messages.FlowHeld(flow=packet.flow))
        return
    is_certainly_not_held = (
        engine.table.complete
        or packet.flow in engine.table.flows
        or engine.upstream.state is messages.UpstreamState.GONE
    )
    if is_certainly_not_held:
        _reply_not_held(engine, packet)
        return
    engine.port.deliver(packet)
    engine.log.count("delivered.unknown")
    if packet.purpose is packets.Purpose.LOOKUP:
        balancer = _balancer_address(engine, packet)
        query = PendingQuery(balancer, now + PACKET_RETURN_TIMEOUT_SECONDS)
        engine.pending_queries[packet.flow] = query


def handle_outbound(
    engine: Engine, packet: packets.Packet, *, now: float
) -> float | None:
    """Forward a packet of the upstream to its caller or return it to a balancer.

    Returns the seconds from the request to the response, if the packet is the first
    of a response.
    """
    if packet.returned:
        _handle_returned(engine, packet, now=now)
        return None
    waited = flow_table.record_outbound(engine.table, packet, now=now)
    engine.port.forward_to_caller(packet)
    if packet.closing or packet.aborting:
        _end_held_request(engine, packet, now=now)
    if waited is None:
        return None
    if packet.aborting:
        request_queue.discard(engine.request_queue, packet.flow, now=now)
    else:
        request_queue.record_response(engine.request_queue, packet.flow, now=now)
    _release_held(engine, now=now)
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


def handle_heartbeat(
    engine: Engine, heartbeat: upstream.Heartbeat, *, now: float
) -> bool:
    """Apply a heartbeat of the upstream; return whether it is for this sidecar."""
    if heartbeat.pool != engine.identity.location.pool:
        engine.log.write_limited(
            "heartbeat refused", instance=heartbeat.instance, pool=heartbeat.pool
        )
        return False
    before = engine.upstream.newest
    state_before = engine.upstream.state
    if before is None or heartbeat.born > before.born:
        engine.drain_deadline = None
    if (
        upstream.record_heartbeat(engine.upstream, heartbeat, now=now)
        and before is not None
    ):
        if state_before is messages.UpstreamState.READY:
            outlier_detection.record_crash(engine.outlier_detector, now=now)
        _reset_all_flows(engine, reason="upstream restarted")
        engine.table.complete = True
    if engine.upstream.state is not state_before:
        engine.log.write(
            "upstream state",
            instance=heartbeat.instance,
            state=engine.upstream.state,
            before=state_before,
            cold_seconds=heartbeat.cold_seconds,
            born=heartbeat.born,
            number=heartbeat.number,
        )
    if engine.upstream.newest is not None:
        _use_previous_snapshot(engine, engine.upstream.newest)
    engine.request_queue.slots = max(_slots(engine), 1)
    _release_held(engine, now=now)
    send_due_reports(engine, now=now)
    return True


def handle_deregistration(engine: Engine, instance: str, *, now: float) -> None:
    """Mark the upstream as draining: it has announced that it is about to end."""
    if not upstream.mark_draining(engine.upstream, instance):
        return
    engine.log.write(
        "upstream state",
        instance=instance,
        state=engine.upstream.state,
        reason="upstream leaves",
    )
    _release_held(engine, now=now)
    send_due_reports(engine, now=now)


def handle_connection_refused(engine: Engine, *, now: float) -> None:
    """Handle a refused connection to the upstream's address.

    A draining upstream stops listening before its last flows are served, so it gets a
    grace period. An upstream in any other state has crashed.
    """
    if engine.upstream.state is not messages.UpstreamState.DRAINING:
        handle_upstream_exit(engine, reason="connection refused", now=now)
    elif engine.drain_deadline is None:
        engine.drain_deadline = now + DRAIN_GRACE_SECONDS


def handle_upstream_exit(engine: Engine, *, reason: str, now: float) -> None:
    """Mark the upstream as gone and reset its flows: its process has ended."""
    engine.drain_deadline = None
    was_ready = engine.upstream.state is messages.UpstreamState.READY
    if not upstream.mark_gone(engine.upstream):
        return
    if was_ready:
        outlier_detection.record_crash(engine.outlier_detector, now=now)
    engine.log.write("upstream state", state=engine.upstream.state, reason=reason)
    _reset_all_flows(engine, reason=reason)
    engine.table.complete = True
    send_due_reports(engine, now=now)


def handle_not_listening(engine: Engine, *, now: float) -> None:
    """Start the grace period of an upstream that does not listen at process start.

    A draining upstream may still serve its last flows.
    """
    engine.not_listening_since = now


def _end_not_listening_grace(engine: Engine) -> None:
    """Treat an earlier upstream as ended after the grace period."""
    engine.not_listening_since = None
    engine.table.complete = True
    if engine.previous_snapshot is not None and engine.upstream.newest is None:
        _reset_previous_flows(engine)


def apply_snapshot(engine: Engine, born: int, flows: dict[bytes, int]) -> None:
    """Apply the flows that an earlier sidecar process saved.

    They are reset when the incarnation that held them, ``born``, is confirmed to have
    ended.
    """
    engine.previous_snapshot = (born, flows)
    if engine.upstream.newest is not None:
        _use_previous_snapshot(engine, engine.upstream.newest)
    elif engine.table.complete:
        _reset_previous_flows(engine)


def _use_previous_snapshot(engine: Engine, newest: upstream.Heartbeat) -> None:
    """Reset the saved flows if the newest heartbeat is of a later incarnation."""
    if engine.previous_snapshot is None:
        return
    born, _ = engine.previous_snapshot
    if newest.born > born:
        _reset_previous_flows(engine)
    engine.previous_snapshot = None


def _reset_previous_flows(engine: Engine) -> None:
    assert engine.previous_snapshot is not None
    _, flows = engine.previous_snapshot
    engine.previous_snapshot = None
    for key, acknowledgement in flows.items():
        if key not in engine.table.flows:
            engine.port.reset(key, acknowledgement)
    engine.log.write(
        "flows reset", count=len(flows), reason="upstream ended before this process"
    )


def health_check_path(engine: Engine) -> str | None:
    """Return the path of the health check while the upstream's state is unknown.

    Returns ``None`` in any other state, and without a policy for the pool.
    """
    current = engine.policies.current
    if current is None or engine.upstream.state is not messages.UpstreamState.UNKNOWN:
        return None
    limits = current.pools.get(engine.identity.location.pool)
    return limits.health_path if limits else None


def handle_health_check_passed(engine: Engine, *, now: float) -> None:
    """Mark an upstream that has sent no heartbeat yet as ready.

    Called after a successful health check.
    """
    if engine.upstream.state is not messages.UpstreamState.UNKNOWN:
        return
    engine.upstream.state = messages.UpstreamState.READY
    current = engine.policies.current
    limits = current.pools.get(engine.identity.location.pool) if current else None
    cold_seconds = limits.cold_seconds if limits else 0.0
    # The health check does not state whether the upstream is cold; assume it is.
    engine.upstream.cold_until = now + cold_seconds
    engine.log.write("upstream state", state=engine.upstream.state, reason="healthy")
    send_due_reports(engine, now=now)


def handle_report_request(
    engine: Engine,
    request: messages.ReportRequest,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """Subscribe a balancer and the relays that it names, or renew the subscriptions.

    A balancer that does not subscribe gets one report: it asks if the relays have
    brought none for a while.
    """
    engine.fleet_size = request.sidecars
    engine.balancers_seen[socket.inet_aton(sender.host)] = now
    if not request.subscribes:
        engine.port.send_message(sender, _report(engine, now=now))
        return
    is_local_domain = request.domain == engine.identity.location.domain
    _subscribe(engine, sender, is_relay=False, is_local_domain=is_local_domain, now=now)
    for host in request.relays if is_local_domain else ():
        relay = _types.Address(host, engine.identity.message_port)
        _subscribe(engine, relay, is_relay=True, is_local_domain=True, now=now)
    send_due_reports(engine, now=now)


def _subscribe(
    engine: Engine,
    process: _types.Address,
    *,
    is_relay: bool,
    is_local_domain: bool,
    now: float,
) -> None:
    subscriber = engine.subscribers.get(process)
    if subscriber is not None:
        subscriber.last_hello_at = now
        return
    engine.subscribers[process] = Subscriber(
        is_relay=is_relay, is_local_domain=is_local_domain, last_hello_at=now
    )
    engine.log.write(
        "relay seen" if is_relay else "balancer seen", process=str(process)
    )


def tick(engine: Engine, *, now: float) -> None:
    """Answer overdue queries, end grace periods and send the reports that are due."""
    for flow, query in list(engine.pending_queries.items()):
        if now >= query.deadline:
            del engine.pending_queries[flow]
            engine.port.send_message(query.balancer, messages.FlowHeld(flow=flow))
    if engine.drain_deadline is not None and now >= engine.drain_deadline:
        handle_upstream_exit(engine, reason="left", now=now)
    not_listening_since = engine.not_listening_since
    if (
        not_listening_since is not None
        and now - not_listening_since >= DRAIN_GRACE_SECONDS
    ):
        _end_not_listening_grace(engine)
    for key in request_queue.discard_stalled(engine.request_queue, now=now):
        engine.log.write_limited("request stalled", flow=key)
    _release_held(engine, now=now)
    is_cold = upstream.is_cold(engine.upstream, now=now)
    upstream_speed.tick(engine.speed, is_cold=is_cold, now=now)
    send_due_reports(engine, now=now)


def evict_expired(engine: Engine, *, now: float) -> None:
    """Evict closed and idle flows and expired subscriptions of balancers."""
    current = engine.policies.current
    if current is not None:
        flow_table.evict_expired(
            engine.table, now=now, idle_seconds=current.idle_seconds
        )
        _discard_evicted(engine, now=now)
    for balancer, seen_at in list(engine.balancers_seen.items()):
        if now - seen_at >= SUBSCRIPTION_TIMEOUT_SECONDS:
            del engine.balancers_seen[balancer]
    for process, subscriber in list(engine.subscribers.items()):
        timeout_seconds = (
            RELAY_TIMEOUT_SECONDS
            if subscriber.is_relay
            else SUBSCRIPTION_TIMEOUT_SECONDS
        )
        if now - subscriber.last_hello_at >= timeout_seconds:
            del engine.subscribers[process]
            engine.log.write("subscriber expired", process=str(process))


def is_upstream_leaving(engine: Engine) -> bool:
    """Return whether the upstream is draining or gone, so it takes no new flows."""
    return engine.upstream.state in (
        messages.UpstreamState.DRAINING,
        messages.UpstreamState.GONE,
    )


def stop(engine: Engine, *, now: float) -> None:
    """Report to the balancers that this process is about to end."""
    engine.stopping = True
    _release_held(engine, now=now)
    send_due_reports(engine, now=now)


def send_due_reports(engine: Engine, *, now: float) -> None:
    """Send a report to each balancer for which one is due.

    A report is due when the status has changed, when the last report is old, and after
    a shorter interval when the load has changed.
    """
    load = (engine.table.running_requests, len(engine.table.flows))
    status = (
        engine.upstream.state,
        upstream.is_cold(engine.upstream, now=now),
        engine.policies.digest,
        engine.stopping,
        outlier_detection.is_ejected(engine.outlier_detector, now=now),
        engine.policies.era,
    )
    is_status_changed = status != engine.last_reported_status
    engine.last_reported_status = status
    report: messages.Report | None = None
    for balancer, subscriber in engine.subscribers.items():
        elapsed = now - subscriber.last_report_at
        is_due = (
            is_status_changed
            or elapsed >= REPORT_INTERVAL_SECONDS
            or (
                load != subscriber.last_reported_load
                and elapsed >= _load_report_interval_seconds(engine, subscriber)
            )
        )
        if not is_due:
            continue
        report = report or _report(engine, now=now)
        subscriber.last_report_at, subscriber.last_reported_load = now, load
        engine.port.send_message(balancer, report)


def _load_report_interval_seconds(engine: Engine, subscriber: Subscriber) -> float:
    if engine.table.running_requests >= _slots(engine):
        return SATURATED_REPORT_INTERVAL_SECONDS
    return (
        LOAD_REPORT_INTERVAL_SECONDS
        if subscriber.is_local_domain
        else REPORT_INTERVAL_SECONDS
    )


def balancer_count(engine: Engine) -> int:
    """Return the number of balancers that receive reports."""
    return sum(not subscriber.is_relay for subscriber in engine.subscribers.values())


def _slots(engine: Engine) -> int:
    """Return the number of requests that the upstream runs concurrently."""
    newest = engine.upstream.newest
    return newest.slots if newest else DEFAULT_SLOTS


def _available_requests(engine: Engine, *, now: float) -> int:
    """Return how many more requests the upstream may get before it is full."""
    expected = flow_table.expected_requests(engine.table, now=now)
    return int(REQUESTS_PER_SLOT * _slots(engine)) - expected


def _available_requests_per_balancer(engine: Engine, *, now: float) -> int:
    room = max(_available_requests(engine, now=now), 0)
    if engine.table.running_requests < _slots(engine):
        return room
    # Each balancer may use its full allowance before the next report, so the
    # remaining capacity is divided among them, also those of other domains, which
    # get the report from relays.
    return math.ceil(room / max(len(engine.balancers_seen), 1))


def _report(engine: Engine, *, now: float) -> messages.Report:
    engine.report_number += 1
    identity = engine.identity
    return messages.Report(
        boot=identity.boot,
        number=engine.report_number,
        revision=engine.policies.revision,
        pool=identity.location.pool,
        domain=identity.location.domain,
        state=engine.upstream.state,
        data_port=identity.data_port,
        running=engine.table.running_requests,
        flows=len(engine.table.flows),
        slots=_slots(engine),
        room=_available_requests_per_balancer(engine, now=now),
        cold=upstream.is_cold(engine.upstream, now=now),
        complete=engine.table.complete,
        stopping=engine.stopping,
        digest=engine.policies.digest,
        suspect=outlier_detection.is_ejected(engine.outlier_detector, now=now),
        order=engine.policies.order,
        era=engine.policies.era,
        service_times=upstream_speed.service_times(engine.speed, now=now),
    )


def _cold_wait(engine: Engine, *, now: float) -> float:
    """Return the seconds until a cold upstream may get one more flow."""
    current = engine.policies.current
    if current is None or not upstream.is_cold(engine.upstream, now=now):
        return 0.0
    limits = current.pools.get(engine.identity.location.pool, policy.PoolLimits())
    return engine.slow_start_limiter.wait_seconds(limits, now=now)


def _handle_opening(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    engine.balancers_seen[packet.balancer] = now
    is_copy = packet.flow in engine.table.flows
    cold_wait = 0.0 if is_copy else _cold_wait(engine, now=now)
    refusal = admission.check_opening(
        packet,
        location=engine.identity.location,
        current=engine.policies.current,
        state=engine.upstream.state,
        cold_wait=cold_wait,
        is_full=not is_copy and _available_requests(engine, now=now) <= 0,
    )
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
    engine.port.deliver(packet)
    engine.log.count("delivered.opening")


def _log_request(
    engine: Engine, packet: packets.Packet, event: str, waited: float
) -> None:
    engine.log.write_limited(
        event,
        flow=packet.flow,
        waited=round(waited, 3),
        running=engine.table.running_requests,
        slots=_slots(engine),
        state=engine.upstream.state,
    )


def _deliver(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    if packet.closing or packet.aborting:
        waited = flow_table.request_wait_seconds(engine.table, packet.flow, now=now)
        if waited is not None:
            _log_request(engine, packet, "request given up by caller", waited)
        _end_held_request(engine, packet, now=now)
    objective_from = flow_table.record_inbound(engine.table, packet, now=now)
    if packet.size and _hold(engine, packet, objective_from, now=now):
        return
    engine.port.deliver(packet)
    _measure_delivered(engine, packet, now=now)
    engine.log.count("delivered")
    if packet.closing or packet.aborting:
        request_queue.discard(engine.request_queue, packet.flow, now=now)
        _release_held(engine, now=now)


def _hold(
    engine: Engine,
    packet: packets.Packet,
    objective_from: float | None,
    *,
    now: float,
) -> bool:
    """Hold a packet with data if its request has to wait; return whether it is held.

    ``objective_from`` is ``None`` if the packet starts no request.
    """
    queue = engine.request_queue
    if packet.flow in queue.held:
        if not request_queue.add_packet(queue, packet):
            engine.log.count("dropped.held_copy")
        _release_held(engine, now=now)
        return True
    if objective_from is None:
        return False
    current = engine.policies.current
    route = current.routes.get(packet.service) if current else None
    objective_seconds = route.objective_seconds if route else DEFAULT_OBJECTIVE_SECONDS
    if not request_queue.is_busy(queue) or not _may_hold(engine):
        request_queue.record_forwarded(
            queue, packet.flow, objective_seconds=objective_seconds, now=now
        )
        return False
    if not queue.held:
        engine.log.write_limited(
            "requests held", running=engine.table.running_requests, slots=queue.slots
        )
    request = request_queue.Request(
        flow=packet.flow,
        priority=route.priority if route else 0,
        objective_seconds=objective_seconds,
        objective_from=objective_from,
        arrived_at=now,
        packets=[packet],
        size=len(packet.data),
    )
    request_queue.hold(queue, request)
    engine.table.flows[packet.flow].is_request_queued = True
    _release_held(engine, now=now)
    return True


def _may_hold(engine: Engine) -> bool:
    """Return whether requests may be held for a busy upstream.

    Without a heartbeat the number of slots is not known.
    """
    return (
        engine.table.complete
        and not engine.stopping
        and engine.upstream.newest is not None
        and engine.upstream.state is messages.UpstreamState.READY
    )


def _release_held(engine: Engine, *, now: float) -> None:
    """Forward the held requests whose turn has come, or all if none may be held."""
    queue = engine.request_queue
    if not queue.held:
        return
    if not _may_hold(engine):
        engine.log.write(
            "held requests forwarded",
            count=len(queue.held),
            state=engine.upstream.state,
            stopping=engine.stopping,
        )
        for key in list(queue.held):
            _release_flow(engine, key, request_queue.Reason.UNSCHEDULED, now=now)
        return
    while (released := request_queue.next_release(queue, now=now)) is not None:
        _forward_request(engine, *released, now=now)


def _release_flow(
    engine: Engine, key: bytes, reason: request_queue.Reason, *, now: float
) -> None:
    request = request_queue.remove(engine.request_queue, key)
    if request is not None:
        _forward_request(engine, request, reason, now=now)


def _forward_request(
    engine: Engine,
    request: request_queue.Request,
    reason: request_queue.Reason,
    *,
    now: float,
) -> None:
    held_seconds = now - request.arrived_at
    flow = engine.table.flows.get(request.flow)
    if flow is not None:
        flow.is_request_queued = False
    request_queue.record_forwarded(
        engine.request_queue,
        request.flow,
        objective_seconds=request.objective_seconds,
        now=now,
    )
    for packet in request.packets:
        engine.port.deliver(packet)
        _measure_delivered(engine, packet, now=now)
    engine.log.count("delivered", len(request.packets))
    engine.log.count(f"released.{reason}")
    engine.log.observe(f"held_seconds_priority_{request.priority}", held_seconds)
    if now - request.objective_from > request.objective_seconds:
        engine.log.write_limited(
            "request released late",
            flow=request.flow,
            reason=reason,
            held_seconds=round(held_seconds, 3),
            priority=request.priority,
        )


def _end_held_request(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    """End the hold of a request whose flow is closed or reset by either end.

    The data before a FIN goes ahead of it; the data before a reset is not needed.
    """
    if not packet.aborting:
        reason = request_queue.Reason.FLOW_ENDED
        _release_flow(engine, packet.flow, reason, now=now)
        return
    request = request_queue.remove(engine.request_queue, packet.flow)
    if request is not None:
        engine.log.count("dropped.held", len(request.packets))
        engine.log.write_limited(
            "held request dropped",
            flow=packet.flow,
            held_seconds=round(now - request.arrived_at, 3),
            priority=request.priority,
        )


def _discard_evicted(engine: Engine, *, now: float) -> None:
    """Discard the requests of flows that the flow table has evicted."""
    queue, flows = engine.request_queue, engine.table.flows
    for key in [key for key in queue.held if key not in flows]:
        _release_flow(engine, key, request_queue.Reason.FLOW_ENDED, now=now)
    for key in list(queue.in_progress):
        flow = flows.get(key)
        if flow is None or flow.request_started_at is None:
            request_queue.discard(queue, key, now=now)
    _release_held(engine, now=now)


def _measure_delivered(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    """Start the measurement of a request that has been delivered to the upstream.

    To be called at the delivery, not at the arrival of the packet: the service time
    does not include a wait in this process.
    """
    if packet.closing or packet.aborting:
        upstream_speed.discard(engine.speed, packet.flow, now=now)
        return
    waited = flow_table.request_wait_seconds(engine.table, packet.flow, now=now)
    if not packet.size or waited is None:
        return
    upstream_speed.record_forwarded(
        engine.speed,
        packet.flow,
        slots=_slots(engine),
        is_cold=upstream.is_cold(engine.upstream, now=now),
        now=now,
    )


def _reply_not_held(engine: Engine, packet: packets.Packet) -> None:
    if packet.purpose is packets.Purpose.LOOKUP:
        _reply(engine, packet, messages.FlowNotHeld(flow=packet.flow))
        return
    _return_packet(engine, packet, messages.Refusal.NOT_HELD)


def _handle_returned(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    """Notify the balancer of a packet that the upstream returned."""
    # The upstream returns what is held for the flow, too.
    reason = request_queue.Reason.FLOW_ENDED
    _release_flow(engine, packet.flow, reason, now=now)
    flow_table.remove(engine.table, packet.flow)
    request_queue.discard(engine.request_queue, packet.flow, now=now)
    _release_held(engine, now=now)
    upstream_speed.discard(engine.speed, packet.flow, now=now)
    query = engine.pending_queries.pop(packet.flow, None)
    if query is not None:
        engine.port.send_message(query.balancer, messages.FlowNotHeld(flow=packet.flow))
        return
    refusal = messages.Refusal.DECLINED if packet.opening else messages.Refusal.NOT_HELD
    _return_packet(engine, packet, refusal)


def _return_packet(
    engine: Engine,
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


def _balancer_address(engine: Engine, packet: packets.Packet) -> _types.Address:
    host = socket.inet_ntoa(packet.balancer)
    return _types.Address(host, engine.identity.message_port)


def _reply(engine: Engine, packet: packets.Packet, message: messages.Message) -> None:
    engine.port.send_message(_balancer_address(engine, packet), message)


def _reset_all_flows(engine: Engine, *, reason: str) -> None:
    """Reset every open flow, as the incarnation that held them has ended."""
    dropped = request_queue.clear(engine.request_queue)
    if dropped:
        engine.log.count("dropped.held", dropped)
    open_flows = flow_table.remove_all(engine.table)
    upstream_speed.clear(engine.speed)
    for key, flow in open_flows:
        engine.port.reset(key, flow.caller_acknowledgement)
    if open_flows:
        engine.log.write("flows reset", count=len(open_flows), reason=reason)
