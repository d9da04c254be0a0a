"""Commits of changes to the in-memory store and to the stand-in store process."""

from collections import abc
import dataclasses
import functools

import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _types
from plantainproxy.config import audit, change, document, edit, model, swap
from plantainproxy.settings import model as settings_model
from plantainproxy.store import etcd, memory, port
from standins import store as store_stand_in

Kind = _exceptions.ErrorKind
PREFIX = "t/"
EMPTY = model.Configuration(revision=0)


async def apply(
    store: port.Store,
    base: model.Configuration | None,
    pool: str,
    change_id: str = "",
) -> model.Configuration:
    """Commit a change that sets one pool."""
    return await change.apply(
        store,
        prefix=PREFIX,
        base=base,
        proposed=edit.set_pool(base or EMPTY, model.Pool(name=pool)),
        change_id=change_id or f"id-{pool}",
        operator="o",
        reason="r",
        now=5.0,
    )


async def raised_error(
    call: abc.Callable[[], abc.Awaitable[object]],
) -> _exceptions.PlantainError:
    """Return the ``PlantainError`` that a call raises."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        await call()
    return caught.value


def run(main: abc.Callable[[memory.MemoryStore], abc.Awaitable[None]]) -> None:
    """Run a test against the in-memory store, in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, memory.MemoryStore(), clock=clock)


def pool_names(configuration: model.Configuration) -> list[str]:
    """Return the names of the configured pools."""
    return [pool.name for pool in configuration.pools]


def test_a_change_raises_the_revision_and_leaves_its_record() -> None:
    """The document and its audit record are written in one transaction."""

    async def main(store: memory.MemoryStore) -> None:
        first = await apply(store, None, "a")
        second = await apply(store, first, "b")
        assert (second.revision, second.change_id) == (2, "id-b")
        assert document.decode(store.entries["t/config/document"].value) == second
        record = await audit.read(store, prefix=PREFIX, revision=2)
        assert record is not None
        assert (record.operator, record.reason, record.time_seconds) == ("o", "r", 5.0)
        assert [(item.name, item.action) for item in record.differences] == [
            ("b", "added")
        ]
        mod_revisions = {entry.mod_revision for entry in store.entries.values()}
        assert len(mod_revisions) == 2

    run(main)


def test_a_change_on_an_old_base_is_a_conflict_that_shows_the_difference() -> None:
    """No part of the second change is applied."""

    async def main(store: memory.MemoryStore) -> None:
        first = await apply(store, None, "a")
        await apply(store, first, "b")
        for base in (first, None):
            error = await raised_error(functools.partial(apply, store, base, "c"))
            assert error.kind is Kind.CONFLICT
            assert "pool b added" in error.detail
        assert "t/audit/000000000003" not in store.entries

    run(main)


@pytest.mark.parametrize("lost_answers", [1, 2])
def test_a_lost_answer_is_resolved_by_reading_back(lost_answers: int) -> None:
    """A write that was applied but not acknowledged is accepted and not repeated."""

    async def main(store: memory.MemoryStore) -> None:
        store.lose_answers = lost_answers
        first = await apply(store, None, "a")
        assert first.revision == 1
        assert await apply(store, first, "b") == document.decode(
            store.entries["t/config/document"].value
        )
        assert sorted(store.entries) == [
            "t/audit/000000000001",
            "t/audit/000000000002",
            "t/config/document",
        ]

    run(main)


def test_a_write_lost_on_its_way_is_sent_again() -> None:
    """A write that never reached the store is retried."""

    async def main(store: memory.MemoryStore) -> None:
        store.drop_writes = 2
        assert (await apply(store, None, "a")).revision == 1

    run(main)


def test_a_lost_answer_of_the_loser_is_a_conflict() -> None:
    """The first write is lost, and another operator commits before the retry."""

    async def main(store: memory.MemoryStore) -> None:
        first = await apply(store, None, "a")
        store.drop_writes = 1
        async with trio.open_nursery() as nursery:

            async def commit_winner() -> None:
                await trio.sleep(swap.MIN_BACKOFF_SECONDS / 2)
                await apply(store, first, "winner")

            nursery.start_soon(commit_winner)
            error = await raised_error(lambda: apply(store, first, "loser"))
        assert error.kind is Kind.CONFLICT
        assert "id-winner" in error.detail

    run(main)


def test_a_change_that_stays_unresolved_can_be_repeated_with_its_id() -> None:
    """The repeated call returns the outcome and does not apply the change twice."""

    async def main(store: memory.MemoryStore) -> None:
        first = await apply(store, None, "a")
        store.lose_answers = 1
        commit = store.commit

        async def commit_then_fail(transaction: port.Transaction) -> bool:
            try:
                return await commit(transaction)
            finally:
                store.down = True

        store.commit = commit_then_fail  # type: ignore[method-assign]
        error = await raised_error(lambda: apply(store, first, "b"))
        assert error.kind is Kind.CHANGE_UNKNOWN
        store.down = False
        store.commit = commit  # type: ignore[method-assign]
        writes = store.writes
        assert (await apply(store, first, "b")).revision == 2
        later = await apply(store, await apply(store, first, "b"), "c")
        assert await apply(store, first, "b") == later
        assert store.writes == writes + 1
        error = await raised_error(lambda: apply(store, later, "d", change_id="id-c"))
        assert error.kind is Kind.CONFLICT

    run(main)


def test_an_unreachable_store_means_not_accepted() -> None:
    """No write was sent, so the change is definitely not accepted."""

    async def main(store: memory.MemoryStore) -> None:
        store.down = True
        error = await raised_error(lambda: apply(store, None, "a"))
        assert error.kind is Kind.STORE_UNAVAILABLE

    run(main)


@pytest.mark.parametrize("applied", [False, True])
def test_a_hanging_write_is_reported_as_unknown_in_bounded_time(applied: bool) -> None:
    """The call returns within the timeout, and a repeated call returns the outcome."""

    async def main(store: memory.MemoryStore) -> None:
        first = await apply(store, None, "a")
        commit = store.commit

        async def hang(transaction: port.Transaction) -> bool:
            if applied:
                await commit(transaction)
            await trio.sleep_forever()
            return False

        store.commit = hang  # type: ignore[method-assign]
        started_at = trio.current_time()
        error = await raised_error(lambda: apply(store, first, "b"))
        assert error.kind is Kind.CHANGE_UNKNOWN
        assert trio.current_time() <= started_at + swap.TIMEOUT_SECONDS
        store.commit = commit  # type: ignore[method-assign]
        assert (await apply(store, first, "b")).revision == 2

    run(main)


def test_stale_reads_neither_lose_nor_repeat_a_change() -> None:
    """The store checks the conditions of a transaction against current data."""

    async def main(store: memory.MemoryStore) -> None:
        first = await apply(store, None, "a")
        old_entries = dict(store.entries)
        second = await apply(store, first, "b")
        store.stale = old_entries
        error = await raised_error(lambda: apply(store, second, "c"))
        assert error.kind is Kind.STORE_UNAVAILABLE
        store.lose_answers = 1
        store.stale = None
        third = await apply(store, second, "d")
        store.stale = old_entries
        error = await raised_error(lambda: apply(store, first, "e"))
        assert error.kind is Kind.STORE_UNAVAILABLE
        store.stale = None
        current = document.decode(store.entries["t/config/document"].value)
        assert current == third
        assert pool_names(third) == ["a", "b", "d"]

    run(main)


def test_an_invalid_proposal_applies_nothing() -> None:
    """The proposal is checked before anything is written."""

    async def main(store: memory.MemoryStore) -> None:
        domain = model.Domain(name="z", number=1)
        first = await change.apply(
            store,
            prefix=PREFIX,
            base=None,
            proposed=edit.set_domain(EMPTY, domain),
            change_id="1",
            operator="o",
            reason="r",
            now=5.0,
        )
        route = model.Route(
            name="r", address=_types.Address("127.0.0.1", 1), pool="none"
        )
        writes = store.writes
        for proposed in (
            dataclasses.replace(first, routes=(route,)),
            edit.set_domain(first, dataclasses.replace(domain, number=2)),
        ):
            with pytest.raises(_exceptions.PlantainError) as caught:
                await change.apply(
                    store,
                    prefix=PREFIX,
                    base=first,
                    proposed=proposed,
                    change_id="2",
                    operator="o",
                    reason="r",
                    now=5.0,
                )
            assert caught.value.kind is Kind.INVALID_CONFIGURATION
        assert store.writes == writes

    run(main)


def test_old_audit_records_are_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each change deletes the record that exceeds the retention."""
    monkeypatch.setattr(audit, "RETENTION_RECORDS", 3)

    async def main(store: memory.MemoryStore) -> None:
        current = None
        for number in range(6):
            current = await apply(store, current, f"p{number}")
        page = await audit.read_page(store, prefix=PREFIX, query=audit.Query())
        assert [record.revision for record in page.records] == [6, 5, 4]

    run(main)


def test_audit_records_are_read_in_pages_by_object_and_time() -> None:
    """Each page continues where the previous one ended."""

    async def main(store: memory.MemoryStore) -> None:
        current = None
        for number in range(60):
            current = await apply(store, current, f"p{number}")

        async def read(query: audit.Query, before: int = 0) -> audit.Page:
            return await audit.read_page(
                store, prefix=PREFIX, query=query, before=before, limit=40
            )

        page = await read(audit.Query())
        next_page = await read(audit.Query(), page.next_before)
        revisions = [record.revision for record in page.records + next_page.records]
        assert revisions == list(range(60, 0, -1))
        assert next_page.next_before == 0
        [only_record] = (await read(audit.Query(name="p7"))).records
        assert only_record.revision == 8
        assert (await read(audit.Query(since_seconds=6.0))).records == ()

    run(main)


@pytest.mark.parametrize("lose_answers", [0, 1, 2])
def test_of_two_racing_operators_exactly_one_wins(lose_answers: int) -> None:
    """The conflict error shows the other change. Runs over real sockets."""

    async def main() -> None:
        stand_in = store_stand_in.StandIn("127.0.0.1", 0)
        address = _types.Address(*stand_in.address)
        settings = settings_model.StoreSettings(
            address=address, call_timeout_seconds=2.0
        )
        outcomes: dict[str, model.Configuration | _exceptions.PlantainError] = {}

        async def race(pool: str, base: model.Configuration) -> None:
            async with etcd.open_store(settings) as store:
                try:
                    outcomes[pool] = await apply(store, base, pool)
                except _exceptions.PlantainError as error:
                    outcomes[pool] = error

        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                await nursery.start(store_stand_in.run, stand_in)
                async with etcd.open_store(settings) as store:
                    first = await apply(store, None, "a")
                    store_stand_in.set_faults(
                        stand_in, lose_next_answers=lose_answers, slow_milliseconds=20
                    )
                    async with trio.open_nursery() as racers:
                        racers.start_soon(race, "x", first)
                        racers.start_soon(race, "y", first)
                    entry = await store.get(document.key(PREFIX))
                nursery.cancel_scope.cancel()
        assert entry is not None
        final = document.decode(entry.value)
        [winner] = [name for name in outcomes if outcomes[name] == final]
        [loser] = set(outcomes) - {winner}
        error = outcomes[loser]
        assert isinstance(error, _exceptions.PlantainError)
        assert error.kind is Kind.CONFLICT
        assert f"pool {winner} added" in error.detail
        assert final.revision == 2

    trio.run(main)
