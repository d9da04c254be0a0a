"""Record of what an upstream did with packets of flows that it may not hold.

A packet that is delivered on suspicion may be returned by the upstream. Until that is
decided, no further one is delivered on suspicion. After a return, the upstream does
not hold the flow until an opening of it is delivered.
docs/design/flow-lookups.md has the reasons.
"""

import msgspec

from plantainproxy import _types

MAX_SUSPECT_FLOWS = 8_192
"""Capacity for undecided deliveries, and for returns; the oldest are evicted. Equal to
the number of lookups of a balancer."""
UNDECIDED_SECONDS = 5.0
"""Longer than an upstream waits before it returns a packet."""
RETURN_RETENTION_SECONDS = 60.0
"""Longer than a lookup takes that delivers to 50 upstreams, two at a time."""


class Undecided(msgspec.Struct):
    """A delivery on suspicion that the upstream neither answered nor returned yet."""

    delivered_at: float
    askers: list[_types.Address]
    """Balancers that wait for the outcome."""
    is_presumed: bool = False
    """Whether the balancers were sent the answer that the upstream presumably holds
    the flow."""


class Returned(msgspec.Struct, frozen=True):
    """A packet that the upstream returned."""

    delivered_at: float
    returned_at: float


class SuspectFlows:
    """The record of one sidecar, by flow."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.undecided: dict[bytes, Undecided] = {}
        self.returned: dict[bytes, Returned] = {}


def record_delivery(
    record: SuspectFlows, flow: bytes, balancer: _types.Address, *, now: float
) -> None:
    """Record a delivery on suspicion for a balancer."""
    _make_room(record.undecided)
    record.undecided[flow] = Undecided(now, [balancer])


def add_asker(undecided: Undecided, balancer: _types.Address) -> None:
    """Let another balancer wait for the outcome of a delivery."""
    if balancer not in undecided.askers:
        undecided.askers.append(balancer)


def record_return(record: SuspectFlows, flow: bytes, *, now: float) -> Undecided | None:
    """Record that the upstream returned a packet; return the delivery it decides."""
    undecided = record.undecided.pop(flow, None)
    record.returned.pop(flow, None)
    _make_room(record.returned)
    delivered_at = undecided.delivered_at if undecided else now
    record.returned[flow] = Returned(delivered_at, now)
    return undecided


def record_held(record: SuspectFlows, flow: bytes) -> Undecided | None:
    """Record that the upstream may hold a flow again, or has shown that it does.

    Returns the delivery that it decides, if any.
    """
    record.returned.pop(flow, None)
    return record.undecided.pop(flow, None)


def delivered_at(record: SuspectFlows, flow: bytes) -> float | None:
    """Return when the upstream got a packet of a flow on suspicion, if it did."""
    delivery = record.undecided.get(flow) or record.returned.get(flow)
    return delivery.delivered_at if delivery else None


def evict_expired(record: SuspectFlows, *, now: float) -> None:
    """Evict deliveries that the upstream has not decided, and old returns."""
    for flow, undecided in list(record.undecided.items()):
        if now - undecided.delivered_at < UNDECIDED_SECONDS:
            break
        del record.undecided[flow]
    for flow, returned in list(record.returned.items()):
        if now - returned.returned_at < RETURN_RETENTION_SECONDS:
            break
        del record.returned[flow]


def _make_room(entries: dict[bytes, Undecided] | dict[bytes, Returned]) -> None:
    if len(entries) >= MAX_SUSPECT_FLOWS:
        del entries[next(iter(entries))]
