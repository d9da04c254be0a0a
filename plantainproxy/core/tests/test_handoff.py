"""Decisions on opening packets of flows without a connection."""

import collections

import pytest

from plantainproxy import _members, _types
from plantainproxy.core import handoff
from plantainproxy.wire import tunnel

LOCAL_ADDRESS = _types.Address("127.0.0.1", 1)
ADDRESSES = [_types.Address("127.0.0.1", port) for port in range(1, 9)]
PACKED = [address.pack() for address in ADDRESSES]


def record(
    tunnel_address: _types.Address,
    state: _types.MemberState = _types.MemberState.SERVING,
    *,
    lost: bool = False,
) -> _members.MemberRecord:
    """Return the record of a sidecar."""
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=tunnel_address,
        domain="a",
        generation=1,
        sequence=1,
        state=state,
        tunnel=tunnel_address,
        lost=lost,
    )


PEERS = handoff.classify_peers(
    LOCAL_ADDRESS,
    [
        record(ADDRESSES[0]),
        record(ADDRESSES[1]),
        record(ADDRESSES[2], _types.MemberState.DRAINING),
        record(ADDRESSES[3], _types.MemberState.LEFT),
        record(ADDRESSES[4], lost=True),
    ],
)


def test_peers_are_classified_by_state() -> None:
    """Draining peers are reachable; left, lost and local ones are not."""
    assert PEERS.serving == (PACKED[1],)
    assert PEERS.reachable == {PACKED[1], PACKED[2]}


@pytest.mark.parametrize(
    ("hops", "owners", "serving", "allowed", "action", "target"),
    [
        (0, (), True, True, handoff.Action.ACCEPT, b""),
        (0, (), True, False, handoff.Action.FORWARD, PACKED[1]),
        (0, (), False, True, handoff.Action.FORWARD, PACKED[1]),
        (0, (PACKED[2],), True, True, handoff.Action.FORWARD, PACKED[2]),
        (0, (PACKED[4], PACKED[2]), True, True, handoff.Action.FORWARD, PACKED[2]),
        (0, (PACKED[4],), True, True, handoff.Action.ACCEPT, b""),
        (0, (PACKED[0],), True, True, handoff.Action.ACCEPT, b""),
        (tunnel.MAX_HOPS, (PACKED[2],), True, True, handoff.Action.ACCEPT, b""),
        (tunnel.MAX_HOPS, (), True, False, handoff.Action.DROP, b""),
        (tunnel.MAX_HOPS, (), False, True, handoff.Action.DROP, b""),
    ],
)
def test_an_opening_is_accepted_forwarded_or_dropped(
    hops: int,
    owners: tuple[bytes, ...],
    serving: bool,
    allowed: bool,
    action: handoff.Action,
    target: bytes,
) -> None:
    """The decision depends on hops, earlier owners, state and the connection limit."""
    decision = handoff.decide(
        handoff.Opening(flow_key=b"f" * 8, hops=hops, earlier_owners=owners),
        peers=PEERS,
        forward_cache=handoff.ForwardCache(),
        serving=serving,
        allow_connection=lambda: allowed,
        now=1.0,
    )
    assert (decision.action, decision.target) == (action, target)
    if action is handoff.Action.FORWARD:
        assert decision.hops == hops + 1


def test_an_opening_without_an_available_sibling_is_dropped() -> None:
    """A pool with a single sidecar has no target for an opening that it rejects."""
    decision = handoff.decide(
        handoff.Opening(flow_key=b"f" * 8, hops=0),
        peers=handoff.classify_peers(LOCAL_ADDRESS, [record(LOCAL_ADDRESS)]),
        forward_cache=handoff.ForwardCache(),
        serving=True,
        allow_connection=lambda: False,
        now=1.0,
    )
    assert decision.action is handoff.Action.DROP


def test_the_packets_of_one_opening_go_to_one_sibling() -> None:
    """A forwarded opening is not accepted locally until its cache entry expires."""
    forward_cache = handoff.ForwardCache()
    opening = handoff.Opening(flow_key=b"f" * 8, hops=0)
    allowed = [False]

    def decide(now: float) -> handoff.Decision:
        return handoff.decide(
            opening,
            peers=PEERS,
            forward_cache=forward_cache,
            serving=True,
            allow_connection=lambda: allowed[0],
            now=now,
        )

    first = decide(1.0)
    allowed[0] = True
    assert decide(2.0) == first
    after = decide(1.0 + handoff.FORWARD_CACHE_SECONDS)
    assert after.action is handoff.Action.ACCEPT


def test_the_forward_cache_is_bounded_and_expires() -> None:
    """Excess and expired entries are evicted."""
    forward_cache = handoff.ForwardCache()
    for index in range(handoff.FORWARD_CACHE_ENTRIES + 50):
        handoff._cache_target(forward_cache, index.to_bytes(8, "big"), PACKED[1], 1.0)
    assert len(forward_cache.targets) == handoff.FORWARD_CACHE_ENTRIES
    handoff._cache_target(forward_cache, b"later", PACKED[1], 100.0)
    assert list(forward_cache.targets) == [b"later"]


@pytest.mark.parametrize("count", range(2, 8))
def test_forwarding_is_even_and_a_second_hop_does_not_return(
    count: int,
) -> None:
    """Shares are even; with three or more members no flow returns after two hops."""
    addresses = ADDRESSES[:count]
    members = [record(address) for address in addresses]
    peers = {
        address.pack(): handoff.classify_peers(address, members)
        for address in addresses
    }
    shares: collections.Counter[bytes] = collections.Counter()
    for index in range(2000):
        flow_key = index.to_bytes(8, "big")
        for first in peers:
            second = handoff.pick_sibling(flow_key, peers[first])
            third = handoff.pick_sibling(flow_key, peers[second])
            assert second != first
            assert count == 2 or third != first
            shares[second] += 1
    assert max(shares.values()) <= 1.01 * min(shares.values())
