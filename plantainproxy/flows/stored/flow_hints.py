"""Which sidecars hold which flows, and which have stopped as planned, by the snapshots.

A balancer that has just started would look up each flow at all candidates. With the
snapshots it queries one sidecar first. A hint may be outdated: the sidecar then denies
the flow, and the lookup goes on as without it.
"""

import msgspec

from plantainproxy import _decoding, _exceptions, _types
from plantainproxy.flows import event_log
from plantainproxy.flows.stored import flow_record
from plantainproxy.store import revisioned

MAX_SIDECARS = 400
"""Number of sidecars above which the snapshots are not read: they would occupy a small
instance's link for longer than the lookups that they save."""


class Hints(msgspec.Struct, frozen=True):
    """What the snapshots state about the sidecars' flows and stops."""

    flows: dict[bytes, _types.Address]
    """Message address of a sidecar by flow."""
    stopped: frozenset[_types.Address]
    """Sidecars that have stopped as planned. One may have returned since: its reports
    are newer."""


NO_HINTS = Hints({}, frozenset())


async def read(
    store: revisioned.RevisionedStore, *, message_port: int, log: event_log.EventLog
) -> Hints:
    """Return the hints of all snapshots; none if the store fails."""
    try:
        snapshot = await store.read_all(flow_record.PREFIX, may_be_outdated=True)
    except _exceptions.PlantainError as error:
        log.write("flow hints not read", detail=str(error))
        return NO_HINTS
    flows: dict[bytes, _types.Address] = {}
    stopped: set[_types.Address] = set()
    for entry in snapshot.entries:
        host = entry.key.removeprefix(flow_record.PREFIX).rstrip("/")
        try:
            _decoding.check_host(host)
            saved = msgspec.msgpack.decode(entry.value, type=flow_record.FlowSnapshot)
        except (*_decoding.ERRORS, ValueError) as error:
            log.count(f"refused.snapshot.{_decoding.reason(error)}")
            log.write_limited("record not readable", key=entry.key, detail=str(error))
            continue
        address = _types.Address(host, message_port)
        flows.update(dict.fromkeys(saved.flows, address))
        if saved.is_stop:
            stopped.add(address)
    log.write(
        "flow hints read",
        flows=len(flows),
        sidecars=len(snapshot.entries),
        stopped=len(stopped),
    )
    return Hints(flows, frozenset(stopped))
