"""Selection of homes by rendezvous hashing."""

import pytest

from plantainproxy import _types
from plantainproxy.core import homes

ADDRESSES = [_types.Address("127.0.0.1", 7000 + index) for index in range(40)]
KEYS = [f"sidecar/127.0.0.2:{index}" for index in range(400)]


@pytest.mark.parametrize("count", [0, 1, 3, 40, 50])
def test_picks_are_distinct_and_independent_of_order(count: int) -> None:
    """Every order of the same candidates yields the same distinct homes."""
    forward = homes.candidates(ADDRESSES)
    backward = homes.candidates(ADDRESSES[::-1] + ADDRESSES[:3])
    for key in KEYS:
        picked = homes.pick(forward, key, count)
        assert picked == homes.pick(backward, key, count)
        assert len(set(picked)) == len(picked) == min(count, len(ADDRESSES))


def test_no_candidates_give_no_homes() -> None:
    """An empty set of candidates yields no homes and no error."""
    assert homes.pick(homes.candidates(()), "key", 3) == ()


def test_a_lost_candidate_moves_only_its_own_keys() -> None:
    """Keys that did not have the lost candidate keep all their homes."""
    before = homes.candidates(ADDRESSES)
    after = homes.candidates(ADDRESSES[1:])
    moved = 0
    for key in KEYS:
        old, new = homes.pick(before, key, 3), homes.pick(after, key, 3)
        kept = tuple(home for home in old if home != ADDRESSES[0])
        assert new[: len(kept)] == kept
        moved += len(kept) < 3
    assert 0 < moved < 2 * len(KEYS) * 3 / len(ADDRESSES)
