"""Data of the stand-in store: keys with revisions, leases and watchers."""

import collections
from collections import abc
import dataclasses

HISTORY_VERSIONS_PER_KEY = 64
"""How many versions of a key a stale read can reach back over."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """One written version of a key; a deleted one has no value."""

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """A lease and the moment it ends."""

    ttl_seconds: int
    deadline: float


class Data:
    """Everything the store holds."""

    def __init__(self) -> None:
        """Start empty at revision 1, as etcd does."""
        self.revision = 1
        self.versions: dict[bytes, collections.deque[Version]] = {}
        self.leases: dict[int, Lease] = {}
        self.next_lease = 7_000
        self.observers: set[abc.Callable[[list[Version]], None]] = set()
        """Called with the writes of each revision."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """One write of a transaction; no value means a removal."""

    key: bytes
    value: bytes | None
    lease: int = 0


def read(data: Data, key: bytes, *, at_revision: int) -> Version | None:
    """Return the live version of a key at a revision."""
    for version in reversed(data.versions.get(key, ())):
        if version.mod_revision <= at_revision:
            return None if version.value is None else version
    return None


def scan(
    data: Data, key: bytes, range_end: bytes, *, at_revision: int
) -> list[Version]:
    """Return the live versions of a key range in key order."""
    if not range_end:
        version = read(data, key, at_revision=at_revision)
        return [] if version is None else [version]
    return list(_scan_range(data, key, range_end, at_revision))


def _scan_range(
    data: Data, key: bytes, range_end: bytes, at_revision: int
) -> abc.Iterator[Version]:
    for name in sorted(data.versions):
        if not in_range(name, key, range_end):
            continue
        version = read(data, name, at_revision=at_revision)
        if version is not None:
            yield version


def in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    """Tell whether a key lies in etcd's range of ``key`` and ``range_end``."""
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\0" or name < range_end)


def mod_revision(data: Data, key: bytes) -> int:
    """Return the revision of the last write of a live key, or 0."""
    version = read(data, key, at_revision=data.revision)
    return 0 if version is None else version.mod_revision


def apply(data: Data, writes: list[Write]) -> None:
    """Apply writes at one new revision and tell the observers."""
    live = [write for write in writes if _has_effect(data, write)]
    if not live:
        return
    data.revision += 1
    written = [_append(data, write) for write in live]
    for observer in list(data.observers):
        observer(written)


def _has_effect(data: Data, write: Write) -> bool:
    return write.value is not None or mod_revision(data, write.key) > 0


def _append(data: Data, write: Write) -> Version:
    earlier = read(data, write.key, at_revision=data.revision)
    version = Version(
        key=write.key,
        value=write.value,
        create_revision=data.revision if earlier is None else earlier.create_revision,
        mod_revision=data.revision,
        version=1 if earlier is None else earlier.version + 1,
        lease=write.lease,
    )
    history = data.versions.setdefault(
        write.key, collections.deque(maxlen=HISTORY_VERSIONS_PER_KEY)
    )
    history.append(version)
    return version


def grant(data: Data, *, ttl_seconds: int, now: float) -> int:
    """Create a lease and return its number."""
    data.next_lease += 1
    data.leases[data.next_lease] = Lease(
        ttl_seconds=ttl_seconds, deadline=now + ttl_seconds
    )
    return data.next_lease


def revoke(data: Data, lease: int) -> bool:
    """End a lease and delete its keys; return whether it existed."""
    if data.leases.pop(lease, None) is None:
        return False
    held = scan(data, b"\0", b"\0", at_revision=data.revision)
    apply(
        data,
        [Write(key=kv.key, value=None) for kv in held if kv.lease == lease],
    )
    return True


def expire(data: Data, now: float) -> None:
    """End every lease whose time is over."""
    over = [number for number, lease in data.leases.items() if lease.deadline <= now]
    for number in over:
        revoke(data, number)
