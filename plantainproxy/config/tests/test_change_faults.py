"""Injects each store fault at each call of a change, alone and in pairs."""

import itertools
import typing

import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _types
from plantainproxy.config import audit, change, document, edit, model
from plantainproxy.store import memory, port

Kind = _exceptions.ErrorKind
PREFIX = "t/"
STEPS = 7
FAULTS = ("away", "lost", "dropped", "late", "stale", "rival")


class FaultyStore(memory.MemoryStore):
    """An in-memory store that injects faults at given calls."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        super().__init__()
        self.faults: dict[int, str] = {}
        """The faults to inject, by call number."""
        self.calls = 0
        self.delayed_writes: list[port.Transaction] = []
        """Writes that reach the store after the call has failed."""
        self.stale_entries: dict[str, port.Entry] = {}
        """The entries that stale reads return."""

    async def get(self, key: str) -> port.Entry | None:
        """Read one key, subject to the fault of this call."""
        await self.inject_fault()
        return await super().get(key)

    async def scan(
        self,
        prefix: str,
        *,
        start: str = "",
        limit: int = 0,
        newest_first: bool = False,
    ) -> tuple[port.Entry, ...]:
        """Read the keys with a prefix, subject to the fault of this call."""
        await self.inject_fault()
        return await super().scan(
            prefix, start=start, limit=limit, newest_first=newest_first
        )

    async def commit(self, transaction: port.Transaction) -> bool:
        """Apply a transaction, or record it as delayed."""
        fault = await self.inject_fault()
        if fault == "late":
            self.delayed_writes.append(transaction)
            raise _exceptions.PlantainError(Kind.CHANGE_UNKNOWN, "late")
        self.lose_answers = int(fault == "lost")
        self.drop_writes = int(fault == "dropped")
        return await super().commit(transaction)

    async def inject_fault(self) -> str:
        """Inject the fault of this call and return its name."""
        fault = self.faults.pop(self.calls, "")
        self.calls += 1
        if fault == "away":
            raise _exceptions.PlantainError(Kind.STORE_UNAVAILABLE, "away")
        self.stale = self.stale_entries if fault == "stale" else None
        if fault == "rival":
            await commit_rival_change(self)
        return fault


async def commit_rival_change(store: FaultyStore) -> None:
    """Commit a concurrent change of another operator without faults."""
    entry = store.entries[document.key(PREFIX)]
    current = document.decode(entry.value)
    faults, store.faults = store.faults, {}
    calls, stale, store.stale = store.calls, store.stale, None
    await apply(store, current, f"rival-{current.revision}")
    store.faults, store.calls, store.stale = faults, calls, stale


async def apply(
    store: port.Store, base: model.Configuration | None, name: str
) -> model.Configuration:
    """Commit a change that sets one pool, with the pool's name as change ID."""
    proposed = edit.set_pool(
        base or model.Configuration(revision=0), model.Pool(name=name)
    )
    return await change.apply(
        store,
        prefix=PREFIX,
        base=base,
        proposed=proposed,
        change_id=name,
        operator="o",
        reason="r",
        now=1.0,
    )


def count_applied(store: memory.MemoryStore) -> int:
    """Return the number of audit records of the change under test."""
    records = [
        audit.decode(entry.value)
        for key, entry in store.entries.items()
        if key.startswith(audit.key_prefix(PREFIX))
    ]
    return sum(record.change_id == "ours" for record in records)


async def check_change(faults: dict[int, str]) -> None:
    """Run one change under faults and check that the reported outcome is correct."""
    store = FaultyStore()
    older = await apply(store, None, "older")
    store.stale_entries = dict(store.entries)
    base = await apply(store, older, "base")
    store.faults = faults
    store.calls = 0
    outcome = _types.Outcome.RUN
    try:
        accepted = await apply(store, base, "ours")
        assert accepted.revision == base.revision + 1
    except _exceptions.PlantainError as error:
        outcome = error.answer.outcome
        assert error.kind in (
            Kind.CONFLICT, Kind.STORE_UNAVAILABLE, Kind.CHANGE_UNKNOWN
        )  # fmt: skip
    store.faults = {}
    for transaction in store.delayed_writes:
        await memory.MemoryStore.commit(store, transaction)
    applied = count_applied(store)
    if outcome is not _types.Outcome.UNKNOWN:
        assert applied == int(outcome is _types.Outcome.RUN)
    try:
        await apply(store, base, "ours")
        assert count_applied(store) == 1
    except _exceptions.PlantainError as error:
        assert error.kind is Kind.CONFLICT
        assert count_applied(store) == applied == 0


def _fault_parameters(step: str) -> list[typing.Any]:
    """Return a test parameter for each fault, with its ``proof`` mark."""
    return [
        pytest.param(fault, marks=pytest.mark.proof(promise=10, fault=fault, step=step))
        for fault in FAULTS
    ]


@pytest.mark.parametrize(
    "first_fault",
    _fault_parameters("each call of a change, with each fault at each other call"),
)
def test_what_a_change_tells_is_true_under_faults(first_fault: str) -> None:
    """An accepted change is applied once, a refused one never, even by late writes."""

    async def main() -> None:
        for first_step, second_step, second_fault in itertools.product(
            range(STEPS), range(STEPS), FAULTS
        ):
            await check_change({second_step: second_fault, first_step: first_fault})

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    "fault", _fault_parameters("each call of a change, from then on")
)
def test_a_fault_that_stays_is_told_truly(fault: str) -> None:
    """The outcome is correct if each call from some step on has the same fault."""

    async def main() -> None:
        for first_step in range(STEPS):
            await check_change({step: fault for step in range(first_step, 40)})

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
