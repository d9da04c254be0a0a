"""Membership table, failure detection by heartbeats, and refutation of records.

Records of one member are totally ordered by precedence. A merge keeps the higher
record, so every order of merges produces the same table. Two balancers find the
records in which they differ by comparing one digest per bucket of records.
"""

from collections import abc
import dataclasses
import struct

from plantainproxy import _members, _types
from plantainproxy.core import homes

BUCKET_COUNT = 256
ENDED_RECORD_RETENTION_SECONDS = 600.0
"""How long the record of a member that left or was lost is retained."""
VERSION_FLOOR_RETENTION_SECONDS = 86_400.0
"""How long records that are not newer than an evicted one are rejected."""
MAX_VERSION_FLOORS = 100_000
MAX_VERSION = 2**62
"""Exclusive upper bound of generations and sequences, far below 64-bit overflow."""
MAX_NAME_LENGTH = 255
MISSED_HEARTBEATS = 3
"""Consecutive heartbeats that a member may miss before it is marked lost."""
MAJORITY_SILENT_MINIMUM = 2
"""With fewer silent members, the observer is never assumed to be at fault itself."""
MAJORITY_SILENT_LIMIT_SECONDS = 15.0
"""How long a connected observer marks no member lost while most are silent."""
MAX_HEARTBEATS_PER_SECOND = 12.0
"""Heartbeat rate above which a balancer requests longer intervals."""
MAX_HEARTBEAT_INTERVAL_SECONDS = 5.0
"""Longest heartbeat interval that a balancer requests."""
FIRST_HEARTBEAT_GRACE_SECONDS = 10.0
"""Time that a member has to discover a new home before its timeout starts."""
MAX_TIMEOUT_MULTIPLIER = 32
"""Upper bound of the timeout multiplier of a member that refuted a lost mark."""

_DIGEST = struct.Struct(f"!{BUCKET_COUNT}I")
_SUMMARY = struct.Struct("!QI")
SUMMARY_BYTES = _SUMMARY.size
_MASK = 0xFFFFFFFF

Precedence = tuple[int, int, bool, str]


def has_ended(record: _members.MemberRecord) -> bool:
    """Whether a record marks its member as left or lost."""
    return record.lost or record.state is _types.MemberState.LEFT


def precedence(record: _members.MemberRecord) -> Precedence:
    """Return the key of the total order over one member's records.

    Records of equal version are ordered by content. A correct owner never creates
    such records, but merges converge even if an owner does.
    """
    content = (record.state, record.domain, record.pool, record.tunnel, record.weight)
    return (*record.version, repr(content))


def _is_higher(record: _members.MemberRecord, other: _members.MemberRecord) -> bool:
    """Compare by precedence; format the content only if the versions are equal."""
    if record.version != other.version:
        return record.version > other.version
    return precedence(record) > precedence(other)


def is_valid(record: _members.MemberRecord) -> bool:
    """Whether the numbers and the name lengths of a record are within bounds."""
    return (
        0 <= record.generation < MAX_VERSION
        and 0 <= record.sequence < MAX_VERSION
        and 0 < record.weight <= 1
        and len(record.domain) <= MAX_NAME_LENGTH
        and len(record.pool) <= MAX_NAME_LENGTH
    )


def record_hash(record: _members.MemberRecord) -> int:
    """Return a 32-bit hash over the key, version and content of a record."""
    return homes.hash_text(f"{record.key}{precedence(record)}") & _MASK


# --- Table ------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MergeResult:
    """Result of one merge."""

    changed: tuple[_members.MemberRecord, ...]
    """Received records that were stored."""
    newer: tuple[_members.MemberRecord, ...]
    """Local records, or records at a version floor, newer than the received ones."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionFloor:
    """Version up to which the records of an evicted member are rejected."""

    generation: int
    sequence: int
    until: float


class Table:
    """Membership table of one balancer."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.records: dict[str, _members.MemberRecord] = {}
        self.keys: dict[int, str] = {}
        """Member key by key hash."""
        self.hashes: dict[str, int] = {}
        """Record hash by member key; ended records have none."""
        self.balancers: dict[str, _members.MemberRecord] = {}
        self.pools: dict[str, dict[str, _members.MemberRecord]] = {}
        self.pool_versions: dict[str, int] = {}
        """Incremented at each change to a pool's records."""
        self.balancers_version = 0
        """Incremented when a balancer is added or its state or lost mark changes."""
        self.digests = [0] * BUCKET_COUNT
        self.buckets: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self.ended_at: dict[str, float] = {}
        """When a record was first observed to have ended."""
        self.version_floors: dict[str, VersionFloor] = {}


def bucket_of(key_hash: int) -> int:
    """Return the bucket number for the key hash of a member."""
    return key_hash % BUCKET_COUNT


def _update_digest(table: Table, record: _members.MemberRecord) -> None:
    """Update the digest of a member's bucket to its current record.

    Ended records are excluded, since balancers may evict them at different times.
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


def _remove_from_pool(table: Table, record: _members.MemberRecord) -> None:
    members = table.pools.get(record.pool, {})
    if members.pop(record.key, None) is None:
        return
    if not members:
        del table.pools[record.pool]
    _increment_pool_version(table, record.pool)


def _store_record(table: Table, record: _members.MemberRecord, now: float) -> None:
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
    table: Table, record: _members.MemberRecord
) -> _members.MemberRecord | None:
    """Return an ended record at the version floor if ``record`` is not above it."""
    floor = table.version_floors.get(record.key)
    if floor is None:
        return None
    if (record.generation, record.sequence) > (floor.generation, floor.sequence):
        return None
    return dataclasses.replace(
        record, generation=floor.generation, sequence=floor.sequence, lost=True
    )


def merge(
    table: Table, records: abc.Iterable[_members.MemberRecord], *, now: float
) -> MergeResult:
    """Store the records that are newer than the local ones; ignore invalid records.

    The result also contains the local records that are newer than received ones.
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
) -> tuple[_members.MemberRecord, ...]:
    """Evict ended records and version floors whose retention periods have passed."""
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
    """Evict floors, which are in expiry order, that expired or exceed the maximum."""
    while table.version_floors:
        key, floor = next(iter(table.version_floors.items()))
        if now < floor.until and len(table.version_floors) <= MAX_VERSION_FLOORS:
            return
        del table.version_floors[key]


def pool_records(table: Table, pool: str) -> tuple[_members.MemberRecord, ...]:
    """Return all records of a pool, including ended ones, sorted by key."""
    members = table.pools.get(pool, {})
    return tuple(members[key] for key in sorted(members))


def live_balancers(table: Table) -> tuple[_members.MemberRecord, ...]:
    """Return the records of the balancers that have not ended."""
    return tuple(record for record in table.balancers.values() if not has_ended(record))


def records_digest(records: abc.Iterable[_members.MemberRecord]) -> int:
    """Return an order-independent digest; in practice 0 only for the empty set."""
    digest = 0
    for record in records:
        digest ^= homes.hash_text(f"{record.key}{precedence(record)}")
    return digest


def pack_digests(table: Table) -> bytes:
    """Pack the digests of all buckets for a digest exchange."""
    return _DIGEST.pack(*table.digests)


def differing_buckets(table: Table, packed: bytes) -> tuple[int, ...]:
    """Return the buckets whose digests differ; none if ``packed`` is malformed."""
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
    """Whether a peer's digest of a bucket is 0, that is, it has no live records."""
    return packed[bucket * 4 : bucket * 4 + 4] == bytes(4)


def pack_summaries(table: Table, buckets: abc.Iterable[int]) -> bytes:
    """Pack the key hash and record hash of every record in the given buckets."""
    return b"".join(
        _SUMMARY.pack(homes.hash_text(key), record_hash(table.records[key]))
        for bucket in buckets
        for key in sorted(table.buckets[bucket])
    )


def bucket_records(
    table: Table, buckets: abc.Iterable[int]
) -> abc.Iterator[_members.MemberRecord]:
    """Yield the live records in the given buckets."""
    for bucket in buckets:
        for key in sorted(table.buckets[bucket]):
            if not has_ended(table.records[key]):
                yield table.records[key]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Result of comparing a peer's summaries with the local records."""

    local_records: tuple[_members.MemberRecord, ...]
    """Local records that are missing or different at the peer."""
    wanted_hashes: bytes
    """Packed key hashes of the members whose records are missing or differ locally."""


def compare_summaries(table: Table, buckets: bytes, summaries: bytes) -> Difference:
    """Compare a peer's packed summaries of some buckets with the local records."""
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
) -> tuple[_members.MemberRecord, ...]:
    """Return the local records of the members whose key hashes a peer requests."""
    hashes = (
        int.from_bytes(wanted_hashes[start : start + 8], "big")
        for start in range(0, len(wanted_hashes) - 7, 8)
    )
    keys = (table.keys.get(key_hash) for key_hash in hashes)
    return tuple(table.records[key] for key in keys if key is not None)


# --- Local record -----------------------------------------------------------------


def refute(
    local_record: _members.MemberRecord, received_record: _members.MemberRecord
) -> _members.MemberRecord | None:
    """Return a local record above the received one, or ``None`` if none is needed.

    An owner that was marked lost raises its sequence. If its clock was behind at its
    start, the previous process of this owner has the higher generation, and the new
    record gets a generation above it.
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


# --- Failure detection ------------------------------------------------------------


@dataclasses.dataclass(slots=True, kw_only=True)
class MonitoredMember:
    """Heartbeat state of one monitored member."""

    last_heartbeat_at: float
    """Start of the timeout: the last heartbeat, or the start of monitoring."""
    interval_seconds: float
    """Expected interval between heartbeats."""
    timeout_multiplier: int = 1
    """Factor on the timeout after which the member is marked lost."""
    has_sent_heartbeat: bool = False
    """Whether any heartbeat was received."""
    is_marked_lost: bool = False
    """Whether this detector marked the member lost."""


class FailureDetector:
    """Detects lost sidecars among those that have this balancer as a home."""

    def __init__(self, *, interval_seconds: float) -> None:
        """Create a detector with the default heartbeat interval."""
        self.interval_seconds = interval_seconds
        self.members: dict[str, MonitoredMember] = {}
        self.last_check_at: float | None = None
        """When the heartbeat timeouts were last checked."""
        self.majority_silent_since: float | None = None
        """Since when most members are silent and this process may itself be cut off."""


def target_heartbeat_interval(
    detector: FailureDetector, table: Table, *, home_count: int
) -> float:
    """Return the interval that keeps the heartbeats within the maximum rate.

    The number of reporting members is capped at this balancer's expected share of all
    sidecars, because some sidecars report only until they have found their homes.
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
    """Record a heartbeat and the announced interval until the next one."""
    announced = min(interval_seconds, MAX_HEARTBEAT_INTERVAL_SECONDS)
    detector.members[key] = MonitoredMember(
        last_heartbeat_at=now,
        interval_seconds=max(detector.interval_seconds, announced),
        has_sent_heartbeat=True,
    )


def expect_first_heartbeat(detector: FailureDetector, key: str, *, now: float) -> None:
    """Monitor a member without heartbeats so far; allow it time to find this home."""
    detector.members.setdefault(
        key,
        MonitoredMember(
            last_heartbeat_at=now + FIRST_HEARTBEAT_GRACE_SECONDS,
            interval_seconds=detector.interval_seconds,
        ),
    )


def handle_record(
    detector: FailureDetector, record: _members.MemberRecord, *, now: float
) -> None:
    """Update a monitored member from its changed record.

    A live record of a member that was marked lost proves that the member is alive
    and reaches other balancers but not this one, so its timeout is doubled.
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
    """Whether any monitored member sent a heartbeat within its timeout."""
    return any(
        member.has_sent_heartbeat
        and now - member.last_heartbeat_at <= _timeout_seconds(member)
        for member in detector.members.values()
    )


def _exclude_local_pause(detector: FailureDetector, now: float) -> None:
    """Exclude the time in which this process was paused from all timeouts."""
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
) -> tuple[_members.MemberRecord, ...]:
    """Return records with a lost mark for the members whose heartbeats timed out.

    While more than half of the members not yet marked lost are silent, this process may
    itself be cut off, and no member is marked lost. If it still receives messages from
    others (``is_connected``), it marks the silent members lost after
    ``MAJORITY_SILENT_LIMIT_SECONDS``. Silent members that have other homes now are no
    longer monitored.
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
    """Remove members from failure detection; ignore those that are not monitored."""
    for key in keys:
        detector.members.pop(key, None)
