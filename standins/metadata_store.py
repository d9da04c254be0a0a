"""An in-memory stand-in for the platform's metadata store, with its HTTP protocol.

Tests can inject faults: error responses, calls without a response, lost responses to
writes, compaction of the history, and a restoration from an older copy.
"""

import base64
import collections
from collections import abc
import dataclasses
import math
import time
import urllib.parse

import msgspec
import trio

from plantainproxy import _http_server, _types

MAX_PAGE_ITEMS = 500
UNDO_SECONDS = 60.0
"""Age of the oldest copy from which the store can be restored."""
FIRST_LEASE = 1_001


@dataclasses.dataclass(slots=True, kw_only=True)
class Item:
    """Current value, revisions and lease of one key."""

    value: str
    rev: int
    create_rev: int
    lease: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of the store that tests inject."""

    status: int = 0
    """Status returned to every call, which then has no effect; 0 for none."""
    silent: bool = False
    """Calls get no response and have no effect."""
    lose_answers: int = 0
    """Number of further non-GET calls that are applied without a response."""


class MetadataStore:
    """Keys with their history and leases."""

    def __init__(
        self, *, page: int = MAX_PAGE_ITEMS, history_seconds: float = math.inf
    ) -> None:
        """Create an empty store.

        ``page`` limits the items of one range response; changes older than
        ``history_seconds`` are unavailable to watches.
        """
        self.page = page
        self.history_seconds = history_seconds
        self.changed_at: dict[int, float] = {}
        """Time of each change, by revision."""
        self.items: dict[str, Item] = {}
        self.history: list[dict[str, object]] = []
        self.compacted_revision = 0
        """Changes up to this revision are unavailable to watches."""
        self.revision = 1
        self.leases: dict[int, float] = {}
        """Lifetime of each lease in milliseconds; leases do not expire on their own."""
        self.next_lease = FIRST_LEASE
        self.era = 0
        """Number of restorations; responses state it unless it is 0."""
        self.is_restoring = False
        """Whether the store is unavailable until it is restored."""
        self.undo: collections.deque[tuple[float, abc.Callable[[], None]]] = (
            collections.deque()
        )
        """Time of each change and the function that reverts it, oldest first."""
        self.faults = Faults()
        self.calls: list[str] = []
        self.changed = trio.Event()

    def put(self, key: str, value: bytes, *, lease: int = 0) -> None:
        """Write a key directly, as the operator would."""
        self._record_undo(key)
        self.revision += 1
        create_revision = (
            self.items[key].create_rev if key in self.items else self.revision
        )
        self.items[key] = Item(
            value=base64.b64encode(value).decode(),
            rev=self.revision,
            create_rev=create_revision,
            lease=lease,
        )
        self._append_event({"key": key, **dataclasses.asdict(self.items[key])})

    def remove(self, key: str) -> None:
        """Remove a key and record the removal in the history."""
        self._record_undo(key)
        self.revision += 1
        del self.items[key]
        self._append_event({"key": key, "rev": self.revision, "removed": True})

    def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys attached to it."""
        ttl_ms = self.leases.pop(lease)
        self._append_undo(lambda: self.leases.update({lease: ttl_ms}))
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def compact_history(self) -> None:
        """Discard the history, so that watches cannot resume from earlier revisions."""
        self.history.clear()
        self.compacted_revision = self.revision
        self._notify_watches()

    def fail(self) -> None:
        """Become unavailable, also to the watches that wait, until ``restore``."""
        self.is_restoring = True
        self._notify_watches()

    def restore(self, *, seconds_older: float) -> None:
        """Become available with the content of some seconds ago, in the next era."""
        self.restore_copy(copied_at=time.monotonic() - seconds_older)

    def restore_copy(self, *, copied_at: float) -> None:
        """Become available with the content of a time on the monotonic clock.

        Changes and leases from then on are lost; their revisions and IDs are assigned
        again.
        """
        while self.undo and self.undo[-1][0] >= copied_at:
            _, revert = self.undo.pop()
            revert()
        self.history = [
            event for event in self.history if int(str(event["rev"])) <= self.revision
        ]
        self.changed_at = {
            revision: changed_at
            for revision, changed_at in self.changed_at.items()
            if revision <= self.revision
        }
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1
        self.is_restoring = False
        self._notify_watches()

    async def drill(self, *, outage_seconds: float, seconds_older: float) -> None:
        """Be unavailable for some time, then return with an older copy."""
        self.fail()
        await trio.sleep(outage_seconds)
        self.restore(seconds_older=seconds_older + outage_seconds)

    async def handle(self, request: _http_server.Request) -> _http_server.Response:
        """Handle one call, subject to the active faults."""
        response = await self._handle(request)
        if not self.era:
            return response
        return response._replace(headers=(("Store-Era", str(self.era)),))

    async def _handle(self, request: _http_server.Request) -> _http_server.Response:
        path, _, query_text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        self.calls.append(f"{request.method} {path}")
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.status:
            return _http_server.Response(self.faults.status, b"{}")
        if self.is_restoring:
            return _json(503, {})
        if path == "/v1/kv-watch":
            return await self._watch(query)
        response = self._handle_call(path, query, request.body)
        if request.method != "GET" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await trio.sleep_forever()
        return response

    def _handle_call(
        self, path: str, query: dict[str, str], body: bytes
    ) -> _http_server.Response:
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-txn":
            return self._transact(msgspec.json.decode(body))
        if path == "/v1/kv-lease":
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = msgspec.json.decode(body)["ttl_ms"]
            self._append_undo(lambda: self._revert_grant(lease))
            return _json(200, {"lease": lease, "ttl_ms": self.leases[lease]})
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return _json(404, {})
            self.revoke_lease(lease)
            return _json(200, {})
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            return _json(200 if lease in self.leases else 404, {})
        return _json(404, {})

    def _range(self, query: dict[str, str]) -> _http_server.Response:
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        page_items = [
            {"key": key, **dataclasses.asdict(self.items[key])}
            for key in keys[: self.page]
        ]
        return _json(
            200,
            {
                "items": page_items,
                "has_more": len(keys) > self.page,
                "store_revision": self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> _http_server.Response:
        after = int(query["after"])
        with trio.move_on_after(int(query["wait_ms"]) / 1_000):
            while True:
                if self.is_restoring:
                    return _json(503, {})
                if after > self.revision or self._is_compacted(after):
                    return _json(410, {})
                if self._events(query["prefix"], after):
                    break
                await self.changed.wait()
        # A change may arrive together with the end of the wait.
        events = self._events(query["prefix"], after)
        if not events and self._is_compacted(after):
            return _json(410, {})
        return _json(200, {"events": events, "store_revision": self.revision})

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            event
            for event in self.history
            if int(str(event["rev"])) > after and str(event["key"]).startswith(prefix)
        ]

    def _is_compacted(self, after: int) -> bool:
        """Return whether any change after a revision is unavailable to watches.

        Changes older than ``history_seconds`` are marked as compacted first.
        """
        expiry_cutoff = time.monotonic() - self.history_seconds
        for revision, changed_at in self.changed_at.items():
            if changed_at < expiry_cutoff:
                self.compacted_revision = max(self.compacted_revision, revision)
        return after < self.compacted_revision

    def _transact(
        self, transaction: dict[str, list[dict[str, object]]]
    ) -> _http_server.Response:
        for row in transaction["expected"]:
            item = self.items.get(str(row["key"]))
            if (item.rev if item else 0) != row["rev"]:
                return _json(412, {"items": self._expected_items(transaction)})
        for row in transaction["writes"]:
            if row["lease"] and row["lease"] not in self.leases:
                return _json(404, {})
        for row in transaction["writes"]:
            value = base64.b64decode(str(row["value"]))
            self.put(str(row["key"]), value, lease=int(str(row["lease"])))
        for key in transaction["remove"]:
            self.remove(str(key))
        return _json(200, {"rev": self.revision})

    def _expected_items(
        self, transaction: dict[str, list[dict[str, object]]]
    ) -> list[dict[str, object]]:
        keys = [str(row["key"]) for row in transaction["expected"]]
        return [
            {"key": key, **dataclasses.asdict(self.items[key])}
            for key in keys
            if key in self.items
        ]

    def _record_undo(self, key: str) -> None:
        """Record how to revert the next change, which is of this key."""
        previous, revision = self.items.get(key), self.revision

        def revert() -> None:
            self.revision = revision
            if previous is None:
                self.items.pop(key, None)
            else:
                self.items[key] = previous

        self._append_undo(revert)

    def _append_undo(self, revert: abc.Callable[[], None]) -> None:
        now = time.monotonic()
        self.undo.append((now, revert))
        while now - self.undo[0][0] > UNDO_SECONDS:
            self.undo.popleft()

    def _revert_grant(self, lease: int) -> None:
        self.leases.pop(lease, None)
        self.next_lease = lease

    def _append_event(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self.changed_at[self.revision] = time.monotonic()
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


def _json(status: int, body: object) -> _http_server.Response:
    return _http_server.Response(status, msgspec.json.encode(body))


async def serve(store: MetadataStore, address: _types.Address) -> None:
    """Serve a store's HTTP protocol until cancelled."""
    await _http_server.serve(address, store.handle)
