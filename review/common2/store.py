"""Stand-in of the platform's store: HTTP/1.1, keys, watches, transactions, leases.

It is a sound store: linearizable, loses nothing, ends leases on time. Two disruptions
can be switched on from outside:

* ``silent``: no call that arrives meanwhile gets a response or has an effect, from all
  callers or from the machines in ``silent_for``, each of which has an address of its
  own at which it reaches the store. A watch that waited before goes on
  waiting, and gets what it missed once the disruption is over.
* ``status``: each call gets this status and has no effect.
"""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse


class Store:
    """The items, their history and the leases."""

    def __init__(self, address, record):
        """Create an empty store."""
        self.address = address
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.silent = False
        self.silent_for = None
        self.status = 0

    async def start(self):
        """Listen, and end leases on time."""
        self.servers = []
        await self.listen(self.address)
        self.expiry = asyncio.create_task(self._expire())

    async def listen(self, address):
        """Listen at one more address."""
        self.servers.append(await asyncio.start_server(self._serve, *address))

    def put(self, key, value, lease=0):
        """Write a key; the operator's writes use this directly."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create_rev": old["create_rev"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._event(item)
        return self.revision

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._event({"key": key, "rev": self.revision, "removed": True})

    def _event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    def _is_silent(self, host):
        return self.silent and (self.silent_for is None or host in self.silent_for)

    async def _serve(self, reader, writer):
        # The address at which the caller reached the store tells the caller's machine.
        host = writer.get_extra_info("sockname")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                length = 0
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                if self._is_silent(host):
                    await asyncio.sleep(3600)
                path, _, query_text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query_text))
                if self.status:
                    status, answer = self.status, {}
                elif path == "/v1/kv-watch":
                    status, answer = await self._watch(query, host)
                else:
                    status, answer = self._call(method, path, query, body)
                encoded = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(encoded)}\r\n\r\n".encode()
                    + encoded
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _watch(self, query, host):
        after, prefix = int(query["after"]), query["prefix"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = [
                e
                for e in self.events
                if e["rev"] > after and e["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if self._is_silent(host):
                await asyncio.sleep(0.02)
                continue
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))

    def _call(self, method, path, query, body):
        if path == "/v1/kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if path == "/v1/kv-txn":
            return self._transact(json.loads(body))
        if path == "/v1/kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (
                ttl_ms,
                time.monotonic() + ttl_ms / 1000,
            )
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _transact(self, transaction):
        expected = transaction.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {
                    "items": [
                        self.items[r["key"]] for r in expected if r["key"] in self.items
                    ]
                }
        for row in transaction.get("writes", []):
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in transaction.get("writes", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in transaction.get("remove", []):
            if key in self.items:
                self.remove(key)
        return 200, {"rev": self.revision}
