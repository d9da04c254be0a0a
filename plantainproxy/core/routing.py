"""The balancer's decisions on packets, over explicit state.

``apply`` folds events into a new state and ``route`` decides on one packet. Neither
looks at a clock or a socket, so another harness can drive the whole role.
"""

from collections import abc
import dataclasses
import enum
import math
import typing

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.core import packets, slots

LOST_RESET_SECONDS = 3.0
"""How long a sidecar must be lost before its callers are told."""

_DOMAIN_NUMBERS = 256


class DropReason(enum.StrEnum):
    """Why a datagram goes nowhere."""

    NOT_READY = "not-ready"
    """No configuration or no keys are known yet."""
    BAD_HEADER = "bad-header"
    """The datagram carries no valid PROXY header."""
    TOO_LARGE = "too-large"
    """The datagram exceeds the limit."""
    INVALID_PACKET = "invalid-packet"
    """The payload belongs to no flow and cannot start one."""
    UNKNOWN_SERVICE = "unknown-service"
    """No route has the service address."""
    FOREIGN_SERVICE = "foreign-service"
    """The packet's destination was made for another service address."""
    UNKNOWN_DOMAIN = "unknown-domain"
    """The packet names a failure domain that is not configured."""
    NO_UPSTREAM = "no-upstream"
    """The pool has no eligible upstream."""
    RESET_LIMIT = "reset-limit"
    """A reset was due but would exceed the rate limit."""
    RESET_IMPOSSIBLE = "reset-impossible"
    """A reset was due but the packet's form allows none."""
    SEND_FAILED = "send-failed"
    """The socket refused the datagram."""


Forward = slots.Pick
"""Send the packet to the owner's sidecar, and let it know of the earlier owners."""


class Reset(typing.NamedTuple):
    """Tell the caller that the flow is dead."""


class Drop(typing.NamedTuple):
    """Do nothing with the packet."""

    reason: DropReason


Action = Forward | Reset | Drop


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """A configuration was accepted; one of a lower revision is ignored."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembersChanged:
    """All known records of one pool's sidecars, those that left included."""

    pool: str
    records: tuple[_types.MemberRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BlindnessChanged:
    """Whether this balancer has reason to doubt that lost members are lost."""

    blind: bool


Event = ConfigurationChanged | MembersChanged | BlindnessChanged


class Service(typing.NamedTuple):
    """What is known of one service address."""

    tag: int
    pool: str
    table: slots.Table
    earlier_table: slots.Table | None = None
    """The slots of the pool that the route led to before."""
    changed: float = 0.0
    """When the route left the earlier pool."""


class Upstream(typing.NamedTuple):
    """What is known of the sidecar at one tunnel address."""

    forward: Forward
    generation: int
    """The generation tag of the newest record."""
    left: bool
    lost_since: float | None
    """When this process learnt that the sidecar is lost."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """All that decisions rest on; replaced as a whole."""

    configuration: model.Configuration | None = None
    blind: bool = False
    records: abc.Mapping[str, tuple[_types.MemberRecord, ...]] = dataclasses.field(
        default_factory=dict
    )
    """The records of each pool."""
    tables: abc.Mapping[str, slots.Table] = dataclasses.field(default_factory=dict)
    """The slot table of each configured pool."""
    services: abc.Mapping[bytes, Service] = dataclasses.field(default_factory=dict)
    """By packed service address."""
    domains: tuple[_types.DomainState | None, ...] = (None,) * _DOMAIN_NUMBERS
    """By domain number; absent where none is configured."""
    upstreams: abc.Mapping[bytes, Upstream] = dataclasses.field(default_factory=dict)
    """By packed tunnel address."""


_RESET = Reset()
_DROPS = {reason: Drop(reason) for reason in DropReason}
_FOREIGN_SERVICE = _DROPS[DropReason.FOREIGN_SERVICE]
_NO_UPSTREAM = _DROPS[DropReason.NO_UPSTREAM]


def apply(state: State, events: abc.Iterable[Event], *, now: float) -> State:
    """Return the state after the events."""
    configuration, blind = state.configuration, state.blind
    records = dict(state.records)
    changed: set[str] = set()
    for event in events:
        match event:
            case ConfigurationChanged():
                configuration = _newer(configuration, event.configuration)
            case MembersChanged():
                records[event.pool] = event.records
                changed.add(event.pool)
            case BlindnessChanged():
                blind = event.blind
    if configuration is None:
        return dataclasses.replace(state, blind=blind, records=records)
    if configuration is not state.configuration:
        changed.update(pool.name for pool in configuration.pools)
    tables = _tables(state.tables, configuration, records, changed, now=now)
    if configuration is state.configuration:
        services = _with_tables(state.services, tables, changed)
    else:
        services = _services(state, configuration, tables, now=now)
    touched = None
    if state.configuration is not None:
        touched = _touched(state.records, records, changed)
    return State(
        configuration=configuration,
        blind=blind,
        records=records,
        tables=tables,
        services=services,
        domains=_domains(configuration),
        upstreams=_upstreams(state.upstreams, records, touched, now=now),
    )


def route(state: State, packet: packets.Packet, now: float) -> Action:
    """Decide what happens to one packet."""
    service = state.services.get(packet.service)
    if service is None:
        return _unknown_service(state)
    destination = packet.destination
    if destination is not None:
        if destination.tag != service.tag:
            return _FOREIGN_SERVICE
        return _route_destination(state, destination, now)
    flow_hash = packets.flow_hash(packet.flow_key)
    if packet.opening:
        since = now - slots.EARLIER_OWNER_SECONDS
        pick = slots.pick(service.table, flow_hash, now=now)
    else:
        since = -math.inf
        pick = slots.pick_established(service.table, flow_hash)
    if pick is None:
        return _NO_UPSTREAM
    if service.earlier_table is None or service.changed < since:
        return pick
    return _with_earlier_pool(pick, service.earlier_table, flow_hash)


def _with_earlier_pool(
    pick: slots.Pick, earlier_table: slots.Table, flow_hash: int
) -> Forward:
    """Put the owner in the route's earlier pool after the earlier owners."""
    earlier_pick = slots.pick_established(earlier_table, flow_hash)
    if earlier_pick is None:
        return pick
    earlier_owners = (*pick.earlier_owners[: slots.EARLIER_OWNERS - 1], earlier_pick[0])
    return Forward(pick.tunnel, earlier_owners)


def destinations(
    state: State, service: bytes
) -> dict[packets.Destination, _types.Address]:
    """Return the destinations of one service that :func:`route` surely forwards.

    They are those of the pool's present sidecars that are neither lost nor gone;
    the answer holds until the next event.
    """
    configuration, known = state.configuration, state.services.get(service)
    if configuration is None or known is None:
        return {}
    numbers = {domain.name: domain.number for domain in configuration.domains}
    found = {}
    for record in state.records.get(known.pool, ()):
        packed = record.tunnel.pack()
        upstream = state.upstreams[packed]
        number = numbers.get(record.domain)
        if number is None or upstream.lost_since is not None:
            continue
        destination = packets.Destination(
            packed, number, upstream.generation, known.tag
        )
        if isinstance(_route_destination(state, destination, 0.0), slots.Pick):
            found[destination] = record.tunnel
    return found


def _unknown_service(state: State) -> Drop:
    if state.configuration is None:
        return _DROPS[DropReason.NOT_READY]
    return _DROPS[DropReason.UNKNOWN_SERVICE]


def _route_destination(
    state: State, destination: packets.Destination, now: float
) -> Action:
    """Decide on a packet that says where its flow lives.

    A sidecar that this process does not know gets the packet: others may know it.
    A flow also stays with its sidecar when the route leads to another pool now.
    """
    domain = state.domains[destination.domain]
    if domain is not _types.DomainState.IN:
        return _RESET if domain else _DROPS[DropReason.UNKNOWN_DOMAIN]
    upstream = state.upstreams.get(destination.tunnel)
    if upstream is None:
        return Forward(_types.Address.unpack(destination.tunnel))
    if upstream.generation != destination.generation:
        if packets.is_newer_generation(
            upstream.generation, than=destination.generation
        ):
            return _RESET
        return upstream.forward
    if upstream.left:
        return _RESET
    if upstream.lost_since is None or state.blind:
        return upstream.forward
    if now - upstream.lost_since > LOST_RESET_SECONDS:
        return _RESET
    return upstream.forward


def _newer(
    held: model.Configuration | None, offered: model.Configuration
) -> model.Configuration:
    if held is not None and offered.revision < held.revision:
        return held
    return offered


def _domains_in(configuration: model.Configuration) -> frozenset[str]:
    return frozenset(
        domain.name
        for domain in configuration.domains
        if domain.state is _types.DomainState.IN
    )


def eligible(
    configuration: model.Configuration, records: abc.Iterable[_types.MemberRecord]
) -> list[slots.Member]:
    """Return the members that may get new flows."""
    domains = _domains_in(configuration)
    drained = frozenset(configuration.drained)
    return [
        slots.Member(record.key, record.tunnel, record.weight)
        for record in records
        if record.state is _types.MemberState.SERVING
        and not record.lost
        and record.domain in domains
        and record.tunnel not in drained
        and record.weight > 0
    ]


def _gone(
    configuration: model.Configuration, records: abc.Sequence[_types.MemberRecord]
) -> frozenset[_types.Address]:
    """Return the tunnel addresses that can take no packet of an earlier flow."""
    domains = _domains_in(configuration)
    reachable = frozenset(
        record.tunnel
        for record in records
        if record.state is not _types.MemberState.LEFT
        and not record.lost
        and record.domain in domains
    )
    return frozenset(record.tunnel for record in records) - reachable


def _tables(
    held: abc.Mapping[str, slots.Table],
    configuration: model.Configuration,
    records: abc.Mapping[str, tuple[_types.MemberRecord, ...]],
    changed: abc.Set[str],
    *,
    now: float,
) -> dict[str, slots.Table]:
    """Return the table of each pool; those not named as changed stay as they are."""
    tables = {}
    for pool in configuration.pools:
        table = held.get(pool.name) or slots.empty()
        if pool.name not in changed:
            tables[pool.name] = table
            continue
        pool_records = records.get(pool.name, ())
        members = eligible(configuration, pool_records)
        if tuple(sorted(members)) != table.members:
            gone = _gone(configuration, pool_records)
            table = slots.replace(table, members, now=now, gone=gone)
        tables[pool.name] = table
    return tables


def _services(
    state: State,
    configuration: model.Configuration,
    tables: abc.Mapping[str, slots.Table],
    *,
    now: float,
) -> dict[bytes, Service]:
    services = {}
    for entry in configuration.routes:
        packed = entry.address.pack()
        table = tables.get(entry.pool) or slots.empty()
        service = Service(packets.service_tag(packed), entry.pool, table)
        held = state.services.get(packed)
        if held is not None and held.pool != entry.pool:
            service = service._replace(earlier_table=held.table, changed=now)
        elif held is not None:
            service = held._replace(table=table)
        services[packed] = service
    return services


def _with_tables(
    held: abc.Mapping[bytes, Service],
    tables: abc.Mapping[str, slots.Table],
    changed: abc.Set[str],
) -> dict[bytes, Service]:
    """Return the services of the same configuration with their present tables."""
    services = dict(held)
    for packed, service in held.items():
        if service.pool in changed and service.pool in tables:
            services[packed] = service._replace(table=tables[service.pool])
    return services


def _domains(
    configuration: model.Configuration,
) -> tuple[_types.DomainState | None, ...]:
    states: list[_types.DomainState | None] = [None] * _DOMAIN_NUMBERS
    for domain in configuration.domains:
        states[domain.number] = domain.state
    return tuple(states)


def _touched(
    held: abc.Mapping[str, tuple[_types.MemberRecord, ...]],
    records: abc.Mapping[str, tuple[_types.MemberRecord, ...]],
    changed: abc.Set[str],
) -> abc.Set[_types.Address]:
    """Return the tunnel addresses whose records may have changed."""
    return {
        record.tunnel
        for pool in changed
        if held.get(pool) != records.get(pool)
        for record in (*held.get(pool, ()), *records.get(pool, ()))
    }


def _upstreams(
    held: abc.Mapping[bytes, Upstream],
    records: abc.Mapping[str, tuple[_types.MemberRecord, ...]],
    touched: abc.Set[_types.Address] | None,
    *,
    now: float,
) -> abc.Mapping[bytes, Upstream]:
    """Return what is known by tunnel address, from the newest record of each.

    Only the addresses in ``touched`` are looked at again; all when it is absent.
    """
    if touched is not None and not touched:
        return held
    newest: dict[_types.Address, _types.MemberRecord] = {}
    for pool_records in records.values():
        for record in pool_records:
            if touched is not None and record.tunnel not in touched:
                continue
            known = newest.get(record.tunnel)
            if known is None or known.version < record.version:
                newest[record.tunnel] = record
    upstreams = {} if touched is None else dict(held)
    for tunnel in touched or ():
        upstreams.pop(tunnel.pack(), None)
    for tunnel, record in newest.items():
        packed = tunnel.pack()
        upstreams[packed] = _upstream(held.get(packed), record, now=now)
    return upstreams


def _upstream(
    held: Upstream | None, record: _types.MemberRecord, *, now: float
) -> Upstream:
    generation = packets.generation_tag(record.generation)
    lost_since = None
    if record.lost:
        lost_since = now
        if held is not None and held.generation == generation:
            lost_since = now if held.lost_since is None else held.lost_since
    return Upstream(
        Forward(record.tunnel),
        generation,
        record.state is _types.MemberState.LEFT,
        lost_since,
    )
