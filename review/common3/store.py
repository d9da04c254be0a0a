"""Stand-in of the platform's metadata store: keys, revisions, leases and watches."""

import asyncio
import base64
import contextlib
import time
import typing

from review.common3 import http_io

MAX_PAGE_ITEMS = 500


class Store:
    """The keys, their history and the leases."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.history: list[dict[str, typing.Any]] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        """Lifetime and end of each lease."""
        self.next_lease = 1_000
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key; the operator calls this directly."""
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create_rev": created,
            "lease": lease,
        }
        self._record(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "rev": self.revision, "removed": True})

    def _record(self, event: dict[str, typing.Any]) -> None:
        self.history.append(dict(event))
        self.changed.set()
        self.changed = asyncio.Event()

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix, sorted."""
        return sorted(key for key in self.items if key.startswith(prefix))

    async def expire_leases(self) -> None:
        """End the leases that are over, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)
        return True

    async def handle(
        self, method: str, path: str, query: dict[str, str], body: typing.Any
    ) -> http_io.Answer:
        """Answer one call."""
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            found = {**item, "store_revision": self.revision} if item else {}
            return (200 if item else 404), found
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            seconds = body["ttl_ms"] / 1_000
            self.leases[self.next_lease] = (seconds, time.monotonic() + seconds)
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            seconds = self.leases[lease][0]
            self.leases[lease] = (seconds, time.monotonic() + seconds)
            return 200, {"ttl_ms": round(seconds * 1_000)}
        return (200 if self.end_lease(lease) else 404), {}

    def _range(self, query: dict[str, str]) -> http_io.Answer:
        after = query.get("after", "")
        keys = [key for key in self.keys(query["prefix"]) if key > after]
        return 200, {
            "items": [self.items[key] for key in keys[:MAX_PAGE_ITEMS]],
            "has_more": len(keys) > MAX_PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> http_io.Answer:
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1_000
        after = int(query["after"])
        while True:
            events = self._events(query["prefix"], after)
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _events(self, prefix: str, after: int) -> list[dict[str, typing.Any]]:
        events = []
        for event in reversed(self.history):
            if event["rev"] <= after:
                break
            if event["key"].startswith(prefix):
                events.append(event)
        return events[::-1]

    def _transact(self, body: typing.Any) -> http_io.Answer:
        expected = body.get("expected") or []
        rows = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = rows[row["key"]]
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [found for found in rows.values() if found]}
        writes = body.get("writes") or []
        if any(row["lease"] and row["lease"] not in self.leases for row in writes):
            return 404, {}
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body.get("remove") or []:
            self.remove(key)
        return 200, {"rev": self.revision}
