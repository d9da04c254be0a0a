"""Decides how a sidecar handles an opening packet of a flow without a connection.

Two balancers with different views may send the packets of one opening to different
sidecars. A flow whose slot changed recently is therefore first forwarded to the
slot's earlier owner. A sidecar that may not accept a new flow forwards it to a
sibling. All this happens before the sidecar stores any state of a connection.
"""

import bisect
from collections import abc
import dataclasses
import enum

import xxhash

from plantainproxy import _members, _types
from plantainproxy.wire import tunnel

FORWARD_CACHE_SECONDS = 5.0
"""How long the packets of one opening are forwarded to the same sibling."""
FORWARD_CACHE_ENTRIES = 10_000
"""Maximum number of forwarded openings in the cache."""


class Action(enum.Enum):
    """What to do with an opening packet."""

    ACCEPT = enum.auto()
    """Open a connection in this sidecar."""
    FORWARD = enum.auto()
    """Send the packet to the target."""
    DROP = enum.auto()
    """Discard the packet; the caller retransmits it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Opening:
    """Opening packet of a flow that has no connection in this sidecar."""

    flow_key: bytes
    """Identifies the flow; equal in every packet of one opening."""
    hops: int
    """Number of times that sidecars have forwarded the packet."""
    earlier_owners: tuple[bytes, ...] = ()
    """Packed tunnel addresses of previous owners of the flow's slot, newest first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peers:
    """This sidecar and the others of its pool, by packed tunnel address."""

    local_address: bytes
    reachable: frozenset[bytes] = frozenset()
    """Other sidecars that may have connections."""
    serving: tuple[bytes, ...] = ()
    """Other sidecars that accept new connections, sorted."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Action, and the target and prefix fields of a forwarded packet."""

    action: Action
    target: bytes = b""
    hops: int = 0
    earlier_owners: tuple[bytes, ...] = ()


class ForwardCache:
    """Targets of the openings that were forwarded recently."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self.targets: dict[bytes, tuple[bytes, float]] = {}
        """Target and expiry time by flow key, oldest first."""


def classify_peers(
    local_address: _types.Address, records: abc.Iterable[_members.MemberRecord]
) -> Peers:
    """Return the live members of a pool, classified by state."""
    packed_local_address = local_address.pack()
    states = {
        record.tunnel.pack(): record.state
        for record in records
        if not record.lost and record.state is not _types.MemberState.LEFT
    }
    states.pop(packed_local_address, None)
    serving = [
        tunnel_address
        for tunnel_address, state in states.items()
        if state is _types.MemberState.SERVING
    ]
    return Peers(
        local_address=packed_local_address,
        reachable=frozenset(states),
        serving=tuple(sorted(serving)),
    )


def decide(
    opening: Opening,
    *,
    peers: Peers,
    forward_cache: ForwardCache,
    serving: bool,
    allow_connection: abc.Callable[[], bool],
    now: float,
) -> Decision:
    """Decide on an opening packet; call ``allow_connection`` at most once."""
    may_forward = opening.hops < tunnel.MAX_HOPS
    if may_forward:
        decision = _forward_to_existing_owner(opening, peers, forward_cache, now)
        if decision is not None:
            return decision
    if serving and allow_connection():
        return Decision(action=Action.ACCEPT)
    if not may_forward or not peers.serving:
        return Decision(action=Action.DROP)
    target = pick_sibling(opening.flow_key, peers)
    _cache_target(forward_cache, opening.flow_key, target, now)
    return _forward(opening, target)


def pick_sibling(flow_key: bytes, peers: Peers) -> bytes:
    """Select the sibling for a flow without scoring every member of the pool.

    Every member advances along the ring of members by the same distance, which depends
    only on the flow, so that a second hop does not return to the first member.
    """
    ring = peers.serving
    count = len(ring)
    distance = 1 + int(xxhash.xxh3_64_intdigest(flow_key)) % count
    if count > 1 and 2 * distance == count + 1:
        distance += 1
    position = bisect.bisect_left(ring, peers.local_address)
    return ring[(position + distance - 1) % count]


def _forward_to_existing_owner(
    opening: Opening, peers: Peers, forward_cache: ForwardCache, now: float
) -> Decision | None:
    target, expires_at = forward_cache.targets.get(opening.flow_key, (b"", now))
    if expires_at > now and target in peers.reachable:
        return _forward(opening, target)
    for index, owner in enumerate(opening.earlier_owners):
        if owner in peers.reachable:
            later_owners = opening.earlier_owners[index + 1 :]
            return _forward(opening, owner, earlier_owners=later_owners)
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


def _cache_target(
    forward_cache: ForwardCache, flow_key: bytes, target: bytes, now: float
) -> None:
    targets = forward_cache.targets
    targets.pop(flow_key, None)
    targets[flow_key] = (target, now + FORWARD_CACHE_SECONDS)
    while targets:
        oldest = next(iter(targets))
        if len(targets) <= FORWARD_CACHE_ENTRIES and targets[oldest][1] > now:
            return
        del targets[oldest]
