"""Flow snapshots that a relay writes to the store for the sidecars of its domain."""

from collections import abc
import contextlib
import functools

import msgspec
import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _types
from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.stored import (
    flow_record,
    flow_snapshot,
    registry,
    snapshot_batch,
)
from plantainproxy.store import port, revisioned
from testbed import transparent

NOW = 1_000.0
RELAY = transparent.address(99)
SIDECARS = 22
"""Sidecars of one domain on trbsl-lb-now-grown."""


class _Store:
    """Writes to items in memory, under the store's rules."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 10
        self.items: dict[str, port.Entry] = {}
        self.leases = set(range(1, SIDECARS + 2))
        self.writes: list[int] = []
        """Number of entries of each transaction."""
        self.fails = False

    async def write(self, transaction: port.Transaction) -> int | revisioned.Conflict:
        self.writes.append(len(transaction.compares) + len(transaction.puts))
        if self.fails:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.STORE_UNAVAILABLE, "no response"
            )
        stored = {
            compare.key: self.items[compare.key]
            for compare in transaction.compares
            if compare.key in self.items
        }
        for compare in transaction.compares:
            entry = stored.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return revisioned.Conflict(entries=tuple(stored.values()))
        for put in transaction.puts:
            if put.lease not in self.leases:
                raise revisioned.LeaseEndedError(put.lease)
        self.revision += 1
        for put in transaction.puts:
            self.items[put.key] = port.Entry(
                key=put.key, value=put.value, mod_revision=self.revision
            )
        return self.revision

    async def read_all(
        self, prefix: str, *, may_be_outdated: bool = False
    ) -> revisioned.Snapshot:
        raise NotImplementedError

    async def watch_after(
        self, prefix: str, revision: revisioned.Revision, *, brief: bool = False
    ) -> revisioned.Changes:
        raise NotImplementedError

    async def changes_after(
        self, prefix: str, revision: revisioned.Revision
    ) -> revisioned.Changes:
        raise NotImplementedError

    async def grant_lease(self, *, ttl_seconds: float) -> int:
        raise NotImplementedError

    async def renew_lease(self, lease: int) -> bool:
        raise NotImplementedError

    async def revoke_lease(self, lease: int) -> None:
        raise NotImplementedError


class _Relay:
    """A relay's batch, a store, and the answers that the sidecars got."""

    def __init__(self) -> None:
        self.store = _Store()
        self.answers: dict[_types.Address, messages.FlowRecordResult] = {}
        self.batch = snapshot_batch.SnapshotBatch(
            self.store, send=self._send, log=event_log.EventLog("test")
        )

    def _send(self, recipient: _types.Address, message: messages.Message) -> None:
        assert isinstance(message, messages.FlowRecordResult)
        self.answers[recipient] = message

    def receive(
        self, number: int, *, revision: int = 0, era: int = 0, at: float = NOW
    ) -> None:
        """Receive the record of a sidecar, whose lease has the sidecar's number."""
        record = messages.FlowRecord(
            number=1, era=era, lease=number, revision=revision, snapshot=b"%d" % number
        )
        sender = transparent.address(number)
        snapshot_batch.handle_record(self.batch, record, sender, now=at)

    def write(self, *, now: float = NOW) -> None:
        """Write the records that are due."""
        trio.run(functools.partial(snapshot_batch.write_records, self.batch, now=now))

    def saved(self) -> set[_types.Address]:
        """Return the sidecars whose records were confirmed."""
        return {sidecar for sidecar, answer in self.answers.items() if answer.is_saved}


def _addresses(*numbers: int) -> set[_types.Address]:
    return {transparent.address(number) for number in numbers}


def test_the_snapshots_of_a_domain_take_two_calls() -> None:
    """Single writes of all sidecars were a quarter of all calls to the store.

    Pattern: long flows open and end all the time at every upstream of a large fleet.
    """
    relay = _Relay()
    for number in range(1, SIDECARS + 1):
        relay.receive(number)
    relay.write()
    assert len(relay.store.writes) == 2
    assert max(relay.store.writes) <= snapshot_batch.MAX_TRANSACTION_ENTRIES
    assert relay.saved() == _addresses(*range(1, SIDECARS + 1))
    assert len(relay.store.items) == SIDECARS
    relay.write()
    assert len(relay.store.writes) == 2


def test_an_outdated_record_is_returned_and_the_others_are_written() -> None:
    """A delayed record must not replace a snapshot that was written after it."""
    relay = _Relay()
    key = flow_record.key_of(transparent.address(2).host)
    relay.store.items[key] = port.Entry(key=key, value=b"newer", mod_revision=7)
    for number in (1, 2, 3):
        relay.receive(number)
    relay.write()
    assert relay.answers == {
        transparent.address(2): messages.FlowRecordResult(
            number=1, revision=7, is_saved=False
        )
    }
    relay.write()
    assert relay.saved() == _addresses(1, 3)
    assert relay.store.items[key].value == b"newer"


def test_an_ended_lease_does_not_keep_others_from_being_written() -> None:
    """The store revokes the leases of a third of the machines."""
    relay = _Relay()
    relay.store.leases -= {2, 5}
    for number in range(1, 9):
        relay.receive(number)
    relay.write()
    assert relay.saved() == set()
    relay.write(now=NOW + snapshot_batch.BATCH_INTERVAL_SECONDS)
    assert relay.saved() == _addresses(1, 3, 4, 6, 7, 8)
    assert relay.batch.records == {}


@pytest.mark.parametrize(
    ("seconds", "era"),
    [(snapshot_batch.MAX_RECORD_AGE_SECONDS, 0), (0.0, 1)],
    ids=["paused", "restored store"],
)
def test_a_record_of_before_a_pause_or_restoration_is_not_written(
    seconds: float, era: int
) -> None:
    """The sidecar may have written a newer snapshot, or have another lease."""
    relay = _Relay()
    relay.receive(1)
    relay.store.era = era
    relay.write(now=NOW + seconds)
    assert relay.store.writes == []
    assert relay.batch.records == {}


def test_records_are_written_after_the_store_did_not_respond() -> None:
    """A response that was lost must not lose the record."""
    relay = _Relay()
    relay.receive(1)
    relay.store.fails = True
    relay.write()
    relay.store.fails = False
    relay.write(now=NOW + snapshot_batch.BATCH_INTERVAL_SECONDS)
    assert relay.saved() == _addresses(1)


class _Sidecar:
    """A sidecar's writer on a simulated clock, with a relay that may be silent."""

    def __init__(self, flows: int) -> None:
        self.store = _Store()
        entry = registry.Entry(host="10.0.1.1", message_port=7700, data_port=7800)
        registration = registry.Registration(
            self.store, entry, event_log.EventLog("test")
        )
        registration.lease = 1
        registration.inheritance_known.set()
        self.relay: _types.Address | None = RELAY
        self.offers: list[messages.FlowRecord] = []
        self.writer = flow_snapshot.FlowSnapshotWriter(
            registration,
            writes_per_second=400.0,
            find_relay=lambda: self.relay,
            send=self._send,
        )
        self.harness = transparent.ready_sidecar()
        for number in range(flows):
            self.harness.open(transparent.flow_key(number))

    def _send(self, recipient: _types.Address, message: messages.Message) -> None:
        assert recipient == RELAY
        assert isinstance(message, messages.FlowRecord)
        self.offers.append(message)

    def answer(self, *, revision: int, is_saved: bool = True) -> None:
        """Answer the latest offer as the relay does."""
        result = messages.FlowRecordResult(
            number=self.offers[-1].number, revision=revision, is_saved=is_saved
        )
        flow_snapshot.handle_result(self.writer, result)

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[None]:
        """Run the writer within the ``async with`` block."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(flow_snapshot.run, self.writer, self.harness.engine)
            yield
            nursery.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def _non_idempotent_route(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transparent, "ROUTE_KIND", policy.RouteKind.NON_IDEMPOTENT)


def _run_simulated(
    check: abc.Callable[[_Sidecar], abc.Awaitable[None]], *, flows: int = 4
) -> None:
    async def run() -> None:
        sidecar = _Sidecar(flows)
        async with sidecar.running():
            await check(sidecar)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_snapshot_is_left_to_the_relay_that_confirms_it() -> None:
    """The sidecar makes no call, and offers only what has changed."""

    async def check(sidecar: _Sidecar) -> None:
        await trio.sleep(1.5)
        (offer,) = sidecar.offers
        snapshot = msgspec.msgpack.decode(offer.snapshot, type=flow_record.FlowSnapshot)
        assert len(snapshot.flows) == 4
        sidecar.answer(revision=12)
        await trio.sleep(7.0)
        assert len(sidecar.offers) == 1
        sidecar.harness.open(transparent.flow_key(50))
        await trio.sleep(1.0)
        assert [offer.revision for offer in sidecar.offers] == [0, 12]
        assert sidecar.store.writes == []

    _run_simulated(check)


def test_a_sidecar_whose_relay_is_silent_writes_the_snapshot_itself() -> None:
    """A relay that was killed with the records of its domain must not lose them."""

    async def check(sidecar: _Sidecar) -> None:
        await trio.sleep(flow_snapshot.CONFIRMATION_TIMEOUT_SECONDS + 2.5)
        assert len(sidecar.offers) >= 1
        assert len(sidecar.store.items) == 1

    _run_simulated(check)


def test_a_rejected_offer_is_repeated_with_the_stored_revision() -> None:
    """An earlier process or a delayed write has changed the stored snapshot."""

    async def check(sidecar: _Sidecar) -> None:
        await trio.sleep(1.5)
        sidecar.answer(revision=77, is_saved=False)
        await trio.sleep(1.0)
        assert [offer.revision for offer in sidecar.offers] == [0, 77]

    _run_simulated(check)


def test_a_snapshot_is_offered_again_under_a_new_lease() -> None:
    """The store removes the snapshot with a revoked lease."""

    async def check(sidecar: _Sidecar) -> None:
        await trio.sleep(1.5)
        sidecar.answer(revision=12)
        sidecar.writer.registration.lease = 2
        await trio.sleep(1.0)
        assert [offer.lease for offer in sidecar.offers] == [1, 2]

    _run_simulated(check)


def test_a_snapshot_too_large_for_a_datagram_is_written_by_the_sidecar() -> None:
    """A datagram in fragments is lost with any of them."""

    async def check(sidecar: _Sidecar) -> None:
        await trio.sleep(7.0)
        assert sidecar.offers == []
        assert len(sidecar.store.items) == 1

    _run_simulated(check, flows=200)
