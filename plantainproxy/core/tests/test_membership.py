"""Membership table, failure detection and refutation."""

import dataclasses
import itertools
import random
import typing

import hypothesis
from hypothesis import stateful, strategies
import pytest

from plantainproxy import _members, _types
from plantainproxy.core import membership

SERVING, DRAINING, LEFT = (
    _types.MemberState.SERVING,
    _types.MemberState.DRAINING,
    _types.MemberState.LEFT,
)
INTERVAL_SECONDS = 1.0
LOST_TIMEOUT_SECONDS = INTERVAL_SECONDS * membership.MISSED_HEARTBEATS


def sidecar(
    number: int = 1,
    *,
    generation: int = 10,
    sequence: int = 1,
    state: _types.MemberState = SERVING,
    pool: str = "p",
    lost: bool = False,
) -> _members.MemberRecord:
    """Return a sidecar record."""
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=_types.Address("127.0.0.1", number),
        domain="d",
        generation=generation,
        sequence=sequence,
        state=state,
        pool=pool,
        lost=lost,
    )


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        (sidecar(sequence=1), sidecar(sequence=2)),
        (sidecar(sequence=9), sidecar(generation=11, sequence=1)),
        (sidecar(), sidecar(lost=True)),
        (sidecar(lost=True), sidecar(sequence=2)),
        (sidecar(sequence=2, state=LEFT), sidecar(generation=11)),
        (sidecar(sequence=1, lost=True), sidecar(sequence=2, state=LEFT)),
    ],
)
def test_an_older_record_never_replaces_a_newer_one(
    older: _members.MemberRecord, newer: _members.MemberRecord
) -> None:
    """The newer record is kept in both orders and returned for the outdated sender."""
    table = membership.Table()
    assert membership.merge(table, (older,), now=0).changed == (older,)
    assert membership.merge(table, (newer,), now=0).changed == (newer,)
    repeated = membership.merge(table, (older,), now=0)
    assert (repeated.changed, repeated.newer) == ((), (newer,))
    assert table.records == {newer.key: newer}


@pytest.mark.parametrize(
    "field",
    [
        {"generation": -1},
        {"sequence": membership.MAX_VERSION},
        {"weight": 0.0},
        {"weight": float("nan")},
        {"weight": 1.5},
        {"pool": "x" * 256},
    ],
)
def test_a_record_out_of_bounds_is_ignored(field: dict[str, typing.Any]) -> None:
    """An invalid record leaves the table unchanged."""
    table = membership.Table()
    record = dataclasses.replace(sidecar(), **field)
    merged = membership.merge(table, (record,), now=0)
    assert (merged.changed, merged.newer, table.records) == ((), (), {})


def test_a_pool_change_moves_the_record() -> None:
    """A member that announces another pool is removed from the first one."""
    table = membership.Table()
    membership.merge(table, (sidecar(pool="a"),), now=0)
    moved = sidecar(pool="b", sequence=2)
    membership.merge(table, (moved,), now=0)
    assert membership.pool_records(table, "a") == ()
    assert membership.pool_records(table, "b") == (moved,)


@pytest.mark.parametrize(
    "received", [sidecar(sequence=5, lost=True), sidecar(generation=99, sequence=7)]
)
def test_an_owner_refutes_a_record_of_higher_precedence(
    received: _members.MemberRecord,
) -> None:
    """The refutation has a higher precedence than the received record."""
    refutation = membership.refute(sidecar(sequence=5), received)
    assert refutation is not None
    assert membership.precedence(refutation) > membership.precedence(received)
    assert not refutation.lost
    assert membership.refute(refutation, received) is None


@pytest.mark.parametrize("ended", [sidecar(lost=True), sidecar(state=LEFT)])
def test_evicted_records_are_not_restored_by_older_versions(
    ended: _members.MemberRecord,
) -> None:
    """After eviction, only a higher sequence or generation is accepted."""
    table = membership.Table()
    membership.merge(table, (ended,), now=0)
    assert (
        membership.evict_expired_records(
            table, now=membership.ENDED_RECORD_RETENTION_SECONDS - 1
        )
        == ()
    )
    assert membership.evict_expired_records(
        table, now=membership.ENDED_RECORD_RETENTION_SECONDS
    ) == (ended,)
    assert not table.records
    assert not table.pools
    now = membership.ENDED_RECORD_RETENTION_SECONDS + 1
    for old in (sidecar(), sidecar(sequence=0), sidecar(generation=9, sequence=50)):
        merged = membership.merge(table, (old,), now=now)
        assert merged.changed == ()
        assert membership.has_ended(merged.newer[0])
        assert membership.precedence(merged.newer[0]) > membership.precedence(old)
    revived = sidecar(sequence=2)
    assert membership.merge(table, (revived,), now=now).changed == (revived,)


def test_version_floors_expire() -> None:
    """Version floors are evicted after their retention period."""
    table = membership.Table()
    membership.merge(table, (sidecar(lost=True),), now=0)
    membership.evict_expired_records(
        table, now=membership.ENDED_RECORD_RETENTION_SECONDS
    )
    assert table.version_floors
    membership.evict_expired_records(
        table,
        now=membership.ENDED_RECORD_RETENTION_SECONDS
        + membership.VERSION_FLOOR_RETENTION_SECONDS,
    )
    assert not table.version_floors


def fresh_digests(records: dict[str, _members.MemberRecord]) -> list[int]:
    """Compute the digests of records in a new table."""
    table = membership.Table()
    membership.merge(table, records.values(), now=0)
    return table.digests


def test_digests_are_incremental_and_ignore_ended_records() -> None:
    """Digests after many changes equal those computed from the final records."""
    rng = random.Random(5)
    table = membership.Table()
    for step in range(2_000):
        record = sidecar(
            rng.randrange(300),
            generation=rng.randrange(3),
            sequence=rng.randrange(9),
            state=rng.choice([SERVING, DRAINING, LEFT]),
            lost=rng.random() < 0.2,
        )
        membership.merge(table, (record,), now=step)
        membership.evict_expired_records(table, now=step)
    live = {
        key: record
        for key, record in table.records.items()
        if not membership.has_ended(record)
    }
    assert table.digests == fresh_digests(table.records) == fresh_digests(live)


@pytest.mark.parametrize("packed", [b"", b"x", bytes(1023), bytes(1025)])
def test_malformed_digests_and_summaries_are_tolerated(packed: bytes) -> None:
    """Malformed packs raise no error; digests of a wrong size yield no buckets."""
    table = membership.Table()
    membership.merge(table, (sidecar(),), now=0)
    assert membership.differing_buckets(table, packed) == ()
    membership.compare_summaries(table, packed[:300], packed)
    membership.wanted_records(table, packed)


def monitored_members(
    count: int,
) -> tuple[membership.FailureDetector, membership.Table]:
    """Return a detector with heartbeats of some members at time 0, and their table."""
    detector, table = (
        membership.FailureDetector(interval_seconds=INTERVAL_SECONDS),
        membership.Table(),
    )
    records = [sidecar(number) for number in range(count)]
    membership.merge(table, records, now=0)
    for record in records:
        membership.record_heartbeat(detector, record.key, now=0)
    return detector, table


def advance(
    detector: membership.FailureDetector,
    table: membership.Table,
    *,
    until: float,
    alive: range = range(0),
    is_connected: bool = True,
    start: float = 0,
) -> list[_members.MemberRecord]:
    """Check once per interval, after heartbeats of the members in ``alive``."""
    lost: list[_members.MemberRecord] = []
    now = start
    while now < until:
        now += INTERVAL_SECONDS
        for number in alive:
            membership.record_heartbeat(detector, sidecar(number).key, now=now)
        lost += membership.mark_lost(
            detector,
            table,
            now=now,
            is_connected=is_connected,
            is_home=lambda key: True,
        )
    return lost


def test_a_silent_member_is_marked_lost_once_after_its_timeout() -> None:
    """Three missed heartbeats mark a member lost without a change of version."""
    detector, table = monitored_members(5)
    assert advance(detector, table, until=LOST_TIMEOUT_SECONDS, alive=range(1, 5)) == []
    lost = advance(
        detector,
        table,
        until=LOST_TIMEOUT_SECONDS * 5,
        alive=range(1, 5),
        start=LOST_TIMEOUT_SECONDS,
    )
    assert lost == [sidecar(0, lost=True)]


@pytest.mark.parametrize(
    ("count", "alive", "expected"),
    [(8, 3, 0), (8, 4, 4), (2, 0, 0), (1, 0, 1), (3, 1, 0), (3, 2, 1)],
)
def test_no_member_is_marked_lost_while_most_are_silent(
    count: int, alive: int, expected: int
) -> None:
    """No member is marked lost if more than half, and at least two, are silent."""
    detector, table = monitored_members(count)
    lost = advance(detector, table, until=LOST_TIMEOUT_SECONDS + 2, alive=range(alive))
    assert len(lost) == expected
    assert (detector.majority_silent_since is not None) is (expected == 0)


@pytest.mark.parametrize(("is_connected", "expected"), [(True, 6), (False, 0)])
def test_majority_silence_expires_only_while_connected(
    is_connected: bool, expected: int
) -> None:
    """After the limit, only a connected observer marks the silent members lost."""
    detector, table = monitored_members(8)
    until = LOST_TIMEOUT_SECONDS + membership.MAJORITY_SILENT_LIMIT_SECONDS + 2
    lost = advance(
        detector, table, until=until, alive=range(2), is_connected=is_connected
    )
    assert len(lost) == expected


def test_a_paused_observer_marks_no_member_lost() -> None:
    """Time in which the observer was paused does not count towards the timeouts."""
    detector, table = monitored_members(1)
    assert advance(detector, table, until=2) == []
    assert advance(detector, table, start=60, until=61) == []
    assert len(advance(detector, table, start=61, until=61 + LOST_TIMEOUT_SECONDS)) == 1


def test_a_paused_member_refutes_its_lost_mark() -> None:
    """The member refutes the mark after a heartbeat, and its record is live again."""
    detector, table = monitored_members(5)
    lost = advance(detector, table, until=LOST_TIMEOUT_SECONDS + 1, alive=range(1, 5))
    membership.merge(table, lost, now=LOST_TIMEOUT_SECONDS + 1)
    stored_record = membership.merge(
        table, (sidecar(0),), now=LOST_TIMEOUT_SECONDS + 2
    ).newer[0]
    refutation = membership.refute(sidecar(0), stored_record)
    assert refutation is not None
    merged = membership.merge(table, (refutation,), now=LOST_TIMEOUT_SECONDS + 3)
    assert merged.changed == (refutation,)
    assert not membership.has_ended(table.records[refutation.key])


def test_each_refutation_lengthens_the_timeout() -> None:
    """The timeout doubles at each refutation by a member that reaches only others."""
    detector, table = monitored_members(5)
    marked_at = []
    record = sidecar(0)
    now = 0.0
    while now < 100:
        now += INTERVAL_SECONDS
        lost = advance(detector, table, start=now - 1, until=now, alive=range(1, 5))
        if lost:
            marked_at.append(now)
            membership.merge(table, lost, now=now)
            record = dataclasses.replace(record, sequence=record.sequence + 1)
            membership.merge(table, (record,), now=now)
            membership.handle_record(detector, record, now=now)
    gaps = [after - before for before, after in itertools.pairwise(marked_at)]
    assert gaps == sorted(gaps)
    assert len(marked_at) <= 6


def test_many_members_get_a_longer_heartbeat_interval() -> None:
    """The heartbeat rate stays bounded, and the timeout grows with the interval."""
    detector, table = monitored_members(60)
    interval = membership.target_heartbeat_interval(detector, table, home_count=3)
    assert interval == 60 / membership.MAX_HEARTBEATS_PER_SECOND
    key = sidecar(0).key
    membership.record_heartbeat(detector, key, now=0, interval_seconds=interval)
    until = interval * membership.MISSED_HEARTBEATS
    assert not advance(detector, table, until=until, alive=range(1, 60))
    lost = advance(detector, table, start=until, until=until + 1, alive=range(1, 60))
    assert lost == [sidecar(0, lost=True)]


def test_the_interval_is_bounded_by_the_share_of_all_members() -> None:
    """Members that report only while they look for homes do not lengthen it."""
    detector, table = monitored_members(60)
    balancers = [
        dataclasses.replace(sidecar(number), kind=_types.MemberKind.BALANCER, pool="")
        for number in range(6)
    ]
    membership.merge(table, balancers, now=0)
    interval = membership.target_heartbeat_interval(detector, table, home_count=3)
    assert interval == 60 * 3 / 6 / membership.MAX_HEARTBEATS_PER_SECOND


def test_a_member_with_other_homes_is_no_longer_monitored() -> None:
    """A silent member that moved to other homes is not marked lost."""
    detector, table = monitored_members(5)
    lost = membership.mark_lost(
        detector,
        table,
        now=LOST_TIMEOUT_SECONDS + 1,
        is_connected=True,
        is_home=lambda key: False,
    )
    assert (lost, detector.members) == ((), {})


RECORDS = strategies.builds(
    sidecar,
    strategies.integers(0, 6),
    generation=strategies.integers(0, 2),
    sequence=strategies.integers(0, 3),
    state=strategies.sampled_from([SERVING, DRAINING, LEFT]),
    pool=strategies.sampled_from(["a", "b"]),
    lost=strategies.booleans(),
)


class Convergence(stateful.RuleBasedStateMachine):
    """Several tables merge the same records in any order and grouping."""

    def __init__(self) -> None:
        """Create empty tables."""
        super().__init__()
        self.tables = [membership.Table() for _ in range(3)]
        self.received: list[_members.MemberRecord] = []

    @stateful.rule(records=strategies.lists(RECORDS, max_size=6), at=strategies.data())
    def receive(
        self, records: list[_members.MemberRecord], at: strategies.DataObject
    ) -> None:
        """Merge some records into one table."""
        number = at.draw(strategies.integers(0, 2))
        membership.merge(self.tables[number], records, now=0)
        self.received += records

    @stateful.rule(
        from_table=strategies.integers(0, 2), to_table=strategies.integers(0, 2)
    )
    def exchange(self, from_table: int, to_table: int) -> None:
        """Merge all records of one table into another."""
        records = list(self.tables[from_table].records.values())
        membership.merge(self.tables[to_table], records, now=0)

    @stateful.invariant()
    def pools_hold_the_records_of_the_table(self) -> None:
        """Check that the index by pool matches the table after every merge."""
        for table in self.tables:
            for key, record in table.records.items():
                assert table.pools[record.pool][key] == record

    def teardown(self) -> None:
        """Check that all tables are equal after exchanges between all pairs."""
        expected: dict[str, _members.MemberRecord] = {}
        for record in self.received:
            known = expected.get(record.key)
            if known is None or membership.precedence(record) > membership.precedence(
                known
            ):
                expected[record.key] = record
        for _ in range(2):
            for target in self.tables:
                for source in self.tables:
                    membership.merge(target, source.records.values(), now=0)
        for table in self.tables:
            assert table.records == expected
            assert table.digests == self.tables[0].digests


Convergence.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
TestConvergence = Convergence.TestCase


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    records=strategies.lists(RECORDS, max_size=12), order=strategies.randoms()
)
def test_any_order_of_merges_gives_the_same_table(
    records: list[_members.MemberRecord], order: random.Random
) -> None:
    """The final table depends on the set of records alone."""
    shuffled = list(records)
    order.shuffle(shuffled)
    first, second = membership.Table(), membership.Table()
    membership.merge(first, records, now=0)
    for record in shuffled:
        membership.merge(second, (record, record), now=1)
    assert first.records == second.records
    assert first.digests == second.digests
