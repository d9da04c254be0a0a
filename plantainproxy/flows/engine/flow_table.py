"""Table of the flows that one upstream holds, built from packets in both directions."""

from collections import abc

import msgspec

from plantainproxy.flows import packets
from plantainproxy.flows.engine import waiting

SEQUENCE_MASK = 0xFFFF_FFFF
HALF_RANGE = 0x8000_0000
FIRST_REQUEST_TIMEOUT_SECONDS = 0.05
"""A new flow counts as an expected request for this long; a flow that has sent no
request by then is treated as idle."""
OPENING_COUNTS_SECONDS = 0.25
"""The objective of a flow's first request counts from the flow's opening if the request
arrives within this time, which covers one retransmission after 200 ms. A flow without
a request for longer was opened ahead, and the objective counts from the arrival."""
LOST_REQUEST_TIMEOUT_SECONDS = 5.0
"""A request without a response for this long no longer counts as in progress."""
CLOSED_FLOW_RETENTION_SECONDS = 3.0
"""A closed flow is kept for its last retransmissions: twice the longest interval
between retransmissions."""


class Flow(msgspec.Struct):
    """State of one flow between a caller and the upstream."""

    opened_at: float
    last_packet_at: float
    opening_sequence: int | None = None
    """Sequence number of the opening packet; ``None`` if it is not known."""
    first_sent_at: float | None = None
    """When the caller sent the first opening packet; ``None`` if it is not known."""
    upstream_sequence: int | None = None
    """The upstream's initial sequence number; ``None`` until it accepts the flow."""
    confirmed: bool = False
    """Whether the caller has acknowledged this upstream's acceptance."""
    caller_next: int | None = None
    """Sequence number after the last byte that the caller sent."""
    caller_acknowledgement: int = 0
    """The caller's newest acknowledgement number."""
    request_started_at: float | None = None
    """Arrival time of the request in progress; ``None`` without one."""
    is_request_queued: bool = False
    """Whether the sidecar's queue holds the request, so that the upstream cannot answer
    it yet."""
    caller_closed: bool = False
    upstream_closed: bool = False
    is_inherited: bool = False
    """Whether only the snapshot of an earlier process shows the flow: no packet of it
    has passed this process."""

    @property
    def is_closed(self) -> bool:
        """Whether both ends have closed."""
        return self.caller_closed and self.upstream_closed

    @property
    def is_open(self) -> bool:
        """Whether the caller has confirmed the flow and it is not closed.

        Another upstream may have accepted a flow that is not confirmed.
        """
        return self.confirmed and not self.is_closed


class FlowTable:
    """The flows of the upstream by key, and the requests in progress on them."""

    def __init__(self) -> None:
        """Create an empty table that is not complete."""
        self.flows: dict[bytes, Flow] = {}
        self.running_requests = 0
        """Requests that wait for the first byte of their response, also while the
        sidecar's queue holds them."""
        self.awaiting_first_request: dict[bytes, float] = {}
        """Opening times of new flows that have sent no request yet, by key."""
        self.complete = False
        """Whether the table contains every flow of the upstream."""
        self.observed_since = float("-inf")
        """Start of the time in which the process has received packets without a
        pause."""
        self.observed_until = float("-inf")


def record_opening(table: FlowTable, packet: packets.Packet, *, now: float) -> None:
    """Record an opening packet that is delivered to the upstream."""
    flow = table.flows.get(packet.flow)
    if flow is not None:
        flow.is_inherited = False
        return
    sent_at = waiting.first_sent_at(packet, now=now)
    table.flows[packet.flow] = Flow(
        now, now, first_sent_at=sent_at, opening_sequence=packet.sequence
    )
    table.awaiting_first_request[packet.flow] = now


def is_held(table: FlowTable, packet: packets.Packet) -> bool:
    """Return whether a caller's packet belongs to a flow that the upstream holds.

    Several upstreams may accept copies of one opening packet. The caller's first
    acknowledgement identifies the acceptance that the caller chose. An upstream sends
    no data before it receives this acknowledgement, whose number is therefore exactly
    the upstream's initial sequence number plus one.
    """
    flow = table.flows.get(packet.flow)
    if flow is None:
        return False
    if flow.confirmed:
        return True
    if flow.upstream_sequence is None:
        return False
    return packet.acknowledgement == (flow.upstream_sequence + 1) & SEQUENCE_MASK


def is_late_copy(table: FlowTable, packet: packets.Packet) -> bool:
    """Return whether an opening packet is a copy of the one that opened a flow.

    A first opening, and another sequence number, are of a new flow from the same port.
    """
    flow = table.flows.get(packet.flow)
    return (
        flow is not None
        and flow.is_open
        and packet.is_opening_copy
        and flow.opening_sequence == packet.sequence
    )


def request_wait_seconds(table: FlowTable, key: bytes, *, now: float) -> float | None:
    """Return how long a flow's request has been in progress; ``None`` without one."""
    flow = table.flows.get(key)
    if flow is None or flow.request_started_at is None:
        return None
    return now - flow.request_started_at


def record_inbound(
    table: FlowTable, packet: packets.Packet, *, now: float
) -> float | None:
    """Record a caller's packet, other than an opening, for the upstream.

    Returns the time from which the objective of a request counts, if the packet starts
    a request.
    """
    flow = table.flows.get(packet.flow)
    if flow is None:
        flow = table.flows[packet.flow] = Flow(now, now)
    flow.confirmed = True
    flow.is_inherited = False
    flow.last_packet_at = now
    flow.caller_acknowledgement = packet.acknowledgement
    if packet.closing or packet.aborting:
        flow.caller_closed = True
        # A caller that closes before the response has abandoned its request.
        _end_request(table, flow)
    if packet.aborting:
        flow.upstream_closed = True
    if not packet.size or flow.caller_closed:
        return None
    payload_end = (packet.sequence + packet.size) & SEQUENCE_MASK
    is_new = flow.caller_next is None or (
        0 < (payload_end - flow.caller_next) & SEQUENCE_MASK < HALF_RANGE
    )
    if not is_new:
        return None
    is_first = flow.caller_next is None
    flow.caller_next = payload_end
    table.awaiting_first_request.pop(packet.flow, None)
    if flow.request_started_at is not None:
        return None
    flow.request_started_at = now
    table.running_requests += 1
    counts_from_opening = is_first and now - flow.opened_at < OPENING_COUNTS_SECONDS
    if not counts_from_opening:
        return now
    return flow.opened_at if flow.first_sent_at is None else flow.first_sent_at


def record_outbound(
    table: FlowTable, packet: packets.Packet, *, now: float
) -> float | None:
    """Record a packet of the upstream.

    Returns the seconds from the request to the response, if the packet is the first
    of a response or resets a flow with a request in progress.
    """
    flow = table.flows.get(packet.flow)
    if flow is None:
        flow = table.flows[packet.flow] = Flow(now, now)
        flow.confirmed = not packet.accepting
    flow.is_inherited = False
    flow.last_packet_at = now
    if packet.accepting:
        flow.upstream_sequence = packet.sequence
    if packet.closing or packet.aborting:
        flow.upstream_closed = True
    if packet.aborting:
        flow.caller_closed = True
    if not packet.size and not packet.aborting:
        return None
    if flow.is_request_queued and not packet.aborting:
        # The packet belongs to an earlier response.
        return None
    wait_seconds = (
        None if flow.request_started_at is None else now - flow.request_started_at
    )
    _end_request(table, flow)
    return wait_seconds


def expected_requests(table: FlowTable, *, now: float) -> int:
    """Return the number of requests in progress and of new flows expected to send one.

    New flows are in order of their opening, so the first that is recent enough ends
    the search for expired ones.
    """
    for key, opened_at in list(table.awaiting_first_request.items()):
        if now - opened_at < FIRST_REQUEST_TIMEOUT_SECONDS:
            break
        del table.awaiting_first_request[key]
    return table.running_requests + len(table.awaiting_first_request)


def remove(table: FlowTable, key: bytes) -> None:
    """Remove one flow and its request in progress, if any."""
    flow = table.flows.pop(key, None)
    table.awaiting_first_request.pop(key, None)
    if flow is not None:
        _end_request(table, flow)


def remove_all(table: FlowTable) -> list[tuple[bytes, Flow]]:
    """Remove every flow; return the open ones, which are to be reset."""
    open_flows = [(key, flow) for key, flow in table.flows.items() if flow.is_open]
    table.flows.clear()
    table.awaiting_first_request.clear()
    table.running_requests = 0
    return open_flows


def remove_inherited(table: FlowTable) -> list[tuple[bytes, Flow]]:
    """Remove the inherited flows; return the open ones, which are to be reset."""
    inherited = [(key, flow) for key, flow in table.flows.items() if flow.is_inherited]
    for key, _ in inherited:
        remove(table, key)
    return [(key, flow) for key, flow in inherited if flow.is_open]


def evict_expired(table: FlowTable, *, now: float, idle_seconds: float) -> None:
    """Evict closed and idle flows, and end requests that got no response in time."""
    for flow in table.flows.values():
        if (
            flow.request_started_at
            and not flow.is_request_queued
            and now - flow.request_started_at >= LOST_REQUEST_TIMEOUT_SECONDS
        ):
            _end_request(table, flow)
    for key in list(_expired_keys(table, now=now, idle_seconds=idle_seconds)):
        remove(table, key)


def _expired_keys(
    table: FlowTable, *, now: float, idle_seconds: float
) -> abc.Iterator[bytes]:
    for key, flow in table.flows.items():
        idle_for_seconds = now - flow.last_packet_at
        if idle_for_seconds >= idle_seconds or (
            flow.is_closed and idle_for_seconds >= CLOSED_FLOW_RETENTION_SECONDS
        ):
            yield key


def _end_request(table: FlowTable, flow: Flow) -> None:
    if flow.request_started_at is not None:
        flow.request_started_at = None
        flow.is_request_queued = False
        table.running_requests -= 1
