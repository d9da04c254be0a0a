"""Requests that a sidecar holds while its upstream is busy.

The order of their release is decided in ``request_queue``.
"""

from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import (
    flow_table,
    request_queue,
    sidecar_state,
    upstream,
    upstream_speed,
)

DEFAULT_OBJECTIVE_SECONDS = 1.0
"""Objective of requests on flows whose route has been removed."""


def hold(
    engine: sidecar_state.Engine,
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
        release_held(engine, now=now)
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
    release_held(engine, now=now)
    return True


def _may_hold(engine: sidecar_state.Engine) -> bool:
    """Return whether requests may be held for a busy upstream.

    Without a heartbeat the number of slots is not known.
    """
    return (
        engine.table.complete
        and not engine.stopping
        and engine.upstream.newest is not None
        and engine.upstream.state is messages.UpstreamState.READY
    )


def release_held(engine: sidecar_state.Engine, *, now: float) -> None:
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
            release_flow(engine, key, request_queue.Reason.UNSCHEDULED, now=now)
        return
    while (released := request_queue.next_release(queue, now=now)) is not None:
        _forward_request(engine, *released, now=now)


def release_flow(
    engine: sidecar_state.Engine,
    key: bytes,
    reason: request_queue.Reason,
    *,
    now: float,
) -> None:
    """Forward the held request of a flow, if there is one."""
    request = request_queue.remove(engine.request_queue, key)
    if request is not None:
        _forward_request(engine, request, reason, now=now)


def _forward_request(
    engine: sidecar_state.Engine,
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
        measure_delivered(engine, packet, now=now)
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


def end_held_request(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
    """End the hold of a request whose flow is closed or reset by either end.

    The data before a FIN goes ahead of it; the data before a reset is not needed.
    """
    if not packet.aborting:
        reason = request_queue.Reason.FLOW_ENDED
        release_flow(engine, packet.flow, reason, now=now)
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


def discard_evicted(engine: sidecar_state.Engine, *, now: float) -> None:
    """Discard the requests of flows that the flow table has evicted."""
    queue, flows = engine.request_queue, engine.table.flows
    for key in [key for key in queue.held if key not in flows]:
        release_flow(engine, key, request_queue.Reason.FLOW_ENDED, now=now)
    for key in list(queue.in_progress):
        flow = flows.get(key)
        if flow is None or flow.request_started_at is None:
            request_queue.discard(queue, key, now=now)
    release_held(engine, now=now)


def measure_delivered(
    engine: sidecar_state.Engine, packet: packets.Packet, *, now: float
) -> None:
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
        slots=sidecar_state.slots(engine),
        is_cold=upstream.is_cold(engine.upstream, now=now),
        now=now,
    )
