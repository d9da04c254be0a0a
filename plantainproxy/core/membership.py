"""The table of members, the watch over heartbeats, and refutation.

Records of one member are ordered by precedence, and a merge keeps the higher one, so
that any order of merges leads to the same table. A digest over the records of each
bucket lets two balancers find their differences.
"""

from collections import abc
import dataclasses
import struct

from plantainproxy import _types
from plantainproxy.core import homes

BUCKET_COUNT = 256
ENDED_RECORD_RETENTION_SECONDS = 600.0
"""How long the record of a member that left or was lost is kept."""
VERSION_FLOOR_RETENTION_SECONDS = 86_400.0
"""How long the version of a forgotten record keeps older ones out."""
MAX_VERSION_FLOORS = 100_000
MAX_VERSION = 2**62
"""Bound of generations and sequences, far from the end of 64 bits."""
MAX_NAME_LENGTH = 255
MISSED_HEARTBEATS = 3
"""Heartbeats in a row that a member may miss before it is marked lost."""
MAJORITY_SILENT_MINIMUM = 2
"""Fewer silent members than this are never taken for the observer's own fault."""
MAJORITY_SILENT_LIMIT_SECONDS = 15.0
"""How long many silent members are spared while others are still heard."""
MAX_HEARTBEATS_PER_SECOND = 12.0
"""Heartbeats that one balancer takes; beyond it asks for longer intervals."""
MAX_HEARTBEAT_INTERVAL_SECONDS = 5.0
"""Longest interval between heartbeats that a balancer asks for."""
FIRST_HEARTBEAT_GRACE_SECONDS = 10.0
"""Time that a member has to find its new home."""
MAX_TIMEOUT_MULTIPLIER = 32
"""Largest factor on the time before a member that refuted is marked again."""

_DIGEST = struct.Struct(f"!{BUCKET_COUNT}I")
_SUMMARY = struct.Struct("!QI")
SUMMARY_BYTES = _SUMMARY.size
_MASK = 0xFFFFFFFF

Precedence = tuple[int, int, bool, str]


def has_ended(record: _types.MemberRecord) -> bool:
    """Whether a record says that its member left or is lost."""
    return record.lost or record.state is _types.MemberState.LEFT


def precedence(record: _types.MemberRecord) -> Precedence:
    """Return the total order of one member's records.

    The content decides between two records of one version, which a correct owner
    never makes, so that merges converge in spite of it.
    """
    content = (record.state, record.domain, record.pool, record.tunnel, record.weight)
    return (*record.version, repr(content))


def _is_higher(record: _types.MemberRecord, other: _types.MemberRecord) -> bool:
    """Compare by precedence; the content is looked at only on equal versions."""
    if record.version != other.version:
        return record.version > other.version
    return precedence(record) > precedence(other)


def is_valid(record: _types.MemberRecord) -> bool:
    """Whether a record's numbers and names are within bounds."""
    return (
        0 <= record.generation < MAX_VERSION
        and 0 <= record.sequence < MAX_VERSION
        and 0 < record.weight <= 1
        and len(record.domain) <= MAX_NAME_LENGTH
        and len(record.pool) <= MAX_NAME_LENGTH
    )


def record_hash(record: _types.MemberRecord) -> int:
    """Hash everything that a record says to 32 bits."""
    return homes.hash_text(f"{record.key}{precedence(record)}") & _MASK


# --- Table ------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MergeResult:
    """What one merge did."""

    changed: tuple[_types.MemberRecord, ...]
    """The records that were taken in."""
    newer: tuple[_types.MemberRecord, ...]
    """Our records that are newer than the received ones."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionFloor:
    """The version below which the records of a forgotten member are refused."""

    generation: int
    sequence: int
    until: float


class Table:
    """All members that one balancer knows."""

    def __init__(self) -> None:
        """Begin with no members."""
        self.records: dict[str, _types.MemberRecord] = {}
        self.keys: dict[int, str] = {}
        """The member key of each key hash."""
        self.hashes: dict[str, int] = {}
        """The digest hash of each record; absent for those that ended."""
        self.balancers: dict[str, _types.MemberRecord] = {}
        self.pools: dict[str, dict[str, _types.MemberRecord]] = {}
        self.pool_versions: dict[str, int] = {}
        """Raised at each change to a pool's records."""
        self.balancers_version = 0
        """Raised when a balancer comes, goes or changes its state."""
        self.digests = [0] * BUCKET_COUNT
        self.buckets: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self.ended_at: dict[str, float] = {}
        """When a record was first seen to have ended."""
        self.version_floors: dict[str, VersionFloor] = {}


def bucket_of(key_hash: int) -> int:
    """Return the number of the bucket that a member's hash falls into."""
    return key_hash % BUCKET_COUNT


def _update_digest(table: Table, record: _types.MemberRecord) -> None:
    """Let the digest of a member's bucket cover its present record.

    Ended records are left out, so that balancers may forget them at different times.
    """
    key_hash = homes.hash_text(record.key)
    bucket = bucket_of(key_hash)
    table.keys[key_hash] = record.key
    table.buckets[bucket].add(record.key)
    table.digests[bucket] ^= table.hashes.pop(record.key, 0)
    if has_ended(record):
        return
    new_hash = record_hash(record)
    table.hashes[record.key] = new_hash
    table.digests[bucket] ^= new_hash


def _increment_pool_version(table: Table, pool: str) -> None:
    table.pool_versions[pool] = table.pool_versions.get(pool, 0) + 1


def _remove_from_pool(table: Table, record: _types.MemberRecord) -> None:
    members = table.pools.get(record.pool, {})
    if members.pop(record.key, None) is None:
        return
    if not members:
        del table.pools[record.pool]
    _increment_pool_version(table, record.pool)


def _store_record(table: Table, record: _types.MemberRecord, now: float) -> None:
    previous = table.records.get(record.key)
    table.records[record.key] = record
    table.version_floors.pop(record.key, None)
    _update_digest(table, record)
    if has_ended(record):
        table.ended_at.setdefault(record.key, now)
    else:
        table.ended_at.pop(record.key, None)
    if record.kind is _types.MemberKind.BALANCER:
        table.balancers[record.key] = record
        table.balancers_version += previous is None or (
            (previous.lost, previous.state) != (record.lost, record.state)
        )
        return
    if previous is not None and previous.pool != record.pool:
        _remove_from_pool(table, previous)
    table.pools.setdefault(record.pool, {})[record.key] = record
    _increment_pool_version(table, record.pool)


def _version_floor_record(
    table: Table, record: _types.MemberRecord
) -> _types.MemberRecord | None:
    """Return the ended record that stands against one below its floor."""
    floor = table.version_floors.get(record.key)
    if floor is None:
        return None
    if (record.generation, record.sequence) > (floor.generation, floor.sequence):
        return None
    return dataclasses.replace(
        record, generation=floor.generation, sequence=floor.sequence, lost=True
    )


def merge(
    table: Table, records: abc.Iterable[_types.MemberRecord], *, now: float
) -> MergeResult:
    """Take in the records that are newer than ours; tell which of ours are newer.

    Records out of bounds are passed over.
    """
    changed = []
    newer = []
    for record in filter(is_valid, records):
        floor_record = _version_floor_record(table, record)
        if floor_record is not None:
            if not has_ended(record):
                newer.append(floor_record)
            continue
        stored = table.records.get(record.key)
        if stored is not None and not _is_higher(record, stored):
            if _is_higher(stored, record):
                newer.append(stored)
            continue
        _store_record(table, record, now)
        changed.append(record)
    return MergeResult(changed=tuple(changed), newer=tuple(newer))


def evict_expired_records(
    table: Table, *, now: float
) -> tuple[_types.MemberRecord, ...]:
    """Drop the records that ended long ago, and floors that are older still."""
    due = [
        key
        for key, at in table.ended_at.items()
        if now - at >= ENDED_RECORD_RETENTION_SECONDS
    ]
    evicted = []
    for key in due:
        record = table.records.pop(key)
        del table.ended_at[key]
        key_hash = homes.hash_text(key)
        table.keys.pop(key_hash, None)
        table.buckets[bucket_of(key_hash)].discard(key)
        table.balancers.pop(key, None)
        _remove_from_pool(table, record)
        table.version_floors[key] = VersionFloor(
            generation=record.generation,
            sequence=record.sequence,
            until=now + VERSION_FLOOR_RETENTION_SECONDS,
        )
        evicted.append(record)
    _evict_version_floors(table, now)
    return tuple(evicted)


def _evict_version_floors(table: Table, now: float) -> None:
    """Drop expired floors; they are kept in the order in which they expire."""
    while table.version_floors:
        key, floor = next(iter(table.version_floors.items()))
        if now < floor.until and len(table.version_floors) <= MAX_VERSION_FLOORS:
            return
        del table.version_floors[key]


def pool_records(table: Table, pool: str) -> tuple[_types.MemberRecord, ...]:
    """Return all records of a pool, ended ones included, in a stable order."""
    members = table.pools.get(pool, {})
    return tuple(members[key] for key in sorted(members))


def live_balancers(table: Table) -> tuple[_types.MemberRecord, ...]:
    """Return the records of the balancers that have not ended."""
    return tuple(record for record in table.balancers.values() if not has_ended(record))


def records_digest(records: abc.Iterable[_types.MemberRecord]) -> int:
    """Digest a set of records in any order; 0 only for the empty set, in effect."""
    digest = 0
    for record in records:
        digest ^= homes.hash_text(f"{record.key}{precedence(record)}")
    return digest


def pack_digests(table: Table) -> bytes:
    """Pack the digest of every bucket for a digest exchange."""
    return _DIGEST.pack(*table.digests)


def differing_buckets(table: Table, packed: bytes) -> tuple[int, ...]:
    """Compare a peer's packed digests with ours; a malformed pack differs nowhere."""
    if len(packed) != _DIGEST.size:
        return ()
    remote_digests = _DIGEST.unpack(packed)
    return tuple(
        bucket
        for bucket, (local_digest, remote_digest) in enumerate(
            zip(table.digests, remote_digests, strict=True)
        )
        if local_digest != remote_digest
    )


def is_empty_digest(packed: bytes, bucket: int) -> bool:
    """Whether a peer's packed digests say that it knows nothing in a bucket."""
    return packed[bucket * 4 : bucket * 4 + 4] == bytes(4)


def pack_summaries(table: Table, buckets: abc.Iterable[int]) -> bytes:
    """Pack key hash and record hash of every record in some buckets."""
    return b"".join(
        _SUMMARY.pack(homes.hash_text(key), record_hash(table.records[key]))
        for bucket in buckets
        for key in sorted(table.buckets[bucket])
    )


def bucket_records(
    table: Table, buckets: abc.Iterable[int]
) -> abc.Iterator[_types.MemberRecord]:
    """Yield the live records in some buckets."""
    for bucket in buckets:
        for key in sorted(table.buckets[bucket]):
            if not has_ended(table.records[key]):
                yield table.records[key]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """What a comparison with a peer's summaries found."""

    local_records: tuple[_types.MemberRecord, ...]
    """Our records that the peer lacks or holds differently."""
    wanted_hashes: bytes
    """Packed hashes of the members that the peer knows differently."""


def compare_summaries(table: Table, buckets: bytes, summaries: bytes) -> Difference:
    """Compare a peer's packed summaries of some buckets with our records."""
    usable = len(summaries) - len(summaries) % _SUMMARY.size
    remote_hashes = dict(_SUMMARY.iter_unpack(summaries[:usable]))
    wanted_hashes = []
    local_records = []
    for key_hash, remote_hash in remote_hashes.items():
        key = table.keys.get(key_hash)
        stored = None if key is None else table.records[key]
        if stored is None:
            wanted_hashes.append(key_hash)
        elif record_hash(stored) != remote_hash:
            wanted_hashes.append(key_hash)
            local_records.append(stored)
    for bucket in set(buckets):
        for key in table.buckets[bucket]:
            record = table.records[key]
            if homes.hash_text(key) not in remote_hashes and not has_ended(record):
                local_records.append(record)
    return Difference(
        local_records=tuple(sorted(local_records, key=lambda record: record.key)),
        wanted_hashes=b"".join(value.to_bytes(8, "big") for value in wanted_hashes),
    )


def wanted_records(
    table: Table, wanted_hashes: bytes
) -> tuple[_types.MemberRecord, ...]:
    """Return our records of the members that a peer asks for."""
    hashes = (
        int.from_bytes(wanted_hashes[start : start + 8], "big")
        for start in range(0, len(wanted_hashes) - 7, 8)
    )
    keys = (table.keys.get(key_hash) for key_hash in hashes)
    return tuple(table.records[key] for key in keys if key is not None)


# --- Own record -------------------------------------------------------------------


def refute(
    local_record: _types.MemberRecord, received_record: _types.MemberRecord
) -> _types.MemberRecord | None:
    """Return a higher own record when another stands above it, else nothing.

    An owner that was marked lost raises its sequence. An owner whose clock stood
    back at its start takes a generation above that of its predecessor.
    """
    if received_record.key != local_record.key or precedence(
        received_record
    ) <= precedence(local_record):
        return None
    if received_record.generation > local_record.generation:
        return dataclasses.replace(
            local_record, generation=received_record.generation + 1, sequence=1
        )
    return dataclasses.replace(local_record, sequence=received_record.sequence + 1)


# --- Watch ------------------------------------------------------------------------


@dataclasses.dataclass(slots=True, kw_only=True)
class MonitoredMember:
    """What a watch knows of one member."""

    last_heartbeat_at: float
    """When the member was last heard, or began to be watched."""
    interval_seconds: float
    """The interval at which it calls."""
    timeout_multiplier: int = 1
    """Factor on the time before the member is marked lost."""
    has_sent_heartbeat: bool = False
    """Whether a heartbeat came at all."""
    is_marked_lost: bool = False
    """Whether this watch marked the member lost."""


class FailureDetector:
    """A balancer's watch over the sidecars whose home it is."""

    def __init__(self, *, interval_seconds: float) -> None:
        """Expect heartbeats at an interval."""
        self.interval_seconds = interval_seconds
        self.members: dict[str, MonitoredMember] = {}
        self.last_check_at: float | None = None
        """When silence was last looked for."""
        self.majority_silent_since: float | None = None
        """Since when so many members are silent that the fault is likely our own."""


def target_heartbeat_interval(
    detector: FailureDetector, table: Table, *, home_count: int
) -> float:
    """Return the interval that keeps the heartbeats within the bounded rate.

    Members that called only to find their homes do not count, so no more than the
    usual share of all members is reckoned with.
    """
    balancers = max(1, len(table.balancers))
    sidecars = max(0, len(table.records) - len(table.balancers))
    share = sidecars * min(home_count, balancers) / balancers
    reporting_count = sum(
        member.has_sent_heartbeat for member in detector.members.values()
    )
    needed_seconds = min(share, reporting_count) / MAX_HEARTBEATS_PER_SECOND
    return max(
        detector.interval_seconds, min(needed_seconds, MAX_HEARTBEAT_INTERVAL_SECONDS)
    )


def record_heartbeat(
    detector: FailureDetector, key: str, *, now: float, interval_seconds: float = 0.0
) -> None:
    """Note a heartbeat, and when the next one comes."""
    announced = min(interval_seconds, MAX_HEARTBEAT_INTERVAL_SECONDS)
    detector.members[key] = MonitoredMember(
        last_heartbeat_at=now,
        interval_seconds=max(detector.interval_seconds, announced),
        has_sent_heartbeat=True,
    )


def expect_first_heartbeat(detector: FailureDetector, key: str, *, now: float) -> None:
    """Watch a member that has not called yet; give it time to learn of us."""
    detector.members.setdefault(
        key,
        MonitoredMember(
            last_heartbeat_at=now + FIRST_HEARTBEAT_GRACE_SECONDS,
            interval_seconds=detector.interval_seconds,
        ),
    )


def handle_record(
    detector: FailureDetector, record: _types.MemberRecord, *, now: float
) -> None:
    """Note a record that others spread of a member.

    A live record of a member that was marked lost proves that the member is alive
    and reaches others but not us, so it is given more time before the next mark.
    """
    member = detector.members.get(record.key)
    if member is None:
        return
    if record.state is _types.MemberState.LEFT:
        del detector.members[record.key]
        return
    if record.lost or not member.is_marked_lost:
        return
    member.is_marked_lost = False
    member.last_heartbeat_at = now
    member.timeout_multiplier = min(
        member.timeout_multiplier * 2, MAX_TIMEOUT_MULTIPLIER
    )


def _timeout_seconds(member: MonitoredMember) -> float:
    return member.interval_seconds * MISSED_HEARTBEATS


def has_recent_heartbeat(detector: FailureDetector, *, now: float) -> bool:
    """Whether any watched member called lately."""
    return any(
        member.has_sent_heartbeat
        and now - member.last_heartbeat_at <= _timeout_seconds(member)
        for member in detector.members.values()
    )


def _exclude_local_pause(detector: FailureDetector, now: float) -> None:
    """Count time in which the observer itself stood still for nobody's silence."""
    previous, detector.last_check_at = detector.last_check_at, now
    if previous is None:
        return
    pause = now - previous - detector.interval_seconds
    if pause <= detector.interval_seconds:
        return
    for member in detector.members.values():
        member.last_heartbeat_at = min(now, member.last_heartbeat_at + pause)


def _silent_members(detector: FailureDetector, now: float) -> list[str]:
    return [
        key
        for key, member in detector.members.items()
        if not member.is_marked_lost
        and now - member.last_heartbeat_at
        > _timeout_seconds(member) * member.timeout_multiplier
    ]


def _update_majority_silent(
    detector: FailureDetector, silent_count: int, now: float
) -> None:
    unmarked = sum(not member.is_marked_lost for member in detector.members.values())
    if silent_count < MAJORITY_SILENT_MINIMUM or silent_count * 2 <= unmarked:
        detector.majority_silent_since = None
    elif detector.majority_silent_since is None:
        detector.majority_silent_since = now


def mark_lost(
    detector: FailureDetector,
    table: Table,
    *,
    now: float,
    is_connected: bool,
    is_home: abc.Callable[[str], bool],
) -> tuple[_types.MemberRecord, ...]:
    """Return lost records for the members that went silent.

    When more than half of the watched members are silent, the observer counts itself
    blind and marks none; only if it hears others meanwhile (``is_connected``) does it
    mark them in the end. A silent member that has other homes now is watched no more.
    """
    _exclude_local_pause(detector, now)
    silent = _silent_members(detector, now)
    stop_monitoring(detector, [key for key in silent if not is_home(key)])
    silent = [key for key in silent if key in detector.members]
    _update_majority_silent(detector, len(silent), now)
    if detector.majority_silent_since is not None and (
        not is_connected
        or now - detector.majority_silent_since < MAJORITY_SILENT_LIMIT_SECONDS
    ):
        return ()
    lost = []
    for key in silent:
        detector.members[key].is_marked_lost = True
        record = table.records.get(key)
        if record is not None and not has_ended(record):
            lost.append(dataclasses.replace(record, lost=True))
    return tuple(lost)


def stop_monitoring(detector: FailureDetector, keys: abc.Iterable[str]) -> None:
    """End the watch over members that were forgotten."""
    for key in keys:
        detector.members.pop(key, None)
