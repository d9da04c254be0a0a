"""Tests of the store's client, follower and registration across a restoration.

The stand-in store returns from a copy some seconds older, in the next era.
"""

import base64
from collections import abc
import contextlib
import functools
import socket
import time

import msgspec
import pytest
import trio

from plantainproxy import _exceptions, _http_server, _types
from plantainproxy.flows import event_log, policy
from plantainproxy.flows.stored import (
    flow_record,
    flow_snapshot,
    follower,
    registry,
)
from plantainproxy.platform import metadata_store
from plantainproxy.store import port, revisioned
from standins import metadata_store as standin
from testbed import transparent

DEADLINE_SECONDS = 20.0
RETURN_SECONDS = 2.0
"""Time after the store's return in which every sidecar has to be listed again."""
MAX_WRITES_PER_SECOND = 1_200
"""The users' limit for the store."""
SIDECARS = 40
"""Enough to see how the calls are spread, on one processor."""


def _free_address() -> _types.Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return _types.Address(*probe.getsockname())


Test = abc.Callable[
    [standin.MetadataStore, metadata_store.MetadataStore, trio.Nursery],
    abc.Awaitable[None],
]


def _run(test: Test, store: standin.MetadataStore | None = None) -> None:
    server = store or standin.MetadataStore()
    address = _free_address()

    async def main() -> None:
        with trio.fail_after(DEADLINE_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(standin.serve, server, address)
                await _wait_until_listening(address)
                await test(server, metadata_store.MetadataStore(address), nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def _wait_until_listening(address: _types.Address) -> None:
    while True:
        with contextlib.suppress(OSError):
            stream = await trio.open_tcp_stream(*address)
            await stream.aclose()
            return
        await trio.sleep(0.01)


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await trio.sleep(0.01)


def _register(
    nursery: trio.Nursery, client: metadata_store.MetadataStore, number: int = 1
) -> registry.Registration:
    entry = registry.Entry(host=f"10.0.0.{number}", message_port=7700, data_port=7800)
    registration = registry.Registration(client, entry, event_log.EventLog("test"))
    nursery.start_soon(registry.maintain_registration, registration)
    return registration


def test_a_store_without_the_header_is_of_era_zero() -> None:
    """The store has no such header until its first restoration."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        restored: list[tuple[int, int]] = []
        client.on_restored = lambda previous, era: restored.append((previous, era))
        server.put("a/1", b"one")
        snapshot = await client.read_all("a/")
        assert snapshot.revision == revisioned.Revision(0, server.revision)
        copied_at = time.monotonic()
        server.put("a/2", b"two")
        server.restore_copy(copied_at=copied_at)
        snapshot = await client.read_all("a/")
        assert snapshot.revision == revisioned.Revision(1, server.revision)
        assert [entry.key for entry in snapshot.entries] == ["a/1"]
        assert restored == [(0, 1)]

    _run(check)


def test_the_first_response_of_a_process_is_no_restoration() -> None:
    """A process that starts in a later era has nothing to write again."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.restore(seconds_older=0.0)
        client.on_restored = lambda previous, era: pytest.fail("no restoration")
        await client.read_all("a/")
        assert client.era == 1

    _run(check)


def test_an_invalid_header_is_a_failure_of_the_store() -> None:
    """Otherwise a response of unknown era would be applied."""

    class InvalidStore(standin.MetadataStore):
        async def handle(self, request: _http_server.Request) -> _http_server.Response:
            response = await super().handle(request)
            return response._replace(headers=(("Store-Era", "-1"),))

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        with pytest.raises(_exceptions.PlantainError, match="store-era"):
            await client.read_all("a/")

    _run(check, InvalidStore())


class _RestoredBetweenPages(standin.MetadataStore):
    """A store that is restored before the second page of the first reads."""

    restorations = 1

    def _range(self, query: dict[str, str]) -> _http_server.Response:
        if "after" in query and self.era < self.restorations:
            self.remove("a/0")
            self.restore(seconds_older=0.0)
        return super()._range(query)


def _put_two_pages(server: standin.MetadataStore) -> None:
    for number in range(5):
        server.put(f"a/{number}", b"x")


def test_a_read_whose_pages_are_of_two_eras_starts_again() -> None:
    """The first page has a key that the store no longer has."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        _put_two_pages(server)
        snapshot = await client.read_all("a/")
        assert snapshot.revision.era == 1
        assert [entry.key for entry in snapshot.entries] == [
            f"a/{number}" for number in range(1, 5)
        ]

    _run(check, _RestoredBetweenPages(page=3))


def test_a_read_gives_up_when_the_era_changes_in_each_of_its_attempts() -> None:
    """It must not hold up its task for as long as the store is faulty."""

    class AlwaysRestored(_RestoredBetweenPages):
        restorations = 100

        def remove(self, key: str) -> None:
            """Keep all keys."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        _put_two_pages(server)
        with pytest.raises(_exceptions.PlantainError, match="era changed"):
            await client.read_all("a/")
        assert server.era == 1 + metadata_store.MAX_READ_RESTARTS

    _run(check, AlwaysRestored(page=3))


def test_a_watch_from_a_revision_that_was_lost_raises() -> None:
    """The store answers 410, as it has no such revision."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copied_at = time.monotonic()
        server.put("a/1", b"one")
        snapshot = await client.read_all("a/")
        server.restore_copy(copied_at=copied_at)
        with pytest.raises(revisioned.HistoryLostError):
            await client.watch_after("a/", snapshot.revision)

    _run(check)


def test_a_watch_from_a_revision_that_was_assigned_again_raises() -> None:
    """The store has a change after it, but not the one that followed."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copied_at = time.monotonic()
        server.put("a/1", b"one")
        snapshot = await client.read_all("a/")
        server.restore_copy(copied_at=copied_at)
        for number in range(2, 5):
            server.put(f"a/{number}", b"other")
        with pytest.raises(revisioned.HistoryLostError):
            await client.watch_after("a/", snapshot.revision)
        assert client.era == 1

    _run(check)


def test_a_waiting_watch_ends_when_another_call_shows_a_later_era() -> None:
    """Its connection may have failed without an error."""

    class SilentWatches(standin.MetadataStore):
        async def handle(self, request: _http_server.Request) -> _http_server.Response:
            if request.path.startswith("/v1/kv-watch"):
                await trio.sleep_forever()
            return await super().handle(request)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        snapshot = await client.read_all("a/")
        errors: list[BaseException] = []

        async def watch() -> None:
            try:
                await client.watch_after("a/", snapshot.revision)
            except (revisioned.HistoryLostError, _exceptions.PlantainError) as error:
                errors.append(error)

        nursery.start_soon(watch)
        await trio.testing.wait_all_tasks_blocked(0.05)
        client.expect_era(0)
        client.expect_era(1)
        await _wait_until(lambda: len(errors) == 1)
        assert isinstance(errors[0], _exceptions.PlantainError)
        nursery.start_soon(watch)
        await trio.testing.wait_all_tasks_blocked(0.05)
        server.restore(seconds_older=0.0)
        await client.grant_lease(ttl_seconds=3.0)
        await _wait_until(lambda: len(errors) == 2)
        assert isinstance(errors[1], revisioned.HistoryLostError)

    _run(check, SilentWatches())


def test_responses_of_an_earlier_era_are_discarded() -> None:
    """They were on their way when the store was restored; writes may be in the copy."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.era = 2
        await client.read_all("a/")
        server.era = 1
        with pytest.raises(_exceptions.PlantainError) as read_error:
            await client.read_all("a/")
        assert read_error.value.kind is _exceptions.ErrorKind.STORE_UNAVAILABLE
        with pytest.raises(_exceptions.PlantainError) as write_error:
            await client.grant_lease(ttl_seconds=3.0)
        assert write_error.value.kind is _exceptions.ErrorKind.CHANGE_UNKNOWN
        assert client.era == 2

    _run(check)


def test_a_follower_applies_the_copy_and_what_is_written_again() -> None:
    """The revisions are lower than those that it has applied."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        applied: list[tuple[revisioned.Revision, set[str]]] = []
        log = event_log.EventLog("test")
        nursery.start_soon(
            functools.partial(
                follower.follow,
                client,
                "a/",
                apply_entries=lambda entries, revision: applied.append(
                    (revision, set(entries))
                ),
                log=log,
            )
        )
        server.put("a/1", b"one")
        await _wait_until(lambda: bool(applied) and applied[-1][1] == {"a/1"})
        copied_at = time.monotonic()
        for number in range(2, 6):
            server.put(f"a/{number}", b"lost")
        await _wait_until(lambda: len(applied[-1][1]) == 5)
        lost_revision = applied[-1][0]
        server.fail()
        await trio.sleep(0.3)
        server.restore_copy(copied_at=copied_at)
        await _wait_until(lambda: applied[-1][1] == {"a/1"})
        server.put("a/2", b"again")
        await _wait_until(lambda: applied[-1][1] == {"a/1", "a/2"})
        assert applied[-1][0].number < lost_revision.number
        assert applied[-1][0] > lost_revision
        assert log.counters["events.store_history_lost"] == 1

    _run(check)


def test_sidecars_that_registered_after_the_copy_are_back_within_two_seconds() -> None:
    """No other process tells them; the calls are spread over the time."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copied_at = time.monotonic()
        registrations = [
            _register(nursery, metadata_store.MetadataStore(client.address), number)
            for number in range(SIDECARS)
        ]
        await _wait_until(lambda: len(server.items) == SIDECARS)
        server.fail()
        await trio.sleep(2.0)
        server.restore_copy(copied_at=copied_at)
        assert server.items == {}
        restored_at = time.monotonic()
        calls = len(server.calls)
        await _wait_until(lambda: len(server.items) == SIDECARS)
        assert time.monotonic() - restored_at < RETURN_SECONDS
        assert all(registration.era == 1 for registration in registrations)
        assert {item.lease for item in server.items.values()} == {
            registration.lease for registration in registrations
        }
        # At this rate 195 sidecars stay within the limit.
        writes = [call for call in server.calls[calls:] if call.startswith("POST")]
        spread_seconds = time.monotonic() - restored_at
        assert len(writes) / spread_seconds * 195 / SIDECARS < MAX_WRITES_PER_SECOND

    _run(check)


def test_a_sidecar_that_is_told_of_the_era_checks_its_lease_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store's failure was shorter than the interval of renewals."""
    monkeypatch.setattr(registry, "RENEWAL_SECONDS", 2 * DEADLINE_SECONDS)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copied_at = time.monotonic()
        registration = _register(nursery, client)
        await _wait_until(lambda: len(server.items) == 1)
        server.restore_copy(copied_at=copied_at)
        assert server.items == {}
        registry.request_check(
            registration, 1, spread_seconds=registry.ERA_CHECK_SPREAD_SECONDS
        )
        with trio.fail_after(RETURN_SECONDS):
            await _wait_until(lambda: len(server.items) == 1)

    _run(check)


def test_a_wrong_statement_of_an_era_costs_one_call() -> None:
    """A process that states an era that the store does not have causes no loop."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        registration = _register(nursery, client)
        await _wait_until(lambda: len(server.items) == 1)
        for _ in range(50):
            registry.request_check(registration, 7, spread_seconds=0.0)
            await trio.sleep(0.01)
        assert sum("kv-keep" in call for call in server.calls) == 1
        assert sum("kv-lease" in call for call in server.calls) == 1

    _run(check)


def test_a_lease_that_was_assigned_again_is_not_taken_for_the_own_one() -> None:
    """Another sidecar has it now, so renewals succeed and the entry is not its."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copied_at = time.monotonic()
        registration = _register(nursery, client)
        await _wait_until(lambda: len(server.items) == 1)
        lost_lease = registration.lease
        server.restore_copy(copied_at=copied_at)
        other = metadata_store.MetadataStore(client.address)
        assert await other.grant_lease(ttl_seconds=3.0) == lost_lease
        await _wait_until(lambda: len(server.items) == 1)
        (item,) = server.items.values()
        assert item.lease != lost_lease
        assert item.lease == registration.lease

    _run(check)


def test_a_write_in_flight_across_the_change_does_not_keep_a_foreign_lease() -> None:
    """It is applied in the new era, under a lease that another process has there."""

    class RestoredBeforeWrite(standin.MetadataStore):
        def _transact(
            self, transaction: dict[str, list[dict[str, object]]]
        ) -> _http_server.Response:
            if not self.era:
                (lease,) = self.leases
                self.restore(seconds_older=DEADLINE_SECONDS)
                self.leases[lease] = 3_000.0
                self.next_lease = lease + 1
            return super()._transact(transaction)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        registration = _register(nursery, client)
        await _wait_until(lambda: registration.era == 1)
        foreign_lease = min(server.leases)
        await _wait_until(
            lambda: (
                len(server.items) == 1
                and next(iter(server.items.values())).lease == registration.lease
            )
        )
        assert registration.lease != foreign_lease

    _run(check, RestoredBeforeWrite())


def test_a_withdrawal_after_the_change_does_not_end_a_foreign_lease() -> None:
    """The lease's ID belongs to another process since the restoration."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copied_at = time.monotonic()
        registration = _register(nursery, client)
        await _wait_until(lambda: len(server.items) == 1)
        server.restore_copy(copied_at=copied_at)
        other = metadata_store.MetadataStore(client.address)
        lease = await other.grant_lease(ttl_seconds=3.0)
        assert lease == registration.lease
        await registry.withdraw(registration)
        assert lease in server.leases

    _run(check)


def test_a_flow_snapshot_is_written_again_in_the_new_era(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its flows have not changed since the write that was lost."""
    monkeypatch.setattr(flow_snapshot, "SAVE_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(transparent, "ROUTE_KIND", policy.RouteKind.NON_IDEMPOTENT)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copied_at = time.monotonic()
        registration = _register(nursery, client)
        harness = transparent.ready_sidecar()
        harness.open(transparent.flow_key(1))
        writer = flow_snapshot.FlowSnapshotWriter(registration, writes_per_second=400.0)
        nursery.start_soon(flow_snapshot.run, writer, harness.engine)
        await _wait_until(lambda: writer.key in server.items)
        server.restore_copy(copied_at=copied_at)
        assert server.items == {}
        await _wait_until(lambda: writer.key in server.items)
        assert server.items[writer.key].lease == registration.lease
        stored = msgspec.msgpack.decode(
            base64.b64decode(server.items[writer.key].value),
            type=flow_record.FlowSnapshot,
        )
        assert set(stored.flows) == {transparent.flow_key(1)}

    _run(check)


def test_a_process_that_was_paused_takes_over_the_latest_era() -> None:
    """The store was restored twice in the meantime."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        await client.write(
            port.Transaction(compares=(), puts=(port.Put(key="a/1", value=b"one"),))
        )
        snapshot = await client.read_all("a/")
        server.restore(seconds_older=0.0)
        server.put("a/2", b"two")
        server.restore(seconds_older=0.0)
        with pytest.raises(revisioned.HistoryLostError):
            await client.watch_after("a/", snapshot.revision)
        snapshot = await client.read_all("a/")
        assert snapshot.revision == revisioned.Revision(2, server.revision)

    _run(check)


def test_the_stand_in_drill() -> None:
    """It is unavailable, then older; leases and revisions are assigned again."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.put("a/1", b"one")
        await trio.sleep(0.2)
        server.put("a/1", b"changed")
        server.put("a/2", b"two")
        server.remove("a/1")
        lease = await client.grant_lease(ttl_seconds=3.0)
        revision = server.revision
        nursery.start_soon(
            functools.partial(server.drill, outage_seconds=0.2, seconds_older=0.1)
        )
        await trio.sleep(0.1)
        with pytest.raises(_exceptions.PlantainError):
            await client.read_all("a/")
        await _wait_until(lambda: server.era == 1)
        snapshot = await client.read_all("a/")
        assert [(entry.key, entry.value) for entry in snapshot.entries] == [
            ("a/1", b"one")
        ]
        assert not await client.renew_lease(lease)
        assert await client.grant_lease(ttl_seconds=3.0) == lease
        for _ in range(3):
            server.put("a/3", b"three")
        assert server.revision == revision

    _run(check)
