"""Slot table that distributes the new flows of a pool over its upstreams.

The table depends only on the members and their weights, so balancers with equal views
choose the same upstreams without coordination. A change of members moves few slots of
other members.
See ``docs/design/slots.md``.
"""

from collections import abc
import dataclasses
import functools
import math
import typing

import numpy as np
import numpy.typing as npt
import xxhash

from plantainproxy import _types

EARLIER_OWNERS = 2
"""How many earlier owners are stored per slot."""
EARLIER_OWNER_SECONDS = 5.0
"""How long opening packets are forwarded with an earlier owner's address."""
MAX_SHARE = 1.05
"""Maximum number of slots of a member, relative to its weighted share."""

_SMALLEST_POSITION_BITS = 8
_POSITION_BITS_STEP = 3
_POSITIONS_PER_MEMBER = 4
_SLOTS_PER_POSITION = 8
_SMALLEST_SLOTS = 1024
_SMALLEST_SLOTS_MAX_MEMBERS = 8
"""Maximum number of members for which the smallest number of slots is used."""
_ROUNDS_PER_POSITION = 40
_NO_OWNER = -1

_NUMBER_TYPES = (np.dtype(np.int8), np.dtype(np.int16), np.dtype(np.int32))
"""Index types for a table's addresses, smallest first."""

_Owners = npt.NDArray[np.signedinteger[typing.Any]]
_Times = npt.NDArray[np.float32]
_Hashes = npt.NDArray[np.uint64]


class Member(typing.NamedTuple):
    """One eligible upstream of a pool."""

    key: str
    """Identifies the member; the same in every process."""
    tunnel: _types.Address
    weight: float = 1.0
    """Relative share of new flows, in (0, 1]."""


class Pick(typing.NamedTuple):
    """Current and earlier owners of one slot."""

    tunnel: _types.Address
    """Tunnel address of the current owner."""
    earlier_owners: tuple[_types.Address, ...] = ()
    """Tunnel addresses of the earlier owners, newest first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """Immutable slot table of one pool."""

    mask: int
    """One less than the number of slots."""
    members: tuple[Member, ...]
    """The eligible members, ordered by key."""
    tunnels: tuple[_types.Address, ...]
    """Every address that the arrays refer to by index."""
    picks: tuple[Pick, ...]
    """The pick for each address, precomputed for slots without earlier owners."""
    owners: _Owners
    earlier_owners: tuple[_Owners, ...]
    """Earlier owners of each slot, newest first."""
    changed_at: tuple[_Times, ...]
    """When each earlier owner lost the slot."""
    owner_view: memoryview
    """View of ``owners`` for fast access to a single slot."""
    changed_at_view: memoryview
    """View of the newest change times for fast access to a single slot."""


def assign(members: abc.Iterable[Member]) -> tuple[tuple[Member, ...], _Owners]:
    """Return the members ordered by key and each slot's owner as an index into them."""
    ordered = tuple(sorted(members))
    if not ordered:
        return ordered, np.full(_SMALLEST_SLOTS, _NO_OWNER, dtype=np.int32)
    position_bits = _position_bits(len(ordered))
    slot_count = _SMALLEST_SLOTS
    if len(ordered) > _SMALLEST_SLOTS_MAX_MEMBERS:
        slot_count = _SLOTS_PER_POSITION << position_bits
    weights = np.array([member.weight for member in ordered])
    capacity = np.ceil(MAX_SHARE * slot_count * weights / weights.sum()).astype(
        np.int64
    )
    owners = np.full(slot_count, _NO_OWNER, dtype=np.int32)
    if position_bits == _SMALLEST_POSITION_BITS:
        _assign_by_rendezvous(owners, ordered, weights, capacity)
        return ordered, owners
    occupants = _place_members(ordered, 1 << position_bits)
    _assign_by_probing(owners, occupants, _acceptance(weights), capacity)
    _assign_remaining(owners, capacity)
    return ordered, owners


@functools.cache
def empty() -> Table:
    """Return the table of a pool that has never had members."""
    unowned = _unowned_slots(_SMALLEST_SLOTS)
    never_changed = _never_changed(_SMALLEST_SLOTS)
    return _table(
        (), (), unowned, (unowned,) * EARLIER_OWNERS, (never_changed,) * EARLIER_OWNERS
    )


@functools.cache
def _unowned_slots(slot_count: int) -> _Owners:
    """Return a read-only owner array without owners, shared by tables of that size."""
    owners = np.full(slot_count, _NO_OWNER, dtype=np.int8)
    owners.flags.writeable = False
    return owners


@functools.cache
def _never_changed(slot_count: int) -> _Times:
    """Return a read-only array of change times, all infinitely long ago."""
    times = np.full(slot_count, -math.inf, dtype=np.float32)
    times.flags.writeable = False
    return times


def replace(
    table: Table,
    members: abc.Sequence[Member],
    *,
    now: float,
    unreachable: frozenset[_types.Address] = frozenset(),
) -> Table:
    """Return the table for new members, with the earlier owners of changed slots.

    Addresses in ``unreachable`` are removed from the earlier owners. Without members
    the last owners stay, for flows whose packets do not encode their destination.
    """
    ordered, owners = assign(members)
    if not ordered:
        return dataclasses.replace(table, members=())
    old_owners, old_earlier_owners, old_changed_at = _resized(table, len(owners))
    tunnels = list(table.tunnels)
    numbers = {tunnel: number for number, tunnel in enumerate(tunnels)}
    for member in ordered:
        if member.tunnel not in numbers:
            numbers[member.tunnel] = len(tunnels)
            tunnels.append(member.tunnel)
    lookup = np.array([numbers[member.tunnel] for member in ordered], dtype=np.int32)
    owners = lookup[owners]
    earlier_owners, changed_at = _shift_history(
        owners, old_owners, old_earlier_owners, old_changed_at, now
    )
    unreachable_numbers = np.array(
        [numbers[tunnel] for tunnel in unreachable if tunnel in numbers], dtype=np.int32
    )
    _remove_unreachable(earlier_owners, changed_at, unreachable_numbers)
    return _compacted(ordered, tunnels, owners, earlier_owners, changed_at)


def pick(table: Table, flow_hash: int, *, now: float) -> Pick | None:
    """Return the owner for an opening packet and the recent earlier owners."""
    if not table.members:
        return None
    slot = flow_hash & table.mask
    owner = table.picks[table.owner_view[slot]]
    since = now - EARLIER_OWNER_SECONDS
    if table.changed_at_view[slot] < since:
        return owner
    return Pick(owner.tunnel, _earlier_owners(table, slot, since))


def pick_established(table: Table, flow_hash: int) -> Pick | None:
    """Return the owners for an established packet that encodes no destination."""
    slot = flow_hash & table.mask
    number = table.owner_view[slot]
    if number == _NO_OWNER:
        return None
    return Pick(table.tunnels[number], _earlier_owners(table, slot, -math.inf))


def _earlier_owners(
    table: Table, slot: int, since: float
) -> tuple[_types.Address, ...]:
    return tuple(
        table.tunnels[numbers[slot]]
        for numbers, changed_at in zip(
            table.earlier_owners, table.changed_at, strict=True
        )
        if numbers[slot] != _NO_OWNER and changed_at[slot] >= since
    )


def _position_bits(member_count: int) -> int:
    """Return the size of the position table in bits; coarse steps change it rarely."""
    bits = _SMALLEST_POSITION_BITS
    while _POSITIONS_PER_MEMBER * member_count > 1 << bits:
        bits += _POSITION_BITS_STEP
    return bits


def _member_hashes(members: abc.Sequence[Member]) -> list[int]:
    return [xxhash.xxh3_64_intdigest(member.key.encode()) for member in members]


def _assign_by_rendezvous(
    owners: _Owners,
    members: abc.Sequence[Member],
    weights: npt.NDArray[np.float64],
    capacity: npt.NDArray[np.int64],
) -> None:
    """Assign the slots of a small pool by weighted rendezvous hashing."""
    free = np.arange(len(owners))
    seeds = _mix(free.astype(np.uint64) + np.uint64(0x9E3779B97F4A7C15))
    hashes = np.array(_member_hashes(members), dtype=np.uint64)
    draws = (_mix(seeds[None, :] ^ hashes[:, None]) >> np.uint64(11)) + np.uint64(1)
    costs = -np.log(draws / 2.0**53) / weights[:, None]
    preferences = np.argsort(costs, axis=0, kind="stable")
    for candidates in preferences:
        taken = _within_capacity(np.arange(len(free)), candidates[free], capacity)
        owners[free[taken]] = candidates[free[taken]]
        free = np.delete(free, taken)
        if not len(free):
            return


def _place_members(members: abc.Sequence[Member], position_count: int) -> _Owners:
    """Place members in positions by linear probing in hash order.

    The result does not depend on the order of the members.
    """
    hashes = _member_hashes(members)
    order = sorted(range(len(members)), key=lambda number: (hashes[number], number))
    shift = 64 - (position_count.bit_length() - 1)
    occupants = np.full(position_count, _NO_OWNER, dtype=np.int32)
    for number in order:
        position = hashes[number] >> shift
        while occupants[position] != _NO_OWNER:
            position = (position + 1) % position_count
        occupants[position] = number
    return occupants


def _acceptance(weights: npt.NDArray[np.float64]) -> npt.NDArray[np.uint64]:
    """Scale weights by a power of two, so one member's change rarely affects others."""
    scale = 2.0 ** math.ceil(math.log2(float(weights.max())))
    return (weights / scale * 2.0**32).astype(np.uint64)


def _mix(values: _Hashes) -> _Hashes:
    """Hash 64-bit values with the finalizer of SplitMix64."""
    values = (values ^ (values >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    values = (values ^ (values >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return values ^ (values >> np.uint64(31))


def _assign_by_probing(
    owners: _Owners,
    occupants: _Owners,
    acceptance: npt.NDArray[np.uint64],
    capacity: npt.NDArray[np.int64],
) -> None:
    """Probe one position per free slot in each round.

    After the last round few slots are free.
    """
    position_mask = np.uint64(len(occupants) - 1)
    free = np.arange(len(owners), dtype=np.uint64)
    seeds = _mix(free + np.uint64(0x9E3779B97F4A7C15))
    mean_acceptance = float(acceptance.sum()) / 2.0**32
    rounds = math.ceil(_ROUNDS_PER_POSITION * len(occupants) / mean_acceptance)
    for number in range(rounds):
        if not len(free):
            return
        draws = _mix(seeds + np.uint64(number * 0xD1342543DE82EF95 & (1 << 64) - 1))
        candidates = occupants[draws & position_mask]
        wanted = candidates != _NO_OWNER
        wanted[wanted] = (draws[wanted] >> np.uint64(32)) < acceptance[
            candidates[wanted]
        ]
        taken = _within_capacity(np.flatnonzero(wanted), candidates, capacity)
        owners[free[taken]] = candidates[taken]
        keep = np.ones(len(free), dtype=bool)
        keep[taken] = False
        free, seeds = free[keep], seeds[keep]


def _within_capacity(
    wanted: npt.NDArray[np.intp], candidates: _Owners, capacity: npt.NDArray[np.int64]
) -> npt.NDArray[np.intp]:
    """Accept slots up to each candidate's capacity, lowest first, and reduce it."""
    owners = candidates[wanted]
    counts = np.bincount(owners, minlength=len(capacity))
    if (counts > capacity).any():
        order = np.argsort(owners, kind="stable")
        first = np.concatenate(([0], np.cumsum(counts)[:-1]))
        ranks = np.arange(len(owners)) - first[owners[order]]
        fits = ranks < capacity[owners[order]]
        wanted = wanted[order[fits]]
        counts = np.minimum(counts, capacity)
    capacity -= counts
    return wanted


def _assign_remaining(owners: _Owners, capacity: npt.NDArray[np.int64]) -> None:
    """Assign the remaining free slots to members with spare capacity."""
    free = np.flatnonzero(owners == _NO_OWNER)
    room = np.repeat(np.arange(len(capacity), dtype=np.int32), capacity)
    spread = np.linspace(0, len(room), num=len(free), endpoint=False).astype(np.int64)
    owners[free] = room[spread]


def _resized(
    table: Table, slot_count: int
) -> tuple[_Owners, tuple[_Owners, ...], tuple[_Times, ...]]:
    """Map the old arrays to the new slots; a flow's low hash bits are its slot."""
    old = np.arange(slot_count) & table.mask
    return (
        table.owners[old],
        tuple(numbers[old] for numbers in table.earlier_owners),
        tuple(times[old] for times in table.changed_at),
    )


def _shift_history(
    owners: _Owners,
    old_owners: _Owners,
    old_earlier_owners: tuple[_Owners, ...],
    old_changed_at: tuple[_Times, ...],
    now: float,
) -> tuple[tuple[_Owners, ...], tuple[_Times, ...]]:
    """Prepend the old owner of each changed slot to its earlier owners."""
    moved = (owners != old_owners) & (old_owners != _NO_OWNER)
    first = np.where(moved, old_owners, old_earlier_owners[0])
    first_changed_at = np.where(moved, np.float32(now), old_changed_at[0])
    returned = moved & (owners == old_earlier_owners[0])
    pushed = moved & ~returned
    second = np.where(pushed, old_earlier_owners[0], old_earlier_owners[1])
    second_changed_at = np.where(pushed, old_changed_at[0], old_changed_at[1])
    second[second == owners] = _NO_OWNER
    return (first, second), (first_changed_at, second_changed_at)


def _remove_unreachable(
    earlier_owners: tuple[_Owners, ...],
    changed_at: tuple[_Times, ...],
    unreachable: _Owners,
) -> None:
    """Remove unreachable earlier owners and close the gaps."""
    first, second = earlier_owners
    second[np.isin(second, unreachable)] = _NO_OWNER
    empty_first = np.isin(first, unreachable) | (first == _NO_OWNER)
    first[empty_first] = second[empty_first]
    second[empty_first] = _NO_OWNER
    changed_at[0][empty_first] = changed_at[1][empty_first]
    changed_at[0][first == _NO_OWNER] = -math.inf


def _compacted(
    members: tuple[Member, ...],
    tunnels: abc.Sequence[_types.Address],
    owners: _Owners,
    earlier_owners: tuple[_Owners, ...],
    changed_at: tuple[_Times, ...],
) -> Table:
    """Build the table without the addresses that no slot refers to."""
    present = np.zeros(len(tunnels) + 1, dtype=bool)
    for numbers in (owners, *earlier_owners):
        present[numbers] = True
    present[_NO_OWNER] = False
    used = np.flatnonzero(present)
    number_type = next(
        number_type
        for number_type in _NUMBER_TYPES
        if len(used) <= np.iinfo(number_type).max
    )
    lookup: _Owners = np.full(len(tunnels) + 1, _NO_OWNER, dtype=number_type)
    lookup[used] = np.arange(len(used), dtype=number_type)
    history = tuple(
        _share_if_empty(lookup[numbers], times)
        for numbers, times in zip(earlier_owners, changed_at, strict=True)
    )
    return _table(
        members,
        tuple(tunnels[number] for number in used.tolist()),
        lookup[owners],
        tuple(numbers for numbers, _ in history),
        tuple(times for _, times in history),
    )


def _share_if_empty(numbers: _Owners, times: _Times) -> tuple[_Owners, _Times]:
    """Replace arrays without any earlier owner by the shared read-only ones."""
    if (numbers != _NO_OWNER).any():
        return numbers, times
    return _unowned_slots(len(numbers)), _never_changed(len(numbers))


def _table(
    members: tuple[Member, ...],
    tunnels: tuple[_types.Address, ...],
    owners: _Owners,
    earlier_owners: tuple[_Owners, ...],
    changed_at: tuple[_Times, ...],
) -> Table:
    return Table(
        mask=len(owners) - 1,
        members=members,
        tunnels=tunnels,
        picks=tuple(Pick(tunnel) for tunnel in tunnels),
        owners=owners,
        earlier_owners=earlier_owners,
        changed_at=changed_at,
        owner_view=memoryview(owners.data),
        changed_at_view=memoryview(changed_at[0].data),
    )
