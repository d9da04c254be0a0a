"""Tests of the flows that a sidecar process hands over to the next one.

The store and the clock are simulated; the engine, the registration and the writer of
the snapshots are the production ones.
"""

from collections import abc
import contextlib

import msgspec
import pytest
import trio
import trio.testing

from plantainproxy import _decoding, _exceptions, _types
from plantainproxy.flows import event_log, messages, packets
from plantainproxy.flows.engine import sidecar, upstream_events
from plantainproxy.flows.stored import (
    flow_hints,
    flow_record,
    flow_snapshot,
    registry,
    snapshot_batch,
)
from plantainproxy.store import port, revisioned
from testbed import transparent

KEY = transparent.flow_key(1)
OTHER = transparent.flow_key(2)
CONFIRMATION = transparent.UPSTREAM_SEQUENCE + 1
ENTRY = registry.Entry(host="10.0.1.1", message_port=7700, data_port=7800)
RELAY = transparent.address(99)
SETTLE_SECONDS = 0.1


class _EarlierSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The record of releases that hand over no flows, as of commit 9a0a358."""

    born: int
    flows: dict[_decoding.FlowKey, flow_record.SequenceNumber]


class _LastSnapshot(_EarlierSnapshot, frozen=True, array_like=True):
    """The record of the release before, as of commit a950814."""

    unconfirmed: flow_record.SequenceNumbers
    closed: tuple[_decoding.FlowKey, ...]
    is_final: bool
    era: int
    is_stop: bool
    stopped_at: float


class _Store:
    """Entries in memory, under the store's rules; leases do not expire."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 10
        self.entries: dict[str, port.Entry] = {}
        self.lease = 0
        self.put_keys: list[str] = []
        """Key of each applied write."""
        self.is_silent = False
        """Whether no call gets a response."""
        self.is_down = False
        """Whether each call fails."""
        self.lost_answers = 0
        """Number of the next writes that are applied without a response."""
        self.before_writes: list[abc.Callable[[], None]] = []
        """Called before one of the next writes each, in order."""

    async def _respond(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_silent:
            await trio.sleep_forever()
        if self.is_down:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.STORE_UNAVAILABLE, "the store is down"
            )

    async def write(self, transaction: port.Transaction) -> int | revisioned.Conflict:
        if self.before_writes:
            self.before_writes.pop(0)()
        await self._respond()
        stored = {
            compare.key: self.entries[compare.key]
            for compare in transaction.compares
            if compare.key in self.entries
        }
        for compare in transaction.compares:
            entry = stored.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return revisioned.Conflict(entries=tuple(stored.values()))
        self.revision += 1
        for put in transaction.puts:
            self.put_keys.append(put.key)
            self.put(put.key, put.value)
        if self.lost_answers:
            self.lost_answers -= 1
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.CHANGE_UNKNOWN, "the response was lost"
            )
        return self.revision

    def put(self, key: str, value: bytes) -> None:
        """Set a key at the current revision."""
        self.entries[key] = port.Entry(key=key, value=value, mod_revision=self.revision)

    async def grant_lease(self, *, ttl_seconds: float) -> int:
        await self._respond()
        self.lease += 1
        return self.lease

    async def renew_lease(self, lease: int) -> bool:
        await self._respond()
        return True

    async def revoke_lease(self, lease: int) -> None:
        raise NotImplementedError

    async def read_all(
        self, prefix: str, *, may_be_outdated: bool = False
    ) -> revisioned.Snapshot:
        await self._respond()
        return revisioned.Snapshot(
            entries=tuple(
                entry for key, entry in self.entries.items() if key.startswith(prefix)
            ),
            revision=revisioned.Revision(self.era, self.revision),
        )

    async def watch_after(
        self, prefix: str, revision: revisioned.Revision, *, brief: bool = False
    ) -> revisioned.Changes:
        raise NotImplementedError

    async def changes_after(
        self, prefix: str, revision: revisioned.Revision
    ) -> revisioned.Changes:
        raise NotImplementedError


class _Process:
    """One process of a sidecar."""

    def __init__(self, store: _Store) -> None:
        self.harness = transparent.SidecarHarness()
        self.harness.apply_policy(transparent.make_policy(1))
        self.engine = self.harness.engine
        flow_snapshot.hold_flows(self.engine, now=self.harness.now)
        self.relay: _types.Address | None = None
        self.offers: list[messages.FlowRecord] = []
        self.registration = registry.Registration(store, ENTRY, self.engine.log)
        self.writer = flow_snapshot.FlowSnapshotWriter(
            self.registration,
            writes_per_second=400.0,
            find_relay=lambda: self.relay,
            send=self._send,
        )

    def _send(self, recipient: _types.Address, message: messages.Message) -> None:
        assert recipient == RELAY
        assert isinstance(message, messages.FlowRecord)
        self.offers.append(message)

    async def stop(self) -> None:
        """Stop as planned, up to the end of the process."""
        sidecar.stop(self.engine, now=self.harness.now)
        await flow_snapshot.hand_over(self.writer, self.engine)

    def refuse_connection(self) -> None:
        """Let a connection to the upstream be refused."""
        upstream_events.handle_connection_refused(self.engine, now=trio.current_time())

    def counted(self, event: str) -> int:
        """Return how often an event was logged."""
        return self.engine.log.counters[f"events.{event}"]


@contextlib.asynccontextmanager
async def _running(
    store: _Store,
    *,
    is_beside_upstream: bool = True,
    is_heartbeat_due: bool = True,
    is_listening: bool = True,
) -> abc.AsyncIterator[_Process]:
    """Run a process; it is killed at the exit unless it was stopped before.

    A process without an upstream at its start has a complete flow table. The first
    heartbeat of the upstream comes at once or not at all.
    """
    process = _Process(store)
    if is_heartbeat_due:
        process.harness.handle_heartbeat(7)
    if not is_listening:
        upstream_events.handle_not_listening(process.engine, now=trio.current_time())
    process.engine.table.complete = not is_beside_upstream
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registry.maintain_registration, process.registration)
        nursery.start_soon(flow_snapshot.run, process.writer, process.engine)
        nursery.start_soon(
            flow_snapshot.admit_flows_once_registered,
            process.registration,
            process.engine,
        )
        await trio.sleep(SETTLE_SECONDS)
        yield process
        nursery.cancel_scope.cancel()


def _first(store: _Store) -> contextlib.AbstractAsyncContextManager[_Process]:
    return _running(store, is_beside_upstream=False)


async def _open_and_stop(store: _Store) -> None:
    """Open a flow beside the first process, and stop that as planned."""
    async with _first(store) as first:
        first.harness.open(KEY)
        await first.stop()


def _run(check: abc.Callable[[_Store], abc.Awaitable[None]]) -> None:
    async def run() -> None:
        await check(_Store())

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def _data(key: bytes, acknowledgement: int = CONFIRMATION) -> packets.Packet:
    return transparent.make_packet(
        key, sequence=1, size=100, acknowledgement=acknowledgement
    )


def _opening(key: bytes) -> packets.Packet:
    return transparent.make_packet(key, opening=True, purpose=packets.Purpose.OPEN)


def test_a_planned_restart_keeps_a_complete_table() -> None:
    """Guards against packets at other upstreams while a sidecar restarts.

    Without a complete table, the next process could not deny a flow, and lookups of
    any flow delivered its packets to the upstream.
    """
    accepted = transparent.flow_key(3)

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            first.harness.handle_inbound(_opening(accepted))
            first.harness.handle_outbound(
                transparent.make_packet(accepted, accepting=True, sequence=6_000)
            )
            await first.stop()
        async with _running(store) as second:
            assert second.engine.table.complete
            for packet in (_data(KEY), _data(accepted, 6_001)):
                second.harness.handle_inbound(packet)
                assert second.harness.port.delivered[-1] == packet
            second.harness.handle_inbound(_data(OTHER))
            assert second.harness.port.refusals() == [messages.Refusal.NOT_HELD]
            await second.stop()
        async with _running(store) as third:
            assert third.engine.table.complete

    _run(check)


def test_a_planned_stop_costs_one_write() -> None:
    """Guards against a load of the store that grows with each planned restart."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            before = len(store.put_keys)
            await first.stop()
        assert store.put_keys[before:] == [first.writer.key]

    _run(check)


def test_after_a_kill_the_flows_are_inherited_and_the_table_is_not_complete() -> None:
    """Guards against a denial of flows opened after the last snapshot."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            await trio.sleep(2 * flow_snapshot.SAVE_INTERVAL_SECONDS)
            first.harness.open(OTHER)
        async with _running(store) as second:
            assert transparent.inherited_flows(second.engine) == {KEY: CONFIRMATION}
            assert not second.engine.table.complete

    _run(check)


def test_a_final_snapshot_is_outdated_once_another_process_has_registered() -> None:
    """Guards against a denial of the flows of a process that was killed."""

    async def check(store: _Store) -> None:
        await _open_and_stop(store)
        async with _running(store) as second:
            second.harness.open(OTHER)
        async with _running(store) as third:
            assert KEY in transparent.inherited_flows(third.engine)
            assert not third.engine.table.complete

    _run(check)


def test_a_final_snapshot_of_another_era_does_not_complete_the_table() -> None:
    """Guards against a denial after the store was restored from an older copy.

    The copy lacks the entry of the process that was killed.
    """

    async def check(store: _Store) -> None:
        await _open_and_stop(store)
        copy = dict(store.entries)
        async with _running(store) as second:
            second.harness.open(OTHER)
        store.entries, store.era = copy, 1
        async with _running(store) as third:
            assert KEY in transparent.inherited_flows(third.engine)
            assert not third.engine.table.complete

    _run(check)


def test_a_store_restored_during_the_registration_does_not_complete_it() -> None:
    """Guards against a comparison of revisions of two eras."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            await first.stop()

        def restore() -> None:
            store.era = 1

        store.before_writes = [restore]
        async with _running(store) as second:
            assert second.registration.registered.is_set()
            assert not second.engine.table.complete

    _run(check)


def test_an_entry_changed_during_the_registration_leaves_it_incomplete() -> None:
    """Guards against a denial of the flows of a process that registers meanwhile."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            await first.stop()

        def register_other() -> None:
            store.revision += 1
            store.put(first.registration.key, b"another process")

        store.before_writes = [lambda: None, register_other]
        async with _running(store) as second:
            await second.registration.registered.wait()
            await trio.sleep(SETTLE_SECONDS)
            assert not second.engine.table.complete

    _run(check)


def test_the_table_is_complete_only_once_the_entry_is_confirmed() -> None:
    """Guards against a process whose flows the one after it would deny."""

    async def check(store: _Store) -> None:
        await _open_and_stop(store)

        def fail() -> None:
            store.is_down = True

        store.before_writes = [lambda: None, fail]
        async with _running(store) as second:
            assert transparent.inherited_flows(second.engine) == {KEY: CONFIRMATION}
            assert not second.engine.table.complete
            store.is_down = False
            await second.registration.registered.wait()
            await trio.sleep(SETTLE_SECONDS)
            assert second.engine.table.complete

    _run(check)


def test_a_process_that_has_not_registered_adds_no_flow_at_first() -> None:
    """Guards against a denial of its flows by the process after it (review/7).

    That one finds the final snapshot of the process before, and nothing else.
    """
    accepted = transparent.flow_key(3)

    async def check(store: _Store) -> None:
        await _open_and_stop(store)
        store.is_down = True
        async with _running(store) as second:
            second.harness.handle_inbound(_opening(OTHER))
            assert second.harness.port.refusals() == [messages.Refusal.NOT_READY]
            second.harness.handle_outbound(
                transparent.make_packet(accepted, accepting=True, sequence=6_000)
            )
            assert second.harness.port.sent_to_callers == []
            # Packets of flows that are open pass.
            answer = transparent.make_packet(KEY, sequence=6_001, size=10)
            second.harness.handle_outbound(answer)
            assert second.harness.port.sent_to_callers == [answer]
            second.harness.handle_inbound(_data(KEY))
            assert second.harness.port.delivered == [_data(KEY)]
            store.is_down = False
            await second.registration.registered.wait()
            await trio.sleep(SETTLE_SECONDS)
            second.harness.open(OTHER)
            assert OTHER in second.engine.table.flows

    _run(check)


def test_a_final_snapshot_ends_before_an_unregistered_process_admits_flows() -> None:
    """Guards against resets of flows that were opened while the store was down.

    The process that admitted them has never registered (review/7).
    """

    async def check(store: _Store) -> None:
        await _open_and_stop(store)
        store.is_down = True
        async with _running(store) as second:
            await trio.sleep(flow_snapshot.HANDOVER_SECONDS)
            second.harness.now += flow_snapshot.HANDOVER_SECONDS
            second.harness.open(OTHER)
            assert OTHER in second.engine.table.flows
        store.is_down = False
        async with _running(store) as third:
            assert KEY in transparent.inherited_flows(third.engine)
            assert not third.engine.table.complete
            third.harness.handle_inbound(_data(OTHER))
            assert third.harness.port.delivered == [_data(OTHER)]

    _run(check)


def test_a_process_that_admitted_no_flow_leaves_the_final_snapshot_valid() -> None:
    """The store was down while it ran, and for less than the time of the hold."""

    async def check(store: _Store) -> None:
        await _open_and_stop(store)
        store.is_down = True
        async with _running(store):
            pass
        store.is_down = False
        async with _running(store) as third:
            assert third.engine.table.complete

    _run(check)


def test_a_stop_before_the_first_heartbeat_hands_nothing_over() -> None:
    """Guards against a reset of flows under a wrong start of the upstream."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            await first.stop()
        stored = store.entries[first.writer.key]
        async with _running(store) as second:
            second.engine.upstream.newest = None
            await second.stop()
            assert second.counted("flows_not_handed_over") == 1
        assert store.entries[first.writer.key] == stored

    _run(check)


def test_a_relays_record_in_flight_does_not_prevent_the_handover() -> None:
    """Guards against a lost final snapshot: the relay has changed the revision."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            first.relay = RELAY
            await trio.sleep(flow_snapshot.CHECK_INTERVAL_SECONDS)
            batch = snapshot_batch.SnapshotBatch(
                store, send=lambda *_: None, log=event_log.EventLog("test")
            )
            (offer,) = first.offers
            sender = _types.Address(ENTRY.host, ENTRY.message_port)
            snapshot_batch.handle_record(batch, offer, sender, now=0.0)
            await snapshot_batch.write_records(batch, now=0.0)
            await first.stop()
            assert first.counted("flows_handed_over") == 1
        async with _running(store) as second:
            assert second.engine.table.complete

    _run(check)


def test_a_relays_record_does_not_replace_the_final_snapshot() -> None:
    """Guards against a record that the relay writes after the process has ended."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            first.relay = RELAY
            await trio.sleep(flow_snapshot.CHECK_INTERVAL_SECONDS)
            await first.stop()
        batch = snapshot_batch.SnapshotBatch(
            store, send=lambda *_: None, log=event_log.EventLog("test")
        )
        (offer,) = first.offers
        sender = _types.Address(ENTRY.host, ENTRY.message_port)
        snapshot_batch.handle_record(batch, offer, sender, now=0.0)
        await snapshot_batch.write_records(batch, now=0.0)
        async with _running(store) as second:
            assert second.engine.table.complete

    _run(check)


def test_no_other_snapshot_is_written_after_the_stop() -> None:
    """Guards against one that replaces the final snapshot before the process ends."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            await first.stop()
            stored = store.entries[first.writer.key]
            await trio.sleep(2 * flow_snapshot.SAVE_INTERVAL_SECONDS)
        assert store.entries[first.writer.key] == stored
        snapshot = msgspec.msgpack.decode(stored.value, type=flow_record.FlowSnapshot)
        assert snapshot.is_final

    _run(check)


@pytest.mark.parametrize(
    ("fault", "reason"),
    [("is_silent", "no end within 0.5 s"), ("is_down", "the store is down")],
)
def test_a_stop_while_the_store_fails_ends_in_time(fault: str, reason: str) -> None:
    """Guards against a sidecar that is away for longer because the store is down."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            setattr(store, fault, True)
            started_at = trio.current_time()
            await first.stop()
            seconds = trio.current_time() - started_at
            assert seconds <= flow_snapshot.HANDOVER_TIMEOUT_SECONDS
            assert first.counted("flows_not_handed_over") == 1
            assert first.counted("flows_handed_over") == 0
        setattr(store, fault, False)
        async with _running(store) as second:
            assert not second.engine.table.complete

    _run(check)


def test_a_final_snapshot_whose_answer_was_lost_is_used() -> None:
    """The store has applied the write, so nothing is missing from it."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            store.lost_answers = 1
            await first.stop()
            assert first.counted("flows_not_handed_over") == 1
        async with _running(store) as second:
            assert second.engine.table.complete

    _run(check)


def test_a_final_snapshot_that_the_store_applies_late_is_not_used() -> None:
    """Guards against a denial of the flows of a process that was killed.

    The snapshot of the process before was written after that process's registration.
    """

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            final = flow_snapshot.take_final_snapshot(first.engine, era=0)
            assert final is not None
        async with _running(store) as second:
            second.harness.open(OTHER)
            assert not await flow_snapshot.write_final(first.writer, final)
        async with _running(store) as third:
            assert not third.engine.table.complete

    _run(check)


def test_a_process_without_a_lease_hands_nothing_over() -> None:
    """Guards against an end by an error of a process that has never registered."""

    async def check(store: _Store) -> None:
        store.is_down = True
        async with _first(store) as first:
            await first.stop()
            assert first.counted("flows_not_handed_over") == 1
        assert store.entries == {}

    _run(check)


def test_an_incomplete_table_stays_incomplete_over_a_planned_restart() -> None:
    """Guards against a denial of flows that neither process has seen."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
        async with _running(store) as second:
            second.harness.open(OTHER)
            await second.stop()
        async with _running(store) as third:
            assert transparent.inherited_flows(third.engine) == {OTHER: CONFIRMATION}
            assert not third.engine.table.complete

    _run(check)


def test_the_flows_are_reset_once_if_the_upstream_was_replaced_meanwhile() -> None:
    """Guards against callers that wait for an upstream that ended beside no sidecar."""

    async def check(store: _Store) -> None:
        await _open_and_stop(store)
        async with _running(store) as second:
            second.harness.handle_heartbeat(1, born=2_000)
            second.harness.handle_heartbeat(2, born=2_000)
            assert second.harness.port.resets == [KEY]
            await second.stop()
        async with _running(store) as third:
            third.harness.handle_heartbeat(3, born=2_000)
            assert third.harness.port.resets == []

    _run(check)


def test_the_inherited_flows_are_saved_under_the_next_lease() -> None:
    """Guards against a snapshot that ends with the lease of the process before.

    No packet of the flow has passed since the restart.
    """

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            await first.stop()
        async with _running(store):
            await trio.sleep(2 * flow_snapshot.SAVE_INTERVAL_SECONDS)
        assert store.put_keys[-1] == first.writer.key
        stored = msgspec.msgpack.decode(
            store.entries[first.writer.key].value, type=flow_record.FlowSnapshot
        )
        assert stored.flows == {KEY: CONFIRMATION}
        assert not stored.is_final

    _run(check)


def test_earlier_releases_read_the_final_snapshot() -> None:
    """Guards against flows that a sidecar of the release before does not reset."""
    snapshot = flow_record.FlowSnapshot(
        born=1_000,
        flows={KEY: 42},
        unconfirmed={OTHER: 6_000},
        closed=(transparent.flow_key(3),),
        is_final=True,
        era=2,
        is_stop=True,
        stopped_at=12.5,
        is_ready=True,
    )
    encoded = msgspec.msgpack.encode(snapshot)
    decoded = msgspec.msgpack.decode(encoded, type=_EarlierSnapshot)
    assert decoded == _EarlierSnapshot(born=1_000, flows={KEY: 42})
    last = msgspec.msgpack.decode(encoded, type=_LastSnapshot)
    assert last == _LastSnapshot(
        born=1_000,
        flows={KEY: 42},
        unconfirmed={OTHER: 6_000},
        closed=(transparent.flow_key(3),),
        is_final=True,
        era=2,
        is_stop=True,
        stopped_at=12.5,
    )


def test_a_final_snapshot_without_the_time_of_the_stop_completes_the_table() -> None:
    """Guards against incomplete tables during an upgrade from commit e8ecd96."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            await first.stop()
        value = msgspec.msgpack.encode((1_000, {KEY: 42}, {}, (), True, 0, True))
        store.revision += 1
        store.put(first.writer.key, value)
        async with _running(store) as second:
            assert transparent.inherited_flows(second.engine) == {KEY: 42}
            assert second.engine.table.complete

    _run(check)


def test_a_snapshot_of_an_earlier_release_does_not_complete_the_table() -> None:
    """Guards against a denial of flows that the record of that release leaves out."""

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            store.revision += 1
            store.put(
                first.writer.key,
                msgspec.msgpack.encode(_EarlierSnapshot(1_000, {KEY: 42})),
            )
        async with _running(store) as second:
            assert transparent.inherited_flows(second.engine) == {KEY: 42}
            assert not second.engine.table.complete

    _run(check)


@pytest.mark.parametrize(
    "fields",
    [
        ({b"short": 1}, ()),
        ({bytes(13): 1}, ()),
        ({bytes(12): -1}, ()),
        ({bytes(12): 2**32}, ()),
        ({}, (b"short",)),
    ],
)
def test_a_final_snapshot_with_unusable_flows_is_left_out(
    fields: tuple[object, object],
) -> None:
    """Guards against an end of the process by the snapshot of another writer."""
    unconfirmed, closed = fields

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            await first.stop()
        value = msgspec.msgpack.encode((1_000, {}, unconfirmed, closed, True, 0))
        store.revision += 1
        store.put(first.writer.key, value)
        async with _running(store) as second:
            assert second.counted("record_not_readable") == 1
            assert not second.engine.table.complete
        log = event_log.EventLog("test")
        hints = await flow_hints.read(store, message_port=7700, log=log)
        assert hints == flow_hints.NO_HINTS

    _run(check)


@pytest.mark.parametrize("away_seconds", [0.5, 1.5])
@pytest.mark.parametrize("is_listening", [False, True])
def test_a_crash_soon_after_a_planned_restart_resets_the_flows_at_once(
    away_seconds: float, is_listening: bool
) -> None:
    """Guards against callers that wait for an upstream that crashed unseen.

    It crashes before its first heartbeat to the new process, or while there is none.
    """

    async def check(store: _Store) -> None:
        await _open_and_stop(store)
        await trio.sleep(away_seconds)
        async with _running(
            store, is_heartbeat_due=False, is_listening=is_listening
        ) as second:
            if is_listening:
                second.refuse_connection()
            assert second.harness.port.resets == [KEY]

    _run(check)


@pytest.mark.parametrize(
    ("is_draining", "away_seconds"), [(True, 0.5), (False, 3.0), (True, 3.0)]
)
def test_an_upstream_that_was_leaving_keeps_its_flows_after_a_planned_restart(
    is_draining: bool, away_seconds: float
) -> None:
    """Guards against resets of flows that a leaving upstream still serves.

    It had announced its end to the process before, or may have done so since.
    """

    async def check(store: _Store) -> None:
        async with _first(store) as first:
            first.harness.open(KEY)
            first.harness.handle_heartbeat(8, draining=is_draining)
            await first.stop()
        await trio.sleep(away_seconds)
        async with _running(store, is_heartbeat_due=False) as second:
            second.refuse_connection()
            assert second.harness.port.resets == []
            second.harness.now = trio.current_time()
            second.harness.tick(upstream_events.EXIT_GRACE_SECONDS)
            assert second.harness.port.resets == [KEY]

    _run(check)
