"""Interface of the platform's key-value store.

A call raises ``PlantainError`` of kind ``STORE_UNAVAILABLE`` if the store did not
apply it, and of kind ``CHANGE_UNKNOWN`` if the response to a write was lost, so that
its outcome is unknown. Each call returns or raises within the adapter's call timeout.

The values are structs, whose definition takes a tenth of the time of data classes: it
counts at the start of every process.
"""

from collections import abc
import contextlib
import typing

import msgspec


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """A key with its value and revision."""

    key: str
    value: bytes
    mod_revision: int
    """The store revision of the last write to the key."""


class Compare(msgspec.Struct, frozen=True, kw_only=True):
    """A precondition of a transaction on one key."""

    key: str
    mod_revision: int
    """The required revision of the last write; 0 if the key must not exist."""


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """An operation that sets one key."""

    key: str
    value: bytes
    lease: int = 0
    """The lease that the key is attached to; 0 for none.

    The store deletes the key when the lease expires or is revoked.
    """


class Delete(msgspec.Struct, frozen=True, kw_only=True):
    """An operation that deletes one key."""

    key: str


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Operations that are applied atomically if all preconditions hold."""

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change that a watch received.

    ``entry`` is ``None`` if the key was deleted.
    """

    key: str
    entry: Entry | None


class Store(typing.Protocol):
    """A key-value store with transactions, leases and watches."""

    async def get(self, key: str) -> Entry | None:
        """Read one key; return ``None`` if it does not exist."""

    async def get_revision(self, key: str) -> int:
        """Return the revision of a key's last write, or 0 if the key does not exist.

        The value is not transferred.
        """

    async def scan(
        self,
        prefix: str,
        *,
        start: str = "",
        limit: int = 0,
        newest_first: bool = False,
    ) -> tuple[Entry, ...]:
        """Read the entries under a prefix in key order, or in reverse key order.

        The result begins at the key ``start``, or at the next one if ``start`` does
        not exist. A limit of 0 means no limit.
        """

    async def commit(self, transaction: Transaction) -> bool:
        """Apply a transaction; return whether its preconditions held."""

    async def grant_lease(self, *, ttl_seconds: int) -> int:
        """Create a lease and return its ID."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""

    def watch(
        self, prefix: str
    ) -> contextlib.AbstractAsyncContextManager[abc.AsyncIterator[tuple[Change, ...]]]:
        """Watch a prefix for changes, starting at the current revision.

        The iterator ends when the watch fails or reaches its maximum duration. The
        caller then reads the keys again and opens a new watch.
        """
