"""Client of the platform's metadata store, a revisioned key-value store with leases."""

import base64
from collections import abc
import math
import typing
import urllib.parse

import msgspec

from plantainproxy import _exceptions, _types
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
WATCH_MARGIN_SECONDS = 3.0
"""Allowed delay of the response to a watch after the end of its wait."""
MILLISECONDS_PER_SECOND = 1_000

_FINAL_STATUSES = frozenset((200, 404, 410, 412))


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    rev: int = 0
    removed: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    # Revision of the store; each item also has a separate revision.
    store_revision: int


class _Events(msgspec.Struct):
    events: list[_Item]
    store_revision: int


class _WriteResult(msgspec.Struct):
    rev: int


class _Lease(msgspec.Struct):
    lease: int


class MetadataStore:
    """Client with pooled connections to the store.

    Implements ``revisioned.RevisionedStore`` and ``revisioned.LeasingStore``.
    """

    def __init__(
        self,
        address: _types.Address,
        *,
        history_seconds: float = math.inf,
        count: abc.Callable[[str], None] = lambda name: None,
    ) -> None:
        """Create a client; connections are opened on demand.

        ``history_seconds`` is how long the store retains changes for watches.
        ``count`` increments the counter with the given name.
        """
        self.address = address
        self.count = count
        self.watch_seconds = min(
            MAX_WATCH_SECONDS, MAX_WATCH_HISTORY_SHARE * history_seconds
        )
        self.call_pool = http.Pool(address)
        self.watch_pool = http.Pool(address)

    async def read_all(self, prefix: str) -> revisioned.Snapshot:
        """Read every entry under a prefix, page by page."""
        entries: list[port.Entry] = []
        revision = 0
        last_key = ""
        while True:
            query = {"prefix": prefix} | ({"after": last_key} if last_key else {})
            reply = await self._call("read", "GET", "/v1/kv-range", query)
            page = _decode_body(reply, _Range)
            # The store may change between two pages. The first page has the oldest
            # revision, so a watch that starts there misses no change.
            revision = revision or page.store_revision
            entries += [_decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return revisioned.Snapshot(entries=tuple(entries), revision=revision)
            last_key = page.items[-1].key

    async def watch_after(
        self, prefix: str, revision: int, *, brief: bool = False
    ) -> revisioned.Changes:
        """Wait for changes under a prefix after a revision.

        A brief watch returns within a short time even without changes, so that the
        recovery of the store is detected early.
        """
        wait_seconds = BRIEF_WATCH_SECONDS if brief else self.watch_seconds
        margin_seconds = CALL_TIMEOUT_SECONDS if brief else WATCH_MARGIN_SECONDS
        query = {
            "prefix": prefix,
            "after": str(revision),
            "wait_ms": str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        reply = await self._call(
            "watch",
            "GET",
            "/v1/kv-watch",
            query,
            pool=self.watch_pool,
            timeout_seconds=wait_seconds + margin_seconds,
        )
        if reply.status == 410:
            raise revisioned.HistoryLostError(prefix, revision)
        received = _decode_body(reply, _Events)
        changes = tuple(
            port.Change(
                key=item.key, entry=None if item.removed else _decode_item(item)
            )
            for item in received.events
        )
        return revisioned.Changes(changes=changes, revision=received.store_revision)

    async def grant_lease(self, *, ttl_seconds: float) -> int:
        """Create a lease and return its ID."""
        body = {"ttl_ms": int(ttl_seconds * MILLISECONDS_PER_SECOND)}
        reply = await self._call("grant", "POST", "/v1/kv-lease", body=body)
        return _decode_body(reply, _Lease).lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return ``False`` if it no longer exists."""
        reply = await self._call("renew", "POST", f"/v1/kv-keep/{lease}")
        return reply.status == 200

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the store deletes the keys attached to it."""
        await self._call("end", "DELETE", f"/v1/kv-lease-end/{lease}")

    async def write(self, transaction: port.Transaction) -> int | None:
        """Apply a transaction; return its revision, or ``None`` if a condition failed.

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
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in transaction.puts
            ],
            "remove": [delete.key for delete in transaction.deletes],
        }
        reply = await self._call("write", "POST", "/v1/kv-txn", body=body)
        if reply.status == 404:
            raise revisioned.LeaseEndedError(transaction.puts[0].lease)
        if reply.status != 200:
            return None
        return _decode_body(reply, _WriteResult).rev

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

        Raises ``PlantainError`` if there is no reply or its status is not in
        ``_FINAL_STATUSES``. The kind of the error is ``CHANGE_UNKNOWN`` if a request
        other than GET was sent and not answered, since the store may have applied it,
        and ``STORE_UNAVAILABLE`` otherwise. ``kind`` names the call in the counters.
        """
        self.count(f"store.calls.{kind}")
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
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
        return reply


def _unavailable(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.STORE_UNAVAILABLE, detail)


def _decode_item(item: _Item) -> port.Entry:
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        value = b""
    return port.Entry(key=item.key, value=value, mod_revision=item.rev)


def _decode_body(reply: http.Response, body_type: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=body_type)
    except msgspec.DecodeError as error:
        raise _unavailable(f"cannot decode the store's response: {error}") from error
