"""What a sidecar does with an opening packet of a flow that it does not know.

Two balancers with different views may send the packets of one opening to different
sidecars. A flow whose slot changed lately therefore goes to the slot's earlier owner
first. A sidecar that may not take a new flow hands it to a sibling. All this happens
before the sidecar keeps any state of a connection.
"""

import bisect
from collections import abc
import dataclasses
import enum

import xxhash

from plantainproxy import _types
from plantainproxy.wire import tunnel

MEMORY_SECONDS = 5.0
"""How long the packets of one opening keep going to the same sibling."""
MEMORY_ENTRIES = 10_000
"""Most openings that are remembered as handed over."""


class Action(enum.Enum):
    """What happens to the packet."""

    ACCEPT = enum.auto()
    """Open a connection here."""
    FORWARD = enum.auto()
    """Send it to the target."""
    DROP = enum.auto()
    """Do nothing; the caller repeats it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Opening:
    """An opening packet of an unknown flow."""

    flow_key: bytes
    """Identifies the flow; the same in every packet of one opening."""
    hops: int
    """How often sidecars have passed it on."""
    earlier_owners: tuple[bytes, ...] = ()
    """Packed tunnel addresses that owned the flow's slot before, newest first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peers:
    """The other sidecars of the pool, by packed tunnel address."""

    own: bytes
    reachable: frozenset[bytes] = frozenset()
    """Those that may hold connections."""
    serving: tuple[bytes, ...] = ()
    """Those that take new connections, in order."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """What to do, and for a forwarded packet where and with which prefix."""

    action: Action
    target: bytes = b""
    hops: int = 0
    earlier_owners: tuple[bytes, ...] = ()


class Memory:
    """The openings that were handed over lately."""

    def __init__(self) -> None:
        """Start empty."""
        self.targets: dict[bytes, tuple[bytes, float]] = {}
        """Target and expiry time by flow key, oldest first."""


def peers_of(own: _types.Address, records: abc.Iterable[_types.MemberRecord]) -> Peers:
    """Sort the members of a pool by what they may be sent."""
    packed_own = own.pack()
    alive = {
        record.tunnel.pack(): record.state
        for record in records
        if not record.lost and record.state is not _types.MemberState.LEFT
    }
    alive.pop(packed_own, None)
    serving = [
        tunnel_address
        for tunnel_address, state in alive.items()
        if state is _types.MemberState.SERVING
    ]
    return Peers(
        own=packed_own, reachable=frozenset(alive), serving=tuple(sorted(serving))
    )


def decide(
    opening: Opening,
    *,
    peers: Peers,
    memory: Memory,
    serving: bool,
    allow_line: abc.Callable[[], bool],
    now: float,
) -> Decision:
    """Decide on an opening packet; ``allow_line`` is asked at most once."""
    may_forward = opening.hops < tunnel.MAX_HOPS
    if may_forward:
        decision = _forward_known(opening, peers, memory, now)
        if decision is not None:
            return decision
    if serving and allow_line():
        return Decision(action=Action.ACCEPT)
    if not may_forward or not peers.serving:
        return Decision(action=Action.DROP)
    target = sibling(opening.flow_key, peers)
    _remember(memory, opening.flow_key, target, now)
    return _forward(opening, target)


def sibling(flow_key: bytes, peers: Peers) -> bytes:
    """Pick the sibling for a flow, at a cost that does not grow with the pool.

    Every member steps along the ring of members by the same distance, which the flow
    alone determines, so that a second hand-over does not lead straight back.
    """
    ring = peers.serving
    count = len(ring)
    distance = 1 + int(xxhash.xxh3_64_intdigest(flow_key)) % count
    if count > 1 and 2 * distance == count + 1:
        distance += 1
    position = bisect.bisect_left(ring, peers.own)
    return ring[(position + distance - 1) % count]


def _forward_known(
    opening: Opening, peers: Peers, memory: Memory, now: float
) -> Decision | None:
    target, expires_at = memory.targets.get(opening.flow_key, (b"", now))
    if expires_at > now and target in peers.reachable:
        return _forward(opening, target)
    for index, owner in enumerate(opening.earlier_owners):
        if owner in peers.reachable:
            rest = opening.earlier_owners[index + 1 :]
            return _forward(opening, owner, earlier_owners=rest)
    return None


def _forward(
    opening: Opening, target: bytes, *, earlier_owners: tuple[bytes, ...] = ()
) -> Decision:
    return Decision(
        action=Action.FORWARD,
        target=target,
        hops=opening.hops + 1,
        earlier_owners=earlier_owners,
    )


def _remember(memory: Memory, flow_key: bytes, target: bytes, now: float) -> None:
    targets = memory.targets
    targets.pop(flow_key, None)
    targets[flow_key] = (target, now + MEMORY_SECONDS)
    while targets:
        oldest = next(iter(targets))
        if len(targets) <= MEMORY_ENTRIES and targets[oldest][1] > now:
            return
        del targets[oldest]
