"""Simulates hedged openings and measures their cost, with the balancer's engine alone.

Run with ``python -m bench.hedging``. One balancer places openings on simulated
upstreams that accept them after a drawn time; callers retransmit after 200 and 600 ms.
All times but the cost of packets are simulated.
"""

from collections import abc
import heapq
import itertools
import random
import time

from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import balancer, hedged_openings, hedging
from testbed import transparent

SEED = 7
UPSTREAMS = 40
OPENINGS = 20_000
OPENINGS_PER_SECOND = 50.0
"""About what one of 19 balancers gets of 900 requests per second."""
LIMITS_PERCENT = (0.0, 2.0, 5.0, 10.0, 20.0)
MEDIAN_OPENING_SECONDS = 0.003
OPENING_SIGMA = 0.5
"""Width of the log-normal opening times."""
LOST_SHARE = 0.005
SLOW_UPSTREAMS = 7
"""A sixth of the upstreams."""
SLOW_SECONDS = 0.12
ALL_SLOW_SECONDS = 0.18
PAUSE_SECONDS = 0.5
PAUSE_INTERVAL_SECONDS = 20.0
RETRANSMISSION_AGES_SECONDS = (0.0, 0.2, 0.6)
REPORT_INTERVAL_SECONDS = 0.15
PERCENTILES = (0.5, 0.95, 0.99, 0.999)
COST_PACKETS = 200_000
COST_OPENINGS = 10_000
MICROSECONDS = 1e6
MILLISECONDS = 1e3

AcceptTime = abc.Callable[[int, float, random.Random], float]
"""Returns the seconds after which an upstream accepts an opening sent at a time."""


def _usual(number: int, now: float, source: random.Random) -> float:
    return MEDIAN_OPENING_SECONDS * source.lognormvariate(0.0, OPENING_SIGMA)


def _lost(number: int, now: float, source: random.Random) -> float:
    is_lost = source.random() < LOST_SHARE
    return float("inf") if is_lost else _usual(number, now, source)


def _paused(number: int, now: float, source: random.Random) -> float:
    phase = (now + number * PAUSE_INTERVAL_SECONDS / UPSTREAMS) % PAUSE_INTERVAL_SECONDS
    return max(PAUSE_SECONDS - phase, 0.0) + _usual(number, now, source)


def _some_slow(number: int, now: float, source: random.Random) -> float:
    added = SLOW_SECONDS if number <= SLOW_UPSTREAMS else 0.0
    return added + _usual(number, now, source)


def _all_slow(number: int, now: float, source: random.Random) -> float:
    return ALL_SLOW_SECONDS + _usual(number, now, source)


SCENARIOS: dict[str, AcceptTime] = {
    "no fault": _usual,
    "1 opening in 200 lost": _lost,
    "each upstream pauses for 0.5 s every 20 s": _paused,
    "a sixth of the upstreams 120 ms slower": _some_slow,
    "all upstreams 180 ms slower": _all_slow,
}


class Simulation:
    """A balancer, its upstreams and callers on a simulated clock."""

    def __init__(self, percent: float, accept_time: AcceptTime) -> None:
        """Create a ready balancer with a limit of hedges."""
        self.harness = transparent.ready_balancer(UPSTREAMS)
        self.harness.engine.hedging = hedging.Hedging(percent)
        self.harness.engine.draw = random.Random(SEED).random
        self.source = random.Random(SEED)
        self.accept_time = accept_time
        self.events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.order = itertools.count()
        self.opened_seconds: dict[bytes, float] = {}
        self.holders: dict[bytes, int] = {}
        self.copies = 0

    def schedule(self, after_seconds: float, action: abc.Callable[[], None]) -> None:
        """Run an action after a time."""
        due_at = self.harness.now + after_seconds
        heapq.heappush(self.events, (due_at, next(self.order), action))

    def run(self) -> None:
        """Open all flows and run until the last caller has abandoned its attempt."""
        for number in range(OPENINGS):
            self._schedule_caller(number, number / OPENINGS_PER_SECOND)
        self._repeat(REPORT_INTERVAL_SECONDS, self._report)
        self._repeat(hedging.PASS_INTERVAL_SECONDS, self._check)
        end = self.harness.now + OPENINGS / OPENINGS_PER_SECOND + 2.0
        while self.events[0][0] < end:
            self.harness.now, _, action = heapq.heappop(self.events)
            action()
            self._deliver()

    def _repeat(self, interval_seconds: float, action: abc.Callable[[], None]) -> None:
        def act() -> None:
            action()
            self.schedule(interval_seconds, act)

        self.schedule(0.0, act)

    def _report(self) -> None:
        report = transparent.make_report(number=int(self.harness.now * MILLISECONDS))
        for number in range(1, UPSTREAMS + 1):
            self.harness.handle_message(number, report)

    def _check(self) -> None:
        hedged_openings.send_due_hedges(self.harness.engine, now=self.harness.now)

    def _schedule_caller(self, number: int, first_after_seconds: float) -> None:
        key = transparent.flow_key(number)

        def send(retransmission: int) -> None:
            if key not in self.opened_seconds:
                self.harness.handle_packet(
                    transparent.make_packet(
                        key, opening=True, acknowledgement=retransmission
                    )
                )

        for index, age_seconds in enumerate(RETRANSMISSION_AGES_SECONDS):
            after = first_after_seconds + age_seconds
            self.schedule(after, lambda index=index: send(index))  # type: ignore[misc]

    def _deliver(self) -> None:
        """Let the upstreams handle what the balancer has forwarded."""
        forwarded = self.harness.port.forwarded
        while forwarded:
            packet, host, purpose = forwarded.pop(0)
            key, number = packet.flow, int(host.rpartition(".")[2])
            if purpose is packets.Purpose.OPEN:
                self.copies += 1
                seconds = self.accept_time(number, self.harness.now, self.source)
                accept = self._acceptance(key, number, self.harness.now)
                self.schedule(seconds, accept)
            elif number == self.holders[key]:
                self.harness.handle_message(number, messages.FlowHeld(flow=key))
            else:
                self.harness.handle_message(number, messages.FlowNotHeld(flow=key))

    def _acceptance(
        self, key: bytes, number: int, sent_at: float
    ) -> abc.Callable[[], None]:
        started_after = int.from_bytes(key[-2:], "little") / OPENINGS_PER_SECOND

        def accept() -> None:
            if key in self.opened_seconds:
                return
            self.opened_seconds[key] = self.harness.now - 100.0 - started_after
            self.holders[key] = number
            self.harness.handle_packet(transparent.make_packet(key, acknowledgement=1))

        return accept


def _print_scenario(name: str, accept_time: AcceptTime) -> None:
    for percent in LIMITS_PERCENT:
        simulation = Simulation(percent, accept_time)
        simulation.run()
        times = sorted(simulation.opened_seconds.values())
        shown = " / ".join(
            f"{times[int(share * (len(times) - 1))] * MILLISECONDS:.1f}"
            for share in PERCENTILES
        )
        counters = simulation.harness.engine.log.counters
        denied = {
            counter.removeprefix("hedges.denied."): count
            for counter, count in sorted(counters.items())
            if counter.startswith("hedges.denied.")
        }
        print(
            f"{name}: limit {percent:g}%: opened {len(times)}, {shown} ms, "
            f"hedges {counters['hedges.sent']}, won {counters['hedges.won']}, "
            f"copies {simulation.copies / OPENINGS:.3f}, denied {denied}",
            flush=True,
        )


def _print_cost(percent: float) -> None:
    """Print the processor time of packets in the engine, without sockets."""
    harness = transparent.ready_balancer(UPSTREAMS)
    harness.engine.hedging = hedging.Hedging(percent)
    opening = transparent.make_packet(transparent.flow_key(1), opening=True)
    harness.handle_packet(opening)
    data = transparent.make_packet(opening.flow, acknowledgement=1, size=100)
    started = time.process_time()
    for _ in range(COST_PACKETS):
        balancer.handle_packet(harness.engine, data, now=harness.now)
    packet_seconds = (time.process_time() - started) / COST_PACKETS
    openings = [
        transparent.make_packet(transparent.flow_key(number), opening=True)
        for number in range(2, COST_OPENINGS + 2)
    ]
    for upstream in harness.engine.view.upstreams.values():
        assert upstream.report is not None
        upstream.report = transparent.make_report(number=2, room=COST_OPENINGS)
    started = time.process_time()
    for opening in openings:
        balancer.handle_packet(harness.engine, opening, now=harness.now)
    opening_seconds = (time.process_time() - started) / COST_OPENINGS
    print(
        f"limit {percent:g}%: packet {packet_seconds * MICROSECONDS:.2f} us, "
        f"opening {opening_seconds * MICROSECONDS:.1f} us"
    )


def main() -> None:
    """Run all scenarios with all limits, then measure the cost."""
    for name, accept_time in SCENARIOS.items():
        _print_scenario(name, accept_time)
    for percent in (0.0, 20.0):
        _print_cost(percent)


if __name__ == "__main__":
    main()
