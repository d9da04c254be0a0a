"""Random histories of balancers, sidecars, upstreams and callers.

The engines are the real ones. What is between them loses, delays, doubles and reorders
messages; processes restart and lose what they knew; upstreams crash, drain and come
back; policies and heartbeats arrive in any order.
"""

import collections
from collections import abc
import dataclasses
import random
import typing

import hypothesis
from hypothesis import stateful, strategies

from plantainproxy import _types
from plantainproxy.flows import (
    balancer,
    event_log,
    guard,
    messages,
    packets,
    policy,
    record,
    sidecar,
    upstream,
)
from testbed import transparent

POOLS = ("feed", "feed", "feed", "archive")
"""The pool of each upstream."""
DOMAINS = ("hall-a", "hall-b", "hall-a", "hall-b")
BALANCERS = 2
FLOWS = 8
OPEN_FLOWS = 5
"""Flows that are open from the beginning."""
COLD_RATE_FACTOR = 1.5
COLD_SPARE_FLOWS = 2
COLD_RATE = 2.0
COLD_SECONDS = 2.0
STEP_SECONDS = 0.1
REREGISTRATION_SECONDS = 1.8
"""The longest that a living sidecar is missing in the store's list after its lease was
dropped: one interval of renewal."""
MAX_REPORT_DELAY_SECONDS = 0.9
"""How long reports may be late; below the time after which a sidecar counts as lost,
as a caller may be told that its flow is gone then."""
MAX_HOPS = 4 * len(POOLS) + 4
"""Steps that one packet may cause while no time passes: each upstream is asked, may
answer, may be tried and may hand the packet back once."""

INDEX = strategies.integers(min_value=0, max_value=999)
SIDECARS = strategies.integers(min_value=0, max_value=len(POOLS) - 1)
FLOW = strategies.integers(min_value=0, max_value=FLOWS - 1)


class InFlight(typing.NamedTuple):
    """Something that is under way."""

    deliver: abc.Callable[[], None]
    hops: int


@dataclasses.dataclass
class Server:
    """An upstream as it really is."""

    born: int = 1_000
    heartbeat_number: int = 0
    alive: bool = True
    draining: bool = False
    cold_until: float = 0.0
    half_open: dict[bytes, int] = dataclasses.field(default_factory=dict)
    flows: dict[bytes, int] = dataclasses.field(default_factory=dict)
    """The first number of each open flow."""
    heartbeats: list[upstream.Heartbeat] = dataclasses.field(default_factory=list)
    """Every heartbeat ever sent, of all incarnations."""
    opened_at: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Caller:
    """One flow from its caller's side."""

    key: bytes
    accepted_by: tuple[int, int] | None = None
    """The upstream whose acceptance the caller took, and its incarnation."""
    first_sequence: int = 0


class Site:
    """All parts and what is under way between them."""

    def __init__(self) -> None:
        """Start everything."""
        self.now = 100.0
        self.in_flight: list[InFlight] = []
        self.hops = 0
        self.sent: dict[bytes, packets.Packet] = {}
        """Callers' packets by the bytes that stand for them."""
        self.served: collections.Counter[bytes] = collections.Counter()
        """Packets of open flows that upstreams have taken."""
        self.servers = [Server() for _ in POOLS]
        self.callers = [Caller(transparent.flow(number)) for number in range(FLOWS)]
        self.next_port = FLOWS
        self.policies = [make_policy(1, out=(), pool="feed")]
        self.received_heartbeats: list[list[upstream.Heartbeat]] = [[] for _ in POOLS]
        """Heartbeats that each sidecar's process has taken."""
        self.detected_ends: list[set[int]] = [set() for _ in POOLS]
        """Incarnations whose end each sidecar's process was told."""
        self.snapshots: list[record.Record | None] = [None] * len(POOLS)
        self.complete_list_at: dict[int, float] = {}
        """When each balancer with a list that lacks sidecars gets the whole one."""
        self.is_partitioned = False
        """Whether nothing arrives at or from the balancers now."""
        self.delayed_sidecars: set[int] = set()
        """Sidecars whose reports are late now."""
        self.sidecars = [self.start_sidecar(number) for number in range(len(POOLS))]
        self.balancers = [self.start_balancer(number) for number in range(BALANCERS)]
        for number in range(len(POOLS)):
            self.send_heartbeat(number)
        self.advance_time(3.0)

    def start_sidecar(self, number: int) -> sidecar.Engine:
        """Start a sidecar's process, which knows nothing."""
        engine = sidecar.Engine(
            port=SidecarPort(self, number),
            identity=sidecar.Identity(
                place=guard.Place(pool=POOLS[number], domain=DOMAINS[number]),
                data_port=transparent.DATA_PORT,
                message_port=transparent.MESSAGE_PORT,
                boot=random.Random(self.now + number).getrandbits(32),
            ),
            cold_limit=guard.ColdLimit(
                started_at=self.now,
                rate_factor=COLD_RATE_FACTOR,
                spare=COLD_SPARE_FLOWS,
            ),
            log=event_log.EventLog("machine", clock=lambda: self.now),
        )
        self.received_heartbeats[number] = []
        self.detected_ends[number] = set()
        if not self.servers[number].alive:
            sidecar.handle_absence(engine, now=self.now)
        saved_snapshot = self.snapshots[number]
        if saved_snapshot is not None:
            sidecar.take_record(engine, saved_snapshot.born, saved_snapshot.flows)
        sidecar.take_policy(engine, self.policies[-1], now=self.now)
        return engine

    def start_balancer(
        self, number: int, *, listed: abc.Collection[int] = range(len(POOLS))
    ) -> balancer.Engine:
        """Start a balancer's process, which knows a list of the store and a policy."""
        engine = balancer.Engine(
            port=BalancerPort(self, number),
            domain=DOMAINS[number],
            draw=random.Random(number).random,
            log=event_log.EventLog("machine", clock=lambda: self.now),
        )
        self.deliver_sidecar_list(number, engine, listed)
        balancer.take_policy(engine, self.policies[-1], now=self.now)
        return engine

    def deliver_sidecar_list(
        self, number: int, engine: balancer.Engine, listed: abc.Collection[int]
    ) -> None:
        """Let a balancer read the store's list; it is whole again before long."""
        addresses = [transparent.address(listed_number) for listed_number in listed]
        registered = {
            address: _types.Address(address.host, transparent.DATA_PORT)
            for address in addresses
        }
        balancer.take_registered(engine, registered, now=self.now)
        if len(listed) < len(POOLS):
            self.complete_list_at[number] = self.now + REREGISTRATION_SECONDS

    def send(self, deliver: abc.Callable[[], None]) -> None:
        """Put something under way."""
        assert self.hops <= MAX_HOPS, "a packet goes in circles"
        if self.is_partitioned:
            return
        self.in_flight.append(InFlight(deliver, self.hops + 1))

    def deliver(self, item: InFlight) -> None:
        """Let something arrive, and count what it causes."""
        self.hops = item.hops
        item.deliver()
        self.hops = 0

    def deliver_all_in_order(self) -> None:
        """Let everything arrive in order until nothing is under way."""
        while self.in_flight:
            self.deliver(self.in_flight.pop(0))

    def advance_time(self, seconds: float) -> None:
        """Let time pass for processes that are run and a network that works."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for balancer_number, due_at in list(self.complete_list_at.items()):
                if self.now >= due_at:
                    del self.complete_list_at[balancer_number]
                    self.deliver_sidecar_list(
                        balancer_number,
                        self.balancers[balancer_number],
                        range(len(POOLS)),
                    )
            report_request = messages.ReportRequest(
                revision=1, domain="hall-a", sidecars=len(POOLS)
            )
            for number, engine in enumerate(self.sidecars):
                for requester_number, requester in enumerate(self.balancers):
                    if transparent.address(number) not in requester.view.upstreams:
                        continue
                    sidecar.handle_hello(
                        engine,
                        report_request,
                        balancer_address(requester_number),
                        now=self.now,
                    )
                if not self.servers[number].alive:
                    self.detect_upstream_end(number)
                sidecar.tick(engine, now=self.now)
            for balancer_engine in self.balancers:
                balancer.tick(balancer_engine, now=self.now)

    def send_heartbeat(self, number: int) -> None:
        """Let an upstream send a heartbeat, which arrives at once."""
        server = self.servers[number]
        if not server.alive:
            return
        server.heartbeat_number += 1
        server.heartbeats.append(
            upstream.Heartbeat(
                instance="i",
                pool=POOLS[number],
                draining=server.draining,
                cold_seconds=max(server.cold_until - self.now, 0.0),
                slots=4,
                born=server.born,
                number=server.heartbeat_number,
            )
        )
        self.deliver_heartbeat(number, server.heartbeats[-1])

    def deliver_heartbeat(self, number: int, heartbeat: upstream.Heartbeat) -> None:
        """Let a heartbeat reach its sidecar."""
        self.received_heartbeats[number].append(heartbeat)
        sidecar.handle_heartbeat(self.sidecars[number], heartbeat, now=self.now)

    def detect_upstream_end(self, number: int) -> None:
        """Let a sidecar learn that nobody listens at its upstream's address."""
        engine = self.sidecars[number]
        if engine.upstream.newest is not None:
            self.detected_ends[number].add(engine.upstream.newest.born)
        sidecar.handle_end(engine, reason="connection refused", now=self.now)

    def deliver_to_upstream(self, number: int, packet: packets.Packet) -> None:
        """Let an upstream's process take a packet."""
        server, key = self.servers[number], packet.flow
        if not server.alive:
            return
        if packet.opening:
            self.check_opening(number, key)
            if server.draining:
                self.return_packet(number, packet)
                return
            first = server.flows.get(key) or server.half_open.setdefault(
                key, 100_000 * (number + 1) + server.born
            )
            accepting = transparent.packet(key, accepting=True, sequence=first)
            sidecar.handle_outbound(self.sidecars[number], accepting, now=self.now)
            return
        if packet.acknowledgement == server.half_open.get(key, -2) + 1:
            server.flows[key] = server.half_open.pop(key)
        if key not in server.flows:
            self.return_packet(number, packet)
            return
        self.check_served(number, key)

    def return_packet(self, number: int, packet: packets.Packet) -> None:
        """Let an upstream's process return a packet."""
        returned = packet._replace(returned=True)
        sidecar.handle_outbound(self.sidecars[number], returned, now=self.now)

    def check_served(self, number: int, key: bytes) -> None:
        """Check that a caller is served by the upstream that it has chosen, alone."""
        for caller in self.callers:
            if caller.key == key:
                assert caller.accepted_by == (number, self.servers[number].born)
                self.served[key] += 1

    def check_opening(self, number: int, key: bytes) -> None:
        """Check that the sidecar knew no reason against an opening packet.

        What it knows is derived anew from all that its process was told.
        """
        engine, server = self.sidecars[number], self.servers[number]
        current = engine.policies.current
        assert current is not None
        (route,) = current.routes.values()
        assert POOLS[number] in route.pools
        assert DOMAINS[number] not in current.domains_out
        newest = max(self.received_heartbeats[number], key=lambda beat: beat.version)
        assert not newest.draining
        assert newest.born not in self.detected_ends[number]
        if key in server.half_open or key in server.flows:
            return
        server.opened_at.append(self.now)
        if self.now < server.cold_until and newest.born == server.born:
            recent_openings = [at for at in server.opened_at if self.now - at < 1.0]
            assert (
                len(recent_openings) <= COLD_RATE * COLD_RATE_FACTOR + COLD_SPARE_FLOWS
            )

    def receive_acceptance(
        self, key: bytes, number: int, born: int, first: int
    ) -> None:
        """Let a caller take the first acceptance and answer it."""
        for caller in self.callers:
            if caller.key == key and caller.accepted_by is None:
                caller.accepted_by = (number, born)
                caller.first_sequence = first
                self.send_data(caller, via=0)

    def receive_reset(self, key: bytes) -> None:
        """Let a caller hear that its flow is closed; no upstream may hold it."""
        for caller in self.callers:
            if caller.key != key:
                continue
            if caller.accepted_by is not None:
                number, born = caller.accepted_by
                server = self.servers[number]
                holds = server.alive and server.born == born and key in server.flows
                assert not holds, "a live flow is reset"
            self.replace_flow(caller)

    def replace_flow(self, caller: Caller) -> None:
        """Let a caller go on with a new flow."""
        caller.key = transparent.flow(self.next_port)
        caller.accepted_by = None
        self.next_port += 1

    def send_opening(self, caller: Caller, *, via: int) -> None:
        """Send the first packet of a flow, or a copy."""
        packet = transparent.packet(caller.key, opening=True)
        self.send_packet(packet, via=via)

    def send_data(self, caller: Caller, *, via: int) -> None:
        """Send a packet on an open flow."""
        packet = transparent.packet(
            caller.key, acknowledgement=caller.first_sequence + 1, size=100
        )
        self.send_packet(packet, via=via)

    def send_packet(self, packet: packets.Packet, *, via: int) -> None:
        """Put a caller's packet under way to a balancer."""
        data = len(self.sent).to_bytes(4, "big")
        sent = self.sent[data] = packet._replace(data=data)
        self.send(
            lambda: balancer.handle_packet(self.balancers[via], sent, now=self.now)
        )


class BalancerPort:
    """Sends for one balancer."""

    def __init__(self, site: Site, number: int) -> None:
        """Send as the balancer of this number."""
        self.site = site
        self.number = number

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Send a packet to a sidecar."""
        sent = packet._replace(
            purpose=purpose,
            balancer=bytes(
                int(part) for part in balancer_address(self.number).host.split(".")
            ),
        )
        number = int(to.host.rsplit(".", 1)[1])
        self.site.send(
            lambda: sidecar.handle_inbound(
                self.site.sidecars[number], sent, now=self.site.now
            )
        )

    def reset(self, packet: packets.Packet) -> None:
        """Tell a caller that its flow is closed."""
        self.site.receive_reset(packet.flow)


class SidecarPort:
    """Sends for one sidecar."""

    def __init__(self, site: Site, number: int) -> None:
        """Send as the sidecar of this number."""
        self.site = site
        self.number = number

    def deliver(self, packet: packets.Packet) -> None:
        """Give a packet to the upstream."""
        self.site.deliver_to_upstream(self.number, packet)

    def answer(self, packet: packets.Packet) -> None:
        """Send an acceptance to its caller."""
        born = self.site.servers[self.number].born
        if packet.accepting:
            self.site.send(
                lambda: self.site.receive_acceptance(
                    packet.flow, self.number, born, packet.sequence
                )
            )

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Tell a caller that its flow is closed."""
        self.site.receive_reset(flow)

    def tell(self, to: _types.Address, message: messages.Message) -> None:
        """Send a message to a balancer."""
        receiver = int(to.host.rsplit(".", 1)[1])
        sender = transparent.address(self.number)

        def deliver() -> None:
            balancer.handle_message(
                self.site.balancers[receiver],
                message,
                sender,
                parse=self.site.sent.get,
                now=self.site.now,
            )

        is_report = isinstance(message, messages.Report)
        if is_report and self.site.is_partitioned:
            return
        if is_report and self.number not in self.site.delayed_sidecars:
            deliver()
        else:
            self.site.send(deliver)


def balancer_address(number: int) -> _types.Address:
    """Return a balancer's address for messages."""
    return _types.Address(f"10.0.2.{number}", transparent.MESSAGE_PORT)


def make_policy(revision: int, *, out: abc.Iterable[str], pool: str) -> policy.Policy:
    """Return a policy with one route."""
    return transparent.table(
        revision, transparent.route(pool), domains_out=out, cold_rate=COLD_RATE
    )


@hypothesis.settings(
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
class FlowMachine(stateful.RuleBasedStateMachine):
    """Draws what happens to a site."""

    def __init__(self) -> None:
        """Start a site on which nothing has happened."""
        super().__init__()
        self.site = Site()
        for caller in self.site.callers[:OPEN_FLOWS]:
            self.site.send_opening(caller, via=0)
        self.site.deliver_all_in_order()
        self.revisions: dict[int, int] = {}
        """The highest revision seen in force, by engine."""

    @stateful.rule(flow=FLOW, via=INDEX)
    def open_flow(self, flow: int, via: int) -> None:
        """Send an opening packet, or a copy, to any balancer."""
        caller = self.site.callers[flow]
        if caller.accepted_by is None:
            self.site.send_opening(caller, via=via % BALANCERS)

    @stateful.rule(flow=FLOW, via=INDEX)
    def use_flow(self, flow: int, via: int) -> None:
        """Send data; the fabric may pick any balancer."""
        caller = self.site.callers[flow]
        if caller.accepted_by is not None:
            self.site.send_data(caller, via=via % BALANCERS)

    @stateful.rule(index=INDEX)
    def deliver(self, index: int) -> None:
        """Let something arrive, in any order."""
        if self.site.in_flight:
            self.site.deliver(self.site.in_flight.pop(index % len(self.site.in_flight)))

    @stateful.rule()
    def deliver_all(self) -> None:
        """Let everything arrive."""
        self.site.deliver_all_in_order()

    @stateful.rule(index=INDEX)
    def lose(self, index: int) -> None:
        """Lose something."""
        if self.site.in_flight:
            del self.site.in_flight[index % len(self.site.in_flight)]

    @stateful.rule(index=INDEX)
    def double(self, index: int) -> None:
        """Let something arrive once more, later."""
        if self.site.in_flight:
            self.site.in_flight.append(
                self.site.in_flight[index % len(self.site.in_flight)]
            )

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.3, 0.9)))
    def pass_time(self, seconds: float) -> None:
        """Let time pass while some reports may be late."""
        self.site.advance_time(min(seconds, MAX_REPORT_DELAY_SECONDS))
        self.site.delayed_sidecars.clear()
        self.site.advance_time(2 * STEP_SECONDS)

    @stateful.rule(
        seconds=strategies.sampled_from((0.5, 2.0, 4.0)), flow=FLOW, via=INDEX
    )
    def cut_network(self, seconds: float, flow: int, via: int) -> None:
        """Lose everything for a while; nobody may take that for the others' end.

        A caller goes on before the balancers have heard anyone again. Everyone reports
        between two cuts: a single sidecar that is silent for longer than one cut may
        be given up.
        """
        self.site.delayed_sidecars.clear()
        self.site.advance_time(sidecar.REPORT_SECONDS + STEP_SECONDS)
        self.site.in_flight.clear()
        self.site.is_partitioned = True
        self.site.advance_time(seconds)
        self.site.is_partitioned = False
        self.use_flow(flow, via)
        self.site.deliver_all_in_order()

    @stateful.rule(number=SIDECARS)
    def delay_reports(self, number: int) -> None:
        """Hold up the reports of one sidecar for a while."""
        self.site.delayed_sidecars = {number}

    @stateful.rule(number=SIDECARS)
    def beat(self, number: int) -> None:
        """Let an upstream send a heartbeat."""
        self.site.send_heartbeat(number)

    @stateful.rule(number=SIDECARS, index=INDEX)
    def repeat_beat(self, number: int, index: int) -> None:
        """Let an old heartbeat arrive again, maybe of an earlier incarnation."""
        sent = self.site.servers[number].heartbeats
        if sent:
            self.site.deliver_heartbeat(number, sent[index % len(sent)])

    @stateful.rule(number=SIDECARS, draining=strategies.booleans())
    def drain(self, number: int, draining: bool) -> None:
        """Let an upstream begin or stop draining, and say so."""
        self.site.servers[number].draining = draining
        self.site.send_heartbeat(number)

    @stateful.rule(number=SIDECARS)
    def crash_upstream(self, number: int) -> None:
        """Crash an upstream's process; its sidecar notices within a step."""
        server = self.site.servers[number]
        server.alive = False
        server.flows.clear()
        server.half_open.clear()

    @stateful.rule(number=SIDECARS, is_cold=strategies.booleans())
    def start_upstream(self, number: int, is_cold: bool) -> None:
        """Start an upstream's process; it says so."""
        server = self.site.servers[number]
        if server.alive:
            return
        server.alive, server.draining = True, False
        server.born += 1_000
        server.opened_at.clear()
        server.cold_until = self.site.now + (COLD_SECONDS if is_cold else 0.0)
        self.site.send_heartbeat(number)

    @stateful.rule(number=SIDECARS)
    def save_record(self, number: int) -> None:
        """Let a sidecar write its record."""
        new_snapshot = record.make(self.site.sidecars[number])
        if new_snapshot is not None:
            self.site.snapshots[number] = new_snapshot

    @stateful.rule(number=SIDECARS)
    def restart_sidecar(self, number: int) -> None:
        """Replace a sidecar's process, which loses all but its record."""
        self.site.sidecars[number] = self.site.start_sidecar(number)
        self.revisions.pop(BALANCERS + number, None)

    @stateful.rule(number=INDEX, listed=strategies.sets(SIDECARS))
    def restart_balancer(self, number: int, listed: set[int]) -> None:
        """Replace a balancer's process, which loses all; the list may lack some."""
        number %= BALANCERS
        self.site.balancers[number] = self.site.start_balancer(number, listed=listed)
        self.revisions.pop(number, None)

    @stateful.rule(listed=strategies.sets(SIDECARS))
    def drop_leases(self, listed: set[int]) -> None:
        """Drop the leases of living sidecars; they register again before long."""
        for number, engine in enumerate(self.site.balancers):
            self.site.deliver_sidecar_list(number, engine, listed)

    @stateful.rule(
        out=strategies.sets(strategies.sampled_from(("hall-a", "hall-b")), max_size=1),
        pool=strategies.sampled_from(sorted(set(POOLS))),
    )
    def change_policy(self, out: set[str], pool: str) -> None:
        """Change the policy; nobody knows yet."""
        revision = self.site.policies[-1].revision + 1
        self.site.policies.append(make_policy(revision, out=out, pool=pool))

    @stateful.rule(process=INDEX, index=INDEX)
    def offer_policy(self, process: int, index: int) -> None:
        """Let a process hear of any policy, also of an old one."""
        offered = self.site.policies[index % len(self.site.policies)]
        process %= BALANCERS + len(POOLS)
        if process < BALANCERS:
            engine = self.site.balancers[process]
            balancer.take_policy(engine, offered, now=self.site.now)
            return
        sidecar_engine = self.site.sidecars[process - BALANCERS]
        sidecar.take_policy(sidecar_engine, offered, now=self.site.now)

    @stateful.invariant()
    def policies_never_go_back(self) -> None:
        """Check that no process has put an older policy in force."""
        site = self.site
        active_policies = [engine.policies for engine in site.balancers]
        active_policies += [engine.policies for engine in site.sidecars]
        for number, active_policy in enumerate(active_policies):
            revision = active_policy.revision
            assert revision >= self.revisions.get(number, 0)
            self.revisions[number] = revision

    def teardown(self) -> None:
        """Check that each balancer finds every live flow once all is well again."""
        site = self.site
        site.delayed_sidecars.clear()
        for number in range(len(POOLS)):
            site.send_heartbeat(number)
        for _ in range(10):
            site.deliver_all_in_order()
            site.advance_time(0.3)
        for via in range(BALANCERS):
            for caller in site.callers:
                self.use_until_served(caller, via)

    def use_until_served(self, caller: Caller, via: int) -> None:
        """Repeat a packet as a caller would; it is served or its flow is gone."""
        site, key = self.site, caller.key
        before = site.served[key]
        for _ in range(4):
            if caller.accepted_by is None or caller.key != key:
                return
            number, born = caller.accepted_by
            server = site.servers[number]
            is_live = server.alive and server.born == born and key in server.flows
            site.send_data(caller, via=via)
            for _ in range(4):
                site.deliver_all_in_order()
                site.advance_time(0.2)
            if not is_live or site.served[key] > before:
                return
        raise AssertionError("a live flow is not found")


TestFlows = FlowMachine.TestCase
