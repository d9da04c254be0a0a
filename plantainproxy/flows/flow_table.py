"""The flows that one upstream holds, learned from the packets in both directions."""

from collections import abc

import msgspec

from plantainproxy.flows import packets

SEQUENCE_MASK = 0xFFFF_FFFF
HALF_RANGE = 0x8000_0000
FIRST_REQUEST_TIMEOUT_SECONDS = 0.05
"""A new flow sends its first request within this time, or it is taken as idle."""
LOST_REQUEST_TIMEOUT_SECONDS = 5.0
"""A request without an answer for this long no longer counts as in progress."""
CLOSED_FLOW_RETENTION_SECONDS = 3.0
"""A closed flow is kept for its last retransmissions; two longest intervals."""


class Flow(msgspec.Struct):
    """One flow."""

    opened_at: float
    last_packet_at: float
    upstream_sequence: int | None = None
    """First number of the upstream, once it has accepted the flow."""
    confirmed: bool = False
    """Whether the caller has chosen this upstream's acceptance."""
    caller_next: int | None = None
    """The number after the last byte that the caller sent."""
    caller_acknowledgement: int = 0
    """The caller's newest acknowledgement."""
    request_started_at: float | None = None
    """When the request in progress came; absent without one."""
    caller_closed: bool = False
    upstream_closed: bool = False

    @property
    def is_closed(self) -> bool:
        """Whether both ends have closed."""
        return self.caller_closed and self.upstream_closed


class FlowTable:
    """All flows by key."""

    def __init__(self) -> None:
        """Start with none."""
        self.flows: dict[bytes, Flow] = {}
        self.running_requests = 0
        """Requests that wait for the first byte of their answer."""
        self.awaiting_first_request: dict[bytes, float] = {}
        """Flows that have opened and sent no request yet, by the time of opening."""
        self.complete = False
        """Whether the table holds every flow of the upstream."""


def record_opening(table: FlowTable, packet: packets.Packet, *, now: float) -> None:
    """Note an opening packet that the upstream gets."""
    if packet.flow not in table.flows:
        table.flows[packet.flow] = Flow(now, now)
        table.awaiting_first_request[packet.flow] = now


def is_held(table: FlowTable, packet: packets.Packet) -> bool:
    """Return whether a caller's packet belongs to a flow that is held here.

    Copies of an opening packet may be accepted by several upstreams; the caller's
    first acknowledgement tells whose acceptance it took. An upstream sends nothing
    before that, so the acknowledgement is exactly the number after its first.
    """
    flow = table.flows.get(packet.flow)
    if flow is None:
        return False
    if flow.confirmed:
        return True
    if flow.upstream_sequence is None:
        return False
    return packet.acknowledgement == (flow.upstream_sequence + 1) & SEQUENCE_MASK


def request_wait_seconds(table: FlowTable, key: bytes, *, now: float) -> float | None:
    """Return how long a flow's request has waited; ``None`` when there is none."""
    flow = table.flows.get(key)
    if flow is None or flow.request_started_at is None:
        return None
    return now - flow.request_started_at


def record_inbound(table: FlowTable, packet: packets.Packet, *, now: float) -> None:
    """Note a caller's packet that the upstream gets and that opens nothing."""
    flow = table.flows.get(packet.flow)
    if flow is None:
        flow = table.flows[packet.flow] = Flow(now, now)
    flow.confirmed = True
    flow.last_packet_at = now
    flow.caller_acknowledgement = packet.acknowledgement
    if packet.closing or packet.aborting:
        flow.caller_closed = True
        # A caller that closes before the answer has given its request up.
        _end_request(table, flow)
    if packet.aborting:
        flow.upstream_closed = True
    if not packet.size or flow.caller_closed:
        return
    payload_end = (packet.sequence + packet.size) & SEQUENCE_MASK
    is_new = flow.caller_next is None or (
        0 < (payload_end - flow.caller_next) & SEQUENCE_MASK < HALF_RANGE
    )
    if not is_new:
        return
    flow.caller_next = payload_end
    table.awaiting_first_request.pop(packet.flow, None)
    if flow.request_started_at is None:
        flow.request_started_at = now
        table.running_requests += 1


def record_outbound(table: FlowTable, packet: packets.Packet, *, now: float) -> float | None:
    """Note an upstream's packet; return the seconds to an answer that it starts."""
    flow = table.flows.get(packet.flow)
    if flow is None:
        flow = table.flows[packet.flow] = Flow(now, now)
        flow.confirmed = not packet.accepting
    flow.last_packet_at = now
    if packet.accepting:
        flow.upstream_sequence = packet.sequence
    if packet.closing or packet.aborting:
        flow.upstream_closed = True
    if packet.aborting:
        flow.caller_closed = True
    if not packet.size and not packet.aborting:
        return None
    wait_seconds = None if flow.request_started_at is None else now - flow.request_started_at
    _end_request(table, flow)
    return wait_seconds


def expected_requests(table: FlowTable, *, now: float) -> int:
    """Return the requests in progress and those that new flows are about to send."""
    for key, opened_at in list(table.awaiting_first_request.items()):
        if now - opened_at < FIRST_REQUEST_TIMEOUT_SECONDS:
            break
        del table.awaiting_first_request[key]
    return table.running_requests + len(table.awaiting_first_request)


def remove(table: FlowTable, key: bytes) -> None:
    """Forget one flow."""
    flow = table.flows.pop(key, None)
    table.awaiting_first_request.pop(key, None)
    if flow is not None:
        _end_request(table, flow)


def remove_all(table: FlowTable) -> list[tuple[bytes, Flow]]:
    """Forget every flow; return those that callers had open here.

    An opening that no caller has confirmed may have been accepted elsewhere since.
    """
    open_flows = [
        (key, flow)
        for key, flow in table.flows.items()
        if flow.confirmed and not flow.is_closed
    ]
    table.flows.clear()
    table.awaiting_first_request.clear()
    table.running_requests = 0
    return open_flows


def evict_expired(table: FlowTable, *, now: float, idle_seconds: float) -> None:
    """Forget flows that have ended or have been idle for long, and lost requests."""
    for flow in table.flows.values():
        if flow.request_started_at and now - flow.request_started_at >= LOST_REQUEST_TIMEOUT_SECONDS:
            _end_request(table, flow)
    for key in list(_expired_keys(table, now=now, idle_seconds=idle_seconds)):
        remove(table, key)


def _expired_keys(table: FlowTable, *, now: float, idle_seconds: float) -> abc.Iterator[bytes]:
    for key, flow in table.flows.items():
        idle_for_seconds = now - flow.last_packet_at
        if idle_for_seconds >= idle_seconds or (flow.is_closed and idle_for_seconds >= CLOSED_FLOW_RETENTION_SECONDS):
            yield key


def _end_request(table: FlowTable, flow: Flow) -> None:
    if flow.request_started_at is not None:
        flow.request_started_at = None
        table.running_requests -= 1
