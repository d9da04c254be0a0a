"""A sidecar's record of its open flows in the store.

After a loss of power nothing but the store remembers the flows. A caller learns only
from its next packet that a flow is gone: a non-idempotent request is then lost, as it
is never repeated, and others wait for a retransmission. So the next sidecar reads the
record, and when the upstream that held the flows has ended, it resets them at once.
"""

import msgspec
import trio

from plantainproxy import _exceptions
from plantainproxy.flows import follower, packets, policy, registry, sidecar
from plantainproxy.store import port, revisioned

PREFIX = "plantainproxy/flows/"
SAVE_INTERVAL_SECONDS = 5.0
"""How often a changed record is written: flows live for about a minute, and each write
is a call that the store limits."""
MAX_WRITE_SHARE = 0.05
"""Most of the store's writes that all records together may use."""


class FlowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The flows of one incarnation of an upstream."""

    born: int
    """Start of the incarnation, in milliseconds on the upstream's clock."""
    flows: dict[bytes, int]
    """The caller's newest acknowledgement, by flow."""


class FlowSnapshotWriter:
    """The record of one sidecar, under the lease of its registration."""

    def __init__(
        self, registration: registry.Registration, *, writes_per_second: float
    ) -> None:
        """Start without knowledge of the stored record."""
        self.registration = registration
        self.store = registration.store
        self.log = registration.log
        self.key = f"{PREFIX}{registration.entry.host}/"
        self.writes_per_second = writes_per_second
        self.revision = 0


async def run(writer: FlowSnapshotWriter, engine: sidecar.Engine) -> None:
    """Read what the process before this one wrote, then save the flows for ever."""
    previous = await _read_previous(writer)
    if previous is not None:
        writer.log.write("record read", flows=len(previous.flows), born=previous.born)
        sidecar.apply_snapshot(engine, previous.born, previous.flows)
    saved_flows: frozenset[bytes] = frozenset()
    while True:
        await trio.sleep(_save_interval_seconds(writer, engine))
        new_snapshot = take_snapshot(engine)
        if new_snapshot is None or frozenset(new_snapshot.flows) == saved_flows:
            continue
        try:
            if await _write(writer, new_snapshot):
                saved_flows = frozenset(new_snapshot.flows)
        except (_exceptions.PlantainError, revisioned.LeaseEndedError) as error:
            writer.log.write_limited("record not written", detail=str(error))


async def _read_previous(writer: FlowSnapshotWriter) -> FlowSnapshot | None:
    """Return the earlier process's record.

    It lies under the same lease as that process's entry, so there is none without it.
    """
    await writer.registration.written.wait()
    if not writer.registration.replaced_entry:
        return None
    backoff = follower.Backoff()
    while True:
        try:
            return await _read(writer)
        except _exceptions.PlantainError as error:
            writer.log.write_limited("record not read", detail=str(error))
            await backoff.wait()


def take_snapshot(engine: sidecar.Engine) -> FlowSnapshot | None:
    """Return the record of the present flows; ``None`` without an upstream."""
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
    """Return whether a flow outlives the time between two writes.

    A download has a flow of its own, and its acknowledgements move on too fast.
    """
    route = current.routes.get(key[: packets.SERVICE_BYTES])
    return route is not None and route.kind is not policy.RouteKind.DOWNLOAD


def _save_interval_seconds(writer: FlowSnapshotWriter, engine: sidecar.Engine) -> float:
    """Return the seconds to the next write, longer in a larger fleet."""
    allowed = MAX_WRITE_SHARE * writer.writes_per_second
    return max(SAVE_INTERVAL_SECONDS, engine.fleet_size / max(allowed, 1.0))


async def _read(writer: FlowSnapshotWriter) -> FlowSnapshot | None:
    stored = await writer.store.read_all(writer.key)
    if not stored.entries:
        writer.revision = 0
        return None
    entry = stored.entries[0]
    writer.revision = entry.mod_revision
    try:
        return msgspec.msgpack.decode(entry.value, type=FlowSnapshot)
    except msgspec.DecodeError as error:
        writer.log.write("record not readable", key=writer.key, detail=str(error))
        return None


async def _write(writer: FlowSnapshotWriter, new_snapshot: FlowSnapshot) -> bool:
    """Write the record unless another write came between; return whether it was."""
    lease = writer.registration.lease
    if lease is None:
        return False
    put = port.Put(key=writer.key, value=msgspec.msgpack.encode(new_snapshot), lease=lease)
    transaction = port.Transaction(
        compares=(port.Compare(key=writer.key, mod_revision=writer.revision),), puts=(put,)
    )
    written = await writer.store.write(transaction)
    if written is None:
        # An answer was lost, or the lease has ended; learn the revision.
        await _read(writer)
        return False
    writer.revision = written
    return True
