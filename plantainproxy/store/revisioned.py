"""Interfaces of a key-value store whose watches resume at a given revision.

The store may be restored from an older copy of its content. It then loses the latest
changes and assigns their revisions again, so a revision is only comparable together
with the era of the content, which increases with each restoration.
"""

import typing

import msgspec

from plantainproxy import _decoding
from plantainproxy.store import port


class Revision(typing.NamedTuple):
    """A state of the store's content, ordered by era first."""

    era: _decoding.Count = 0
    """Number of the store's restorations from an older copy before this state."""
    number: _decoding.Count = 0
    """Number of the state, which the store may assign once in each era."""


NO_REVISION = Revision()
"""Precedes the revisions of all content."""


class HistoryLostError(Exception):
    """The store no longer has the changes after the requested revision."""

    def __init__(self, prefix: str, revision: Revision) -> None:
        """Record the prefix and the start revision that the watch requested."""
        super().__init__(prefix, revision)
        self.prefix = prefix
        self.revision = revision

    def __str__(self) -> str:
        """Return a message with the prefix and the revision."""
        return (
            f"store has no history of {self.prefix!r} after revision "
            f"{self.revision.number} of era {self.revision.era}"
        )


class LeaseEndedError(Exception):
    """A write refers to a lease that has expired or was revoked."""

    def __init__(self, lease: int) -> None:
        """Record the ID of the lease."""
        super().__init__(lease)
        self.lease = lease

    def __str__(self) -> str:
        """Return a message with the ID of the lease."""
        return f"lease {self.lease} has expired or was revoked"


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The entries under a prefix, each at least as recent as ``revision``."""

    entries: tuple[port.Entry, ...]
    revision: Revision
    """The revision after which a watch continues."""


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a watch; ``changes`` is empty if the watch timed out."""

    changes: tuple[port.Change, ...]
    revision: Revision
    """The revision after which the next watch continues."""


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """A precondition of a transaction did not hold, so nothing was written."""

    entries: tuple[port.Entry, ...]
    """The compared keys that exist, in their current state."""


class RevisionedStore(typing.Protocol):
    """A store with reads and watches.

    The methods raise ``PlantainError`` if the store fails.
    """

    @property
    def era(self) -> int:
        """Latest era of the responses received.

        A method returns or raises with the era of its last response as this value.
        """

    async def read_all(self, prefix: str, *, may_be_outdated: bool = False) -> Snapshot:
        """Read all entries under a prefix, all of one era.

        A read that may be outdated by seconds costs the store less.
        """

    async def watch_after(
        self, prefix: str, revision: Revision, *, brief: bool = False
    ) -> Changes:
        """Wait for changes under a prefix after a revision.

        A brief watch uses a short timeout, to check whether the store responds.
        Raises ``HistoryLostError`` if the store no longer has the changes or its
        content is of another era.
        """

    async def changes_after(self, prefix: str, revision: Revision) -> Changes:
        """Return the changes under a prefix after a revision, without waiting for one.

        The result includes all changes made before the call. Raises
        ``HistoryLostError`` like ``watch_after``.
        """


class LeasingStore(RevisionedStore, typing.Protocol):
    """A store with reads, watches, leases, and writes that can attach keys to them."""

    async def grant_lease(self, *, ttl_seconds: float) -> int:
        """Create a lease and return its ID."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""

    async def write(self, transaction: port.Transaction) -> int | Conflict:
        """Apply a transaction and return the number of its revision.

        Raises ``LeaseEndedError`` if a put refers to a lease that has expired or was
        revoked.
        """
