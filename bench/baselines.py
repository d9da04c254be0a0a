"""Counts the flows broken by four strategies for routing established flows.

Every strategy runs on the pure core with the same flows, the same random distribution
of packets over the balancers and the same changes: upstreams drain and join, balancers
restart, and each balancer receives a change after a random lag. A flow is broken when
at least one of its packets does not reach the sidecar that holds the flow. Run with
``python -m bench.baselines``.
"""

from collections import abc
import dataclasses
import pathlib
import random

import msgspec

from plantainproxy import _members, _types
from plantainproxy.config import model
from plantainproxy.core import packets, routing, slots

SEED = 20261204
BALANCERS = 6
UPSTREAMS = 14
FLOWS = 20_000
CHANGES = 12
SECONDS_BETWEEN_CHANGES = 10.0
MAX_LAG_SECONDS = 2.0
PACKETS_PER_FLOW_BETWEEN_CHANGES = 2
OUTPUT = pathlib.Path("out/baselines.json")
POOL = "fleet-control"
SERVICE = _types.Address("127.20.0.1", 4433)
GENERATION_MILLISECONDS = 1_796_000_000_000
CONFIGURATION = model.Configuration(
    revision=1,
    routes=(model.Route(name="r", address=SERVICE, pool=POOL),),
    pools=(model.Pool(name=POOL),),
    domains=(model.Domain(name="d", number=1),),
)

Records = tuple[_members.MemberRecord, ...]


@dataclasses.dataclass(slots=True)
class Balancer:
    """A balancer's routing state, and the flow table of the strategy that uses one."""

    state: routing.State
    flows: dict[int, _types.Address] = dataclasses.field(default_factory=dict)
    pending_updates: list[tuple[float, Records]] = dataclasses.field(
        default_factory=list
    )
    """Member records not yet received, with the time of receipt, in time order."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """The result of one strategy; ``way`` is its name."""

    way: str
    broken: int
    flows: int


SidecarSelector = abc.Callable[
    [Balancer, int, _types.Address, float], abc.Sequence[_types.Address]
]
"""Returns the sidecars that receive a packet of a flow, in order.

The arguments are the balancer, the flow, the sidecar that holds the flow, and the time.
A strategy may use the holder only to build the connection ID of the packet, because a
balancer can read the holder only from there."""


def _per_flow_table(
    balancer: Balancer, flow: int, holder: _types.Address, now: float
) -> abc.Sequence[_types.Address]:
    owner = balancer.flows.get(flow)
    if owner is None:
        owner = _owners(balancer, flow)[0]
        balancer.flows[flow] = owner
    return (owner,)


def _hash_alone(
    balancer: Balancer, flow: int, holder: _types.Address, now: float
) -> abc.Sequence[_types.Address]:
    return _owners(balancer, flow)[:1]


def _earlier_owners(
    balancer: Balancer, flow: int, holder: _types.Address, now: float
) -> abc.Sequence[_types.Address]:
    return _owners(balancer, flow)


def _destination_in_packet(
    balancer: Balancer, flow: int, holder: _types.Address, now: float
) -> abc.Sequence[_types.Address]:
    """Apply the production routing to a packet whose connection ID names the holder."""
    service = SERVICE.pack()
    destination = packets.Destination(
        holder.pack(),
        1,
        packets.generation_tag(GENERATION_MILLISECONDS),
        packets.service_tag(service),
    )
    packet = packets.Packet(b"", service, False, destination)
    action = routing.route(balancer.state, packet, now)
    return (action.tunnel,) if isinstance(action, routing.Forward) else ()


STRATEGIES: dict[str, SidecarSelector] = {
    "per-flow table, not shared": _per_flow_table,
    "hash alone": _hash_alone,
    "hash and earlier owners": _earlier_owners,
    "destination in the packet": _destination_in_packet,
}


def _flow_hash(flow: int) -> int:
    return packets.flow_hash(flow.to_bytes(8, "big"))


def _owners(balancer: Balancer, flow: int) -> tuple[_types.Address, ...]:
    pick = slots.pick_established(balancer.state.tables[POOL], _flow_hash(flow))
    assert pick is not None
    return (pick.tunnel, *pick.earlier_owners)


def _make_record(number: int) -> _members.MemberRecord:
    host = f"127.30.{number // 250}.{number % 250 + 1}"
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=_types.Address(host, 7001),
        domain="d",
        generation=GENERATION_MILLISECONDS,
        sequence=1,
        pool=POOL,
        tunnel=_types.Address(host, 7000),
    )


def _draining_record(record: _members.MemberRecord) -> _members.MemberRecord:
    return dataclasses.replace(
        record, sequence=record.sequence + 1, state=_types.MemberState.DRAINING
    )


def _serving_indexes(records: Records) -> list[int]:
    return [
        index
        for index, record in enumerate(records)
        if record.state is _types.MemberState.SERVING
    ]


def _make_balancer(records: Records, now: float) -> Balancer:
    events = (
        routing.ConfigurationChanged(configuration=CONFIGURATION),
        routing.MembersChanged(pool=POOL, records=records),
    )
    return Balancer(state=routing.apply(routing.State(), events, now=now))


def _apply_due_updates(balancer: Balancer, now: float) -> None:
    while balancer.pending_updates and balancer.pending_updates[0][0] <= now:
        _, records = balancer.pending_updates.pop(0)
        event = routing.MembersChanged(pool=POOL, records=records)
        balancer.state = routing.apply(balancer.state, (event,), now=now)


def _replace_upstream(records: Records, rng: random.Random) -> Records:
    """Drain one upstream, which keeps its flows, and add a new one."""
    updated_records = list(records)
    index = rng.choice(_serving_indexes(records))
    updated_records[index] = _draining_record(updated_records[index])
    return (*updated_records, _make_record(len(updated_records)))


def count_broken_flows(select_sidecars: SidecarSelector) -> int:
    """Simulate all changes with one strategy and return the number of broken flows."""
    rng = random.Random(SEED)
    records = tuple(_make_record(number) for number in range(UPSTREAMS))
    balancers = [_make_balancer(records, 0.0) for _ in range(BALANCERS)]
    holders = {}
    for flow in range(FLOWS):
        holders[flow] = _owners(balancers[0], flow)[0]
        balancers[rng.randrange(BALANCERS)].flows[flow] = holders[flow]
    broken: set[int] = set()
    for change in range(CHANGES):
        now = change * SECONDS_BETWEEN_CHANGES
        if change % 3 == 2:
            balancers[rng.randrange(BALANCERS)] = _make_balancer(records, now)
        else:
            records = _replace_upstream(records, rng)
            for balancer in balancers:
                lag_seconds = rng.uniform(0, MAX_LAG_SECONDS)
                balancer.pending_updates.append((now + lag_seconds, records))
        broken |= _send_packets(select_sidecars, balancers, holders, rng, now=now)
    return len(broken)


def _send_packets(
    select_sidecars: SidecarSelector,
    balancers: abc.Sequence[Balancer],
    holders: dict[int, _types.Address],
    rng: random.Random,
    *,
    now: float,
) -> set[int]:
    broken = set()
    arrivals = sorted(
        (now + rng.uniform(0, SECONDS_BETWEEN_CHANGES), flow)
        for flow in holders
        for _ in range(PACKETS_PER_FLOW_BETWEEN_CHANGES)
    )
    for arrival_time, flow in arrivals:
        balancer = rng.choice(balancers)
        _apply_due_updates(balancer, arrival_time)
        if holders[flow] not in select_sidecars(
            balancer, flow, holders[flow], arrival_time
        ):
            broken.add(flow)
    return broken


def main() -> None:
    """Run all strategies, print a table and write the results as JSON."""
    rows = [
        Row(way=way, broken=count_broken_flows(select_sidecars), flows=FLOWS)
        for way, select_sidecars in STRATEGIES.items()
    ]
    print(f"{'way':30} {'broken':>8} {'of':>8} {'share':>8}")
    for row in rows:
        print(
            f"{row.way:30} {row.broken:8} {row.flows:8} {row.broken / row.flows:8.2%}"
        )
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.encode(rows))


if __name__ == "__main__":
    main()
