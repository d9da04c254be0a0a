"""Tests of lookups against several balancers, sidecars and upstreams.

The rule that they check: while the upstream of a flow runs, no three packets of the
flow reach other upstreams within 2 s unless the flow's own upstream gets one.
"""

import dataclasses
import itertools
import math

import msgspec
import pytest

from plantainproxy import _types
from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import (
    balancer_state,
    hedging,
    lookup,
    lookup_waves,
    placement,
    sidecar,
    upstreams,
)
from standins import flow_ends
from testbed import stray_packets, transparent

KEY = transparent.flow_key(1)
DATA = transparent.make_packet(
    KEY, sequence=1, size=100, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
)
STEP_SECONDS = 0.01
OWN = 1
"""Number of the upstream that holds the flow."""
BALANCERS = 3
FLOW_KEY: flow_ends.FlowKey = (
    _types.Address("127.0.0.1", 1),
    _types.Address("198.18.0.1", 8443),
)
RETRANSMISSION_SECONDS = 0.3


@dataclasses.dataclass
class Delivery:
    """A data packet of the flow that reached an upstream."""

    at: float
    number: int


class Site:
    """Balancers and sidecars joined in order, on one clock.

    Upstreams answer packets of the flow that they hold and return all others.
    """

    def __init__(
        self, count: int = 4, *, own: int = OWN, old: frozenset[int] = frozenset()
    ) -> None:
        """Start the processes; the flow's own upstream has accepted it."""
        self.own = own
        self.count = count
        self.now = 100.0
        self.boots = itertools.count(1)
        self.old = old
        """Sidecars of an earlier release."""
        self.return_seconds: dict[int, float] = {}
        """Time that an upstream takes to return a packet, if it is not at once."""
        self.link_seconds: dict[int, float] = {}
        """Time that packets take from the balancers to a sidecar, if it is above 0."""
        self.arrivals: list[tuple[float, int, packets.Packet]] = []
        self.is_own_silent = False
        """Whether the flow's own upstream sends nothing on packets that it accepts."""
        self.returns: list[tuple[float, int, packets.Packet]] = []
        self.deliveries: list[Delivery] = []
        self.sidecars: dict[int, transparent.SidecarHarness] = {}
        self.balancers: list[transparent.BalancerHarness] = []
        self.sent: dict[int, int] = {}
        for number in range(1, count + 1):
            self.start_sidecar(number, is_complete=True)
        self.sidecars[self.own].open(KEY)
        self.sidecars[self.own].port.delivered.clear()
        for number in range(BALANCERS):
            self.balancers.append(transparent.BalancerHarness())
            self.start_balancer(number)
        self.pass_time(3.0)

    def start_balancer(self, number: int) -> None:
        """Start a balancer without any state but the list and the policy."""
        harness = self.balancers[number] = transparent.BalancerHarness()
        harness.now = self.now
        harness.apply_registrations(*range(1, self.count + 1))
        harness.apply_policy(transparent.make_policy(1))
        self.sent[number] = 0
        self.subscribe(number)

    def subscribe(self, number: int) -> None:
        """Let a balancer ask all running sidecars for reports."""
        address = _types.Address(f"10.0.2.{number}", transparent.MESSAGE_PORT)
        for harness in self.sidecars.values():
            harness.handle_report_request(address)

    def start_sidecar(self, number: int, *, is_complete: bool) -> None:
        """Start a sidecar process with an empty flow table."""
        harness = self.sidecars[number] = transparent.SidecarHarness()
        harness.now = self.now
        harness.engine.identity = msgspec.structs.replace(
            harness.engine.identity, boot=next(self.boots)
        )
        harness.apply_policy(transparent.make_policy(1))
        harness.handle_heartbeat(round(self.now * 100), born=1)
        harness.engine.table.complete = is_complete

    def stop_sidecar(self, number: int) -> None:
        """Stop a sidecar as planned."""
        sidecar.stop(self.sidecars[number].engine, now=self.now)
        self.exchange()
        del self.sidecars[number]

    def send(self, via: int, packet: packets.Packet = DATA) -> None:
        """Send a caller's packet through a balancer."""
        self.balancers[via].handle_packet(packet)
        self.exchange()

    def pass_time(self, seconds: float) -> None:
        """Advance the clock of all processes in steps."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for number in range(len(self.balancers)):
                self.balancers[number].tick(STEP_SECONDS)
                self.subscribe(number)
            for harness in self.sidecars.values():
                harness.tick(STEP_SECONDS)
            for due in [due for due in self.returns if due[0] <= self.now]:
                self.returns.remove(due)
                _, number, packet = due
                if number in self.sidecars:
                    self.sidecars[number].handle_outbound(packet)
            for due in [due for due in self.arrivals if due[0] <= self.now]:
                self.arrivals.remove(due)
                self.arrive(due[1], due[2])
            self.exchange()

    def send_for(self, seconds: float) -> None:
        """Retransmit a packet through one balancer after another for some time."""
        for via in range(round(seconds / RETRANSMISSION_SECONDS)):
            self.send(via % BALANCERS)
            self.pass_time(RETRANSMISSION_SECONDS)

    def exchange(self) -> None:
        """Deliver packets and messages until there are none."""
        is_busy = True
        while is_busy:
            is_busy = any([self.pass_packets_on(via) for via in range(BALANCERS)])
            is_busy |= any(
                [self.pass_messages_on(number) for number in list(self.sidecars)]
            )

    def pass_packets_on(self, via: int) -> bool:
        """Deliver what a balancer has sent to the sidecars and their upstreams."""
        if via >= len(self.balancers):
            return False
        forwarded = self.balancers[via].port.forwarded
        new = forwarded[self.sent[via] :]
        self.sent[via] = len(forwarded)
        for packet, host, purpose in new:
            number = int(host.rpartition(".")[2])
            sent = packet._replace(
                purpose=purpose,
                balancer=bytes((10, 0, 2, via)),
                size=0 if purpose is packets.Purpose.QUERY else packet.size,
            )
            if number in self.link_seconds:
                due_at = self.now + self.link_seconds[number]
                self.arrivals.append((due_at, number, sent))
            else:
                self.arrive(number, sent)
        return bool(new)

    def arrive(self, number: int, packet: packets.Packet) -> None:
        """Deliver a packet to a sidecar, if it runs, and to its upstream."""
        if number in self.sidecars:
            self.sidecars[number].handle_inbound(packet)
            self.pass_to_upstream(number)

    def pass_to_upstream(self, number: int) -> None:
        """Let an upstream handle the packets that its sidecar delivered."""
        harness = self.sidecars[number]
        delivered, harness.port.delivered = harness.port.delivered, []
        for packet in delivered:
            if packet.opening:
                continue
            self.deliveries.append(Delivery(self.now, number))
            if number != self.own:
                due_at = self.now + self.return_seconds.get(number, 0.0)
                returned = packet._replace(returned=True)
                if due_at > self.now:
                    self.returns.append((due_at, number, returned))
                else:
                    harness.handle_outbound(returned)
            elif not self.is_own_silent:
                harness.handle_outbound(transparent.make_packet(KEY))

    def pass_messages_on(self, number: int) -> bool:
        """Deliver what a sidecar has sent to the balancers."""
        port = self.sidecars[number].port
        sent, port.sent_messages = port.sent_messages, []
        for host, message in sent:
            balancer = self.balancers[int(host.rpartition(".")[2])]
            received = _as_old_release(message) if number in self.old else message
            if isinstance(received, messages.ReturnedPacket):
                balancer.handle_returned_packet(number, DATA, received.reason)
            elif received is not None:
                balancer.handle_message(number, received)
        return bool(sent)

    def own_deliveries(self) -> int:
        """Return how many packets the flow's own upstream has received."""
        return sum(delivery.number == self.own for delivery in self.deliveries)

    def stray_deliveries(self) -> int:
        """Return how many packets other upstreams have received."""
        return len(self.deliveries) - self.own_deliveries()

    def resets(self) -> int:
        """Return the number of resets that callers received."""
        return sum(len(harness.port.resets) for harness in self.balancers) + sum(
            len(harness.port.resets) for harness in self.sidecars.values()
        )

    def is_rule_kept(self) -> bool:
        """Return whether no window of 2 s has three stray packets and no own one."""
        flow = stray_packets.OpenFlow(
            key=FLOW_KEY,
            opened_at=float("-inf"),
            closed_at=float("inf"),
            own=[item.at for item in self.deliveries if item.number == self.own],
            strays=[item.at for item in self.deliveries if item.number != self.own],
        )
        return stray_packets.find_stray_window(flow, flow.strays) is None


def _as_old_release(message: messages.Message) -> messages.Message | None:
    """Return what a sidecar of 9a0a358 sends instead."""
    if isinstance(message, messages.FlowUnknown):
        return None
    if isinstance(message, messages.FlowHeld):
        return messages.FlowHeld(flow=message.flow)
    return message


def _make_hint(site: Site, via: int, number: int) -> None:
    site.balancers[via].engine.hints = {KEY: transparent.address(number)}


@pytest.mark.parametrize(
    "is_complete", list(itertools.product((True, False), repeat=3))
)
@pytest.mark.parametrize("hint", [None, OWN, 2])
def test_no_packet_goes_elsewhere_while_the_own_sidecar_is_away(
    is_complete: tuple[bool, ...], hint: int | None
) -> None:
    """Guards against copies of a caller's packets at upstreams without the flow.

    Balancers that had restarted sent each retransmission to all sidecars with an
    incomplete flow table while the flow's own sidecar restarted as planned.
    """
    site = Site()
    for number, complete in enumerate(is_complete, start=2):
        site.stop_sidecar(number)
        site.start_sidecar(number, is_complete=complete)
    site.pass_time(0.5)
    for via in range(BALANCERS):
        site.start_balancer(via)
        if hint is not None:
            _make_hint(site, via, hint)
    site.pass_time(0.1)
    site.stop_sidecar(OWN)
    site.send_for(4.5)
    assert site.deliveries == []
    site.start_sidecar(OWN, is_complete=False)
    site.send(0)
    site.pass_time(lookup.MAX_QUERY_RETRY_SECONDS)
    assert site.own_deliveries()
    assert site.is_rule_kept()
    assert site.resets() == 0


@pytest.mark.parametrize("is_own_complete", [True, False])
def test_the_flow_is_found_once_its_sidecar_reports_again(
    is_own_complete: bool,
) -> None:
    """Guards against a wait for the caller's next packet: it may have sent its last."""
    site = Site()
    for number in (2, 3, 4):
        site.start_sidecar(number, is_complete=False)
    site.pass_time(0.5)
    site.stop_sidecar(OWN)
    site.send(0)
    site.pass_time(1.0)
    assert site.deliveries == []
    site.start_sidecar(OWN, is_complete=is_own_complete)
    if is_own_complete:
        site.sidecars[OWN].open(KEY)
        site.sidecars[OWN].port.delivered.clear()
    site.pass_time(lookup.MAX_QUERY_RETRY_SECONDS)
    assert site.own_deliveries()
    assert site.balancers[0].engine.flows[KEY].upstream == transparent.address(OWN)
    if is_own_complete:
        assert site.stray_deliveries() == 0


def test_a_sidecar_that_has_become_complete_is_asked_again() -> None:
    """Guards against a wait for the timeout after the own sidecar took its flows over.

    It answers first that it does not know the flow, and another one is still away.
    """
    site = Site()
    site.start_sidecar(OWN, is_complete=False)
    site.pass_time(0.6)
    site.stop_sidecar(2)
    site.send(0)
    assert site.deliveries == []
    site.sidecars[OWN].open(KEY)
    site.sidecars[OWN].port.delivered.clear()
    site.sidecars[OWN].engine.table.complete = True
    site.pass_time(0.5 + lookup.MAX_QUERY_RETRY_SECONDS)
    assert site.own_deliveries()
    assert site.stray_deliveries() == 0


def test_a_wait_costs_few_queries_to_sidecars_that_do_not_know_the_flow() -> None:
    """Guards against a link that is saturated by queries while an upstream is away.

    Load: all active lookups wait, and 100 sidecars have incomplete flow tables.
    """
    harness = transparent.ready_balancer(100)
    for number in range(1, 101):
        report = transparent.make_report(
            number=2, complete=False, stopping=number == 100
        )
        harness.handle_message(number, report)
    harness.handle_packet(DATA)
    handled_count = 0
    for step in range(20):
        while handled_count < len(harness.port.forwarded):
            _, host, _ = harness.port.forwarded[handled_count]
            handled_count += 1
            if host != transparent.address(100).host:
                number = int(host.rpartition(".")[2])
                harness.handle_message(number, messages.FlowUnknown(flow=KEY))
        harness.run_for(0.1)
        for number in range(1, 100):
            report = transparent.make_report(number=3 + step, complete=False)
            harness.handle_message(number, report)
    assert KEY in harness.engine.lookups
    hosts = harness.port.hosts(packets.Purpose.QUERY)
    assert hosts.count(transparent.address(100).host) > 2
    assert len(hosts) < 110
    assert harness.port.hosts(packets.Purpose.LOOKUP) == []


def test_a_sidecar_that_starts_just_as_the_own_one_stops_gets_no_packet() -> None:
    """Guards against copies while several sidecars restart at once."""
    site = Site()
    site.stop_sidecar(2)
    site.pass_time(0.3)
    site.stop_sidecar(OWN)
    site.start_sidecar(2, is_complete=False)
    site.send_for(3.0)
    assert site.deliveries == []


def test_a_hedged_flow_goes_nowhere_else_while_its_sidecar_is_away() -> None:
    """Guards against a packet on suspicion at a hedge's other upstream."""
    site = Site()
    harness = site.balancers[0]
    route = transparent.make_route(transparent.POOL)
    opening = hedging.WatchedOpening(
        transparent.make_packet(KEY, opening=True), route, site.now, site.now
    )
    site.start_sidecar(2, is_complete=False)
    site.pass_time(0.6)
    site.stop_sidecar(OWN)
    addresses = [transparent.address(number) for number in (OWN, 2)]
    harness.engine.hedging.times[DATA.service] = hedging.OpeningTimes()
    harness.engine.hedging.hedged[KEY] = hedging.HedgedOpening(
        opening, addresses[0], addresses, frozenset()
    )
    site.send(0)
    site.pass_time(1.0)
    assert site.deliveries == []


def test_a_returned_packet_is_not_sent_on_while_the_holder_is_away() -> None:
    """Guards against copies after a packet that an upstream returned."""
    site = Site()
    for number in (2, 3, 4):
        site.start_sidecar(number, is_complete=False)
    site.pass_time(0.6)
    site.stop_sidecar(OWN)
    now = site.now
    site.balancers[0].engine.flows[KEY] = balancer_state.CachedFlow(
        transparent.address(2), now, now
    )
    site.send(0)
    assert [delivery.number for delivery in site.deliveries] == [2]
    site.send_for(2.4)
    assert site.stray_deliveries() == 1


def test_a_new_balancer_waits_until_it_knows_all_sidecars() -> None:
    """Guards against deliveries by a balancer whose list may lack the holder."""
    site = Site()
    for number in (2, 3, 4):
        site.start_sidecar(number, is_complete=False)
    site.stop_sidecar(OWN)
    harness = site.balancers[0] = transparent.BalancerHarness()
    harness.now = site.now
    site.sent[0] = 0
    harness.apply_registrations(2, 3, 4)
    harness.apply_policy(transparent.make_policy(1))
    site.send(0)
    site.pass_time(upstreams.LIST_LAG_SECONDS - 0.1)
    assert site.deliveries == []


def test_flows_are_found_by_delivery_after_a_kill_of_all_processes() -> None:
    """Guards against a search that waits forever for a complete flow table."""
    site = Site()
    for number in range(1, site.count + 1):
        site.start_sidecar(number, is_complete=False)
    for via in range(BALANCERS):
        site.start_balancer(via)
    site.send_for(upstreams.LIST_LAG_SECONDS + 2 * lookup.MAX_QUERY_RETRY_SECONDS)
    assert site.own_deliveries()
    assert site.is_rule_kept()
    assert site.resets() == 0


@pytest.mark.parametrize("old", [{1}, {1, 2}, {2, 3}, {1, 2, 3, 4}])
def test_flows_of_earlier_sidecars_are_found(old: set[int]) -> None:
    """Guards against a wait for answers that an earlier release does not send."""
    site = Site(old=frozenset(old))
    for number in range(1, site.count + 1):
        site.start_sidecar(number, is_complete=False)
    site.pass_time(0.6)
    site.send(0)
    site.pass_time(lookup.TIMEOUT_SECONDS)
    assert site.own_deliveries()
    assert site.is_rule_kept()
    assert site.balancers[0].engine.flows[KEY].upstream == transparent.address(OWN)
    assert site.resets() == 0


def test_an_earlier_sidecar_that_dies_counts_as_away() -> None:
    """Guards against silence of a killed process that passes for an answer."""
    site = Site(old=frozenset((OWN, 2)))
    for number in (2, 3, 4):
        site.start_sidecar(number, is_complete=False)
    site.pass_time(0.6)
    del site.sidecars[OWN]
    site.send(0)
    site.pass_time(upstreams.SHORT_LOSS_TIMEOUT_SECONDS - 0.1)
    assert site.deliveries == []


def _slow_site(*, is_own_silent: bool, count: int = 24) -> Site:
    """Return a site whose balancers ask the own upstream last; others return late."""
    harness = transparent.ready_balancer(count)
    candidates = upstreams.candidates(
        harness.engine.view, transparent.POOL, KEY, placement.CANDIDATES_PER_POOL
    )
    others = [
        address
        for address in harness.engine.view.upstreams
        if address not in candidates
    ]
    own = (others or candidates[-1:])[0]
    site = Site(count, own=int(own.host.rpartition(".")[2]))
    for number in range(1, site.count + 1):
        site.start_sidecar(number, is_complete=False)
        site.return_seconds[number] = 0.1
    site.is_own_silent = is_own_silent
    site.pass_time(0.6)
    return site


def _search_seconds(count: int) -> float:
    """Return the time in which a flow is found among sidecars that do not know it."""
    rounds = math.ceil(count / lookup.MAX_SUSPECT_DELIVERIES)
    return (rounds - 1) * lookup.SUSPECT_WINDOW_SECONDS + lookup.MAX_QUERY_RETRY_SECONDS


@pytest.mark.parametrize("own", range(1, 11))
@pytest.mark.parametrize("return_seconds", [0.0, 0.1, 0.2])
def test_a_flow_is_found_among_ten_suspects_with_two_copies_at_a_time(
    own: int, return_seconds: float
) -> None:
    """Guards against copies that reach many upstreams just before the holder's own.

    An idle flow has no packet at its own upstream in the 2 s before. Each balancer sent
    the copies of a whole wave at once, and each of three balancers did so again. The
    holder is on the slowest link. It gets a packet within 10 s.
    """
    site = Site(10, own=own)
    for number in range(1, site.count + 1):
        site.start_sidecar(number, is_complete=False)
        site.return_seconds[number] = return_seconds
    site.link_seconds[own] = 0.02
    site.pass_time(0.6)
    assert _search_seconds(site.count) < 10.0
    site.send_for(_search_seconds(site.count))
    assert site.own_deliveries()
    assert site.is_rule_kept()
    assert site.stray_deliveries() < site.count
    assert site.resets() == 0


@pytest.mark.parametrize("old", [frozenset({1, 4}), frozenset(range(1, 11))])
def test_earlier_sidecars_get_two_copies_at_a_time(old: frozenset[int]) -> None:
    """Guards against copies at sidecars that keep no record of returned packets."""
    site = Site(10, own=10, old=old)
    for number in range(1, site.count + 1):
        site.start_sidecar(number, is_complete=False)
    site.link_seconds[site.own] = 0.02
    site.pass_time(0.6)
    for _ in range(round(2 * _search_seconds(site.count) / RETRANSMISSION_SECONDS)):
        site.send(0)
        site.pass_time(RETRANSMISSION_SECONDS)
    assert site.own_deliveries()
    assert site.is_rule_kept()


@pytest.mark.parametrize("own", range(1, 11))
def test_a_flow_that_a_snapshot_names_is_found_at_once_after_a_kill(own: int) -> None:
    """Guards against a search in the order of the waves although the holder is known.

    All processes were killed, and the flow's sidecar has not got its snapshot yet.
    """
    site = Site(10, own=own)
    for number in range(1, site.count + 1):
        site.start_sidecar(number, is_complete=False)
    for via in range(BALANCERS):
        site.start_balancer(via)
        _make_hint(site, via, own)
    site.pass_time(upstreams.LIST_LAG_SECONDS)
    site.send(0)
    assert site.own_deliveries() == 1
    assert site.stray_deliveries() < lookup.MAX_SUSPECT_DELIVERIES


def test_a_balancer_counts_the_copies_that_others_have_sent() -> None:
    """Guards against a limit for each balancer, which adds up to many copies.

    The balancers ask one after another within the time of the rule, and each asks for
    the first time.
    """
    site = _slow_site(is_own_silent=False)
    site.return_seconds.clear()
    for via in range(BALANCERS):
        site.send(via)
        site.pass_time(0.5)
    assert site.stray_deliveries() == lookup.MAX_SUSPECT_DELIVERIES
    site.pass_time(lookup.SUSPECT_WINDOW_SECONDS - BALANCERS * 0.5 + 0.1)
    assert site.stray_deliveries() == 2 * lookup.MAX_SUSPECT_DELIVERIES


def _order_of_suspicion(site: Site) -> list[int]:
    """Return the numbers of the sidecars in the order of deliveries."""
    view = site.balancers[0].engine.view
    pools = frozenset((transparent.POOL,))
    addresses = lookup_waves.in_order_of_suspicion(KEY, pools, view)
    return [int(address.host.rpartition(".")[2]) for address in addresses]


def test_a_lookup_goes_on_until_the_last_upstreams_have_decided() -> None:
    """Guards against a caller's packet that is dropped just before the holder is known.

    The caller has stopped to retransmit, and the lookup has lasted longer than its
    timeout because of the limit of deliveries.
    """
    site = _slow_site(is_own_silent=True, count=6)
    site.own = _order_of_suspicion(site)[-1]
    for _ in range(12):
        site.send(0)
        site.pass_time(RETRANSMISSION_SECONDS)
    assert site.own_deliveries() == 0
    site.pass_time(_search_seconds(site.count) - 12 * RETRANSMISSION_SECONDS)
    assert site.own_deliveries() == 12
    assert site.balancers[0].engine.flows[KEY].upstream == transparent.address(site.own)


def test_a_balancer_gets_the_answer_to_anothers_delivery_at_once() -> None:
    """Guards against a wait for the limit where no further copy is delivered."""
    site = _slow_site(is_own_silent=True)
    site.own = _order_of_suspicion(site)[0]
    site.send(0)
    site.pass_time(0.05)
    site.send(1)
    site.pass_time(2 * lookup.QUERY_RETRY_SECONDS)
    assert site.balancers[1].engine.flows[KEY].upstream == transparent.address(site.own)
    assert site.stray_deliveries() < lookup.MAX_SUSPECT_DELIVERIES


def test_a_packet_that_a_wrong_upstream_returned_counts_as_a_copy() -> None:
    """Guards against a third copy after a packet that followed a wrong cache entry."""
    site = _slow_site(is_own_silent=False)
    site.return_seconds.clear()
    now = site.now
    wrong = transparent.address(_order_of_suspicion(site)[0])
    site.balancers[0].engine.flows[KEY] = balancer_state.CachedFlow(wrong, now, now)
    site.send(0)
    site.pass_time(1.0)
    assert site.stray_deliveries() == lookup.MAX_SUSPECT_DELIVERIES


def test_a_waiting_lookup_counts_the_copies_that_others_send_meanwhile() -> None:
    """Guards against answers from before another balancer's deliveries.

    The lookup has asked all sidecars while an upstream was away. Another balancer,
    which prefers other upstreams, delivers first when it is back.
    """
    site = _slow_site(is_own_silent=False)
    site.return_seconds.clear()
    away = _order_of_suspicion(site)[-1]
    site.stop_sidecar(away)
    site.send(0)
    site.pass_time(0.6)
    assert site.deliveries == []
    site.start_sidecar(away, is_complete=False)
    _make_hint(site, 1, _order_of_suspicion(site)[8])
    site.balancers[0].engine.reports_stale_until = site.now + 0.5
    site.pass_time(0.02)
    site.send(1)
    assert site.stray_deliveries() == lookup.MAX_SUSPECT_DELIVERIES
    site.pass_time(1.5)
    assert site.stray_deliveries() == lookup.MAX_SUSPECT_DELIVERIES


def test_an_upstream_whose_packets_are_lost_does_not_end_the_search() -> None:
    """Guards against answers that are asked for again without end."""
    site = _slow_site(is_own_silent=False, count=6)
    site.return_seconds.clear()
    first, *_, site.own = _order_of_suspicion(site)
    site.link_seconds[first] = float("inf")
    seconds = 2 * _search_seconds(site.count)
    for _ in range(round(seconds / RETRANSMISSION_SECONDS)):
        site.send(0)
        site.pass_time(RETRANSMISSION_SECONDS)
    assert site.own_deliveries()
    assert site.is_rule_kept()


def test_lookups_that_the_limit_holds_back_leave_room_for_others() -> None:
    """Guards against lookups that wait in the queue while others wait for the limit."""
    site = _slow_site(is_own_silent=True)
    site.return_seconds.clear()
    lookups = site.balancers[0].engine.lookups
    for number in range(2 * balancer_state.MAX_ACTIVE_LOOKUPS):
        site.send(0, DATA._replace(flow=transparent.flow_key(2 + number)))
    site.pass_time(0.1)
    assert len(lookups) > balancer_state.MAX_ACTIVE_LOOKUPS
    site.send(0)
    site.pass_time(0.1)
    assert lookups[KEY].queries


@pytest.mark.parametrize("is_own_silent", [True, False])
def test_a_late_return_does_not_make_an_upstream_the_holder(
    is_own_silent: bool,
) -> None:
    """Guards against packets that go to an upstream which is slow to return them.

    Silence for 30 ms was taken as proof, and the balancer sent the flow's further
    packets there while its own upstream got none.
    """
    site = _slow_site(is_own_silent=is_own_silent)
    site.send(0)
    for _ in range(4):
        site.send(0, DATA._replace(sequence=DATA.sequence + 100))
    site.send_for(_search_seconds(site.count))
    assert site.own_deliveries()
    assert site.stray_deliveries() < site.count
    assert site.is_rule_kept()
    assert site.balancers[0].engine.flows[KEY].upstream == transparent.address(site.own)


def test_a_silent_holder_gets_the_flow_and_no_other_upstream_a_copy() -> None:
    """Guards against copies at other upstreams after the holder got the packet.

    The upstream works on a request for longer than a packet's return takes.
    """
    site = _slow_site(is_own_silent=True)
    harness = site.balancers[0]
    candidates = upstreams.candidates(
        harness.engine.view, transparent.POOL, KEY, placement.CANDIDATES_PER_POOL
    )
    site.own = int(candidates[0].host.rpartition(".")[2])
    site.return_seconds.clear()
    site.send(0)
    site.send(0, DATA._replace(sequence=DATA.sequence + 100))
    site.pass_time(lookup.QUERY_RETRY_SECONDS + 2 * STEP_SECONDS)
    assert site.own_deliveries() == 2
    assert site.stray_deliveries() == lookup.MAX_SUSPECT_DELIVERIES - 1
    site.pass_time(lookup.TIMEOUT_SECONDS)
    assert site.stray_deliveries() == lookup.MAX_SUSPECT_DELIVERIES - 1
    assert harness.engine.flows[KEY].upstream == candidates[0]


def test_a_holder_that_sends_nothing_is_found_by_elimination() -> None:
    """Guards against a search without end for an upstream that answers late."""
    site = Site()
    site.is_own_silent = True
    for number in range(1, site.count + 1):
        site.start_sidecar(number, is_complete=False)
    site.pass_time(0.6)
    site.send(0)
    site.pass_time(
        lookup.SUSPECT_WINDOW_SECONDS + 2 * sidecar.PACKET_RETURN_TIMEOUT_SECONDS
    )
    assert site.balancers[0].engine.flows[KEY].upstream == transparent.address(OWN)
    assert site.own_deliveries() == 1
    assert site.is_rule_kept()


class _FlowHeldBefore(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """``FlowHeld`` as 9a0a358 declares it."""

    flow: bytes


class _FlowNotHeldBefore(msgspec.Struct, frozen=True, array_like=True, tag="not-held"):
    """``FlowNotHeld`` as 9a0a358 declares it."""

    flow: bytes


class _FlowUnknownBefore(msgspec.Struct, frozen=True, array_like=True, tag="unknown"):
    """``FlowUnknown`` without the time of a delivery."""

    flow: bytes


def test_answers_are_read_with_and_without_the_time_of_a_delivery() -> None:
    """Guards against answers that processes of another release cannot read."""
    not_held = messages.FlowNotHeld(flow=KEY, delivered_ms=40)
    unknown = messages.FlowUnknown(flow=KEY, delivered_ms=40)
    decoder = msgspec.msgpack.Decoder(_FlowNotHeldBefore | _FlowUnknownBefore)
    assert decoder.decode(messages.encode(not_held)) == _FlowNotHeldBefore(flow=KEY)
    assert decoder.decode(messages.encode(unknown)) == _FlowUnknownBefore(flow=KEY)
    for message in (not_held, unknown):
        assert messages.decode(messages.encode(message)) == message
        invalid = msgspec.structs.replace(message, delivered_ms=-1)
        assert messages.decode(messages.encode(invalid)) is None
    before = msgspec.msgpack.encode(_FlowNotHeldBefore(flow=KEY))
    assert messages.decode(before) == messages.FlowNotHeld(flow=KEY)


def test_an_earlier_balancer_reads_the_answers_that_it_knows() -> None:
    """Guards against answers that balancers of 9a0a358 cannot read.

    They count a tag that they do not know as a malformed message.
    """
    decoder = msgspec.msgpack.Decoder(_FlowHeldBefore | _FlowNotHeldBefore)
    for is_presumed in (None, True, False):
        held = messages.encode(messages.FlowHeld(flow=KEY, is_presumed=is_presumed))
        assert decoder.decode(held) == _FlowHeldBefore(flow=KEY)
    with pytest.raises(msgspec.ValidationError):
        decoder.decode(messages.encode(messages.FlowUnknown(flow=KEY)))
    before = msgspec.msgpack.encode(_FlowHeldBefore(flow=KEY))
    assert messages.decode(before) == messages.FlowHeld(flow=KEY)


def test_an_earlier_balancer_finds_a_flow_at_a_new_sidecar() -> None:
    """Guards against a sidecar that leaves the packets of earlier balancers alone.

    They send the packet itself to sidecars with an incomplete flow table.
    """
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    harness.port.sent_messages.clear()
    harness.handle_inbound(DATA._replace(purpose=packets.Purpose.LOOKUP))
    assert len(harness.port.delivered) == 1
    harness.tick(sidecar.PACKET_RETURN_TIMEOUT_SECONDS)
    assert isinstance(harness.port.sent_messages[0][1], messages.FlowHeld)


def test_the_upstreams_own_packet_confirms_a_pending_query() -> None:
    """Guards against a wait for silence where the upstream has shown the flow."""
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    harness.handle_inbound(DATA._replace(purpose=packets.Purpose.LOOKUP))
    harness.port.sent_messages.clear()
    harness.handle_outbound(transparent.make_packet(KEY, accepting=True))
    assert harness.port.sent_messages == []
    harness.handle_outbound(transparent.make_packet(KEY))
    assert [message for _, message in harness.port.sent_messages] == [
        messages.FlowHeld(flow=KEY, is_presumed=False)
    ]


def test_idempotent_flows_wait_for_a_planned_stop_like_others() -> None:
    """Guards against the shorter loss timeout while a stop is announced."""
    site = Site()
    for harness in site.balancers:
        route = msgspec.structs.replace(
            transparent.make_route(transparent.POOL), kind=policy.RouteKind.IDEMPOTENT
        )
        harness.apply_policy(transparent.make_policy(2, route))
    for number in (2, 3, 4):
        site.start_sidecar(number, is_complete=False)
    site.pass_time(0.5)
    site.stop_sidecar(OWN)
    site.send_for(upstreams.LOSS_TIMEOUT_SECONDS + 2.0)
    assert site.deliveries == []


def test_a_silent_process_after_one_that_answered_gets_the_packet() -> None:
    """Guards against a flow that is never found after a return to an earlier release.

    Its sidecars do not answer that a flow is unknown, and were asked again each time,
    as the answer of the process before was too old.
    """
    harness = transparent.ready_balancer(2)
    boots = {1: 2, 2: 2}
    numbers = itertools.count(2)

    def report(number: int, *, stopping: bool = False) -> None:
        harness.handle_message(
            number,
            transparent.make_report(
                boot=boots[number],
                number=next(numbers),
                complete=number == 1,
                stopping=stopping,
            ),
        )

    report(1, stopping=True)
    report(2)
    harness.handle_packet(DATA)
    harness.handle_message(2, messages.FlowUnknown(flow=KEY))
    boots[2] = 3
    for step in range(20):
        harness.tick(RETRANSMISSION_SECONDS / 2)
        report(1, stopping=step < 4)
        report(2)
        harness.handle_packet(DATA)
        if step >= 4:
            harness.handle_message(1, messages.FlowNotHeld(flow=KEY))
    delivered = harness.port.hosts(packets.Purpose.LOOKUP)
    assert transparent.address(2).host in delivered
