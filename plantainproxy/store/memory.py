"""An in-memory store for tests, with simulated outages and lost responses."""

import collections
from collections import abc
import contextlib
import dataclasses

import trio

from plantainproxy import _exceptions
from plantainproxy.store import port

MAX_PENDING_CHANGES = 1_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """A lease with its expiry time."""

    ttl_seconds: int
    deadline: float


class MemoryStore:
    """An in-memory implementation of ``port.Store`` with fault injection."""

    def __init__(self, *, clock: abc.Callable[[], float] = trio.current_time) -> None:
        """Create an empty store without faults."""
        self.clock = clock
        self.revision = 1
        self.entries: dict[str, port.Entry] = {}
        self.key_leases: dict[str, int] = {}
        """Lease IDs by key, for the keys that are attached to a lease."""
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1
        self.watchers: dict[trio.MemorySendChannel[tuple[port.Change, ...]], str] = {}
        self.down = False
        """Whether every call fails before the store applies it."""
        self.lose_answers = 0
        """How many of the next writes are applied while their response is lost."""
        self.drop_writes = 0
        """How many of the next writes are lost before the store applies them."""
        self.stale: dict[str, port.Entry] | None = None
        """Outdated entries that reads return instead of the current ones, if set."""
        self.reads = 0
        self.value_reads: collections.Counter[str] = collections.Counter()
        """Number of single-key reads of each key's value."""
        self.writes = 0

    async def get(self, key: str) -> port.Entry | None:
        """Read one key; return ``None`` if it does not exist."""
        await _begin_read(self)
        self.value_reads[key] += 1
        return _readable_entries(self).get(key)

    async def get_revision(self, key: str) -> int:
        """Return the revision of a key's last write, or 0 if the key does not exist."""
        await _begin_read(self)
        entry = _readable_entries(self).get(key)
        return 0 if entry is None else entry.mod_revision

    async def scan(
        self,
        prefix: str,
        *,
        start: str = "",
        limit: int = 0,
        newest_first: bool = False,
    ) -> tuple[port.Entry, ...]:
        """Read the entries under a prefix in key order, or in reverse key order."""
        await _begin_read(self)
        entries = _readable_entries(self)
        keys = sorted(key for key in entries if key.startswith(prefix))
        if newest_first:
            keys = [key for key in reversed(keys) if not start or key <= start]
        else:
            keys = [key for key in keys if key >= start]
        return tuple(entries[key] for key in (keys[:limit] if limit else keys))

    async def commit(self, transaction: port.Transaction) -> bool:
        """Apply a transaction; return whether its preconditions held."""
        await _begin_write(self)
        for put in transaction.puts:
            if put.lease and put.lease not in self.leases:
                raise _unavailable("lease has expired or was revoked")
        conditions_hold = all(
            _condition_holds(self, compare) for compare in transaction.compares
        )
        if conditions_hold:
            _apply(self, transaction)
        _end_write(self)
        return conditions_hold

    async def grant_lease(self, *, ttl_seconds: int) -> int:
        """Create a lease and return its ID."""
        await _begin_write(self)
        number = self.next_lease
        self.next_lease += 1
        self.leases[number] = Lease(
            ttl_seconds=ttl_seconds, deadline=self.clock() + ttl_seconds
        )
        _end_write(self)
        return number

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        await _begin_write(self)
        stored_lease = self.leases.get(lease)
        if stored_lease is not None:
            stored_lease.deadline = self.clock() + stored_lease.ttl_seconds
        _end_write(self)
        return stored_lease is not None

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await _begin_write(self)
        end_lease(self, lease)
        _end_write(self)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str
    ) -> abc.AsyncIterator[abc.AsyncIterator[tuple[port.Change, ...]]]:
        """Watch a prefix for changes, starting at the current revision."""
        await _begin_read(self)
        sender, receiver = trio.open_memory_channel[tuple[port.Change, ...]](
            MAX_PENDING_CHANGES
        )
        self.watchers[sender] = prefix
        try:
            yield receiver
        finally:
            self.watchers.pop(sender, None)
            sender.close()


def break_watches(store: MemoryStore) -> None:
    """End all watches, as the loss of the connection to the store does."""
    for sender in list(store.watchers):
        store.watchers.pop(sender)
        sender.close()


def end_lease(store: MemoryStore, lease: int) -> None:
    """End a lease and delete the keys attached to it."""
    store.leases.pop(lease, None)
    keys = [key for key, key_lease in store.key_leases.items() if key_lease == lease]
    if keys:
        deletes = tuple(port.Delete(key=key) for key in keys)
        _apply(store, port.Transaction(compares=(), deletes=deletes))


def _unavailable(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.STORE_UNAVAILABLE, detail)


def _change_unknown(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.CHANGE_UNKNOWN, detail)


async def _begin_read(store: MemoryStore) -> None:
    await trio.lowlevel.checkpoint()
    if store.down:
        raise _unavailable("store is down")
    store.reads += 1
    _expire_leases(store)


async def _begin_write(store: MemoryStore) -> None:
    await trio.lowlevel.checkpoint()
    if store.down:
        raise _unavailable("store is down")
    store.writes += 1
    _expire_leases(store)
    if store.drop_writes > 0:
        store.drop_writes -= 1
        raise _change_unknown("write was lost before the store applied it")


def _end_write(store: MemoryStore) -> None:
    if store.lose_answers > 0:
        store.lose_answers -= 1
        raise _change_unknown("response to an applied write was lost")


def _expire_leases(store: MemoryStore) -> None:
    now = store.clock()
    expired = [
        number for number, lease in store.leases.items() if lease.deadline <= now
    ]
    for number in expired:
        end_lease(store, number)


def _readable_entries(store: MemoryStore) -> dict[str, port.Entry]:
    return store.entries if store.stale is None else store.stale


def _condition_holds(store: MemoryStore, compare: port.Compare) -> bool:
    entry = store.entries.get(compare.key)
    return compare.mod_revision == (0 if entry is None else entry.mod_revision)


def _apply(store: MemoryStore, transaction: port.Transaction) -> None:
    store.revision += 1
    changes: list[port.Change] = []
    for put in transaction.puts:
        entry = port.Entry(key=put.key, value=put.value, mod_revision=store.revision)
        store.entries[put.key] = entry
        store.key_leases.pop(put.key, None)
        if put.lease:
            store.key_leases[put.key] = put.lease
        changes.append(port.Change(key=put.key, entry=entry))
    for delete in transaction.deletes:
        store.key_leases.pop(delete.key, None)
        if store.entries.pop(delete.key, None) is not None:
            changes.append(port.Change(key=delete.key, entry=None))
    _notify_watchers(store, changes)


def _notify_watchers(store: MemoryStore, changes: list[port.Change]) -> None:
    for sender, prefix in list(store.watchers.items()):
        matching = tuple(change for change in changes if change.key.startswith(prefix))
        if matching:
            sender.send_nowait(matching)
