"""Tests of when a process watches the store itself, on a simulated clock."""

from collections import abc

import trio
import trio.testing

from plantainproxy.flows import event_log
from plantainproxy.flows.control import documents
from plantainproxy.flows.stored import follower
from plantainproxy.store import revisioned

PREFIX = "p/"
WATCH_SECONDS = 18.0


class _CountingStore:
    """A store without entries that counts reads and watches."""

    def __init__(self) -> None:
        self.reads = 0
        self.watch_times: list[float] = []
        self.era = 0

    async def read_all(
        self, prefix: str, *, may_be_outdated: bool = False
    ) -> revisioned.Snapshot:
        self.reads += 1
        return revisioned.Snapshot(entries=(), revision=revisioned.Revision(0, 1))

    async def watch_after(
        self, prefix: str, revision: revisioned.Revision, *, brief: bool = False
    ) -> revisioned.Changes:
        self.watch_times.append(trio.current_time())
        await trio.sleep(WATCH_SECONDS)
        return revisioned.Changes(changes=(), revision=revision)

    async def changes_after(
        self, prefix: str, revision: revisioned.Revision
    ) -> revisioned.Changes:
        raise NotImplementedError


def _follow_for(
    seconds: float,
    *,
    is_needed: abc.Callable[[], bool],
    may_be_relayed: bool = True,
) -> _CountingStore:
    store = _CountingStore()

    async def main() -> None:
        with trio.move_on_after(seconds):
            await follower.follow(
                store,
                PREFIX,
                apply_entries=lambda entries, revision: None,
                log=event_log.EventLog("test"),
                is_needed=is_needed,
                grace_seconds=documents.FIRST_WATCH_GRACE_SECONDS,
                may_be_relayed=lambda: may_be_relayed,
            )

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    return store


def test_a_process_that_relays_cover_reads_the_store_once() -> None:
    """The notice of a relay arrives shortly after the start."""
    store = _follow_for(60.0, is_needed=lambda: trio.current_time() < 0.3)
    assert store.reads == 1
    assert store.watch_times == []


def test_a_process_without_a_relay_watches_at_once() -> None:
    """No sidecar of its domain is listed, so no relay can take over."""
    store = _follow_for(30.0, is_needed=lambda: True, may_be_relayed=False)
    assert store.reads == 1
    assert len(store.watch_times) == 2


def test_a_watch_without_changes_raises_the_revision() -> None:
    """Guards against a list that is too old to be compared with the store's history."""
    store = _CountingStore()
    revisions: list[revisioned.Revision] = []

    async def main() -> None:
        with trio.move_on_after(2 * WATCH_SECONDS + 1.0):
            await follower.follow(
                store,
                PREFIX,
                apply_entries=lambda entries, revision: None,
                log=event_log.EventLog("test"),
                on_unchanged=revisions.append,
            )

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert revisions == [revisioned.Revision(0, 1)] * 2


def test_a_process_whose_relays_fall_silent_reads_and_watches_again() -> None:
    """What changed in the meantime may no longer be in the store's history."""

    def is_needed() -> bool:
        return not 0.3 <= trio.current_time() <= 40.0

    store = _follow_for(50.0, is_needed=is_needed)
    assert store.reads == 2
    assert len(store.watch_times) == 1
