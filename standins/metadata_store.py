"""A small metadata store that speaks the users' platform's protocol, in memory.

Faults are switched on by tests: it can refuse, stay silent, lose answers and forget
its history.
"""

import base64
import dataclasses
import math
import time
import urllib.parse

import msgspec
import trio

from plantainproxy import _http_server, _types

MAX_PAGE_ITEMS = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class Item:
    """One key."""

    value: str
    rev: int
    create_rev: int
    lease: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """What the store does wrong."""

    status: int = 0
    """Every call is answered with this status and does nothing; 0 for none."""
    silent: bool = False
    """Calls get no answer and do nothing."""
    lose_answers: int = 0
    """So many writes are done and not answered."""


class MetadataStore:
    """The keys, their history and their leases."""

    def __init__(
        self, *, page: int = MAX_PAGE_ITEMS, history_seconds: float = math.inf
    ) -> None:
        """Start empty."""
        self.page = page
        self.history_seconds = history_seconds
        self.changed_at: dict[int, float] = {}
        """The time of each change that is in the history, by revision."""
        self.items: dict[str, Item] = {}
        self.history: list[dict[str, object]] = []
        self.compacted_revision = 0
        """Changes up to this revision have been forgotten."""
        self.revision = 1
        self.leases: dict[int, float] = {}
        """The lifetime of each lease in milliseconds; they do not end by themselves."""
        self.faults = Faults()
        self.calls: list[str] = []
        self.changed = trio.Event()

    def put(self, key: str, value: bytes, *, lease: int = 0) -> None:
        """Write a key as the operator would."""
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
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._append_event({"key": key, "rev": self.revision, "removed": True})

    def revoke_lease(self, lease: int) -> None:
        """Let a lease run out."""
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def compact_history(self) -> None:
        """Drop what watches need to resume."""
        self.history.clear()
        self.compacted_revision = self.revision
        self._notify_watches()

    async def handle(self, request: _http_server.Request) -> _http_server.Response:
        """Answer one call."""
        path, _, query_text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        self.calls.append(f"{request.method} {path}")
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.status:
            return _http_server.Response(self.faults.status, b"{}")
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
            lease = len(self.calls) + 1_000
            self.leases[lease] = msgspec.json.decode(body)["ttl_ms"]
            return _json(200, {"lease": lease, "ttl_ms": self.leases[lease]})
        if path.startswith("/v1/kv-lease-end/"):
            self.revoke_lease(int(path.rpartition("/")[2]))
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
                if self._is_compacted(after):
                    return _json(410, {})
                events = [
                    event
                    for event in self.history
                    if int(str(event["rev"])) > after
                    and str(event["key"]).startswith(query["prefix"])
                ]
                if events:
                    break
                await self.changed.wait()
        if not events and self._is_compacted(after):
            return _json(410, {})
        return _json(200, {"events": events, "store_revision": self.revision})

    def _is_compacted(self, after: int) -> bool:
        """Return whether changes after a revision have been forgotten."""
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
                return _json(412, {"items": []})
        for row in transaction["writes"]:
            if row["lease"] and row["lease"] not in self.leases:
                return _json(404, {})
        for row in transaction["writes"]:
            value = base64.b64decode(str(row["value"]))
            self.put(str(row["key"]), value, lease=int(str(row["lease"])))
        for key in transaction["remove"]:
            self.remove(str(key))
        return _json(200, {"rev": self.revision})

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
    """Answer calls for ever."""
    await _http_server.serve(address, store.handle)
