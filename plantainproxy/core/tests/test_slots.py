"""Tests of the slot table."""

import random

import hypothesis
from hypothesis import strategies
import numpy as np
import pytest

from plantainproxy import _types
from plantainproxy.core import slots

NEVER = -1e9


def member(number: int, weight: float = 1.0) -> slots.Member:
    """Make a member; equal numbers give equal members."""
    host = f"127.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return slots.Member(f"sidecar/{host}:7", _types.Address(host, 8), weight)


def members(count: int) -> list[slots.Member]:
    """Make members of equal weight."""
    return [member(number) for number in range(1, count + 1)]


def owner_keys(group: list[slots.Member]) -> list[str]:
    """Return the key of each slot's owner."""
    ordered, owners = slots.assign(group)
    return [ordered[number].key for number in owners]


GROUPS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 90), strategies.sampled_from((0.05, 0.3, 1.0))
    ),
    min_size=1,
    max_size=90,
    unique_by=lambda pair: pair[0],
)


@hypothesis.settings(derandomize=True, max_examples=25, deadline=None)
@hypothesis.given(GROUPS, strategies.integers())
def test_the_order_of_members_does_not_matter(
    group: list[tuple[int, float]], seed: int
) -> None:
    """The table is the same for any order of the members."""
    original = [member(*pair) for pair in group]
    shuffled = random.Random(seed).sample(original, len(original))
    assert owner_keys(original) == owner_keys(shuffled)


@hypothesis.settings(derandomize=True, max_examples=25, deadline=None)
@hypothesis.given(GROUPS)
def test_no_member_exceeds_its_share(group: list[tuple[int, float]]) -> None:
    """Every slot has an owner and no member exceeds its bound."""
    ordered, owners = slots.assign([member(*pair) for pair in group])
    counts = np.bincount(owners, minlength=len(ordered))
    total = sum(entry.weight for entry in ordered)
    for entry, count in zip(ordered, counts, strict=True):
        bound = slots.MAX_SHARE * len(owners) * entry.weight / total
        assert count < bound + 1


@pytest.mark.parametrize("count", [3, 7, 8, 16, 30, 64, 100, 1000])
def test_one_departure_moves_few_other_slots(count: int) -> None:
    """Few slots of the remaining members change their owner."""
    group = members(count)
    before, after = owner_keys(group), owner_keys(group[:-1])
    moved = sum(a != b for a, b in zip(before, after, strict=True))
    necessary = before.count(group[-1].key)
    assert moved - necessary <= len(before) * 0.015


def test_an_opening_packet_carries_recent_earlier_owners_only() -> None:
    """After the time limit only established packets carry earlier owners."""
    group = members(5)
    first = slots.replace(slots.empty(), group, now=0.0)
    second = slots.replace(first, group[:-1], now=100.0)
    departed = group[-1].tunnel
    slot = owner_keys(group).index(group[-1].key)
    late = 100.1 + slots.EARLIER_OWNER_SECONDS
    recent = slots.pick(second, slot, now=101.0)
    assert recent is not None
    assert recent.earlier_owners == (departed,)
    assert slots.pick(second, slot, now=late) == slots.Pick(recent.tunnel)
    assert slots.pick_established(second, slot) == recent


def test_an_owner_that_returns_is_no_earlier_owner_of_itself() -> None:
    """A slot that returns to its owner lists the interim owner as the earlier one."""
    group = members(5)
    slot = owner_keys(group).index(group[-1].key)
    table = slots.replace(slots.empty(), group, now=0.0)
    table = slots.replace(table, group[:-1], now=1.0)
    meanwhile = slots.pick_established(table, slot)
    assert meanwhile is not None
    table = slots.replace(table, group, now=2.0)
    expected = slots.Pick(group[-1].tunnel, (meanwhile.tunnel,))
    assert slots.pick_established(table, slot) == expected


def test_a_gone_member_is_no_earlier_owner() -> None:
    """Unreachable members are not listed as earlier owners."""
    group = members(5)
    table = slots.replace(slots.empty(), group, now=0.0)
    unreachable = frozenset((group[-1].tunnel,))
    table = slots.replace(table, group[:-1], now=1.0, unreachable=unreachable)
    for slot in range(table.mask + 1):
        pick = slots.pick(table, slot, now=1.0)
        assert pick is not None
        assert group[-1].tunnel not in pick.earlier_owners


def test_without_members_only_established_packets_find_an_owner() -> None:
    """The last owners stay for flows whose packets encode no destination."""
    table = slots.replace(slots.empty(), members(3), now=0.0)
    emptied = slots.replace(table, [], now=1.0)
    assert slots.pick(emptied, 5, now=1.0) is None
    assert slots.pick_established(emptied, 5) == slots.pick_established(table, 5)
    assert slots.pick_established(slots.empty(), 5) is None


def test_pools_without_history_share_its_arrays() -> None:
    """Thousands of small pools share arrays until a change, which saves memory."""
    first = slots.replace(slots.empty(), members(3), now=0.0)
    second = slots.replace(slots.empty(), members(4), now=0.0)
    assert (
        first.earlier_owners[0] is second.earlier_owners[0] is first.earlier_owners[1]
    )
    assert first.changed_at[0] is second.changed_at[0]
    changed = slots.replace(first, members(4), now=1.0)
    assert changed.earlier_owners[0] is not first.earlier_owners[0]


@pytest.mark.parametrize(("few", "many"), [(8, 9), (60, 70)])
def test_growing_past_a_table_size_keeps_earlier_owners(few: int, many: int) -> None:
    """The former owner stays listed after the number of slots changes."""
    small = slots.replace(slots.empty(), members(few), now=0.0)
    large = slots.replace(small, members(many), now=1.0)
    assert large.mask > small.mask
    for flow_hash in range(0, 1 << 20, 997):
        before = slots.pick_established(small, flow_hash)
        after = slots.pick_established(large, flow_hash)
        assert before is not None and after is not None
        assert before.tunnel in (after.tunnel, *after.earlier_owners)
