"""Tests of the balancer's routing decisions."""

import dataclasses
import typing

import pytest

from plantainproxy import _members, _types
from plantainproxy.config import model
from plantainproxy.core import packets, routing

SERVICE = _types.Address("127.1.0.1", 443)
OTHER_SERVICE = _types.Address("127.1.0.2", 443)
GENERATION = 1_800_000_000_000
NOW = 1000.0

CONFIGURATION = model.Configuration(
    revision=5,
    routes=(
        model.Route(name="fleet", address=SERVICE, pool="fleet"),
        model.Route(name="firmware", address=OTHER_SERVICE, pool="firmware"),
    ),
    pools=(model.Pool(name="fleet"), model.Pool(name="firmware")),
    domains=(
        model.Domain(name="rimouski", number=1),
        model.Domain(name="matane", number=2, state=_types.DomainState.OUT),
    ),
)


def record(
    number: int, pool: str = "fleet", **changes: typing.Any
) -> _members.MemberRecord:
    """Make a sidecar's record."""
    sidecar_record = _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=_types.Address("127.0.2.1", number),
        domain="rimouski",
        generation=GENERATION,
        sequence=1,
        pool=pool,
        tunnel=_types.Address("127.0.3.1", number),
    )
    return dataclasses.replace(sidecar_record, **changes)


def state_with(*records: _members.MemberRecord, now: float = 0.0) -> routing.State:
    """Make a state with the configuration and the records of one pool."""
    events = (
        routing.ConfigurationChanged(configuration=CONFIGURATION),
        routing.MembersChanged(pool="fleet", records=records),
    )
    return routing.apply(routing.State(), events, now=now)


def established(
    tunnel: _types.Address,
    *,
    service: _types.Address = SERVICE,
    domain: int = 1,
    generation: int = GENERATION,
) -> packets.Packet:
    """Make a packet that encodes a destination of the first service."""
    destination = packets.Destination(
        tunnel.pack(),
        domain,
        packets.generation_tag(generation),
        packets.service_tag(SERVICE.pack()),
    )
    return packets.Packet(b"id", service.pack(), False, destination)


def opening(key: bytes = b"key", service: _types.Address = SERVICE) -> packets.Packet:
    """Make a packet that may start a flow."""
    return packets.Packet(key, service.pack(), True)


MEMBER = record(1)
FORWARD = routing.Forward(MEMBER.tunnel)
LOST = dataclasses.replace(MEMBER, lost=True)
LEFT = dataclasses.replace(MEMBER, state=_types.MemberState.LEFT)
NEWER = dataclasses.replace(MEMBER, generation=GENERATION + 60_000)
OLDER = dataclasses.replace(LEFT, generation=GENERATION - 60_000)
DRAINING = dataclasses.replace(MEMBER, state=_types.MemberState.DRAINING)


def drop(reason: routing.DropReason) -> routing.Drop:
    """Make a drop action."""
    return routing.Drop(reason)


@pytest.mark.parametrize(
    ("member", "packet", "expected"),
    [
        (MEMBER, established(MEMBER.tunnel), FORWARD),
        (DRAINING, established(MEMBER.tunnel), FORWARD),
        (LEFT, established(MEMBER.tunnel), routing.Reset()),
        (NEWER, established(MEMBER.tunnel), routing.Reset()),
        (OLDER, established(MEMBER.tunnel), FORWARD),
        (record(2), established(MEMBER.tunnel), FORWARD),
        (MEMBER, established(MEMBER.tunnel, domain=2), routing.Reset()),
        (
            MEMBER,
            established(MEMBER.tunnel, domain=9),
            drop(routing.DropReason.UNKNOWN_DOMAIN),
        ),
        (
            MEMBER,
            established(MEMBER.tunnel, service=OTHER_SERVICE),
            drop(routing.DropReason.FOREIGN_SERVICE),
        ),
        (
            MEMBER,
            established(MEMBER.tunnel, service=_types.Address("127.9.9.9", 443)),
            drop(routing.DropReason.UNKNOWN_SERVICE),
        ),
        (MEMBER, opening(), FORWARD),
        (DRAINING, opening(), drop(routing.DropReason.NO_UPSTREAM)),
        (LOST, opening(), drop(routing.DropReason.NO_UPSTREAM)),
        (LEFT, opening(), drop(routing.DropReason.NO_UPSTREAM)),
        (
            dataclasses.replace(MEMBER, domain="matane"),
            opening(),
            drop(routing.DropReason.NO_UPSTREAM),
        ),
        (
            MEMBER,
            opening(service=OTHER_SERVICE),
            drop(routing.DropReason.NO_UPSTREAM),
        ),
    ],
)
def test_a_packet_follows_the_rules(
    member: _members.MemberRecord, packet: packets.Packet, expected: routing.Action
) -> None:
    """Each routing rule, with a single member record."""
    assert routing.route(state_with(member), packet, NOW) == expected


def test_nothing_is_decided_without_a_configuration() -> None:
    """A missing configuration is not treated as an empty one."""
    events = (routing.MembersChanged(pool="fleet", records=(MEMBER,)),)
    state = routing.apply(routing.State(), events, now=0.0)
    expected = drop(routing.DropReason.NOT_READY)
    assert routing.route(state, opening(), NOW) == expected
    assert routing.route(state, established(MEMBER.tunnel), NOW) == expected


def test_members_known_before_the_configuration_take_flows() -> None:
    """The order in which members and the configuration arrive does not matter."""
    members = routing.MembersChanged(pool="fleet", records=(MEMBER,))
    configured = routing.ConfigurationChanged(configuration=CONFIGURATION)
    state = routing.apply(routing.State(), [members], now=0.0)
    state = routing.apply(state, [configured], now=1.0)
    packet = established(MEMBER.tunnel)
    assert routing.route(state, packet, 2.0) == FORWARD
    assert packet.destination in routing.destinations(state, SERVICE.pack())


def test_a_lost_sidecar_keeps_its_flows_for_a_while() -> None:
    """Resets start after the time limit, unless most members are silent."""
    state = state_with(LOST, now=NOW)
    later = NOW + routing.LOST_RESET_SECONDS
    packet = established(MEMBER.tunnel)
    assert routing.route(state, packet, later) == FORWARD
    state = routing.apply(
        state, [routing.MembersChanged(pool="fleet", records=(LOST,))], now=later
    )
    assert routing.route(state, packet, later + 0.1) == routing.Reset()
    state = routing.apply(
        state, [routing.MajoritySilentChanged(majority_silent=True)], now=later
    )
    assert routing.route(state, packet, later + 0.1) == FORWARD


def test_a_configuration_never_goes_back() -> None:
    """A configuration of a lower revision changes nothing."""
    stale = model.Configuration(revision=4)
    state = state_with(MEMBER)
    state = routing.apply(
        state, [routing.ConfigurationChanged(configuration=stale)], now=NOW
    )
    assert state.configuration == CONFIGURATION
    assert routing.route(state, opening(), NOW) == FORWARD


def repointed() -> model.Configuration:
    """Return a configuration whose first route leads to the other pool."""
    route = model.Route(name="fleet", address=SERVICE, pool="firmware")
    return dataclasses.replace(
        CONFIGURATION, revision=6, routes=(route, CONFIGURATION.routes[1])
    )


def test_flows_survive_a_route_that_changes_its_pool() -> None:
    """Established packets reach the earlier pool with or without a destination."""
    events = (
        routing.ConfigurationChanged(configuration=repointed()),
        routing.MembersChanged(pool="firmware", records=(record(7, "firmware"),)),
    )
    state = routing.apply(state_with(MEMBER), events, now=NOW)
    new = record(7).tunnel
    both = routing.Forward(new, (MEMBER.tunnel,))
    plain = opening()._replace(opening=False)
    assert routing.route(state, established(MEMBER.tunnel), NOW) == FORWARD
    assert routing.route(state, opening(), NOW + 1) == both
    assert routing.route(state, opening(), NOW + 31) == routing.Forward(new)
    assert routing.route(state, plain, NOW + 31) == both


def test_a_drained_upstream_gets_no_opening_packets() -> None:
    """A drain by tunnel address stops new flows and keeps established ones."""
    configuration = dataclasses.replace(
        CONFIGURATION, revision=6, drained=(MEMBER.tunnel,)
    )
    events = [routing.ConfigurationChanged(configuration=configuration)]
    state = routing.apply(state_with(MEMBER, record(2)), events, now=NOW)
    assert routing.route(state, established(MEMBER.tunnel), NOW) == FORWARD
    for number in range(100):
        action = routing.route(state, opening(b"key%d" % number), NOW)
        assert isinstance(action, routing.Forward)
        assert action.tunnel == record(2).tunnel


def test_a_packet_without_destination_follows_its_slot_through_changes() -> None:
    """The former owner is the current owner or one of the earlier owners."""
    state = state_with(*(record(number) for number in range(1, 8)))
    flows = [packets.Packet(b"%d" % n, SERVICE.pack(), False) for n in range(200)]
    before = [routing.route(state, flow, NOW) for flow in flows]
    fewer = tuple(
        dataclasses.replace(record(number), state=_types.MemberState.DRAINING)
        if number == 3
        else record(number)
        for number in range(1, 8)
    )
    events = [routing.MembersChanged(pool="fleet", records=fewer)]
    state = routing.apply(state, events, now=NOW)
    for flow, old in zip(flows, before, strict=True):
        new = routing.route(state, flow, NOW + 3600)
        assert isinstance(old, routing.Forward)
        assert isinstance(new, routing.Forward)
        assert old.tunnel in (new.tunnel, *new.earlier_owners)


def test_an_address_that_changes_pools_uses_its_newest_record() -> None:
    """The newest record wins, although an update only processes the changed pool."""
    state = state_with(MEMBER)
    moved = dataclasses.replace(NEWER, pool="firmware")
    events = [routing.MembersChanged(pool="firmware", records=(moved,))]
    state = routing.apply(state, events, now=1.0)
    assert routing.route(state, established(MEMBER.tunnel), NOW) == routing.Reset()
    events = [routing.MembersChanged(pool="firmware", records=())]
    state = routing.apply(state, events, now=2.0)
    assert routing.route(state, established(MEMBER.tunnel), NOW) == FORWARD
    events = [routing.MembersChanged(pool="fleet", records=())]
    state = routing.apply(state, events, now=3.0)
    assert not state.upstreams


def test_changes_in_turn_give_the_same_state_as_all_at_once() -> None:
    """Incremental updates keep unchanged entries and lose none."""
    events: list[routing.Event] = [
        routing.MembersChanged(pool="fleet", records=(MEMBER, record(2))),
        routing.ConfigurationChanged(configuration=CONFIGURATION),
        routing.MembersChanged(pool="firmware", records=(record(3, "firmware"),)),
        routing.MembersChanged(pool="fleet", records=(record(2), record(4))),
    ]
    in_turn = routing.State()
    for event in events:
        in_turn = routing.apply(in_turn, [event], now=0.0)
    at_once = routing.apply(routing.State(), events, now=0.0)
    assert in_turn.upstreams == at_once.upstreams
    assert in_turn.services.keys() == at_once.services.keys()
    for packed, service in in_turn.services.items():
        assert service.table.members == at_once.services[packed].table.members
