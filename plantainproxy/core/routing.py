"""The balancer's routing decisions as pure functions over an immutable state.

``apply`` returns the state after some events and ``route`` decides on one packet.
Neither reads a clock or a socket, so tests and simulations can drive them directly.
"""

from collections import abc
import dataclasses
import enum
import math
import typing

from plantainproxy import _members, _types
from plantainproxy.config import model
from plantainproxy.core import packets, slots

LOST_RESET_SECONDS = 3.0
"""How long a sidecar must be lost before packets of its flows trigger resets."""

_DOMAIN_NUMBERS = 256


class DropReason(enum.StrEnum):
    """Why a datagram is dropped."""

    NOT_READY = "not-ready"
    """No configuration or no key set has been received yet."""
    BAD_HEADER = "bad-header"
    """The datagram carries no valid PROXY header."""
    TOO_LARGE = "too-large"
    """The datagram exceeds the size limit."""
    INVALID_PACKET = "invalid-packet"
    """The payload belongs to no flow and cannot start one."""
    UNKNOWN_SERVICE = "unknown-service"
    """No route has the service address."""
    FOREIGN_SERVICE = "foreign-service"
    """The encoded destination belongs to another service address."""
    UNKNOWN_DOMAIN = "unknown-domain"
    """The encoded failure domain is not configured."""
    NO_UPSTREAM = "no-upstream"
    """The pool has no eligible upstream."""
    RESET_LIMIT = "reset-limit"
    """A reset was needed but would exceed the rate limit."""
    RESET_IMPOSSIBLE = "reset-impossible"
    """A reset was needed but cannot be built from the packet."""
    SEND_FAILED = "send-failed"
    """The socket refused the datagram."""


Forward = slots.Pick
"""Send the packet, with the addresses of earlier owners, to the owner's sidecar."""


class Reset(typing.NamedTuple):
    """Send the caller a reset because the flow no longer exists."""


class Drop(typing.NamedTuple):
    """Discard the packet."""

    reason: DropReason


Action = Forward | Reset | Drop


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """A configuration was received; lower revisions are ignored."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembersChanged:
    """All records of one pool's sidecars, including those that have left."""

    pool: str
    records: tuple[_members.MemberRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MajoritySilentChanged:
    """Whether most members are silent at once; their lost marks are then unreliable."""

    majority_silent: bool


Event = ConfigurationChanged | MembersChanged | MajoritySilentChanged


class Service(typing.NamedTuple):
    """Routing state of one service address."""

    tag: int
    pool: str
    table: slots.Table
    earlier_table: slots.Table | None = None
    """Slot table of the pool to which the route led before, if any."""
    pool_changed_at: float = 0.0
    """When the route changed from the earlier pool."""


class Upstream(typing.NamedTuple):
    """State of the sidecar at one tunnel address."""

    forward: Forward
    generation: int
    """Generation tag of the newest record."""
    has_left: bool
    lost_since: float | None
    """When the sidecar was marked lost; ``None`` if it is not lost."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """Immutable routing state."""

    configuration: model.Configuration | None = None
    majority_silent: bool = False
    records: abc.Mapping[str, tuple[_members.MemberRecord, ...]] = dataclasses.field(
        default_factory=dict
    )
    """Member records by pool."""
    tables: abc.Mapping[str, slots.Table] = dataclasses.field(default_factory=dict)
    """Slot table of each configured pool."""
    services: abc.Mapping[bytes, Service] = dataclasses.field(default_factory=dict)
    """Services by packed service address."""
    domains: tuple[_types.DomainState | None, ...] = (None,) * _DOMAIN_NUMBERS
    """Domain states by domain number; ``None`` where no domain is configured."""
    upstreams: abc.Mapping[bytes, Upstream] = dataclasses.field(default_factory=dict)
    """Upstreams by packed tunnel address."""


_RESET = Reset()
_DROPS = {reason: Drop(reason) for reason in DropReason}
_FOREIGN_SERVICE = _DROPS[DropReason.FOREIGN_SERVICE]
_NO_UPSTREAM = _DROPS[DropReason.NO_UPSTREAM]


def apply(state: State, events: abc.Iterable[Event], *, now: float) -> State:
    """Return the state after applying the events in order."""
    configuration, majority_silent = state.configuration, state.majority_silent
    records = dict(state.records)
    changed_pools: set[str] = set()
    for event in events:
        match event:
            case ConfigurationChanged():
                configuration = _newer_configuration(configuration, event.configuration)
            case MembersChanged():
                records[event.pool] = event.records
                changed_pools.add(event.pool)
            case MajoritySilentChanged():
                majority_silent = event.majority_silent
    if configuration is None:
        return dataclasses.replace(
            state, majority_silent=majority_silent, records=records
        )
    if configuration is not state.configuration:
        changed_pools.update(pool.name for pool in configuration.pools)
    tables = _update_tables(
        state.tables, configuration, records, changed_pools, now=now
    )
    if configuration is state.configuration:
        services = _replace_tables(state.services, tables, changed_pools)
    else:
        services = _update_services(state, configuration, tables, now=now)
    changed_tunnels = None
    if state.configuration is not None:
        changed_tunnels = _changed_tunnels(state.records, records, changed_pools)
    return State(
        configuration=configuration,
        majority_silent=majority_silent,
        records=records,
        tables=tables,
        services=services,
        domains=_domain_states(configuration),
        upstreams=_update_upstreams(state.upstreams, records, changed_tunnels, now=now),
    )


def route(state: State, packet: packets.Packet, now: float) -> Action:
    """Return the action for one packet."""
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
    if service.earlier_table is None or service.pool_changed_at < since:
        return pick
    return _add_earlier_pool(pick, service.earlier_table, flow_hash)


def _add_earlier_pool(
    pick: slots.Pick, earlier_table: slots.Table, flow_hash: int
) -> Forward:
    """Append the owner in the route's earlier pool to the earlier owners."""
    earlier_pick = slots.pick_established(earlier_table, flow_hash)
    if earlier_pick is None:
        return pick
    earlier_owners = (*pick.earlier_owners[: slots.EARLIER_OWNERS - 1], earlier_pick[0])
    return Forward(pick.tunnel, earlier_owners)


def destinations(
    state: State, service: bytes
) -> dict[packets.Destination, _types.Address]:
    """Return the destinations of one service that :func:`route` always forwards.

    These belong to the sidecars in the pool's records that are neither lost nor have
    left. The result is valid until the next event.
    """
    configuration, routed = state.configuration, state.services.get(service)
    if configuration is None or routed is None:
        return {}
    numbers = {domain.name: domain.number for domain in configuration.domains}
    reachable = {}
    for record in state.records.get(routed.pool, ()):
        packed = record.tunnel.pack()
        upstream = state.upstreams[packed]
        number = numbers.get(record.domain)
        if number is None or upstream.lost_since is not None:
            continue
        destination = packets.Destination(
            packed, number, upstream.generation, routed.tag
        )
        if isinstance(_route_destination(state, destination, 0.0), slots.Pick):
            reachable[destination] = record.tunnel
    return reachable


def _unknown_service(state: State) -> Drop:
    if state.configuration is None:
        return _DROPS[DropReason.NOT_READY]
    return _DROPS[DropReason.UNKNOWN_SERVICE]


def _route_destination(
    state: State, destination: packets.Destination, now: float
) -> Action:
    """Return the action for a packet that encodes its destination.

    A packet for a tunnel address without a record is forwarded, as other balancers
    may have its record. A flow also stays with its sidecar when the route now leads
    to another pool.
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
    if upstream.has_left:
        return _RESET
    if upstream.lost_since is None or state.majority_silent:
        return upstream.forward
    if now - upstream.lost_since > LOST_RESET_SECONDS:
        return _RESET
    return upstream.forward


def _newer_configuration(
    previous: model.Configuration | None, offered: model.Configuration
) -> model.Configuration:
    if previous is not None and offered.revision < previous.revision:
        return previous
    return offered


def _domains_in(configuration: model.Configuration) -> frozenset[str]:
    return frozenset(
        domain.name
        for domain in configuration.domains
        if domain.state is _types.DomainState.IN
    )


def eligible_members(
    configuration: model.Configuration, records: abc.Iterable[_members.MemberRecord]
) -> list[slots.Member]:
    """Return the members that may receive new flows."""
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


def _unreachable_tunnels(
    configuration: model.Configuration, records: abc.Sequence[_members.MemberRecord]
) -> frozenset[_types.Address]:
    """Return the tunnel addresses that cannot receive packets of existing flows."""
    domains = _domains_in(configuration)
    reachable = frozenset(
        record.tunnel
        for record in records
        if record.state is not _types.MemberState.LEFT
        and not record.lost
        and record.domain in domains
    )
    return frozenset(record.tunnel for record in records) - reachable


def _update_tables(
    previous: abc.Mapping[str, slots.Table],
    configuration: model.Configuration,
    records: abc.Mapping[str, tuple[_members.MemberRecord, ...]],
    changed_pools: abc.Set[str],
    *,
    now: float,
) -> dict[str, slots.Table]:
    """Return the slot table of each pool, rebuilding only those of changed pools."""
    tables = {}
    for pool in configuration.pools:
        table = previous.get(pool.name) or slots.empty()
        if pool.name not in changed_pools:
            tables[pool.name] = table
            continue
        pool_records = records.get(pool.name, ())
        members = eligible_members(configuration, pool_records)
        if tuple(sorted(members)) != table.members:
            unreachable = _unreachable_tunnels(configuration, pool_records)
            table = slots.replace(table, members, now=now, unreachable=unreachable)
        tables[pool.name] = table
    return tables


def _update_services(
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
        previous = state.services.get(packed)
        if previous is not None and previous.pool != entry.pool:
            service = service._replace(
                earlier_table=previous.table, pool_changed_at=now
            )
        elif previous is not None:
            service = previous._replace(table=table)
        services[packed] = service
    return services


def _replace_tables(
    previous: abc.Mapping[bytes, Service],
    tables: abc.Mapping[str, slots.Table],
    changed_pools: abc.Set[str],
) -> dict[bytes, Service]:
    """Return the services of an unchanged configuration with the current tables."""
    services = dict(previous)
    for packed, service in previous.items():
        if service.pool in changed_pools and service.pool in tables:
            services[packed] = service._replace(table=tables[service.pool])
    return services


def _domain_states(
    configuration: model.Configuration,
) -> tuple[_types.DomainState | None, ...]:
    states: list[_types.DomainState | None] = [None] * _DOMAIN_NUMBERS
    for domain in configuration.domains:
        states[domain.number] = domain.state
    return tuple(states)


def _changed_tunnels(
    previous: abc.Mapping[str, tuple[_members.MemberRecord, ...]],
    records: abc.Mapping[str, tuple[_members.MemberRecord, ...]],
    changed_pools: abc.Set[str],
) -> abc.Set[_types.Address]:
    """Return the tunnel addresses whose records may have changed."""
    return {
        record.tunnel
        for pool in changed_pools
        if previous.get(pool) != records.get(pool)
        for record in (*previous.get(pool, ()), *records.get(pool, ()))
    }


def _update_upstreams(
    previous: abc.Mapping[bytes, Upstream],
    records: abc.Mapping[str, tuple[_members.MemberRecord, ...]],
    changed_tunnels: abc.Set[_types.Address] | None,
    *,
    now: float,
) -> abc.Mapping[bytes, Upstream]:
    """Return the upstreams by tunnel address, from the newest record of each.

    Only the addresses in ``changed_tunnels`` are updated, or all if it is ``None``.
    """
    if changed_tunnels is not None and not changed_tunnels:
        return previous
    newest: dict[_types.Address, _members.MemberRecord] = {}
    for pool_records in records.values():
        for record in pool_records:
            if changed_tunnels is not None and record.tunnel not in changed_tunnels:
                continue
            newest_so_far = newest.get(record.tunnel)
            if newest_so_far is None or newest_so_far.version < record.version:
                newest[record.tunnel] = record
    upstreams = {} if changed_tunnels is None else dict(previous)
    for tunnel in changed_tunnels or ():
        upstreams.pop(tunnel.pack(), None)
    for tunnel, record in newest.items():
        packed = tunnel.pack()
        upstreams[packed] = _update_upstream(previous.get(packed), record, now=now)
    return upstreams


def _update_upstream(
    previous: Upstream | None, record: _members.MemberRecord, *, now: float
) -> Upstream:
    generation = packets.generation_tag(record.generation)
    lost_since = None
    if record.lost:
        lost_since = now
        if previous is not None and previous.generation == generation:
            lost_since = now if previous.lost_since is None else previous.lost_since
    return Upstream(
        Forward(record.tunnel),
        generation,
        record.state is _types.MemberState.LEFT,
        lost_since,
    )
