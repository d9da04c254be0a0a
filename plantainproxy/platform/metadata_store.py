"""Client of the platform's metadata store, a revisioned key-value store with leases."""

import binascii
from collections import abc
import math
import typing

import msgspec

from plantainproxy import _decoding, _exceptions, _types
from plantainproxy.eventloop import runtime
from plantainproxy.store import http, port, revisioned

T = typing.TypeVar("T")

CALL_TIMEOUT_SECONDS = 1.5
"""Exceeds the response time of a store that is many times slower than usual."""
MAX_WATCH_SECONDS = 30.0
"""Longest wait that the store allows for a watch."""
MAX_WATCH_HISTORY_SHARE = 0.9
"""Longest wait of a watch as a share of the store's history retention. A watch that
waits for longer than the store retains its history cannot be resumed."""
BRIEF_WATCH_SECONDS = 0.5
"""Wait of a watch after a failure. A call that the store receives while it does not
respond is never answered, so a long watch would still be waiting after the store's
recovery."""
WATCH_MARGIN_SECONDS = 0.5
"""Allowed delay of the response to a watch after the end of its wait. Each second of it
shortens the wait, and so costs calls; a later response is lost, and a brief watch
follows."""
DEFAULT_RECOVERY_SECONDS = 4.0
"""Time after a disruption of the store in which its documents must be current again, if
the settings do not state it."""
RESUMPTION_SECONDS = 0.5
"""Time allowed for the next watch after one without a response, and for the transfer of
the document to the processes that rely on this one."""
MILLISECONDS_PER_SECOND = 1_000
MAX_READ_RESTARTS = 3
"""Restarts of a read whose pages are of different eras; then the read fails."""
ERA_HEADER = "store-era"
"""Header of the store's responses with the era of its content; 0 without it."""

MAX_ERA_DIGITS = 18
"""Digits of an era that fits a signed integer of 64 bits."""

_FINAL_STATUSES = frozenset((200, 404, 410, 412))


class _Item(msgspec.Struct):
    key: _decoding.Text
    value: str = ""
    rev: _decoding.Count = 0
    removed: bool = False


_Items = typing.Annotated[list[_Item], msgspec.Meta(max_length=_decoding.MAX_ELEMENTS)]


class _Range(msgspec.Struct):
    items: _Items
    has_more: bool
    # Revision of the store; each item also has a separate revision.
    store_revision: _decoding.Count


class _Events(msgspec.Struct):
    events: _Items
    store_revision: _decoding.Count


class _WriteResult(msgspec.Struct):
    rev: _decoding.Count


class _Expected(msgspec.Struct):
    items: _Items = []


class _Lease(msgspec.Struct):
    lease: _decoding.Count


RESPONSE_TYPES = (_Range, _Events, _WriteResult, _Expected, _Lease)
"""Types of the bodies of the store's responses."""


class MetadataStore:
    """Client with pooled connections to the store.

    Implements ``revisioned.RevisionedStore`` and ``revisioned.LeasingStore``.
    """

    def __init__(
        self,
        address: _types.Address,
        *,
        history_seconds: float = math.inf,
        recovery_seconds: float = DEFAULT_RECOVERY_SECONDS,
        count: abc.Callable[[str], None] = lambda name: None,
        on_restored: abc.Callable[[int, int], None] = lambda previous, era: None,
    ) -> None:
        """Create a client; connections are opened on demand.

        ``history_seconds`` is how long the store retains changes for watches.
        ``recovery_seconds`` is the time after a disruption of the store in which a
        watch that will never be answered has to be replaced.
        ``count`` increments the counter with the given name. ``on_restored`` is called
        with the previous and the new era when the era of the responses increases.
        """
        self.address = address
        self.count = count
        self.on_restored = on_restored
        self.era = 0
        """Latest era of the responses; responses of an earlier one are discarded."""
        self.has_response = False
        """Whether any response has been received, so that ``era`` is known."""
        self.expected_era = 0
        """Latest era that another process has stated."""
        self.watch_scopes: set[runtime.CancelScope] = set()
        """Scopes of the watches that wait for a response."""
        self.watch_seconds = _watch_seconds(history_seconds, recovery_seconds)
        self.call_pool = http.Pool(address)
        self.watch_pool = http.Pool(address)

    def expect_era(self, era: int) -> None:
        """Check the store's era soon, as another process has stated a later one.

        Waiting watches end: one on a connection that has failed without an error would
        not receive the store's answer.
        """
        if era > max(self.era, self.expected_era):
            self.expected_era = era
            self._end_watches()

    async def read_all(
        self, prefix: str, *, may_be_outdated: bool = False
    ) -> revisioned.Snapshot:
        """Read every entry under a prefix, page by page.

        A read whose pages are of different eras starts again. One that may be outdated
        by seconds costs a tenth and does not count toward the store's rate limit.
        """
        options = {"serializable": "1"} if may_be_outdated else {}
        for _ in range(1 + MAX_READ_RESTARTS):
            snapshot = await self._read_pages(prefix, options)
            if snapshot is not None:
                return snapshot
        raise _unavailable(f"the era changed during each read of {prefix!r}")

    async def _read_pages(
        self, prefix: str, options: dict[str, str]
    ) -> revisioned.Snapshot | None:
        """Return the entries; ``None`` if the era changed between two pages."""
        entries: list[port.Entry] = []
        revision: revisioned.Revision | None = None
        last_key = ""
        while True:
            position = {"after": last_key} if last_key else {}
            query = {"prefix": prefix} | options | position
            reply = await self._call("read", "GET", "/v1/kv-range", query)
            page = self._decode_body(reply, _Range)
            era = self._decode_era(reply)
            if revision is None:
                # The store may change between two pages. The first page has the oldest
                # revision, so a watch that starts there misses no change.
                revision = revisioned.Revision(era, page.store_revision)
            if era != revision.era:
                return None
            entries += [self._decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return revisioned.Snapshot(entries=tuple(entries), revision=revision)
            if page.items[-1].key == last_key or len(entries) > _decoding.MAX_ELEMENTS:
                # A store that repeats its pages would never end the read.
                raise _unavailable(
                    f"{len(entries)} entries and a page that ends at {last_key!r}"
                )
            last_key = page.items[-1].key

    async def watch_after(
        self, prefix: str, revision: revisioned.Revision, *, brief: bool = False
    ) -> revisioned.Changes:
        """Wait for changes under a prefix after a revision.

        A brief watch returns within a short time even without changes, so that the
        recovery of the store is detected early. Raises ``HistoryLostError`` at once if
        another call receives a response of a later era.
        """
        wait_seconds = BRIEF_WATCH_SECONDS if brief else self.watch_seconds
        margin_seconds = CALL_TIMEOUT_SECONDS if brief else WATCH_MARGIN_SECONDS
        with runtime.open_cancel_scope() as scope:
            self.watch_scopes.add(scope)
            try:
                received = await self._changes_after(
                    "watch",
                    prefix,
                    revision,
                    pool=self.watch_pool,
                    wait_seconds=wait_seconds,
                    timeout_seconds=wait_seconds + margin_seconds,
                )
            finally:
                self.watch_scopes.discard(scope)
        if not scope.cancelled_caught:
            return received
        if self.era > revision.era:
            raise revisioned.HistoryLostError(prefix, revision)
        raise _unavailable(f"another process has stated the era {self.expected_era}")

    async def changes_after(
        self, prefix: str, revision: revisioned.Revision
    ) -> revisioned.Changes:
        """Return the changes under a prefix after a revision without waiting.

        Costs as much as reading one key, however many the prefix has.
        """
        return await self._changes_after(
            "check",
            prefix,
            revision,
            pool=self.call_pool,
            wait_seconds=0.0,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )

    async def _changes_after(
        self,
        kind: str,
        prefix: str,
        revision: revisioned.Revision,
        *,
        pool: http.Pool,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> revisioned.Changes:
        if self.era > revision.era:
            raise revisioned.HistoryLostError(prefix, revision)
        query = {
            "prefix": prefix,
            "after": str(revision.number),
            "wait_ms": str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        reply = await self._call(
            kind,
            "GET",
            "/v1/kv-watch",
            query,
            pool=pool,
            timeout_seconds=timeout_seconds,
        )
        if self.era > revision.era or reply.status == 410:
            raise revisioned.HistoryLostError(prefix, revision)
        received = self._decode_body(reply, _Events)
        changes = tuple(
            port.Change(
                key=item.key, entry=None if item.removed else self._decode_item(item)
            )
            for item in received.events
        )
        return revisioned.Changes(
            changes=changes,
            revision=revisioned.Revision(revision.era, received.store_revision),
        )

    async def grant_lease(self, *, ttl_seconds: float) -> int:
        """Create a lease and return its ID."""
        body = {"ttl_ms": int(ttl_seconds * MILLISECONDS_PER_SECOND)}
        reply = await self._call("grant", "POST", "/v1/kv-lease", body=body)
        return self._decode_body(reply, _Lease).lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return ``False`` if it no longer exists."""
        reply = await self._call("renew", "POST", f"/v1/kv-keep/{lease}")
        return reply.status == 200

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the store deletes the keys attached to it."""
        await self._call("end", "DELETE", f"/v1/kv-lease-end/{lease}")

    async def write(self, transaction: port.Transaction) -> int | revisioned.Conflict:
        """Apply a transaction; return the number of its revision.

        Raises ``LeaseEndedError`` if the lease of a write no longer exists.
        """
        body = {
            "expected": [
                {"key": compare.key, "rev": compare.mod_revision}
                for compare in transaction.compares
            ],
            "writes": [
                {
                    "key": put.key,
                    "value": binascii.b2a_base64(put.value, newline=False).decode(),
                    "lease": put.lease,
                }
                for put in transaction.puts
            ],
            "remove": [delete.key for delete in transaction.deletes],
        }
        reply = await self._call("write", "POST", "/v1/kv-txn", body=body)
        if reply.status == 404:
            raise revisioned.LeaseEndedError(transaction.puts[0].lease)
        if reply.status == 412:
            return revisioned.Conflict(
                entries=tuple(
                    self._decode_item(item)
                    for item in self._decode_body(reply, _Expected).items
                    if item.rev and not item.removed
                )
            )
        return self._decode_body(reply, _WriteResult).rev

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        body: object = None,
        pool: http.Pool | None = None,
        timeout_seconds: float | None = None,
    ) -> http.Response:
        """Send one request and return the reply.

        Raises ``PlantainError`` if there is no reply, its status is not in
        ``_FINAL_STATUSES`` or it is of an earlier era than a previous one. The kind of
        the error is ``CHANGE_UNKNOWN`` if a request other than GET was sent and got no
        reply or one of an earlier era, since the store may have applied it, and
        ``STORE_UNAVAILABLE`` otherwise. ``kind`` names the call in the counters.
        """
        self.count(f"store.calls.{kind}")
        target = f"{path}?{http.encode_query(query)}" if query else path
        encoded = b"" if body is None else msgspec.json.encode(body)
        try:
            reply = await http.call(
                pool or self.call_pool,
                method,
                target,
                encoded,
                timeout_seconds=timeout_seconds or CALL_TIMEOUT_SECONDS,
            )
        except http.UnsentError as error:
            raise _unavailable(str(error)) from error
        except http.UnansweredError as error:
            if method == "GET":
                raise _unavailable(str(error)) from error
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.CHANGE_UNKNOWN, str(error)
            ) from error
        if reply.status not in _FINAL_STATUSES:
            raise _unavailable(f"{path}: unexpected HTTP status {reply.status}")
        era = self._decode_era(reply)
        if era < self.era:
            # A write of an earlier era may be part of the copy.
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.STORE_UNAVAILABLE
                if method == "GET"
                else _exceptions.ErrorKind.CHANGE_UNKNOWN,
                f"{path}: response of era {era} after one of era {self.era}",
            )
        self._record_era(era)
        return reply

    def _decode_era(self, reply: http.Response) -> int:
        text = reply.headers.get(ERA_HEADER, "0")
        if text.isdecimal() and len(text) <= MAX_ERA_DIGITS:
            return int(text)
        self.count("refused.store_response.era")
        raise _unavailable(f"header {ERA_HEADER} is not an era: {text[:64]!r}")

    def _decode_item(self, item: _Item) -> port.Entry:
        """Decode an entry; its value is empty if the store's encoding is invalid."""
        try:
            value = binascii.a2b_base64(item.value)
        except ValueError:
            self.count("refused.store_entry.base64")
            value = b""
        return port.Entry(key=item.key, value=value, mod_revision=item.rev)

    def _decode_body(self, reply: http.Response, body_type: type[T]) -> T:
        try:
            return msgspec.json.decode(reply.body, type=body_type)
        except _decoding.ERRORS as error:
            self.count(f"refused.store_response.{_decoding.reason(error)}")
            raise _unavailable(
                f"cannot decode the store's response: {error}"
            ) from error

    def _record_era(self, era: int) -> None:
        previous, self.era = self.era, era
        is_restored = self.has_response and era > previous
        self.has_response = True
        if is_restored:
            self.on_restored(previous, era)
            self._end_watches()

    def _end_watches(self) -> None:
        for scope in self.watch_scopes:
            scope.cancel()


def _watch_seconds(history_seconds: float, recovery_seconds: float) -> float:
    """Return the wait of a watch.

    Nothing but its timeout shows that a watch got lost in a disruption of the store, so
    the wait leaves room for a delayed response and a new watch.
    """
    allowed_seconds = recovery_seconds - WATCH_MARGIN_SECONDS - RESUMPTION_SECONDS
    return min(
        MAX_WATCH_SECONDS,
        MAX_WATCH_HISTORY_SHARE * history_seconds,
        max(BRIEF_WATCH_SECONDS, allowed_seconds),
    )


def _unavailable(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.STORE_UNAVAILABLE, detail)
