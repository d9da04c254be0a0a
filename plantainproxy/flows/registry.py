"""The list of sidecars in the store: one entry each, under a lease."""

from collections.abc import Mapping
from typing import Protocol

import msgspec
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.flows import follower, journal
from plantainproxy.store import port, revisioned

PREFIX = "plantainproxy/sidecars/"
LEASE_SECONDS = 10.0
"""An entry of a sidecar that has ended stays for this long; a restart is shorter."""
RENEWAL_SECONDS = 1.8
"""The longest that an entry stays away after a store has dropped its leases."""


class Entry(msgspec.Struct, frozen=True):
    """Where one sidecar listens."""

    host: str
    message_port: int
    data_port: int


class Store(revisioned.RevisionedStore, revisioned.LeasingStore, Protocol):
    """What a registration needs of the store."""


def decode(entries: Mapping[str, bytes]) -> dict[_types.Address, _types.Address]:
    """Return the addresses for data by those for messages; leave out foreign bytes."""
    found = {}
    for value in entries.values():
        try:
            entry = msgspec.msgpack.decode(value, type=Entry)
        except msgspec.DecodeError:
            continue
        address = _types.Address(entry.host, entry.message_port)
        found[address] = _types.Address(entry.host, entry.data_port)
    return found


async def stay_registered(store: Store, entry: Entry, log: journal.Journal) -> None:
    """Keep the own entry in the store for ever."""
    key = f"{PREFIX}{entry.host}/"
    value = msgspec.msgpack.encode(entry)
    backoff = follower.Backoff()
    lease: int | None = None
    while True:
        try:
            if lease is None:
                lease = await store.grant_lease(ttl_seconds=LEASE_SECONDS)
            await _write(store, key, value, lease)
            log.write("registered", key=key, lease=lease)
            backoff.reset()
            await _renew(store, lease)
            log.write("lease lost", key=key, lease=lease)
            lease = None
        except revisioned.LeaseEndedError:
            lease = None
        except _exceptions.PlantainError as error:
            log.write_limited("registration failed", key=key, detail=str(error))
            await backoff.wait()


async def _write(store: Store, key: str, value: bytes, lease: int) -> None:
    """Write the entry over whatever is there.

    The condition keeps a write that is executed late from undoing a newer one.
    """
    snapshot = await store.read_all(key)
    revision = snapshot.entries[0].mod_revision if snapshot.entries else 0
    transaction = port.Transaction(
        compares=(port.Compare(key=key, mod_revision=revision),),
        puts=(port.Put(key=key, value=value, lease=lease),),
    )
    if not await store.commit(transaction):
        raise _exceptions.PlantainError(_exceptions.ErrorKind.CONFLICT, key)


async def _renew(store: Store, lease: int) -> None:
    """Renew a lease until it has ended; a call that fails is made again."""
    while True:
        await trio.sleep(RENEWAL_SECONDS)
        try:
            if not await store.keep_lease(lease):
                return
        except _exceptions.PlantainError:
            continue
