"""Tests of hedged openings and of the budgets of additional placements.

The engines of a balancer and of sidecars run without a network, on one manual clock.
Each test covers one load pattern or one failure.
"""

import random

import msgspec
import pytest

from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import (
    balancer_state,
    hedged_openings,
    hedging,
    upstream_events,
    upstreams,
)
from plantainproxy.flows.programs import balancer_status
from plantainproxy.telemetry import exposition
from testbed import transparent

CALLER_ACKNOWLEDGEMENT = 1
"""What the first packet adds to the sequence number of the accepted upstream."""


def _opening(number: int, *, retransmission: int = 0) -> packets.Packet:
    key = transparent.flow_key(number)
    packet = transparent.make_packet(key, opening=True, acknowledgement=retransmission)
    return packet._replace(data=f"opening {number} {retransmission}".encode())


def _first_sequence(number: int) -> int:
    """Return the initial sequence number that an upstream uses for all its flows."""
    return 1_000 * number


def _data(number: int, accepted_by: int) -> packets.Packet:
    """Return the first data packet of a caller that chose one upstream's acceptance."""
    packet = transparent.make_packet(
        transparent.flow_key(number),
        sequence=1,
        size=100,
        acknowledgement=_first_sequence(accepted_by) + CALLER_ACKNOWLEDGEMENT,
    )
    return packet._replace(data=f"data {number} {accepted_by}".encode())


def _hedging_balancer(
    count: int = 3, *, percent: float = 20.0, credit: float = 400.0
) -> transparent.BalancerHarness:
    """Return a ready balancer with hedging on and, by default, a full budget."""
    harness = transparent.ready_balancer(count)
    harness.engine.hedging = hedging.Hedging(percent)
    harness.engine.hedging.budget.credit = credit
    return harness


def _pass_time(harness: transparent.BalancerHarness, seconds: float) -> None:
    """Advance the clock in steps of the interval between two checks."""
    for _ in range(round(seconds / hedging.PASS_INTERVAL_SECONDS)):
        harness.now += hedging.PASS_INTERVAL_SECONDS
        hedged_openings.send_due_hedges(harness.engine, now=harness.now)


def _report(harness: transparent.BalancerHarness, *numbers: int, **fields: int) -> None:
    for number in numbers:
        newest = int(harness.now * 1_000)
        report = msgspec.structs.replace(
            transparent.make_report(number=newest), **fields
        )
        harness.handle_message(number, report)


def _number(host: str) -> int:
    return int(host.rpartition(".")[2])


def _opened_at(harness: transparent.BalancerHarness) -> list[int]:
    """Return the numbers of the sidecars that got opening packets, in order."""
    return [_number(host) for host in harness.port.hosts(packets.Purpose.OPEN)]


def _denials(harness: transparent.BalancerHarness) -> set[str]:
    prefix = "hedges.denied."
    counters = harness.engine.log.counters
    return {name.removeprefix(prefix) for name in counters if name.startswith(prefix)}


class Site:
    """A balancer with hedging and the sidecars of real upstreams, joined in order."""

    def __init__(self, count: int = 3) -> None:
        """Start with ready, empty upstreams; the caller has opened no flow."""
        self.balancer = _hedging_balancer(count)
        self.sidecars = {
            number: transparent.ready_sidecar() for number in range(1, count + 1)
        }
        self.sent: dict[bytes, packets.Packet] = {}
        self.passed_on = 0
        self.lossy: set[int] = set()
        """Sidecars that receive no packet, as their machines are frozen or cut off."""
        for harness in self.sidecars.values():
            harness.port.sent_messages.clear()

    def handle_packet(self, packet: packets.Packet) -> None:
        """Pass a caller's packet to the balancer and exchange what it causes."""
        self.balancer.handle_packet(packet)
        self.exchange()

    def exchange(self) -> None:
        """Deliver packets and messages between the engines until there are none."""
        while self.passed_on < len(self.balancer.port.forwarded):
            packet, host, purpose = self.balancer.port.forwarded[self.passed_on]
            self.passed_on += 1
            number = _number(host)
            if number in self.lossy:
                continue
            self.sent[packet.data] = packet
            self.sidecars[number].handle_inbound(packet._replace(purpose=purpose))
            self.deliver_messages(number)

    def deliver_messages(self, number: int) -> None:
        """Deliver the messages of one sidecar to the balancer."""
        sent_messages = self.sidecars[number].port.sent_messages
        while sent_messages:
            _, message = sent_messages.pop(0)
            if isinstance(message, messages.ReturnedPacket):
                packet = self.sent[message.data]
                self.balancer.handle_returned_packet(number, packet, message.reason)
            else:
                self.balancer.handle_message(number, message)

    def accept(self, number: int, flow: int) -> None:
        """Let an upstream accept a flow whose opening packet it has received."""
        self.sidecars[number].handle_outbound(
            transparent.make_packet(
                transparent.flow_key(flow),
                accepting=True,
                sequence=_first_sequence(number),
            )
        )

    def pass_time(self, seconds: float) -> None:
        """Advance all clocks in steps; live sidecars report."""
        for _ in range(round(seconds / hedging.PASS_INTERVAL_SECONDS)):
            _pass_time(self.balancer, hedging.PASS_INTERVAL_SECONDS)
            self.balancer.tick()
            self.exchange()
            for number, harness in self.sidecars.items():
                harness.tick(hedging.PASS_INTERVAL_SECONDS)
                if number not in self.lossy:
                    self.deliver_messages(number)

    def served_by(self, flow: int) -> list[int]:
        """Return the upstreams that received data of a flow."""
        key = transparent.flow_key(flow)
        return [
            number
            for number, harness in self.sidecars.items()
            if any(
                packet.size and packet.flow == key for packet in harness.port.delivered
            )
        ]

    def hedge(self, flow: int) -> tuple[int, int]:
        """Open a flow that is hedged; return the first and the second upstream."""
        self.handle_packet(_opening(flow))
        self.pass_time(hedging.MAX_DELAY_SECONDS + hedging.PASS_INTERVAL_SECONDS)
        first, second = _opened_at(self.balancer)[-2:]
        return first, second

    def resets(self) -> int:
        """Return the number of resets that callers received."""
        return len(self.balancer.port.resets) + sum(
            len(harness.port.resets) for harness in self.sidecars.values()
        )


def test_nothing_is_hedged_by_default() -> None:
    """Operators who have set no limit must not pay for copies."""
    harness = transparent.ready_balancer()
    harness.handle_packet(_opening(1))
    _pass_time(harness, hedging.ABANDONED_SECONDS)
    assert len(_opened_at(harness)) == 1
    assert harness.engine.hedging.watched == {}


def test_decisions_without_overdue_openings_are_those_without_hedging() -> None:
    """Hedging must change nothing as long as upstreams accept in time."""
    forwarded = []
    for percent in (0.0, 20.0):
        harness = _hedging_balancer(percent=percent)
        for number in range(50):
            harness.handle_packet(_opening(number))
            _pass_time(harness, hedging.PASS_INTERVAL_SECONDS)
            harness.handle_packet(_data(number, 1))
            _report(harness, 1, 2, 3)
        forwarded.append(harness.port.forwarded)
        assert "hedges.sent" not in harness.engine.log.counters
    assert forwarded[0] == forwarded[1]


def test_an_overdue_opening_gets_one_copy_at_another_upstream() -> None:
    """A second hedge of one flow would exceed what operators agreed to."""
    harness = _hedging_balancer()
    harness.handle_packet(_opening(1))
    _pass_time(harness, hedging.MAX_DELAY_SECONDS - 0.02)
    assert len(_opened_at(harness)) == 1
    _pass_time(harness, 1.0)
    first, second = _opened_at(harness)
    assert first != second
    assert harness.engine.log.counters["hedges.sent"] == 1


def test_requests_that_must_not_run_twice_are_never_hedged() -> None:
    """Hedging is limited to repeatable routes, whatever the budget."""
    harness = _hedging_balancer()
    route = msgspec.structs.replace(
        transparent.make_route(transparent.POOL), kind=policy.RouteKind.NON_IDEMPOTENT
    )
    harness.apply_policy(transparent.make_policy(2, route))
    harness.handle_packet(_opening(1))
    assert harness.engine.hedging.watched == {}
    _pass_time(harness, 1.0)
    assert len(_opened_at(harness)) == 1


def test_the_delay_is_the_bounded_95th_percentile_of_the_route() -> None:
    """Below 20 ms scheduling delays, above 150 ms the retransmission come first."""
    times = hedging.OpeningTimes()
    assert hedging.delay_seconds(times, now=0.0) == hedging.MAX_DELAY_SECONDS
    for at in range(100):
        hedging.record_time(times, 0.08 if at % 10 == 0 else 0.004, now=at / 100)
    assert hedging.delay_seconds(times, now=1.0) == 0.08
    for at in range(hedging.MAX_SAMPLES):
        hedging.record_time(times, 0.004, now=1.0 + at / 100)
    assert hedging.delay_seconds(times, now=2.3) == hedging.MIN_DELAY_SECONDS
    for at in range(hedging.MAX_SAMPLES):
        hedging.record_time(times, 0.9, now=2.3 + at / 100)
    assert hedging.delay_seconds(times, now=3.6) == hedging.MAX_DELAY_SECONDS
    later = 3.6 + hedging.SAMPLE_LIFETIME_SECONDS
    hedging.record_time(times, 0.004, now=later)
    assert hedging.delay_seconds(times, now=later) == hedging.MAX_DELAY_SECONDS


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"state": messages.UpstreamState.DRAINING}, "no-upstream"),
        ({"cold": True}, "no-upstream"),
        ({"domain": transparent.OTHER_DOMAIN}, "no-upstream"),
        ({"pool": "archive"}, "no-upstream"),
        ({"room": 0}, "saturated"),
        ({"running": 3}, "no-upstream"),
        ({"stopping": True}, "no-upstream"),
        ({"suspect": True}, "no-upstream"),
    ],
)
def test_an_unsuitable_upstream_gets_no_hedge(
    fields: dict[str, int], reason: str
) -> None:
    """One condition at a time: draining, cold, out, other pool, no room, load 0.75."""
    harness = _hedging_balancer(3)
    harness.handle_packet(_opening(1))
    (first,) = _opened_at(harness)
    others = [number for number in (1, 2, 3) if number != first]
    _report(harness, *others, **fields)
    harness.apply_policy(
        transparent.make_policy(2, domains_out=[transparent.OTHER_DOMAIN])
    )
    _pass_time(harness, 0.19)
    assert _opened_at(harness) == [first]
    assert _denials(harness) == {reason}


def test_no_hedge_while_an_opening_waits_for_room() -> None:
    """A copy would take the room that another caller waits for."""
    harness = _hedging_balancer()
    harness.handle_packet(_opening(1))
    other_service = b"\x01\x00\x12\xc6\xbb\x02"
    harness.apply_policy(
        transparent.make_policy(
            2,
            transparent.make_route(transparent.POOL),
            transparent.make_route("archive", service=other_service),
        )
    )
    harness.engine.view.complete_at = harness.now + 1.0
    waiting_flow = transparent.flow_key(2, other_service)
    harness.handle_packet(transparent.make_packet(waiting_flow, opening=True))
    _pass_time(harness, 0.19)
    assert len(_opened_at(harness)) == 1
    assert _denials(harness) == {"waiting"}


def test_no_hedge_while_most_upstreams_are_saturated() -> None:
    """Under overload every opening is slow, and copies would add to the load."""
    harness = _hedging_balancer(5)
    harness.handle_packet(_opening(1))
    (first,) = _opened_at(harness)
    others = [number for number in range(1, 6) if number != first]
    _report(harness, *others[:3], running=4)
    _pass_time(harness, 0.19)
    assert _denials(harness) == {"saturated"}


def test_hedging_stops_while_every_upstream_is_slow() -> None:
    """Load: no opening succeeds within 180 ms for 3 s, then all are fast again.

    Reports show idle upstreams, so only the opening times show the fault.
    """
    harness = _hedging_balancer(8, credit=0.0)
    sent_by_phase = []
    number = 0
    for opening_passes in (1, 18, 1):
        before = harness.engine.log.counters["hedges.sent"]
        for _ in range(150):
            number += 1
            harness.handle_packet(_opening(number))
            for _ in range(opening_passes):
                _pass_time(harness, hedging.PASS_INTERVAL_SECONDS)
            harness.handle_packet(_data(number, 1))
            _pass_time(harness, hedging.PASS_INTERVAL_SECONDS)
            _report(harness, *range(1, 9))
        sent_by_phase.append(harness.engine.log.counters["hedges.sent"] - before)
    sent_while_fast, sent_while_slow, sent_after = sent_by_phase
    assert sent_while_fast == 0
    assert sent_while_slow <= 11 + hedging.HEDGE_BURST
    assert sent_after == 0
    assert "slow-route" in _denials(harness)
    service_times = harness.engine.hedging.times[transparent.SERVICE]
    assert service_times.overdue_share < hedging.MAX_OVERDUE_SHARE


@pytest.mark.parametrize("percent", [0.5, 1.0, 10.0, 20.0])
def test_the_hedge_limit_holds_at_all_times(percent: float) -> None:
    """Load: bursts of overdue openings after quiet times; also restarts, 19 processes.

    Each process starts with an empty budget, so neither restarts nor the number of
    processes raise the limit of their sum.
    """
    draw = random.Random(5)
    hedges = openings = 0
    for _ in range(19):
        budget = hedging.Budget(percent=percent, burst=hedging.HEDGE_BURST)
        process_openings = 0
        for step in range(2_000):
            if draw.random() < 0.01:
                budget = hedging.Budget(percent=percent, burst=hedging.HEDGE_BURST)
                process_openings = 0
            process_openings += 1
            openings += 1
            for _ in range(20 if step % 500 > 400 else 0):
                if hedging.has_credit(budget, openings=process_openings, now=step):
                    hedging.spend(budget)
                    hedges += 1
            assert hedges * 100 <= openings * percent
    assert hedges > 0


def test_a_burst_after_a_quiet_time_gets_few_hedges() -> None:
    """Load: 2 000 fast openings, then 100 overdue at once."""
    budget = hedging.Budget(percent=20.0, burst=hedging.HEDGE_BURST)
    sent = 0
    for _ in range(100):
        if hedging.has_credit(budget, openings=2_000, now=1.0):
            hedging.spend(budget)
            sent += 1
    assert sent == hedging.HEDGE_BURST


def test_hedges_beyond_the_budget_are_denied_by_the_balancer() -> None:
    """Load: one upstream of eight accepts nothing; a limit of 1 per cent."""
    harness = _hedging_balancer(8, percent=1.0, credit=0.0)
    for number in range(400):
        harness.handle_packet(_opening(number))
        _pass_time(harness, hedging.PASS_INTERVAL_SECONDS)
        if _opened_at(harness)[-1] != 1:
            harness.handle_packet(_data(number, 1))
        _report(harness, *range(1, 9))
        assert harness.engine.log.counters["hedges.sent"] * 100 <= number + 1
    assert "budget" in _denials(harness)


def test_retransmissions_do_not_refill_the_budget() -> None:
    """Callers' retransmissions grow with the faults that hedges answer."""
    harness = _hedging_balancer(credit=0.0)
    for number in range(50):
        harness.handle_packet(_opening(number, retransmission=1))
    assert harness.engine.first_openings == 0
    assert harness.engine.hedging.watched == {}


def test_a_paused_process_sends_no_hedges_when_it_resumes() -> None:
    """The callers' next packets may wait in its socket, as with 0.39 of a core."""
    harness = _hedging_balancer()
    harness.handle_packet(_opening(1))
    harness.now += hedging.MAX_DELAY_SECONDS
    hedged_openings.send_due_hedges(harness.engine, now=harness.now)
    harness.handle_packet(_data(1, 1))
    harness.now += 0.001
    harness.handle_packet(_data(1, 1))
    _pass_time(harness, 1.0)
    assert len(_opened_at(harness)) == 1


def test_a_process_that_was_paused_for_longer_leaves_it_to_the_caller() -> None:
    """After 200 ms the caller's own retransmission is the second copy."""
    harness = _hedging_balancer()
    harness.handle_packet(_opening(1))
    harness.now += hedging.RETRANSMISSION_SECONDS
    _pass_time(harness, 0.05)
    assert len(_opened_at(harness)) == 1
    assert _denials(harness) == {"late"}


def test_no_hedge_from_stale_reports_or_a_stopping_balancer() -> None:
    """The caller's next packet may be missing because of this process."""
    for is_stopping, reason in ((True, "stopping"), (False, "stale-view")):
        harness = _hedging_balancer()
        harness.handle_packet(_opening(1))
        harness.engine.stopping = is_stopping
        if not is_stopping:
            harness.engine.reports_stale_until = harness.now + 1.0
        _pass_time(harness, 0.19)
        assert len(_opened_at(harness)) == 1
        assert _denials(harness) == {reason}


def test_no_hedge_while_many_flows_are_looked_up() -> None:
    """Load: balancers left, and the packets of their flows arrive here."""
    harness = _hedging_balancer()
    harness.handle_packet(_opening(1))
    for number in range(100, 100 + balancer_state.MAX_ACTIVE_LOOKUPS):
        harness.handle_packet(_data(number, 1))
    _pass_time(harness, 0.19)
    assert len(_opened_at(harness)) == 1
    assert _denials(harness) == {"lookups"}


def test_callers_that_move_to_other_balancers_do_not_cause_hedges_for_long() -> None:
    """Load: after balancers joined, next packets of all openings arrive elsewhere."""
    harness = _hedging_balancer(8)
    for number in range(200):
        harness.handle_packet(_opening(number))
        _pass_time(harness, 0.02)
        _report(harness, *range(1, 9))
    assert harness.engine.log.counters["hedges.sent"] <= 11 + hedging.HEDGE_BURST
    assert "slow-route" in _denials(harness)
    _pass_time(harness, hedging.ABANDONED_SECONDS)
    assert harness.engine.hedging.watched == {}
    assert harness.engine.hedging.hedged == {}


@pytest.mark.parametrize("chosen", ["first", "second"])
def test_both_copies_answered_at_the_same_instant(chosen: str) -> None:
    """Only the caller knows which acceptance it took; data reaches that upstream once.

    The other upstream must neither get the data nor reset the flow.
    """
    site = Site()
    first, second = site.hedge(1)
    site.accept(first, 1)
    site.accept(second, 1)
    winner = first if chosen == "first" else second
    site.handle_packet(_data(1, winner))
    assert site.served_by(1) == [winner]
    site.handle_packet(_data(1, winner))
    assert site.balancer.port.forwarded[-1][1:] == (
        transparent.address(winner).host,
        packets.Purpose.FORWARD,
    )
    counters = site.balancer.engine.log.counters
    assert counters["hedges.won"] == (winner == second)
    assert counters["hedges.lost"] == (winner == first)
    site.pass_time(2.0)
    assert site.resets() == 0


def test_the_next_packet_queries_only_the_upstreams_with_a_copy() -> None:
    """A lookup of all candidates would cost up to 16 queries for each hedge."""
    site = Site(8)
    first, second = site.hedge(1)
    site.accept(second, 1)
    site.handle_packet(_data(1, second))
    queried = [
        _number(host) for host in site.balancer.port.hosts(packets.Purpose.LOOKUP)
    ]
    assert queried == [first, second]


def test_packets_of_one_flight_reach_the_chosen_upstream() -> None:
    """Packets that arrive before the answers wait; none is lost."""
    site = Site()
    _, second = site.hedge(1)
    site.accept(second, 1)
    for _ in range(3):
        site.balancer.handle_packet(_data(1, second))
    site.exchange()
    data_packets = [
        packet for packet in site.sidecars[second].port.delivered if packet.size
    ]
    assert len(data_packets) == 3


def test_a_frozen_first_upstream_does_not_delay_the_flow() -> None:
    """Lost opening: the first upstream's machine receives nothing.

    The caller's next packet must not wait for its retransmission after 200 ms.
    """
    site = Site()
    site.lossy = {1, 2, 3}
    site.handle_packet(_opening(1))
    (first,) = _opened_at(site.balancer)
    site.lossy = {first}
    site.pass_time(hedging.MAX_DELAY_SECONDS + hedging.PASS_INTERVAL_SECONDS)
    second = _opened_at(site.balancer)[-1]
    site.accept(second, 1)
    site.handle_packet(_data(1, second))
    assert site.served_by(1) == [second]
    site.handle_packet(_data(1, second))
    assert site.resets() == 0


def test_both_copies_lost_leave_the_opening_to_the_callers_retransmission() -> None:
    """The retransmission goes to a third upstream, and the flow opens there."""
    site = Site()
    site.lossy = {1, 2, 3}
    first, second = site.hedge(1)
    site.lossy = set()
    site.pass_time(0.04)
    site.handle_packet(_opening(1, retransmission=1))
    third = _opened_at(site.balancer)[-1]
    assert third not in (first, second)
    site.accept(third, 1)
    site.handle_packet(_data(1, third))
    assert site.served_by(1) == [third]
    assert site.balancer.engine.log.counters["hedges.won"] == 1


def test_the_retransmission_of_a_hedged_opening_avoids_both_upstreams() -> None:
    """Neither has accepted within 200 ms, so a more loaded third one is better."""
    harness = _hedging_balancer()
    harness.handle_packet(_opening(1))
    _pass_time(harness, 0.2)
    first, second = _opened_at(harness)
    (third,) = {1, 2, 3} - {first, second}
    _report(harness, first, second)
    _report(harness, third, running=3)
    harness.handle_packet(_opening(1, retransmission=1))
    assert _opened_at(harness)[-1] == third


@pytest.mark.parametrize("is_ended", [False, True])
def test_the_losing_upstream_drains_or_ends(is_ended: bool) -> None:
    """Its half-open flow must not be reset: the flow is open at the other upstream."""
    site = Site()
    first, second = site.hedge(1)
    site.accept(first, 1)
    site.accept(second, 1)
    site.sidecars[second].handle_heartbeat(2, draining=True)
    if is_ended:
        upstream_events.handle_upstream_exit(
            site.sidecars[second].engine, reason="left", now=site.balancer.now
        )
    site.exchange()
    site.handle_packet(_data(1, first))
    site.pass_time(0.5)
    site.handle_packet(_data(1, first))
    assert site.served_by(1) == [first]
    assert site.resets() == 0


def test_the_second_upstream_drains_before_the_hedge_arrives() -> None:
    """Its sidecar refuses the copy; the opening at the first one must go on."""
    site = Site()
    site.handle_packet(_opening(1))
    (first,) = _opened_at(site.balancer)
    others = [number for number in (1, 2, 3) if number != first]
    for number in others:
        site.sidecars[number].handle_heartbeat(2, draining=True)
        site.sidecars[number].port.sent_messages.clear()
    for _ in range(16):
        _pass_time(site.balancer, hedging.PASS_INTERVAL_SECONDS)
        site.exchange()
    assert len(_opened_at(site.balancer)) == 2
    site.accept(first, 1)
    site.handle_packet(_data(1, first))
    assert site.served_by(1) == [first]
    assert site.balancer.engine.log.counters["further_placements.sent"] == 0
    assert site.resets() == 0


def test_a_late_refusal_by_the_first_upstream_causes_no_third_copy() -> None:
    """The second upstream already has the opening."""
    harness = _hedging_balancer()
    harness.handle_packet(_opening(1))
    _pass_time(harness, 0.17)
    first, second = _opened_at(harness)
    harness.handle_returned_packet(first, _opening(1), messages.Refusal.FULL)
    assert _opened_at(harness) == [first, second]
    harness.handle_returned_packet(second, _opening(1), messages.Refusal.FULL)
    third = _opened_at(harness)[-1]
    assert third not in (first, second)
    harness.handle_packet(_data(1, third))
    assert _number(harness.port.hosts(packets.Purpose.FORWARD)[-1]) == third


def test_a_restarted_balancer_finds_the_flow_of_a_hedge() -> None:
    """Which upstreams have copies is lost with the process; the lookup finds it."""
    site = Site()
    first, second = site.hedge(1)
    site.accept(first, 1)
    site.accept(second, 1)
    site.balancer.engine.hedging = hedging.Hedging(20.0)
    site.handle_packet(_data(1, second))
    assert site.served_by(1) == [second]
    assert site.resets() == 0


def test_the_limit_of_watched_openings_bounds_memory() -> None:
    """Load: more openings at once than are watched; the rest are served unhedged."""
    harness = _hedging_balancer(credit=0.0)
    _report(harness, 1, 2, 3, room=hedging.MAX_WATCHED, slots=2 * hedging.MAX_WATCHED)
    for number in range(hedging.MAX_WATCHED + 10):
        harness.handle_packet(_opening(number))
    assert len(harness.engine.hedging.watched) == hedging.MAX_WATCHED
    assert len(_opened_at(harness)) == hedging.MAX_WATCHED + 10


def test_a_refused_opening_is_placed_again_within_the_budget() -> None:
    """A few refusals, as of one draining upstream, are answered as before."""
    harness = transparent.ready_balancer(3)
    for number in range(5):
        harness.handle_packet(_opening(number))
        refusing = _opened_at(harness)[-1]
        _report(harness, 1, 2, 3)
        harness.handle_returned_packet(
            refusing, _opening(number), messages.Refusal.FULL
        )
        assert _opened_at(harness)[-1] != refusing
        harness.run_for(0.1)
    assert harness.engine.log.counters["further_placements.sent"] == 5


def test_further_placements_stay_within_their_budget_under_overload() -> None:
    """Load: every upstream refuses every opening as full for 4 s, 100 openings/s.

    Without a limit, each refusal would cause another placement, and the sidecars would
    receive many times the callers' openings.
    """
    harness = transparent.ready_balancer(12)
    started_at, checked = harness.now, 0
    openings = 400
    for number in range(openings):
        harness.now += 0.01
        harness.handle_packet(_opening(number))
        if number % 4 == 0:
            harness.tick()
        _report(harness, *range(1, 13))
        while checked < len(harness.port.forwarded):
            packet, host, _ = harness.port.forwarded[checked]
            checked += 1
            harness.handle_returned_packet(_number(host), packet, messages.Refusal.FULL)
    seconds = harness.now - started_at
    counters = harness.engine.log.counters
    allowed = (
        hedging.RETRY_BUDGET_PERCENT / 100 * openings
        + hedging.RETRY_MINIMUM_PER_SECOND * (seconds + 1.0)
    )
    assert 0 < counters["further_placements.sent"] <= allowed
    assert counters["further_placements.denied"] > 0
    assert harness.port.resets == []
    assert len(harness.port.forwarded) <= openings + allowed


def test_openings_that_were_refused_leave_the_queue_within_the_budget() -> None:
    """After the overload, waiting openings are placed although no new ones arrive."""
    harness = transparent.ready_balancer(6)
    harness.engine.retry_budget.credit = -10 * hedging.PLACEMENT_COST_PERCENT
    for number in range(4):
        harness.handle_packet(_opening(number))
        harness.handle_returned_packet(
            _opened_at(harness)[-1], _opening(number), messages.Refusal.FULL
        )
    assert len(harness.engine.waiting.openings) == 4
    assert len(_opened_at(harness)) == 4
    for _ in range(25):
        harness.tick(0.04)
        _report(harness, *range(1, 7))
    assert harness.engine.waiting.openings == {}
    assert len(_opened_at(harness)) == 8


def test_an_unservable_opening_is_refused_at_once_without_budget() -> None:
    """The limit must not keep callers waiting that nothing can serve."""
    harness = transparent.ready_balancer(2)
    harness.engine.retry_budget.credit = 0.0
    harness.handle_packet(_opening(1))
    refusing = _opened_at(harness)[-1]
    for number in (1, 2):
        report = transparent.make_report(number=9, state=messages.UpstreamState.GONE)
        harness.handle_message(number, report)
    harness.handle_returned_packet(refusing, _opening(1), messages.Refusal.DRAINING)
    assert len(harness.port.resets) == 1


def test_a_stale_report_of_the_second_upstream_denies_the_hedge() -> None:
    """Its machine may be frozen, like that of the first one."""
    harness = _hedging_balancer()
    harness.now += upstreams.REPORT_FRESH_SECONDS - 0.1
    harness.handle_packet(_opening(1))
    _pass_time(harness, 0.19)
    assert len(_opened_at(harness)) == 1
    assert _denials(harness) == {"no-upstream"}


def test_status_shows_hedges_and_denials_of_the_balancers() -> None:
    """Operators must see from one command what the limit costs and gains."""
    gauges = balancer_status.subscriber_gauges(["10.200.1.7"])
    assert balancer_status.subscriber_hosts({"relay": 1.0, **gauges}) == ["10.200.1.7"]
    harness = _hedging_balancer()
    for number in (1, 2):
        harness.handle_packet(_opening(number))
    harness.engine.hedging.budget.credit = hedging.PLACEMENT_COST_PERCENT
    _pass_time(harness, 0.19)
    log = harness.engine.log
    text = exposition.render(log.counters, {"ready": 1, "hedge_percent": 20}, {})
    assert balancer_status.render_placements(exposition.parse(text)) == (
        "ready 1, first openings nan, hedge limit 20%, sent 1, won 0, lost 0, "
        "denied 1 (budget 1); further placements 0, denied 0"
    )
