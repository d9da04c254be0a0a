"""The follower sends each newer document once; revisions never decrease."""

from collections import abc
import dataclasses
import random

import pytest
import trio
import trio.testing

from plantainproxy import _types
from plantainproxy.config import change, document, edit, follow, keys, model
from plantainproxy.core import configuration as configuration_core
from plantainproxy.store import memory, port

PREFIX = "t/"
EMPTY = model.Configuration(revision=0)
HANG_GUARD_SECONDS = 600


async def apply(
    store: memory.MemoryStore, base: model.Configuration | None, pool: str
) -> model.Configuration:
    """Commit a change that sets one pool."""
    return await change.apply(
        store,
        prefix=PREFIX,
        base=base,
        proposed=edit.set_pool(base or EMPTY, model.Pool(name=pool)),
        change_id=pool,
        operator="o",
        reason="r",
        now=5.0,
    )


async def put(store: memory.MemoryStore, key: str, value: bytes) -> None:
    """Write a value without any validation."""
    await store.commit(
        port.Transaction(compares=(), puts=(port.Put(key=key, value=value),))
    )


Receiver = trio.MemoryReceiveChannel[configuration_core.Document]
Main = abc.Callable[[memory.MemoryStore, Receiver], abc.Awaitable[None]]


def run(
    main: Main, local_documents: configuration_core.DocumentSet | None = None
) -> memory.MemoryStore:
    """Run a follower while ``main`` changes the store, in virtual time."""
    store = memory.MemoryStore()

    async def run_both() -> None:
        sender, receiver = trio.open_memory_channel[configuration_core.Document](9)
        follower = follow.Follower(
            store,
            prefix=PREFIX,
            current_documents=lambda: (
                local_documents or configuration_core.DocumentSet()
            ),
            updates=sender,
            wall_clock=lambda: 7.0,
            generator=random.Random(1),
        )
        with trio.fail_after(HANG_GUARD_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follow.run, follower)
                await main(store, receiver)
                nursery.cancel_scope.cancel()

    trio.run(run_both, clock=trio.testing.MockClock(autojump_threshold=0))
    return store


def test_changes_are_sent_and_the_key_set_is_created() -> None:
    """With an empty store, a key set is created and sent, but no configuration."""

    async def main(store: memory.MemoryStore, receiver: Receiver) -> None:
        key_set = await receiver.receive()
        assert key_set == await keys.read(store, prefix=PREFIX)
        await trio.sleep(10)
        with pytest.raises(trio.WouldBlock):
            receiver.receive_nowait()
        first = await apply(store, None, "a")
        assert await receiver.receive() == first
        second = await apply(store, first, "b")
        assert await receiver.receive() == second

    run(main)


def test_a_configuration_is_read_again_only_after_it_changed() -> None:
    """Restarting a watch does not transfer a possibly large document again."""
    key = document.key(PREFIX)

    async def main(store: memory.MemoryStore, receiver: Receiver) -> None:
        await receiver.receive()
        first = await apply(store, None, "a")
        assert await receiver.receive() == first
        before = store.value_reads[key]
        for _ in range(3):
            memory.break_watches(store)
            await trio.sleep(10)
        assert store.value_reads[key] == before
        memory.break_watches(store)
        second = await apply(store, first, "b")
        assert await receiver.receive() == second

    run(main)


def test_a_key_set_that_the_process_holds_is_stored_again() -> None:
    """A store that lost its content gets the same keys back."""
    key_set = dataclasses.replace(keys.create(), revision=4)

    async def main(store: memory.MemoryStore, receiver: Receiver) -> None:
        assert await receiver.receive() == key_set
        assert await keys.read(store, prefix=PREFIX) == key_set

    run(main, configuration_core.DocumentSet(key_set=key_set))


@pytest.mark.parametrize("fault", ["broken", "outage", "stale"])
def test_a_change_during_a_fault_is_sent_after_it(fault: str) -> None:
    """After the fault, the follower reads again; stale reads are not sent."""

    async def main(store: memory.MemoryStore, receiver: Receiver) -> None:
        await receiver.receive()
        first = await apply(store, None, "a")
        assert await receiver.receive() == first
        old_entries = dict(store.entries)
        second = await apply(store, first, "b")
        assert await receiver.receive() == second
        store.down = fault == "outage"
        store.stale = old_entries if fault == "stale" else None
        memory.break_watches(store)
        await trio.sleep(30)
        store.down = False
        store.stale = None
        third = await apply(store, second, "c")
        assert await receiver.receive() == third

    run(main)


@pytest.mark.parametrize(
    "stored",
    [
        b"torn",
        document.encode(model.Configuration(revision=1)),
        document.encode(model.Configuration(revision=9, pools=(model.Pool(name=""),))),
        document.encode(
            model.Configuration(revision=9, drained=(_types.Address("x", 70_000),))
        ),
    ],
    ids=["unreadable", "older", "invalid", "no address"],
)
def test_an_unusable_document_is_ignored(stored: bytes) -> None:
    """Malformed, older and invalid documents are not sent."""

    async def main(store: memory.MemoryStore, receiver: Receiver) -> None:
        await receiver.receive()
        first = await apply(store, None, "a")
        second = await apply(store, first, "b")
        assert await receiver.receive() == first
        assert await receiver.receive() == second
        await put(store, document.key(PREFIX), stored)
        await trio.sleep(10)
        later = dataclasses.replace(second, revision=10)
        await put(store, document.key(PREFIX), document.encode(later))
        assert await receiver.receive() == later

    run(main)
