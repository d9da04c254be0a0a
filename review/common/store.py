"""Stand-in of the platform's metadata store, as its protocol page describes it."""

import asyncio
import base64
import collections
import json
import random
import time
import typing
import urllib.parse

from common import http1

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500


class Store:
    """Keys, leases and history; answers can be lost for a while."""

    def __init__(self, *, history_seconds: float) -> None:
        """Start empty."""
        self.history_seconds = history_seconds
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.events: collections.deque[tuple[float, dict[str, typing.Any]]] = (
            collections.deque()
        )
        self.revision = 1
        self.forgotten = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1_001
        self.changed = asyncio.Event()
        self.lost_share = 0.0
        self.answered: collections.Counter[str] = collections.Counter()
        self.lost: collections.Counter[str] = collections.Counter()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator does; return the revision."""
        self.revision += 1
        made = self.items.get(key, {}).get("create_rev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create_rev": made,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "rev": self.revision, "removed": True})

    def _record(self, event: dict[str, typing.Any]) -> None:
        now = time.monotonic()
        self.events.append((now, event))
        while now - self.events[0][0] > self.history_seconds:
            self.forgotten = self.events.popleft()[1]["rev"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """End leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (end, _) in list(self.leases.items()):
                if now >= end:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(
        self, method: str, target: str, body: bytes, _: asyncio.StreamWriter
    ) -> tuple[int, object] | None:
        """Handle one call, and lose the answers of a share of the calls."""
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        kind = path.removeprefix("/v1/").partition("/")[0]
        await asyncio.sleep(ANSWER_SECONDS)
        if kind == "kv-watch":
            answer = await self._watch(query)
        else:
            answer = self._call(method, path, kind, query, body)
        if random.random() < self.lost_share:
            self.lost[kind] += 1
            return None
        self.answered[kind] += 1
        return answer

    def _call(
        self, method: str, path: str, kind: str, query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        if kind == "kv-range":
            return self._range(query)
        if kind == "kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if kind == "kv-txn":
            return self._transact(json.loads(body))
        if kind == "kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if kind == "kv-keep":
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
        elif method == "DELETE":
            self._end_lease(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> tuple[int, object]:
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        return 200, {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after, deadline = (
            int(query["after"]),
            time.monotonic() + int(query["wait_ms"]) / 1_000,
        )
        while True:
            if after < self.forgotten or after > self.revision:
                return 410, {}
            found = [
                event
                for _, event in self.events
                if event["rev"] > after and event["key"].startswith(query["prefix"])
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, call: dict[str, typing.Any]) -> tuple[int, object]:
        for row in call["expected"]:
            if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                rows = [self.items.get(each["key"]) for each in call["expected"]]
                return 412, {"items": [item for item in rows if item]}
        if any(row["lease"] not in (0, *self.leases) for row in call["writes"]):
            return 404, {}
        for row in call["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in call["remove"]:
            self.remove(key)
        return 200, {"rev": self.revision}


async def serve(store: Store, host: str, port: int) -> asyncio.Server:
    """Serve the store's calls."""
    return await http1.serve(host, port, store.handle)
