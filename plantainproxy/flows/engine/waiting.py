"""Queue of opening packets that no upstream can accept yet."""

import msgspec

from plantainproxy.flows import packets, policy

MAX_WAITING = 4_096
"""Capacity of the queue."""
MAX_WAIT_SECONDS = 1.3
"""Maximum time in the queue, counted from the caller's first opening packet. Below the
1.4 s after which the caller abandons the attempt."""
EXPIRING_SECONDS = 1.2
"""Age from which an opening is no longer deferred: its caller is about to abandon the
attempt, and one whose attempts are all abandoned gets no answer at all."""
RETRANSMISSION_AGES_SECONDS = (0.0, 0.2, 0.6)
"""When a caller sends the opening packet and its retransmissions, counted from the
first packet."""
ON_TIME_SHARE = 0.6
"""Share of the route's latency objective. An opening that has waited for longer is
likely to be answered too late."""


class Opening(msgspec.Struct):
    """A queued opening packet."""

    packet: packets.Packet
    first_sent_at: float
    """When the caller sent the first opening packet of the attempt."""
    was_refused: bool = False
    """Whether an upstream has refused it. Its placement is then a further one, which
    the budget of further placements limits."""


def first_sent_at(packet: packets.Packet, *, now: float) -> float:
    """Return when the caller sent the first packet of an opening received now.

    The acknowledgement number of an opening packet counts its retransmissions.
    """
    retransmission = min(packet.acknowledgement, len(RETRANSMISSION_AGES_SECONDS) - 1)
    age = RETRANSMISSION_AGES_SECONDS[retransmission]
    return now - max(age, packet.waited_seconds)


def is_deferrable(
    first_sent_at: float, objective_seconds: float, *, now: float
) -> bool:
    """Return whether an opening should leave room to those that can be on time.

    It is likely to be answered after its objective, and its caller still waits.
    """
    age = now - first_sent_at
    return ON_TIME_SHARE * objective_seconds < age < EXPIRING_SECONDS


class Queue:
    """Queued openings by flow."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.openings: dict[bytes, Opening] = {}

    def add(self, opening: Opening) -> bool:
        """Add an opening unless its flow has one; return False if there is no room."""
        if opening.packet.flow in self.openings:
            return True
        if len(self.openings) >= MAX_WAITING:
            return False
        self.openings[opening.packet.flow] = opening
        return True

    def evict_expired(self, *, now: float) -> int:
        """Remove openings whose callers are about to time out; return their number."""
        expired = [
            flow
            for flow, opening in self.openings.items()
            if now - opening.first_sent_at >= MAX_WAIT_SECONDS
        ]
        for flow in expired:
            del self.openings[flow]
        return len(expired)


def placement_order(
    queue: Queue, active_policy: policy.Policy, *, now: float
) -> list[Opening]:
    """Return the openings in the order of their placement.

    Sorted by priority. Within a priority, openings that can still be answered in time
    or expire soon come first, oldest first; then the others, newest first, as their
    callers have the most time left. Under overload a FIFO queue would answer every
    caller late.
    """

    def rank(opening: Opening) -> tuple[int, bool, float]:
        route = active_policy.routes.get(opening.packet.service)
        if route is None:
            return (0, False, opening.first_sent_at)
        is_deferred = is_deferrable(
            opening.first_sent_at, route.objective_seconds, now=now
        )
        return (
            route.priority,
            is_deferred,
            -opening.first_sent_at if is_deferred else opening.first_sent_at,
        )

    return sorted(queue.openings.values(), key=rank)
