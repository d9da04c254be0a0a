"""Opening packets that wait until an upstream may take them."""

import msgspec

from plantainproxy import _types
from plantainproxy.flows import packets

MAX_WAITING = 4_096
"""Opening packets that wait at the same time."""
MAX_WAIT_SECONDS = 1.2
"""A caller gives an attempt up 1.4 s after its opening packet."""


class Opening(msgspec.Struct, kw_only=True):
    """One opening packet."""

    packet: packets.Packet
    since: float
    priority: int
    """0 goes first."""
    refused_by: frozenset[_types.Address] = frozenset()


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

    def drop_late(self, *, now: float) -> int:
        """Drop the openings whose callers are about to give up; return how many."""
        late = [
            flow
            for flow, opening in self.openings.items()
            if now - opening.since >= MAX_WAIT_SECONDS
        ]
        for flow in late:
            del self.openings[flow]
        return len(late)

    def in_order(self) -> list[Opening]:
        """Return the openings by priority and age."""
        return sorted(self.openings.values(), key=lambda one: (one.priority, one.since))
