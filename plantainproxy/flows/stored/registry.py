"""Registration of sidecars in the store: one entry per sidecar, under a lease."""

from collections import abc
import random
import typing

import msgspec
import xxhash

from plantainproxy import _decoding, _exceptions, _types
from plantainproxy.eventloop import runtime
from plantainproxy.flows import event_log
from plantainproxy.flows.engine import upstreams
from plantainproxy.flows.stored import follower
from plantainproxy.store import port, revisioned

PREFIX = "plantainproxy/sidecars/"
COALESCE_SECONDS = 0.05
"""Short, so that all balancers have nearly the same list. One balancer may place a flow
on a new upstream, and the next packet of the flow may reach another balancer."""
LEASE_SECONDS = 10.0
"""How long the entry of an ended sidecar remains; longer than a restart takes."""
RENEWAL_SECONDS = 1.8
"""Interval of lease renewals, and so the longest time for which an entry is missing
after the store has dropped its leases."""
RENEWAL_RETRY_SECONDS = 1.0
"""Longest interval of renewals while the store fails; half to all of it is waited, so
that the sidecars detect the store's return within a second, spread over that time."""
ERA_CHECK_SPREAD_SECONDS = 0.8
"""After another process has stated a new era of the store, sidecars check their leases
spread over this time, so that they do not all register again at once. Below the second
in which they have to register."""
LIST_HOLD_SECONDS = upstreams.LIST_LAG_SECONDS
"""How long entries that a restored copy of the store lacks remain in the list."""
WITHDRAWAL_TIMEOUT_SECONDS = 1.0
"""How long a withdrawal may delay the shutdown. If it fails, the entry is removed when
the lease expires."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Addresses on which one sidecar listens."""

    host: _decoding.Host
    message_port: _decoding.Port
    data_port: _decoding.Port
    domain: _decoding.Name = ""
    """Failure domain of the sidecar."""


class SidecarList(msgspec.Struct, frozen=True, array_like=True):
    """All entries at one revision of the store."""

    revision: _decoding.Count
    entries: typing.Annotated[
        dict[_decoding.Text, bytes], msgspec.Meta(max_length=_decoding.MAX_ELEMENTS)
    ]
    era: _decoding.Count = 0

    @property
    def order(self) -> revisioned.Revision:
        """Position among all lists."""
        return revisioned.Revision(self.era, self.revision)


class ActiveList:
    """The list of sidecars of a process; its revision never decreases."""

    def __init__(self) -> None:
        """Start without a list."""
        self.current: SidecarList | None = None
        """The list according to the store."""
        self.digest = 0
        self.held_entries: dict[str, bytes] = {}
        """Entries from before the store was restored that have not returned yet."""
        self.hold_seconds_left = 0.0
        """Time with a responding store after which the held entries are dropped."""

    @property
    def order(self) -> revisioned.Revision:
        """Revision of the list; ``NO_REVISION`` without one."""
        return self.current.order if self.current else revisioned.NO_REVISION

    @property
    def entries(self) -> dict[str, bytes]:
        """The entries in force: those of the store and the held ones."""
        stored = self.current.entries if self.current else {}
        return self.held_entries | stored

    def apply_if_newer(self, offered: SidecarList) -> bool:
        """Activate a list of a higher revision; return whether it was activated."""
        if offered.order <= self.order:
            return False
        if self.current is not None and offered.era > self.current.era:
            self.held_entries = self.entries
            self.hold_seconds_left = LIST_HOLD_SECONDS
        self.current = offered
        for key in offered.entries:
            self.held_entries.pop(key, None)
        self.digest = xxhash.xxh32_intdigest(
            msgspec.msgpack.encode(sorted(offered.entries.items()))
        )
        return True

    def advance_order(self, order: revisioned.Revision) -> None:
        """Raise the revision if the list is unchanged at a later store revision."""
        if self.current is not None and order > self.order:
            self.current = msgspec.structs.replace(
                self.current, revision=order.number, era=order.era
            )

    def elapse_hold(self, seconds: float) -> bool:
        """Let time pass in which the store responded.

        Returns whether entries were dropped.
        """
        self.hold_seconds_left = max(0.0, self.hold_seconds_left - seconds)
        if not self.held_entries or self.hold_seconds_left:
            return False
        self.held_entries = {}
        return True


def decode_list(
    data: bytes, on_refused: abc.Callable[[Exception], None] = _decoding.ignore
) -> SidecarList | None:
    """Decode a list that another process sent; ``None`` if it is not valid."""
    try:
        return msgspec.msgpack.decode(data, type=SidecarList)
    except _decoding.ERRORS as error:
        on_refused(error)
        return None


def decode(
    entries: abc.Mapping[str, bytes],
    on_refused: abc.Callable[[Exception], None] = _decoding.ignore,
) -> dict[_types.Address, upstreams.ListedSidecar]:
    """Return the sidecars by message address.

    Skips entries of another writer, which do not decode.
    """
    listed = {}
    for value in entries.values():
        try:
            entry = msgspec.msgpack.decode(value, type=Entry)
        except _decoding.ERRORS as error:
            on_refused(error)
            continue
        address = _types.Address(entry.host, entry.message_port)
        listed[address] = upstreams.ListedSidecar(
            data_address=_types.Address(entry.host, entry.data_port),
            domain=entry.domain,
        )
    return listed


async def read_newer(
    store: revisioned.RevisionedStore, sidecars: ActiveList
) -> SidecarList | None:
    """Return the store's list as of this call; ``None`` if it has not changed.

    Raises ``PlantainError`` if the store does not answer.
    """
    known = sidecars.current or SidecarList(revision=0, entries={})
    try:
        received = await store.changes_after(PREFIX, known.order)
        revision, entries = received.revision, dict(known.entries)
        follower.apply_changes(entries, received.changes)
    except revisioned.HistoryLostError:
        snapshot = await store.read_all(PREFIX)
        revision = snapshot.revision
        entries = {entry.key: entry.value for entry in snapshot.entries}
    if sidecars.current is None or sidecars.current.entries != entries:
        return SidecarList(revision=revision.number, entries=entries, era=revision.era)
    sidecars.advance_order(revision)
    return None


class Registration:
    """The entry of this sidecar in the store."""

    def __init__(
        self, store: revisioned.LeasingStore, entry: Entry, log: event_log.EventLog
    ) -> None:
        """Start unregistered."""
        self.store = store
        self.entry = entry
        self.key = f"{PREFIX}{entry.host}/"
        self.value = msgspec.msgpack.encode(entry)
        self.log = log
        self.lease: int | None = None
        self.era = 0
        """Era of the store in which the lease was granted. In a later era its ID may
        belong to another process."""
        self.stated_era = 0
        """Latest era that another process has stated."""
        self.check_requested = runtime.Event()
        self.check_spread_seconds = ERA_CHECK_SPREAD_SECONDS
        self.revision = 0
        """Number of the revision of the entry in the era of the lease; 0 before the
        store has confirmed the entry."""
        self.inherited_keys: tuple[str, ...] = ()
        """Further keys that an earlier process of this sidecar may have written."""
        self.inherited: dict[str, port.Entry] = {}
        """Entries of an earlier process, from the response to the first write."""
        self.inherited_era = 0
        """Era of that response."""
        self.inheritance_known = runtime.Event()
        """Set once the store has answered the first write."""
        self.is_successor = False
        """Whether the entry has replaced the inherited one, so that no other process
        has registered in between."""
        self.registered = runtime.Event()
        """Set once the store has confirmed the entry for the first time."""


def request_check(
    registration: Registration, era: int, *, spread_seconds: float
) -> None:
    """Check the lease soon if another process has seen a later era of the store.

    The check itself decides, so a wrong statement costs one call. It is made after a
    random part of ``spread_seconds``.
    """
    if era > max(registration.era, registration.stated_era):
        registration.stated_era = era
        registration.check_spread_seconds = spread_seconds
        registration.check_requested.set()


async def maintain_registration(registration: Registration) -> None:
    """Register the entry and renew its lease until cancelled.

    After a change of the store's era, both are made again: the copy may lack them.
    """
    store = registration.store
    backoff = follower.Backoff()
    while True:
        try:
            if registration.lease is None or registration.era != store.era:
                registration.lease = await store.grant_lease(ttl_seconds=LEASE_SECONDS)
                registration.era = store.era
                registration.check_requested = runtime.Event()
            replaced_revision = await _write(registration, registration.lease)
            if registration.era != store.era:
                continue
            _record_registered(registration, replaced_revision)
            registration.log.write(
                "registered",
                key=registration.key,
                lease=registration.lease,
                era=registration.era,
            )
            backoff.reset()
            await _renew_until_ended(registration)
            registration.log.write(
                "lease lost",
                key=registration.key,
                lease=registration.lease,
                era=store.era,
            )
            registration.lease = None
        except revisioned.LeaseEndedError:
            registration.lease = None
        except _exceptions.PlantainError as error:
            registration.log.write_limited(
                "registration failed", key=registration.key, detail=str(error)
            )
            await backoff.wait()


async def withdraw(registration: Registration) -> None:
    """Remove the entry, so that balancers stop waiting for this sidecar's answers.

    A renewal first shows whether the lease is still this process's: in a later era of
    the store, its ID may belong to another one.
    """
    if registration.lease is None:
        return
    with runtime.move_on_after(WITHDRAWAL_TIMEOUT_SECONDS):
        try:
            is_held = await registration.store.renew_lease(registration.lease)
            if not is_held or registration.era != registration.store.era:
                registration.log.write("withdrawal not needed", key=registration.key)
                return
            await registration.store.revoke_lease(registration.lease)
        except _exceptions.PlantainError as error:
            registration.log.write(
                "withdrawal failed", key=registration.key, detail=str(error)
            )
            return
        registration.log.write(
            "withdrawn", key=registration.key, lease=registration.lease
        )


def _record_registered(registration: Registration, replaced_revision: int) -> None:
    """Record at the first confirmation whether the entry replaced the inherited one."""
    if registration.registered.is_set():
        return
    inherited = registration.inherited.get(registration.key)
    registration.is_successor = (
        inherited is not None
        and inherited.mod_revision == replaced_revision
        and registration.inherited_era == registration.era
    )
    registration.registered.set()


async def _write(registration: Registration, lease: int) -> int:
    """Create or replace the entry; return the revision that it replaced, 0 for none.

    Most entries are new. Where one exists, the store's response has its revision, and
    the condition on it prevents a delayed write from overwriting a newer one.
    """
    store, key = registration.store, registration.key
    put = port.Put(key=key, value=registration.value, lease=lease)
    is_first = not registration.inheritance_known.is_set()
    absent_keys = (key, *registration.inherited_keys) if is_first else (key,)
    compares = tuple(port.Compare(key=absent, mod_revision=0) for absent in absent_keys)
    result = await store.write(port.Transaction(compares=compares, puts=(put,)))
    entries = result.entries if isinstance(result, revisioned.Conflict) else ()
    found = {entry.key: entry for entry in entries}
    if is_first:
        registration.inherited = found
        registration.inherited_era = store.era
        registration.inheritance_known.set()
    if not isinstance(result, revisioned.Conflict):
        registration.revision = result
        return 0
    revision = found[key].mod_revision if key in found else 0
    compares = (port.Compare(key=key, mod_revision=revision),)
    result = await store.write(port.Transaction(compares=compares, puts=(put,)))
    if isinstance(result, revisioned.Conflict):
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.CONFLICT, f"another process changed the entry {key}"
        )
    registration.revision = result
    return revision


async def _renew_until_ended(registration: Registration) -> None:
    """Renew a lease until it has ended or its era has; retry calls that fail.

    Another call of this process may have received a response of a later era.
    """
    store, lease = registration.store, registration.lease
    assert lease is not None
    interval_seconds = RENEWAL_SECONDS
    while True:
        with runtime.move_on_after(interval_seconds):
            await registration.check_requested.wait()
            registration.check_requested = runtime.Event()
            await runtime.sleep(random.random() * registration.check_spread_seconds)
        try:
            if not await store.renew_lease(lease) or store.era != registration.era:
                return
            interval_seconds = RENEWAL_SECONDS
        except _exceptions.PlantainError:
            interval_seconds = RENEWAL_RETRY_SECONDS * (0.5 + random.random() / 2)
