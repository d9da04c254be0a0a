"""The flows that one upstream holds, learned from the packets in both directions."""

from collections import abc

import msgspec

from plantainproxy.flows import packets

SEQUENCE_MASK = 0xFFFF_FFFF
HALF_RANGE = 0x8000_0000
FIRST_REQUEST_SECONDS = 0.05
"""A new flow sends its first request within this time, or it is taken as idle."""
LOST_REQUEST_SECONDS = 5.0
"""A request without an answer for this long no longer counts as in progress."""
ENDED_LINGER_SECONDS = 3.0
"""A closed flow is kept for its last retransmissions; two longest intervals."""


class Flow(msgspec.Struct):
    """One flow."""

    opened_at: float
    used_at: float
    upstream_sequence: int | None = None
    """First number of the upstream, once it has accepted the flow."""
    confirmed: bool = False
    """Whether the caller has chosen this upstream's acceptance."""
    caller_next: int | None = None
    """The number after the last byte that the caller sent."""
    caller_acknowledgement: int = 0
    """The caller's newest acknowledgement."""
    waiting_since: float | None = None
    """When the request in progress came; absent without one."""
    caller_closed: bool = False
    upstream_closed: bool = False

    @property
    def ended(self) -> bool:
        """Whether both ends have closed."""
        return self.caller_closed and self.upstream_closed


class Table:
    """All flows by key."""

    def __init__(self) -> None:
        """Start with none."""
        self.flows: dict[bytes, Flow] = {}
        self.running = 0
        """Requests that wait for the first byte of their answer."""
        self.unused: dict[bytes, float] = {}
        """Flows that have opened and sent no request yet, by the time of opening."""
        self.complete = False
        """Whether the table holds every flow of the upstream."""


def note_opening(table: Table, packet: packets.Packet, *, now: float) -> None:
    """Note an opening packet that the upstream gets."""
    if packet.flow not in table.flows:
        table.flows[packet.flow] = Flow(now, now)
        table.unused[packet.flow] = now


def is_held(table: Table, packet: packets.Packet) -> bool:
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


def waiting_seconds(table: Table, key: bytes, *, now: float) -> float | None:
    """Return how long a flow's request has waited; ``None`` when there is none."""
    flow = table.flows.get(key)
    if flow is None or flow.waiting_since is None:
        return None
    return now - flow.waiting_since


def note_inbound(table: Table, packet: packets.Packet, *, now: float) -> None:
    """Note a caller's packet that the upstream gets and that opens nothing."""
    flow = table.flows.get(packet.flow)
    if flow is None:
        flow = table.flows[packet.flow] = Flow(now, now)
    flow.confirmed = True
    flow.used_at = now
    flow.caller_acknowledgement = packet.acknowledgement
    if packet.closing or packet.aborting:
        flow.caller_closed = True
        # A caller that closes before the answer has given its request up.
        _stop_waiting(table, flow)
    if packet.aborting:
        flow.upstream_closed = True
    if not packet.size or flow.caller_closed:
        return
    end = (packet.sequence + packet.size) & SEQUENCE_MASK
    is_new = flow.caller_next is None or (
        0 < (end - flow.caller_next) & SEQUENCE_MASK < HALF_RANGE
    )
    if not is_new:
        return
    flow.caller_next = end
    table.unused.pop(packet.flow, None)
    if flow.waiting_since is None:
        flow.waiting_since = now
        table.running += 1


def note_outbound(table: Table, packet: packets.Packet, *, now: float) -> float | None:
    """Note an upstream's packet; return the seconds to an answer that it starts."""
    flow = table.flows.get(packet.flow)
    if flow is None:
        flow = table.flows[packet.flow] = Flow(now, now)
        flow.confirmed = not packet.accepting
    flow.used_at = now
    if packet.accepting:
        flow.upstream_sequence = packet.sequence
    if packet.closing or packet.aborting:
        flow.upstream_closed = True
    if packet.aborting:
        flow.caller_closed = True
    if not packet.size and not packet.aborting:
        return None
    waited = None if flow.waiting_since is None else now - flow.waiting_since
    _stop_waiting(table, flow)
    return waited


def expected_requests(table: Table, *, now: float) -> int:
    """Return the requests in progress and those that new flows are about to send."""
    for key, opened_at in list(table.unused.items()):
        if now - opened_at < FIRST_REQUEST_SECONDS:
            break
        del table.unused[key]
    return table.running + len(table.unused)


def drop(table: Table, key: bytes) -> None:
    """Forget one flow."""
    flow = table.flows.pop(key, None)
    table.unused.pop(key, None)
    if flow is not None:
        _stop_waiting(table, flow)


def drop_all(table: Table) -> list[tuple[bytes, Flow]]:
    """Forget every flow; return those that callers had open here.

    An opening that no caller has confirmed may have been accepted elsewhere since.
    """
    dropped = [
        (key, flow)
        for key, flow in table.flows.items()
        if flow.confirmed and not flow.ended
    ]
    table.flows.clear()
    table.unused.clear()
    table.running = 0
    return dropped


def sweep(table: Table, *, now: float, idle_seconds: float) -> None:
    """Forget flows that have ended or have been idle for long, and lost requests."""
    for flow in table.flows.values():
        if flow.waiting_since and now - flow.waiting_since >= LOST_REQUEST_SECONDS:
            _stop_waiting(table, flow)
    for key in list(_outlived(table, now=now, idle_seconds=idle_seconds)):
        drop(table, key)


def _outlived(table: Table, *, now: float, idle_seconds: float) -> abc.Iterator[bytes]:
    for key, flow in table.flows.items():
        idle = now - flow.used_at
        if idle >= idle_seconds or (flow.ended and idle >= ENDED_LINGER_SECONDS):
            yield key


def _stop_waiting(table: Table, flow: Flow) -> None:
    if flow.waiting_since is not None:
        flow.waiting_since = None
        table.running -= 1
