"""Decisions on opening packets of unknown flows."""

import collections

import pytest

from plantainproxy import _types
from plantainproxy.core import handoff
from plantainproxy.wire import tunnel

OWN = _types.Address("127.0.0.1", 1)
NAMES = [_types.Address("127.0.0.1", port) for port in range(1, 9)]
PACKED = [name.pack() for name in NAMES]


def record(
    tunnel_address: _types.Address,
    state: _types.MemberState = _types.MemberState.SERVING,
    *,
    lost: bool = False,
) -> _types.MemberRecord:
    """Make the record of a sidecar."""
    return _types.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=tunnel_address,
        domain="a",
        generation=1,
        sequence=1,
        state=state,
        tunnel=tunnel_address,
        lost=lost,
    )


PEERS = handoff.peers_of(
    OWN,
    [
        record(NAMES[0]),
        record(NAMES[1]),
        record(NAMES[2], _types.MemberState.DRAINING),
        record(NAMES[3], _types.MemberState.LEFT),
        record(NAMES[4], lost=True),
    ],
)


def test_peers_are_sorted_by_what_they_may_be_sent() -> None:
    """Draining peers are reachable; left and lost ones and oneself are not."""
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
    """The table of decisions."""
    decision = handoff.decide(
        handoff.Opening(flow_key=b"f" * 8, hops=hops, earlier_owners=owners),
        peers=PEERS,
        memory=handoff.Memory(),
        serving=serving,
        allow_line=lambda: allowed,
        now=1.0,
    )
    assert (decision.action, decision.target) == (action, target)
    if action is handoff.Action.FORWARD:
        assert decision.hops == hops + 1


def test_an_opening_with_no_sibling_to_take_it_is_dropped() -> None:
    """A single upstream that may not take a flow has nowhere to send it."""
    decision = handoff.decide(
        handoff.Opening(flow_key=b"f" * 8, hops=0),
        peers=handoff.peers_of(OWN, [record(OWN)]),
        memory=handoff.Memory(),
        serving=True,
        allow_line=lambda: False,
        now=1.0,
    )
    assert decision.action is handoff.Action.DROP


def test_the_packets_of_one_opening_keep_going_to_one_sibling() -> None:
    """A flow once handed over is not accepted here a moment later."""
    memory = handoff.Memory()
    opening = handoff.Opening(flow_key=b"f" * 8, hops=0)
    allowed = [False]

    def decide(now: float) -> handoff.Decision:
        return handoff.decide(
            opening,
            peers=PEERS,
            memory=memory,
            serving=True,
            allow_line=lambda: allowed[0],
            now=now,
        )

    first = decide(1.0)
    allowed[0] = True
    assert decide(2.0) == first
    after = decide(1.0 + handoff.MEMORY_SECONDS)
    assert after.action is handoff.Action.ACCEPT


def test_the_memory_is_bounded_and_forgets() -> None:
    """Neither a flood nor time makes it grow."""
    memory = handoff.Memory()
    for index in range(handoff.MEMORY_ENTRIES + 50):
        handoff._remember(memory, index.to_bytes(8, "big"), PACKED[1], 1.0)
    assert len(memory.targets) == handoff.MEMORY_ENTRIES
    handoff._remember(memory, b"later", PACKED[1], 100.0)
    assert list(memory.targets) == [b"later"]


@pytest.mark.parametrize("count", range(2, 8))
def test_hand_overs_spread_and_a_second_one_does_not_come_straight_back(
    count: int,
) -> None:
    """Siblings get even shares; with three or more members no flow ping-pongs."""
    names = NAMES[:count]
    members = [record(name) for name in names]
    peers = {name.pack(): handoff.peers_of(name, members) for name in names}
    shares: collections.Counter[bytes] = collections.Counter()
    for index in range(2000):
        flow_key = index.to_bytes(8, "big")
        for first in peers:
            second = handoff.sibling(flow_key, peers[first])
            third = handoff.sibling(flow_key, peers[second])
            assert second != first
            assert count == 2 or third != first
            shares[second] += 1
    assert max(shares.values()) <= 1.01 * min(shares.values())
