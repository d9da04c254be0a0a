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
SAVE_SECONDS = 5.0
"""How often a changed record is written: flows live for about a minute, and each write
is a call that the store limits."""
WRITE_SHARE = 0.05
"""Most of the store's writes that all records together may use."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The flows of one incarnation of an upstream."""

    born: int
    """Start of the incarnation, in milliseconds on the upstream's clock."""
    flows: dict[bytes, int]
    """The caller's newest acknowledgement, by flow."""


class Keeper:
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


async def keep(own: Keeper, engine: sidecar.Engine) -> None:
    """Read what the process before this one wrote, then save the flows for ever."""
    found = await _read_first(own)
    if found is not None:
        own.log.write("record read", flows=len(found.flows), born=found.born)
        sidecar.take_record(engine, found.born, found.flows)
    saved: frozenset[bytes] = frozenset()
    while True:
        await trio.sleep(_interval(own, engine))
        record = make(engine)
        if record is None or frozenset(record.flows) == saved:
            continue
        try:
            if await _write(own, record):
                saved = frozenset(record.flows)
        except (_exceptions.PlantainError, revisioned.LeaseEndedError) as error:
            own.log.write_limited("record not written", detail=str(error))


async def _read_first(own: Keeper) -> Record | None:
    """Return the earlier process's record.

    It lies under the same lease as that process's entry, so there is none without it.
    """
    await own.registration.written.wait()
    if not own.registration.replaced_entry:
        return None
    backoff = follower.Backoff()
    while True:
        try:
            return await _read(own)
        except _exceptions.PlantainError as error:
            own.log.write_limited("record not read", detail=str(error))
            await backoff.wait()


def make(engine: sidecar.Engine) -> Record | None:
    """Return the record of the present flows; ``None`` without an upstream."""
    newest, current = engine.upstream.newest, engine.policies.current
    if newest is None or current is None:
        return None
    return Record(
        born=newest.born,
        flows={
            key: flow.caller_acknowledgement
            for key, flow in engine.table.flows.items()
            if flow.confirmed and not flow.ended and _is_recorded(current, key)
        },
    )


def _is_recorded(current: policy.Policy, key: bytes) -> bool:
    """Return whether a flow outlives the time between two writes.

    A download has a flow of its own, and its acknowledgements move on too fast.
    """
    route = current.routes.get(key[: packets.SERVICE_BYTES])
    return route is not None and route.kind is not policy.RouteKind.DOWNLOAD


def _interval(own: Keeper, engine: sidecar.Engine) -> float:
    """Return the seconds to the next write, longer in a larger fleet."""
    allowed = WRITE_SHARE * own.writes_per_second
    return max(SAVE_SECONDS, engine.fleet_size / max(allowed, 1.0))


async def _read(own: Keeper) -> Record | None:
    snapshot = await own.store.read_all(own.key)
    if not snapshot.entries:
        own.revision = 0
        return None
    entry = snapshot.entries[0]
    own.revision = entry.mod_revision
    try:
        return msgspec.msgpack.decode(entry.value, type=Record)
    except msgspec.DecodeError as error:
        own.log.write("record not readable", key=own.key, detail=str(error))
        return None


async def _write(own: Keeper, record: Record) -> bool:
    """Write the record unless another write came between; return whether it was."""
    lease = own.registration.lease
    if lease is None:
        return False
    put = port.Put(key=own.key, value=msgspec.msgpack.encode(record), lease=lease)
    transaction = port.Transaction(
        compares=(port.Compare(key=own.key, mod_revision=own.revision),), puts=(put,)
    )
    written = await own.store.write(transaction)
    if written is None:
        # An answer was lost, or the lease has ended; learn the revision.
        await _read(own)
        return False
    own.revision = written
    return True
