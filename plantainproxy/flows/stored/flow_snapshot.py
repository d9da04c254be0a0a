"""Snapshots of a sidecar's open flows in the store.

After a power failure only the store has the list of flows. Without a reset, a caller
finds out that its flow is gone only when it sends the next packet: a non-idempotent
request is then lost because it is never repeated, and other requests wait for a
retransmission. So the next sidecar process reads the snapshot, and resets the flows at
once if the upstream that held them has ended.
"""

import msgspec

from plantainproxy import _exceptions
from plantainproxy.eventloop import runtime
from plantainproxy.flows import packets, policy
from plantainproxy.flows.engine import sidecar_state, upstream_events
from plantainproxy.flows.stored import registry
from plantainproxy.store import port, revisioned

PREFIX = "plantainproxy/flows/"
SAVE_INTERVAL_SECONDS = 5.0
"""Minimum interval between writes of a changed snapshot. Flows live for about a minute,
and the store limits the rate of writes."""
MIN_CHANGED_SHARE = 0.25
"""Share of the flows that must have been opened or ended for a new write. A snapshot
that names most flows is worth nearly as much as one that names all, and each write is
one of the calls that all processes share."""
MAX_WRITE_SHARE = 0.05
"""Maximum share of the store's write rate that all snapshots together may use."""


class FlowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The open flows of one incarnation of an upstream."""

    born: int
    """Start of the incarnation in milliseconds since the epoch, on the upstream's
    clock."""
    flows: dict[bytes, int]
    """The caller's newest acknowledgement, by flow key."""


class FlowSnapshotWriter:
    """Writes the snapshot of one sidecar under the lease of its registration."""

    def __init__(
        self, registration: registry.Registration, *, writes_per_second: float
    ) -> None:
        """Start at revision 0, which stands for no stored snapshot."""
        self.registration = registration
        self.store = registration.store
        self.log = registration.log
        self.key = f"{PREFIX}{registration.entry.host}/"
        registration.inherited_keys = (self.key,)
        self.writes_per_second = writes_per_second
        self.revision = 0
        """Number of the revision of the stored snapshot in its era."""
        self.era = 0
        """Era of the store for which the snapshot has been read or written."""


async def run(writer: FlowSnapshotWriter, engine: sidecar_state.Engine) -> None:
    """Apply the previous process's snapshot, then save snapshots until cancelled."""
    previous = await _previous_snapshot(writer)
    if previous is not None:
        writer.log.write("record read", flows=len(previous.flows), born=previous.born)
        upstream_events.apply_snapshot(engine, previous.born, previous.flows)
    saved_flows: frozenset[bytes] = frozenset()
    writer.era = writer.registration.era
    must_write = False
    while True:
        await runtime.sleep(_save_interval_seconds(writer, engine))
        new_snapshot = take_snapshot(engine)
        if new_snapshot is None:
            continue
        flows = frozenset(new_snapshot.flows)
        try:
            if writer.era != writer.registration.era:
                await _handle_restored_store(writer)
                # The copy may have an older snapshot, under a lease that ends.
                must_write = bool(flows or writer.revision)
            if not must_write and not is_worth_writing(flows, saved_flows):
                continue
            if await _write(writer, new_snapshot):
                saved_flows, must_write = flows, False
        except (_exceptions.PlantainError, revisioned.LeaseEndedError) as error:
            writer.log.write_limited("record not written", detail=str(error))


async def _previous_snapshot(writer: FlowSnapshotWriter) -> FlowSnapshot | None:
    """Return the previous process's snapshot; ``None`` if there is none."""
    await writer.registration.inheritance_known.wait()
    return _decode(writer, writer.registration.inherited.get(writer.key))


async def _handle_restored_store(writer: FlowSnapshotWriter) -> None:
    """Find out which snapshot the copy has from which the store was restored."""
    era = writer.registration.era
    await _read(writer)
    writer.era = era


def is_worth_writing(flows: frozenset[bytes], saved_flows: frozenset[bytes]) -> bool:
    """Return whether enough flows differ from those in the stored snapshot."""
    changed_count = len(flows ^ saved_flows)
    return changed_count > 0 and changed_count >= MIN_CHANGED_SHARE * max(
        len(flows), len(saved_flows)
    )


def take_snapshot(engine: sidecar_state.Engine) -> FlowSnapshot | None:
    """Return a snapshot of the open flows.

    Returns ``None`` before the first heartbeat of the upstream or without a policy.
    """
    newest, current = engine.upstream.newest, engine.policies.current
    if newest is None or current is None:
        return None
    return FlowSnapshot(
        born=newest.born,
        flows={
            key: flow.caller_acknowledgement
            for key, flow in engine.table.flows.items()
            if flow.confirmed and not flow.is_closed and _is_saved(current, key)
        },
    )


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


async def _read(writer: FlowSnapshotWriter) -> FlowSnapshot | None:
    stored = await writer.store.read_all(writer.key)
    return _decode(writer, stored.entries[0] if stored.entries else None)


def _decode(
    writer: FlowSnapshotWriter, entry: port.Entry | None
) -> FlowSnapshot | None:
    """Decode the stored snapshot and record its revision for the next write."""
    writer.revision = entry.mod_revision if entry else 0
    if entry is None:
        return None
    try:
        return msgspec.msgpack.decode(entry.value, type=FlowSnapshot)
    except msgspec.DecodeError as error:
        writer.log.write("record not readable", key=writer.key, detail=str(error))
        return None


async def _write(writer: FlowSnapshotWriter, new_snapshot: FlowSnapshot) -> bool:
    """Write a snapshot if the stored one still has the expected revision.

    Returns whether it was written.
    """
    lease = writer.registration.lease
    if lease is None or writer.registration.era != writer.store.era:
        return False
    put = port.Put(
        key=writer.key, value=msgspec.msgpack.encode(new_snapshot), lease=lease
    )
    transaction = port.Transaction(
        compares=(port.Compare(key=writer.key, mod_revision=writer.revision),),
        puts=(put,),
    )
    written = await writer.store.write(transaction)
    if isinstance(written, revisioned.Conflict):
        # The revision differs because the response to an earlier write was lost or the
        # lease has ended. The response has the stored revision for the next write.
        _decode(writer, written.entries[0] if written.entries else None)
        return False
    writer.revision = written
    return True
