"""Tests the stand-in for the platform's metadata store."""

import itertools
import time

import msgspec
import pytest
import trio
import trio.testing

from plantainproxy import _http_server
from standins import metadata_store

WAIT_SECONDS = 0.36
REPETITIONS = 30
"""The order of tasks that wake up at the same time is random, so that this many watches
meet both orders."""


def test_a_watch_that_ends_while_a_key_changes_loses_no_change() -> None:
    """Events and revision of a response belong together.

    A response whose revision includes a change that its events lack makes a follower
    wait for this change for good.
    """

    async def watch(store: metadata_store.MetadataStore) -> None:
        before = store.revision
        query = f"prefix=a/&after={before}&wait_ms={round(WAIT_SECONDS * 1_000)}"
        request = _http_server.Request("GET", f"/v1/kv-watch?{query}", b"")
        body = msgspec.json.decode((await store.handle(request)).body)
        if body["store_revision"] > before:
            assert [event["rev"] for event in body["events"]] == [before + 1]

    async def change(store: metadata_store.MetadataStore) -> None:
        await trio.sleep(WAIT_SECONDS)
        store.put("a/1", b"changed")

    async def run() -> None:
        store = metadata_store.MetadataStore()
        for _ in range(REPETITIONS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch, store)
                nursery.start_soon(change, store)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_copy_lacks_a_change_that_was_made_right_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time of a copy must not depend on how long the call to restore it takes.

    A copy that is given by its age keeps a change that followed it by less than the
    call takes. A test that expects the change to be lost then waits for good.
    """
    clock = itertools.count(1_000.0, 0.001)
    monkeypatch.setattr(time, "monotonic", lambda: next(clock))
    store = metadata_store.MetadataStore()
    copied_at = time.monotonic()
    store.put("a/1", b"changed")
    for _ in range(10):
        time.monotonic()
    store.restore_copy(copied_at=copied_at)
    assert store.items == {}
