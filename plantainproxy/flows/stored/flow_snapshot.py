"""Snapshots of a sidecar's open flows in the store.

After a power failure only the store has the list of flows. Without a reset, a caller
finds out that its flow is gone only when it sends the next packet: a non-idempotent
request is then lost because it is never repeated, and other requests wait for a
retransmission. So the next sidecar process reads the snapshot, and resets the flows at
once if the upstream that held them has ended. Otherwise it presumes that the upstream
holds them. After a planned stop, whose snapshot has all flows, it can tell balancers
which flows the upstream does not hold.

The relay that covers the sidecar writes the snapshot with those of other sidecars
(``snapshot_batch``). Without a relay, or without its answer, the sidecar writes less
often itself.
"""

from collections import abc

import msgspec

from plantainproxy import _decoding, _exceptions, _types
from plantainproxy.eventloop import runtime
from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import sidecar_state, upstream, upstream_events
from plantainproxy.flows.stored import flow_record, registry, snapshot_batch
from plantainproxy.store import port, revisioned

SAVE_INTERVAL_SECONDS = 5.0
"""Minimum interval between the writes of a sidecar without a relay."""
MIN_CHANGED_SHARE = 0.25
"""Share of the flows that must have been opened or ended for a write without a relay. A
snapshot that names most flows is worth nearly as much as one that names all, and each
write is one of the calls that all processes share."""
MAX_WRITE_SHARE = 0.05
"""Maximum share of the store's write rate that the snapshots written without a relay
may use together."""
CHECK_INTERVAL_SECONDS = 1.0
"""Interval of checks whether the snapshot has changed."""
MIN_RELAYED_CHANGED_SHARE = 0.05
"""Like ``MIN_CHANGED_SHARE``, for a snapshot that a relay writes with those of other
sidecars."""
MAX_RELAYED_BYTES = 1_300
"""Size of a snapshot that fits one packet of the network. A larger one is written
without a relay."""
CONFIRMATION_TIMEOUT_SECONDS = 4.0
"""Time without an answer of the relay after which the sidecar writes the snapshot
itself: two of the relay's intervals."""
HANDOVER_TIMEOUT_SECONDS = 0.5
"""How long the write of the final snapshot may delay a planned stop. The upstream gets
no new flows in that time."""
HANDOVER_SECONDS = 1.6
"""How long after a planned stop the next process may start and still rely on the final
snapshot; above the time that a restart takes. A process that the store has not
confirmed admits no flow for as long after its start: nothing but the age of the final
snapshot shows the one after it that another process may have served."""
READY_STATE_SECONDS = 2.0
"""How long after a planned stop the next process takes an upstream that was ready for
one that has announced no end. Below the time from an upstream's announcement until it
stops listening."""
HANDOVER_WRITES = 2
"""Maximum number of these writes: a relay or an unanswered write may have changed the
stored snapshot's revision before the first one."""


class Offer(msgspec.Struct, frozen=True, kw_only=True):
    """A snapshot that has been sent to a relay and is not confirmed yet."""

    number: int
    relay: _types.Address
    flows: frozenset[bytes]
    lease: int
    sent_at: float


class FlowSnapshotWriter:
    """Saves the snapshot of one sidecar under the lease of its registration."""

    def __init__(
        self,
        registration: registry.Registration,
        *,
        writes_per_second: float,
        find_relay: abc.Callable[[], _types.Address | None] = lambda: None,
        send: snapshot_batch.Send = lambda relay, message: None,
        boot_clock: abc.Callable[[], float] = runtime.current_time,
    ) -> None:
        """Start at revision 0, which stands for no stored snapshot.

        ``find_relay`` returns the relay that writes for this process, if there is one.
        ``boot_clock`` is the same for all processes of the machine since its start.
        """
        self.boot_clock = boot_clock
        self.started_at = boot_clock()
        self.registration = registration
        self.store = registration.store
        self.log = registration.log
        self.key = flow_record.key_of(registration.entry.host)
        registration.inherited_keys = (self.key,)
        self.writes_per_second = writes_per_second
        self.find_relay = find_relay
        self.send = send
        self.revision = 0
        """Number of the revision of the stored snapshot in its era."""
        self.era = 0
        """Era of the store for which the snapshot has been read or written."""
        self.saved_flows: frozenset[bytes] = frozenset()
        self.saved_lease: int | None = None
        """Lease of the stored snapshot; it is removed when the lease ends."""
        self.must_write = False
        """Whether to write a snapshot even if hardly any flows have changed."""
        self.next_write_at = float("-inf")
        """Earliest time of the next write without a relay."""
        self.offer: Offer | None = None
        self.offer_count = 0


async def run(writer: FlowSnapshotWriter, engine: sidecar_state.Engine) -> None:
    """Apply the previous process's snapshot, then save snapshots until the stop."""
    previous = await _previous_snapshot(writer)
    if previous is not None:
        writer.log.write(
            "record read",
            flows=len(previous.flows),
            born=previous.born,
            is_final=previous.is_final,
        )
        is_handover = _is_handover(writer, previous)
        upstream_events.apply_snapshot(
            engine,
            previous.born,
            previous.flows,
            # Otherwise the caller may have confirmed them since.
            unconfirmed=previous.unconfirmed if is_handover else {},
            closed=previous.closed,
            now=runtime.current_time(),
        )
        ready_seconds = _ready_seconds(writer, previous)
        if ready_seconds > 0:
            now = runtime.current_time()
            upstream_events.inherit_ready_state(
                engine, until=now + ready_seconds, now=now
            )
        if is_handover:
            await _complete_table(writer, engine)
    writer.era = writer.registration.era
    writer.next_write_at = runtime.current_time() + SAVE_INTERVAL_SECONDS
    while not engine.stopping:
        await runtime.sleep(CHECK_INTERVAL_SECONDS)
        new_snapshot = None if engine.stopping else take_snapshot(engine)
        if new_snapshot is None:
            continue
        try:
            await _save(writer, new_snapshot, _save_interval_seconds(writer, engine))
        except (_exceptions.PlantainError, revisioned.LeaseEndedError) as error:
            writer.log.write_limited("record not written", detail=str(error))


async def _save(
    writer: FlowSnapshotWriter,
    new_snapshot: flow_record.FlowSnapshot,
    interval_seconds: float,
) -> None:
    """Leave a changed snapshot to the relay, or write it if the interval has passed."""
    flows = frozenset(new_snapshot.flows)
    if writer.era != writer.registration.era:
        await _handle_restored_store(writer)
        # The copy may have an older snapshot, under a lease that ends.
        writer.must_write = bool(flows or writer.revision)
    if writer.saved_lease not in (None, writer.registration.lease):
        writer.must_write, writer.saved_lease = True, None
    now = runtime.current_time()
    if _offer_to_relay(writer, new_snapshot, flows, now=now):
        return
    is_changed = writer.must_write or is_worth_writing(flows, writer.saved_flows)
    if now < writer.next_write_at or not is_changed:
        return
    writer.next_write_at = now + interval_seconds
    lease = writer.registration.lease
    if await _write(writer, new_snapshot):
        _record_saved(writer, flows, lease)


def _offer_to_relay(
    writer: FlowSnapshotWriter,
    new_snapshot: flow_record.FlowSnapshot,
    flows: frozenset[bytes],
    *,
    now: float,
) -> bool:
    """Send a changed snapshot to the relay; return whether the relay sees to it."""
    offer = writer.offer
    if offer is not None:
        if now - offer.sent_at < CONFIRMATION_TIMEOUT_SECONDS:
            return True
        writer.log.write_limited("record not confirmed", relay=str(offer.relay))
        writer.offer = None
        return False
    relay, lease = writer.find_relay(), writer.registration.lease
    if relay is None or lease is None or writer.registration.era != writer.store.era:
        return False
    if not writer.must_write and not is_worth_writing(
        flows, writer.saved_flows, min_changed_share=MIN_RELAYED_CHANGED_SHARE
    ):
        return True
    encoded = msgspec.msgpack.encode(new_snapshot)
    if len(encoded) > MAX_RELAYED_BYTES:
        return False
    writer.offer_count += 1
    writer.offer = Offer(
        number=writer.offer_count, relay=relay, flows=flows, lease=lease, sent_at=now
    )
    record = messages.FlowRecord(
        number=writer.offer_count,
        era=writer.registration.era,
        lease=lease,
        revision=writer.revision,
        snapshot=encoded,
    )
    writer.send(relay, record)
    return True


def handle_result(
    writer: FlowSnapshotWriter, result: messages.FlowRecordResult
) -> None:
    """Handle the relay's answer to the latest offer; ignore any other one."""
    offer = writer.offer
    if offer is None or offer.number != result.number:
        return
    writer.offer = None
    writer.revision = result.revision
    if result.is_saved:
        _record_saved(writer, offer.flows, offer.lease)


def _record_saved(
    writer: FlowSnapshotWriter, flows: frozenset[bytes], lease: int | None
) -> None:
    writer.saved_flows, writer.saved_lease = flows, lease
    writer.must_write = False


async def _previous_snapshot(
    writer: FlowSnapshotWriter,
) -> flow_record.FlowSnapshot | None:
    """Return the previous process's snapshot; ``None`` if there is none."""
    await writer.registration.inheritance_known.wait()
    return _decode(writer, writer.registration.inherited.get(writer.key))


def _is_handover(
    writer: FlowSnapshotWriter, previous: flow_record.FlowSnapshot
) -> bool:
    """Return whether the previous snapshot has all flows and is newer than the entry.

    A process that has registered since may have opened flows, and one that could not
    register may have done so from ``HANDOVER_SECONDS`` after its start on. Revisions of
    another era are not comparable.
    """
    if previous.stopped_at is not None:
        away_seconds = writer.started_at - previous.stopped_at
        if not 0 <= away_seconds < HANDOVER_SECONDS:
            writer.log.write("final record outdated", seconds=round(away_seconds, 3))
            return False
    registration = writer.registration
    entry = registration.inherited.get(registration.key)
    return (
        previous.is_final
        and previous.era == registration.inherited_era
        and entry is not None
        and entry.mod_revision < writer.revision
    )


def _ready_seconds(
    writer: FlowSnapshotWriter, previous: flow_record.FlowSnapshot
) -> float:
    """Return for how long the state of a ready upstream at the stop still counts."""
    if not previous.is_ready or previous.stopped_at is None:
        return 0.0
    elapsed_seconds = writer.boot_clock() - previous.stopped_at
    if elapsed_seconds < 0:
        # The machine has been started again since.
        return 0.0
    return READY_STATE_SECONDS - elapsed_seconds


async def _complete_table(
    writer: FlowSnapshotWriter, engine: sidecar_state.Engine
) -> None:
    """Complete the flow table once this process has registered.

    Should this one end unplanned, the next process learns from its entry that the final
    snapshot is outdated.
    """
    await writer.registration.registered.wait()
    if writer.registration.is_successor:
        engine.table.complete = True
        writer.log.write("flow table complete", reason="handed over")


def hold_flows(engine: sidecar_state.Engine, *, now: float) -> None:
    """Let a process that has just started admit no flow for ``HANDOVER_SECONDS``."""
    engine.admits_flows_at = now + HANDOVER_SECONDS


async def admit_flows_once_registered(
    registration: registry.Registration, engine: sidecar_state.Engine
) -> None:
    """End the hold: the next process learns of this one from its entry."""
    await registration.registered.wait()
    engine.admits_flows_at = float("-inf")


async def hand_over(writer: FlowSnapshotWriter, engine: sidecar_state.Engine) -> None:
    """Write the final snapshot for the next process, within a time limit."""
    snapshot = take_final_snapshot(
        engine, era=writer.registration.era, stopped_at=writer.boot_clock()
    )
    if snapshot is None:
        writer.log.write("flows not handed over", reason="no heartbeat received")
        return
    is_written, reason = False, "no entry, or another process changed it"
    try:
        with runtime.fail_after(HANDOVER_TIMEOUT_SECONDS):
            for _ in range(HANDOVER_WRITES):
                is_written = is_written or await write_final(writer, snapshot)
    except (
        _exceptions.PlantainError,
        revisioned.LeaseEndedError,
        runtime.TooSlowError,
    ) as error:
        reason = str(error)
    if not is_written:
        writer.log.write("flows not handed over", reason=reason)
        return
    writer.log.write(
        "flows handed over",
        flows=len(snapshot.flows),
        unconfirmed=len(snapshot.unconfirmed),
        is_final=snapshot.is_final,
    )


async def write_final(
    writer: FlowSnapshotWriter, snapshot: flow_record.FlowSnapshot
) -> bool:
    """Write a snapshot as long as the entry is this process's.

    The store may apply the write late. After the next process has registered, the
    snapshot would count as one of that process.
    """
    registration = writer.registration
    if not registration.revision:
        return False
    entry = port.Compare(key=registration.key, mod_revision=registration.revision)
    return await _write(writer, snapshot, compares=(entry,))


async def _handle_restored_store(writer: FlowSnapshotWriter) -> None:
    """Find out which snapshot the copy has from which the store was restored."""
    era = writer.registration.era
    await _read(writer)
    writer.era = era


def is_worth_writing(
    flows: frozenset[bytes],
    saved_flows: frozenset[bytes],
    *,
    min_changed_share: float = MIN_CHANGED_SHARE,
) -> bool:
    """Return whether enough flows differ from those in the stored snapshot."""
    changed_count = len(flows ^ saved_flows)
    return changed_count > 0 and changed_count >= min_changed_share * max(
        len(flows), len(saved_flows)
    )


def take_snapshot(engine: sidecar_state.Engine) -> flow_record.FlowSnapshot | None:
    """Return a snapshot of the open flows.

    Returns ``None`` before the first heartbeat of the upstream or without a policy.
    """
    newest, current = engine.upstream.newest, engine.policies.current
    if newest is None or current is None:
        return None
    return flow_record.FlowSnapshot(
        born=_born(engine, newest),
        flows={
            key: flow.caller_acknowledgement
            for key, flow in engine.table.flows.items()
            if flow.is_open and _is_saved(current, key)
        },
    )


def take_final_snapshot(
    engine: sidecar_state.Engine, *, era: int, stopped_at: float | None = None
) -> flow_record.FlowSnapshot | None:
    """Return a snapshot of all flows at a planned stop at ``stopped_at``.

    Returns ``None`` before the first heartbeat of the upstream, whose incarnation is
    then not known. If the flow table is complete, packets that would add or confirm a
    flow do not pass from now on: the next process would deny that the upstream holds
    it. Otherwise they pass, and unconfirmed flows are left out.
    """
    newest, flows = engine.upstream.newest, engine.table.flows
    if newest is None:
        return None
    engine.has_handed_over = engine.table.complete
    open_flows = {key: flow for key, flow in flows.items() if not flow.is_closed}
    return flow_record.FlowSnapshot(
        born=_born(engine, newest),
        flows={
            key: flow.caller_acknowledgement
            for key, flow in open_flows.items()
            if flow.confirmed
        },
        unconfirmed={
            key: flow.upstream_sequence
            for key, flow in open_flows.items()
            if not flow.confirmed and flow.upstream_sequence is not None
        }
        if engine.table.complete
        else {},
        closed=tuple(flows.keys() - open_flows.keys()),
        is_final=engine.table.complete,
        era=era,
        is_stop=True,
        stopped_at=stopped_at,
        is_ready=engine.upstream.state is messages.UpstreamState.READY,
    )


def _born(engine: sidecar_state.Engine, newest: upstream.Heartbeat) -> int:
    """Return the start of the incarnation that holds the flows.

    Just after the start of this process, the newest heartbeat may be a late one of the
    incarnation before.
    """
    return max(newest.born, engine.inherited_born or 0)


def _is_saved(current: policy.Policy, key: bytes) -> bool:
    """Return whether a flow is part of the snapshot.

    Downloads are not: each uses a separate flow, which ends before the next write, and
    its acknowledgements advance too fast for a saved one to be useful.
    """
    route = current.routes.get(key[: packets.SERVICE_BYTES])
    return route is not None and route.kind is not policy.RouteKind.DOWNLOAD


def _save_interval_seconds(
    writer: FlowSnapshotWriter, engine: sidecar_state.Engine
) -> float:
    """Return the interval of writes, which grows with the number of sidecars."""
    allowed = MAX_WRITE_SHARE * writer.writes_per_second
    return max(SAVE_INTERVAL_SECONDS, engine.fleet_size / max(allowed, 1.0))


async def _read(writer: FlowSnapshotWriter) -> flow_record.FlowSnapshot | None:
    stored = await writer.store.read_all(writer.key)
    return _decode(writer, stored.entries[0] if stored.entries else None)


def _decode(
    writer: FlowSnapshotWriter, entry: port.Entry | None
) -> flow_record.FlowSnapshot | None:
    """Decode the stored snapshot and record its revision for the next write."""
    writer.revision = entry.mod_revision if entry else 0
    if entry is None:
        return None
    try:
        return msgspec.msgpack.decode(entry.value, type=flow_record.FlowSnapshot)
    except _decoding.ERRORS as error:
        writer.log.write("record not readable", key=writer.key, detail=str(error))
        return None


async def _write(
    writer: FlowSnapshotWriter,
    new_snapshot: flow_record.FlowSnapshot,
    *,
    compares: tuple[port.Compare, ...] = (),
) -> bool:
    """Write a snapshot if the stored one still has the expected revision.

    ``compares`` are further conditions. Returns whether it was written.
    """
    lease = writer.registration.lease
    if lease is None or writer.registration.era != writer.store.era:
        return False
    put = port.Put(
        key=writer.key, value=msgspec.msgpack.encode(new_snapshot), lease=lease
    )
    transaction = port.Transaction(
        compares=(
            port.Compare(key=writer.key, mod_revision=writer.revision),
            *compares,
        ),
        puts=(put,),
    )
    written = await writer.store.write(transaction)
    if isinstance(written, revisioned.Conflict):
        # The revision differs because the response to an earlier write was lost or the
        # lease has ended. The response has the stored revision for the next write.
        stored = {entry.key: entry for entry in written.entries}
        _decode(writer, stored.get(writer.key))
        return False
    writer.revision = written
    return True
