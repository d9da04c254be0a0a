"""What followers ask of a store whose watches resume at a revision."""

import typing

import msgspec

from plantainproxy.store import port


class HistoryLostError(Exception):
    """The store no longer holds the changes after the wanted revision."""

    def __init__(self, prefix: str, revision: int) -> None:
        """Hold where the watch was to resume."""
        super().__init__(prefix, revision)
        self.prefix = prefix
        self.revision = revision

    def __str__(self) -> str:
        """Name the keys and the revision."""
        return f"no history of {self.prefix!r} after revision {self.revision}"


class LeaseEndedError(Exception):
    """A write named a lease that has ended."""

    def __init__(self, lease: int) -> None:
        """Hold the lease's number."""
        super().__init__(lease)
        self.lease = lease

    def __str__(self) -> str:
        """Name the lease."""
        return f"lease {self.lease} has ended"


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The entries under a prefix, none of them older than the revision."""

    entries: tuple[port.Entry, ...]
    revision: int
    """Where a watch takes over."""


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """What a watch saw; empty when its time passed."""

    changes: tuple[port.Change, ...]
    revision: int
    """Where the next watch takes over."""


class RevisionedStore(typing.Protocol):
    """Reads and watches; each raises ``PlantainError`` when the store fails."""

    async def read_all(self, prefix: str) -> Snapshot:
        """Read every entry under a prefix."""

    async def watch_after(
        self, prefix: str, revision: int, *, brief: bool = False
    ) -> Changes:
        """Wait for changes under a prefix after a revision.

        A brief watch returns soon, also without changes: it tells whether the store
        answers. Raises ``HistoryLostError`` when the changes are no longer known.
        """


class LeasingStore(RevisionedStore, typing.Protocol):
    """Reads, and writes that end with a lease."""

    async def grant_lease(self, *, ttl_seconds: float) -> int:
        """Create a lease and return its number."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; its keys go with it."""

    async def write(self, transaction: port.Transaction) -> int | None:
        """Apply a transaction; return its revision, or ``None`` if a condition failed.

        Raises ``LeaseEndedError`` when a lease that it names has ended.
        """
