"""Which sidecars hold which flows, according to the snapshots in the store.

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


async def read(
    store: revisioned.RevisionedStore, *, message_port: int, log: event_log.EventLog
) -> dict[bytes, _types.Address]:
    """Return the message address of a sidecar by flow; empty if the store fails."""
    try:
        snapshot = await store.read_all(flow_record.PREFIX, may_be_outdated=True)
    except _exceptions.PlantainError as error:
        log.write("flow hints not read", detail=str(error))
        return {}
    hints: dict[bytes, _types.Address] = {}
    for entry in snapshot.entries:
        host = entry.key.removeprefix(flow_record.PREFIX).rstrip("/")
        try:
            _decoding.check_host(host)
            saved = msgspec.msgpack.decode(entry.value, type=flow_record.FlowSnapshot)
        except (*_decoding.ERRORS, ValueError) as error:
            log.count(f"refused.snapshot.{_decoding.reason(error)}")
            log.write_limited("record not readable", key=entry.key, detail=str(error))
            continue
        hints.update(dict.fromkeys(saved.flows, _types.Address(host, message_port)))
    log.write("flow hints read", flows=len(hints), sidecars=len(snapshot.entries))
    return hints
