"""Opening packets that wait until an upstream may take them."""

import msgspec

from plantainproxy.flows import packets, policy

MAX_WAITING = 4_096
"""Opening packets that wait at the same time."""
MAX_WAIT_SECONDS = 1.2
"""A caller gives an attempt up 1.4 s after its opening packet."""
RETRANSMISSION_AGES_SECONDS = (0.0, 0.2, 0.6)
"""When a caller sends its opening packet and the copies, after the first."""
ON_TIME_SHARE = 0.6
"""An opening that has waited for more than this share of its route's objective is
likely to be answered late."""


class Opening(msgspec.Struct):
    """One opening packet."""

    packet: packets.Packet
    first_sent_at: float
    """When the caller sent the first copy."""


def first_sent_at(packet: packets.Packet, *, now: float) -> float:
    """Return when the caller sent the first copy of an opening that came just now."""
    retransmission = min(packet.acknowledgement, len(RETRANSMISSION_AGES_SECONDS) - 1)
    return now - RETRANSMISSION_AGES_SECONDS[retransmission]


class Queue:
    """Waiting openings by flow."""

    def __init__(self) -> None:
        """Start with none."""
        self.openings: dict[bytes, Opening] = {}

    def add(self, opening: Opening) -> bool:
        """Let an opening wait; return whether there is room."""
        if opening.packet.flow in self.openings:
            return True
        if len(self.openings) >= MAX_WAITING:
            return False
        self.openings[opening.packet.flow] = opening
        return True

    def evict_expired(self, *, now: float) -> int:
        """Drop the openings whose callers are about to give up; return how many."""
        expired = [
            flow
            for flow, opening in self.openings.items()
            if now - opening.first_sent_at >= MAX_WAIT_SECONDS
        ]
        for flow in expired:
            del self.openings[flow]
        return len(expired)


def placement_order(
    queue: Queue, current: policy.Policy, *, now: float
) -> list[Opening]:
    """Return the openings in the order in which they are to be placed.

    By priority; then those that can still be answered in time, the oldest first; then
    the others, the youngest first, as its caller has the most time left. Under overload
    a plain queue would answer everyone late.
    """

    def rank(opening: Opening) -> tuple[int, bool, float]:
        route = current.routes.get(opening.packet.service)
        if route is None:
            return (0, False, opening.first_sent_at)
        is_late = now - opening.first_sent_at > ON_TIME_SHARE * route.objective_seconds
        return (
            route.priority,
            is_late,
            -opening.first_sent_at if is_late else opening.first_sent_at,
        )

    return sorted(queue.openings.values(), key=rank)
