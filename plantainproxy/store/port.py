"""What the system asks of the platform's key-value store.

Every call raises ``PlantainError`` of kind ``STORE_UNAVAILABLE`` when the store
certainly did not apply it, and of kind ``CHANGE_UNKNOWN`` when a write's answer was
lost. Every call ends within the adapter's deadline.
"""

from collections import abc
import contextlib
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One key with its value."""

    key: str
    value: bytes
    mod_revision: int
    """The store's revision at the last write of the key."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Compare:
    """A condition of a transaction on one key."""

    key: str
    mod_revision: int
    """The expected revision of the last write; 0 when the key must not exist."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A write of one key."""

    key: str
    value: bytes
    lease: int = 0
    """The lease whose end deletes the key; 0 for none."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delete:
    """A removal of one key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Writes that take effect together, only if every condition holds."""

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One observed write: the new entry, or the key that was deleted."""

    key: str
    entry: Entry | None


class Store(typing.Protocol):
    """The port to the store."""

    async def get(self, key: str) -> Entry | None:
        """Read one key."""

    async def get_revision(self, key: str) -> int:
        """Read the revision of one key's last write, without its value; 0 for none."""

    async def scan(
        self,
        prefix: str,
        *,
        start: str = "",
        limit: int = 0,
        newest_first: bool = False,
    ) -> tuple[Entry, ...]:
        """Read the keys with a prefix in key order, or in reverse.

        ``start`` is the first key of the answer, whether it exists or not; a limit
        of 0 means no limit.
        """

    async def commit(self, transaction: Transaction) -> bool:
        """Apply a transaction; return whether its conditions held."""

    async def grant_lease(self, *, ttl_seconds: int) -> int:
        """Create a lease and return its number."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(
        self, prefix: str
    ) -> contextlib.AbstractAsyncContextManager[abc.AsyncIterator[tuple[Change, ...]]]:
        """Observe writes under a prefix from now on.

        The iterator ends when the watch broke or its bounded time passed; the
        reader then reads the keys again and arms a new watch.
        """
