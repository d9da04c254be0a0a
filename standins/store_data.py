"""In-memory data of the stand-in store: versioned keys, leases and observers."""

import collections
from collections import abc
import dataclasses

HISTORY_VERSIONS_PER_KEY = 64
"""Versions kept for each key; older revisions of it cannot be read."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """One version of a key; ``value`` is None if the write deleted the key."""

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """A lease; it expires at ``deadline`` unless a keepalive extends it."""

    ttl_seconds: int
    deadline: float


class StoreData:
    """Keys, leases and current revision of one store."""

    def __init__(self) -> None:
        """Create an empty store at revision 1, as etcd does."""
        self.revision = 1
        self.versions: dict[bytes, collections.deque[Version]] = {}
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 7_000
        self.observers: set[abc.Callable[[list[Version]], None]] = set()
        """Callbacks that receive the new versions of each revision."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """One write of a transaction; ``value`` is None to delete the key."""

    key: bytes
    value: bytes | None
    lease_id: int = 0


def read(data: StoreData, key: bytes, *, at_revision: int) -> Version | None:
    """Return a key's version at a revision, or None if it did not exist then."""
    for version in reversed(data.versions.get(key, ())):
        if version.mod_revision <= at_revision:
            return None if version.value is None else version
    return None


def scan(
    data: StoreData, key: bytes, range_end: bytes, *, at_revision: int
) -> list[Version]:
    """Return the versions of a key range at a revision, in key order.

    Deleted keys are left out. An empty ``range_end`` selects ``key`` alone.
    """
    if not range_end:
        version = read(data, key, at_revision=at_revision)
        return [] if version is None else [version]
    return list(_scan_range(data, key, range_end, at_revision))


def _scan_range(
    data: StoreData, key: bytes, range_end: bytes, at_revision: int
) -> abc.Iterator[Version]:
    for candidate in sorted(data.versions):
        if not in_range(candidate, key, range_end):
            continue
        version = read(data, candidate, at_revision=at_revision)
        if version is not None:
            yield version


def in_range(candidate: bytes, key: bytes, range_end: bytes) -> bool:
    """Return whether a key lies in the range that etcd defines by two keys.

    The range is half-open. An empty ``range_end`` selects ``key`` alone, a zero byte
    all keys from ``key`` on.
    """
    if not range_end:
        return candidate == key
    return candidate >= key and (range_end == b"\0" or candidate < range_end)


def mod_revision(data: StoreData, key: bytes) -> int:
    """Return the revision of a key's last write, or 0 if the key does not exist."""
    version = read(data, key, at_revision=data.revision)
    return 0 if version is None else version.mod_revision


def apply_writes(data: StoreData, writes: list[Write]) -> None:
    """Apply writes at one new revision and notify the observers.

    Deletions of absent keys have no effect. If no write has an effect, the revision
    does not change.
    """
    effective_writes = [write for write in writes if _has_effect(data, write)]
    if not effective_writes:
        return
    data.revision += 1
    written = [_append_version(data, write) for write in effective_writes]
    for observer in list(data.observers):
        observer(written)


def _has_effect(data: StoreData, write: Write) -> bool:
    return write.value is not None or mod_revision(data, write.key) > 0


def _append_version(data: StoreData, write: Write) -> Version:
    previous = read(data, write.key, at_revision=data.revision)
    version = Version(
        key=write.key,
        value=write.value,
        create_revision=data.revision if previous is None else previous.create_revision,
        mod_revision=data.revision,
        version=1 if previous is None else previous.version + 1,
        lease_id=write.lease_id,
    )
    history = data.versions.setdefault(
        write.key, collections.deque(maxlen=HISTORY_VERSIONS_PER_KEY)
    )
    history.append(version)
    return version


def grant_lease(data: StoreData, *, ttl_seconds: int, now: float) -> int:
    """Create a lease and return its ID."""
    data.last_lease_id += 1
    data.leases[data.last_lease_id] = Lease(
        ttl_seconds=ttl_seconds, deadline=now + ttl_seconds
    )
    return data.last_lease_id


def revoke_lease(data: StoreData, lease_id: int) -> bool:
    """Remove a lease and delete its keys; return whether it existed."""
    if data.leases.pop(lease_id, None) is None:
        return False
    live_versions = scan(data, b"\0", b"\0", at_revision=data.revision)
    apply_writes(
        data,
        [
            Write(key=kv.key, value=None)
            for kv in live_versions
            if kv.lease_id == lease_id
        ],
    )
    return True


def expire_leases(data: StoreData, now: float) -> None:
    """Revoke all leases whose deadline has passed."""
    expired_ids = [
        lease_id for lease_id, lease in data.leases.items() if lease.deadline <= now
    ]
    for lease_id in expired_ids:
        revoke_lease(data, lease_id)
