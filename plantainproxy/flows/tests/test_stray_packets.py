"""Packets of an open flow reach few other upstreams while its own sidecar is away.

The engines of several balancers and sidecars exchange packets and messages at once on a
manual clock. The bound is the one of ``testbed.stray_packets``.
"""

from collections import abc

import pytest

from plantainproxy import _types
from plantainproxy.flows import packets
from plantainproxy.flows.engine import balancer, sidecar, upstreams
from plantainproxy.flows.stored import flow_snapshot
from standins import flow_ends
from testbed import stray_packets, transparent

SIDECARS = 9
BALANCERS = 3
BALANCER_STARTED_SECONDS = 0.3
"""Time from the start of the balancers to the first packet; long enough for reports."""
AWAY_SECONDS = 2.5
LONG_AWAY_SECONDS = 4.5
"""Above the time for which a balancer waits for sidecars that have never reported."""
FOUND_SECONDS = 3.0
"""Time after the return of the flow's sidecar in which its upstream gets a packet."""
IDLE_RETRANSMIT_SECONDS = 1.5
IDLE_FOUND_PACKETS = 7
"""Number of later packets of an idle flow until its upstream has got one."""
STEP_SECONDS = 0.05
RETRANSMIT_STEPS = 4
SLOW_RETURN_SECONDS = 0.2
KEY = transparent.flow_key(1)
FLOW_KEY: flow_ends.FlowKey = (
    _types.Address("127.0.0.1", 1),
    _types.Address("198.18.0.1", 8443),
)


class Network:
    """Balancers and sidecars with the upstreams of which one holds the flow."""

    def __init__(self, holder: int, *, return_seconds: float = 0.0) -> None:
        """Start all sidecars beside running upstreams, without complete tables."""
        self.holder = holder
        self.return_seconds = return_seconds
        """Time after which an upstream returns a packet of a flow that it lacks."""
        self.now = 100.0
        self.sent: dict[bytes, packets.Packet] = {}
        self.due_returns: list[tuple[float, int, packets.Packet]] = []
        self.recorded_stops: set[_types.Address] = set()
        """Sidecars whose final snapshots the store has."""
        self.own: list[float] = []
        self.strays: list[float] = []
        self.balancers: list[transparent.BalancerHarness] = []
        self.sidecars = {
            number: self.start_sidecar() for number in range(1, SIDECARS + 1)
        }

    def start_sidecar(self) -> transparent.SidecarHarness:
        """Start a sidecar beside an upstream that is older than its process."""
        harness = transparent.SidecarHarness()
        harness.now = self.now
        harness.apply_policy(transparent.make_policy(1))
        harness.handle_heartbeat(born=harness.engine.identity.boot - 1)
        assert not harness.engine.table.complete
        return harness

    def start_balancers(self) -> None:
        """Start all balancers, which list all sidecars and have no flows."""
        for _ in range(BALANCERS):
            harness = transparent.BalancerHarness()
            harness.now = self.now
            harness.apply_registrations(*range(1, SIDECARS + 1))
            upstreams.record_stops(harness.engine.view, self.recorded_stops)
            harness.apply_policy(transparent.make_policy(1))
            self.balancers.append(harness)

    def stop_holder(self) -> None:
        """Stop the flow's sidecar as planned; it announces and records the stop."""
        harness = self.sidecars[self.holder]
        sidecar.stop(harness.engine, now=self.now)
        record = flow_snapshot.take_final_snapshot(harness.engine, era=0)
        if record is not None and record.is_stop:
            self.recorded_stops.add(transparent.address(self.holder))
        self.exchange()
        del self.sidecars[self.holder]

    def send(self, attempt: int) -> None:
        """Send the caller's packet, or a retransmission, to the next balancer."""
        data = attempt.to_bytes(4, "big")
        packet = transparent.make_packet(
            KEY,
            sequence=1,
            size=100,
            acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
        )._replace(data=data)
        self.sent[data] = packet
        self.balancers[attempt % BALANCERS].handle_packet(packet)
        self.exchange()

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps, with reports and ticks of all processes."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.return_due()
            for harness in self.sidecars.values():
                for index in range(len(self.balancers)):
                    harness.handle_report_request(balancer_address(index))
                harness.tick(STEP_SECONDS)
            for balancer_harness in self.balancers:
                balancer_harness.tick(STEP_SECONDS)
            self.exchange()

    def return_due(self) -> None:
        """Let the upstreams return the packets whose time has come."""
        due = [item for item in self.due_returns if item[0] <= self.now]
        self.due_returns = [item for item in self.due_returns if item[0] > self.now]
        for _, number, packet in due:
            if number in self.sidecars:
                self.sidecars[number].handle_outbound(packet._replace(returned=True))

    def exchange(self) -> None:
        """Pass on packets and messages until none is left."""
        while any([*map(self.pass_queries, range(len(self.balancers)))]) or any(
            [*map(self.pass_answers, list(self.sidecars))]
        ):
            pass

    def pass_queries(self, index: int) -> bool:
        """Pass a balancer's packets to the sidecars that run."""
        port = self.balancers[index].port
        forwarded, port.forwarded = port.forwarded, []
        assert not port.resets
        for packet, host, purpose in forwarded:
            harness = self.sidecars.get(int(host.rsplit(".", 1)[1]))
            if harness is not None:
                packed = bytes(map(int, balancer_address(index).host.split(".")))
                harness.handle_inbound(
                    packet._replace(purpose=purpose, balancer=packed)
                )
        return bool(forwarded)

    def pass_answers(self, number: int) -> bool:
        """Pass a sidecar's packets to its upstream and its messages to balancers."""
        harness = self.sidecars[number]
        delivered, harness.port.delivered = harness.port.delivered, []
        for packet in delivered:
            self.deliver(number, packet)
        messages, harness.port.sent_messages = harness.port.sent_messages, []
        for host, message in messages:
            for index, balancer_harness in enumerate(self.balancers):
                if balancer_address(index).host == host:
                    balancer.handle_message(
                        balancer_harness.engine,
                        message,
                        transparent.address(number),
                        parse=self.sent.get,
                        now=self.now,
                    )
        return bool(delivered or messages)

    def deliver(self, number: int, packet: packets.Packet) -> None:
        """Record a packet at an upstream, which answers or returns it."""
        if number == self.holder:
            self.own.append(self.now)
            answer = transparent.make_packet(KEY, size=packet.size)
            self.sidecars[number].handle_outbound(answer)
            return
        self.strays.append(self.now)
        self.due_returns.append((self.now + self.return_seconds, number, packet))
        if not self.return_seconds:
            self.return_due()

    def flow(self) -> stray_packets.OpenFlow:
        """Return the flow, open from long before the first packet until now."""
        return stray_packets.OpenFlow(
            key=FLOW_KEY,
            opened_at=0.0,
            closed_at=self.now,
            own=self.own,
            strays=self.strays,
        )


def balancer_address(index: int) -> _types.Address:
    """Return the message address of a balancer."""
    return _types.Address(f"10.0.0.{index + 1}", transparent.MESSAGE_PORT)


def _announce_stop(network: Network) -> None:
    network.start_balancers()
    network.advance(BALANCER_STARTED_SECONDS)
    network.stop_holder()


def _stop_before_balancers_start(network: Network) -> None:
    network.stop_holder()
    network.start_balancers()
    network.advance(BALANCER_STARTED_SECONDS)


def _broken_while_away(
    stop_holder: abc.Callable[[Network], None],
    *,
    away_seconds: float,
    return_seconds: float,
) -> dict[int, int]:
    """Return the packets at others by holder, where they break the rule.

    The caller retransmits while the holder's sidecar is away and after its return.
    """
    broken: dict[int, int] = {}
    for holder in range(1, SIDECARS + 1):
        network = Network(holder, return_seconds=return_seconds)
        stop_holder(network)
        steps = round((away_seconds + FOUND_SECONDS) / STEP_SECONDS)
        for step in range(steps):
            if step == round(away_seconds / STEP_SECONDS):
                network.sidecars[holder] = network.start_sidecar()
            if step % RETRANSMIT_STEPS == 0:
                network.send(step // RETRANSMIT_STEPS)
            network.advance(STEP_SECONDS)
        assert network.own, f"upstream {holder} got no packet"
        if stray_packets.find_stray_window(network.flow(), network.strays) is not None:
            broken[holder] = len(network.strays)
    return broken


@pytest.mark.parametrize("return_seconds", [0.0, SLOW_RETURN_SECONDS])
@pytest.mark.parametrize("stop_holder", [_announce_stop, _stop_before_balancers_start])
def test_a_lookup_sends_no_packets_to_others_while_the_holders_sidecar_is_away(
    stop_holder: abc.Callable[[Network], None], return_seconds: float
) -> None:
    """Guards against lookups that deliver the caller's packet to many upstreams.

    The balancers have just started and no sidecar has a complete table. The caller
    retransmits every 0.2 s through the balancers in turn. Once the sidecar is back, its
    upstream gets a packet.
    """
    broken = _broken_while_away(
        stop_holder, away_seconds=AWAY_SECONDS, return_seconds=return_seconds
    )
    assert broken == {}, f"packets at other upstreams by the flow's holder: {broken}"


@pytest.mark.parametrize("stop_holder", [_announce_stop, _stop_before_balancers_start])
def test_a_lookup_sends_no_packets_to_others_while_the_holders_sidecar_is_away_longer(
    stop_holder: abc.Callable[[Network], None],
) -> None:
    """Guards against a planned stop that counts as a loss after the wait for reports.

    A balancer that starts while the sidecar is away has never had a report of it, but
    the store lists it.
    """
    broken = _broken_while_away(
        stop_holder, away_seconds=LONG_AWAY_SECONDS, return_seconds=0.0
    )
    assert broken == {}, f"packets at other upstreams by the flow's holder: {broken}"


@pytest.mark.parametrize("return_seconds", [0.0, SLOW_RETURN_SECONDS])
def test_a_lookup_finds_the_holder_among_sidecars_without_complete_tables(
    return_seconds: float,
) -> None:
    """Guards against silence of a slow upstream that is taken for its answer.

    All sidecars are live. An upstream returns a packet only after the time in which
    its sidecar expects it, and gets the caller's retransmissions meanwhile.
    """
    broken: dict[int, int] = {}
    for holder in range(1, SIDECARS + 1):
        network = Network(holder, return_seconds=return_seconds)
        network.start_balancers()
        network.advance(BALANCER_STARTED_SECONDS)
        for step in range(round(FOUND_SECONDS / STEP_SECONDS)):
            if step % RETRANSMIT_STEPS == 0:
                network.send(step // RETRANSMIT_STEPS)
            network.advance(STEP_SECONDS)
        if stray_packets.find_stray_window(network.flow(), network.strays) is not None:
            broken[holder] = len(network.strays)
    assert broken == {}, f"packets at other upstreams by the flow's holder: {broken}"


def test_one_packet_of_an_idle_flow_reaches_fewer_than_three_others() -> None:
    """Guards against copies of one packet that reach three other upstreams at once.

    All sidecars are live, without complete tables, and upstreams return packets at
    once. The caller sends no other packet for longer than the window of the check, as
    after the end of a handshake that another balancer gets than the opening. The next
    packets, as far apart as retransmissions get, reach the holder.
    """
    broken: dict[int, int] = {}
    for holder in range(1, SIDECARS + 1):
        network = Network(holder)
        network.start_balancers()
        network.advance(BALANCER_STARTED_SECONDS)
        network.send(0)
        network.advance(FOUND_SECONDS)
        if len(network.strays) >= stray_packets.FLOW_STRAY_PACKETS:
            broken[holder] = len(network.strays)
        for attempt in range(1, IDLE_FOUND_PACKETS + 1):
            network.send(attempt)
            network.advance(IDLE_RETRANSMIT_SECONDS)
        assert network.own, f"upstream {holder} got no packet"
        if stray_packets.find_stray_window(network.flow(), network.strays) is not None:
            broken[holder] = len(network.strays)
    assert broken == {}, f"packets at other upstreams by the flow's holder: {broken}"
