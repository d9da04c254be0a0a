"""Loads of requests on one sidecar whose upstream has slots and a queue of its own.

Runs the engine of the sidecar on a simulated clock, and the same load with the
upstream's own queue alone.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import random
import typing

from plantainproxy.flows import packets
from plantainproxy.flows.engine import request_queue
from testbed import transparent

LINK_SECONDS = 0.001
"""Delay between sidecar and upstream in each direction, with the sidecar's work."""
TICK_SECONDS = 0.02
LONG_REQUEST_SHARE = 0.03
LONG_REQUEST_FACTOR = 7.0
"""Three requests in a hundred take seven times the work."""
REQUEST_BYTES = 200
FIRST_CALLER_HOST = 0x0A00_4064


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one route."""

    name: str
    service: bytes
    priority: int
    work_seconds: float
    objective_seconds: float
    deadline_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rates:
    """Slots of an upstream and the requests that share it."""

    slots: int
    feed: Kind
    command: Kind
    feeds_per_command: float

    @property
    def command_share(self) -> float:
        """Share of commands in the work."""
        feeds = self.feeds_per_command * self.feed.work_seconds
        return self.command.work_seconds / (self.command.work_seconds + feeds)


FEED = Kind(
    name="feed",
    service=transparent.SERVICE,
    priority=2,
    work_seconds=0.04,
    objective_seconds=0.308,
    deadline_seconds=3.281,
)
COMMAND = Kind(
    name="command",
    service=b"\x01\x00\x12\xc6\xbb\x02",
    priority=1,
    work_seconds=0.052,
    objective_seconds=0.369,
    deadline_seconds=3.242,
)
RATES = Rates(slots=2, feed=FEED, command=COMMAND, feeds_per_command=656 / 188)
"""Requests of the first customer on the requirements page."""
OTHER_RATES = Rates(
    slots=3,
    feed=dataclasses.replace(
        FEED, work_seconds=0.047, objective_seconds=0.353, deadline_seconds=4.704
    ),
    command=dataclasses.replace(
        COMMAND, work_seconds=0.061, objective_seconds=0.452, deadline_seconds=5.645
    ),
    feeds_per_command=500 / 143,
)
"""Requests of the second customer."""
AGGRESSIVE = 1
"""The caller that sends a hundred times the requests of each other one."""


class Arrival(typing.NamedTuple):
    """One request of a load, on a flow of its own."""

    at: float
    """Seconds since the start of the load."""
    kind: Kind
    work_seconds: float
    caller: int = 0


@dataclasses.dataclass
class Outcome:
    """What became of one request."""

    arrival: Arrival
    answered_after: float | None = None
    """Seconds from arrival to response; ``None`` if rejected or abandoned."""
    rejected: bool = False
    started_after: float | None = None
    """Seconds from arrival until the upstream started it."""
    held_until: float = 0.0
    """Seconds since the start of the load when a tick last found it held."""

    @property
    def is_on_time(self) -> bool:
        """Whether it was answered within its objective."""
        answered_after = self.answered_after
        return (
            answered_after is not None
            and answered_after <= self.arrival.kind.objective_seconds
        )


class Upstream:
    """An upstream that runs a request per slot and queues four more per slot."""

    def __init__(self, run: "_Run", slots: int) -> None:
        """Start idle."""
        self.run = run
        self.slots = slots
        self.running = 0
        self.queue: list[bytes] = []

    def receive(self, key: bytes) -> None:
        """Start, queue or reject a request."""
        if self.running < self.slots:
            self._start(key)
        elif len(self.queue) < request_queue.UPSTREAM_QUEUE_PER_SLOT * self.slots:
            self.queue.append(key)
        else:
            self.run.outcomes[key].rejected = True
            self._respond(key)

    def abandon(self, key: bytes) -> None:
        """Remove a request from the queue after its caller's reset."""
        if key in self.queue:
            self.queue.remove(key)

    def _start(self, key: bytes) -> None:
        self.running += 1
        outcome = self.run.outcomes[key]
        outcome.started_after = self.run.elapsed - outcome.arrival.at
        self.run.after(outcome.arrival.work_seconds, lambda: self._end(key))

    def _end(self, key: bytes) -> None:
        self.running -= 1
        self._respond(key)
        if self.queue:
            self._start(self.queue.pop(0))

    def _respond(self, key: bytes) -> None:
        self.run.after(LINK_SECONDS, lambda: self.run.respond(key))


class _Port(transparent.SidecarPort):
    def __init__(self, run: "_Run") -> None:
        super().__init__()
        self.run = run

    def deliver(self, packet: packets.Packet) -> None:
        if packet.size:
            self.run.after(LINK_SECONDS, lambda: self.run.upstream.receive(packet.flow))
        elif packet.aborting:
            self.run.after(LINK_SECONDS, lambda: self.run.upstream.abandon(packet.flow))


class _Run:
    """One load on one sidecar."""

    def __init__(
        self, arrivals: abc.Sequence[Arrival], *, slots: int, is_scheduled: bool
    ) -> None:
        self.harness = transparent.ready_sidecar()
        kinds = {arrival.kind.service: arrival.kind for arrival in arrivals}
        routes = [
            transparent.make_route(
                transparent.POOL,
                service=service,
                priority=kind.priority,
                objective_seconds=kind.objective_seconds,
            )
            for service, kind in kinds.items()
        ]
        self.harness.apply_policy(transparent.make_policy(2, *routes))
        self.harness.handle_heartbeat(2, slots=slots)
        # No request is held while the flow table is not complete.
        self.harness.engine.table.complete = is_scheduled
        self.upstream = Upstream(self, slots)
        self.outcomes: dict[bytes, Outcome] = {}
        self.events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.numbers = itertools.count()
        for number, arrival in enumerate(arrivals):
            key = _flow_key(number, arrival)
            self.harness.now += 0.1
            self.harness.open(key)
            self.outcomes[key] = Outcome(arrival)
        self.harness.now += 1.0
        self.started_at = self.harness.now
        self.harness.engine.port = _Port(self)
        for key, outcome in self.outcomes.items():
            self._schedule_arrival(key, outcome.arrival)

    @property
    def elapsed(self) -> float:
        """Seconds since the start of the load."""
        return self.harness.now - self.started_at

    def after(self, seconds: float, act: abc.Callable[[], None]) -> None:
        """Run something later."""
        event = (self.harness.now + seconds, next(self.numbers), act)
        heapq.heappush(self.events, event)

    def respond(self, key: bytes) -> None:
        """Pass the first byte of a response through the sidecar."""
        outcome = self.outcomes[key]
        if not outcome.rejected:
            outcome.answered_after = self.elapsed - outcome.arrival.at
        self.harness.handle_outbound(transparent.make_packet(key, size=100))

    def abandon(self, key: bytes) -> None:
        """Reset a flow whose request has not been answered by its deadline."""
        outcome = self.outcomes[key]
        if outcome.answered_after is None and not outcome.rejected:
            self.harness.handle_inbound(transparent.make_packet(key, aborting=True))

    def tick(self) -> None:
        """Run the sidecar's timers while events are left."""
        self.harness.tick()
        for key in self.harness.engine.request_queue.held:
            self.outcomes[key].held_until = self.elapsed
        if self.events:
            self.after(TICK_SECONDS, self.tick)

    def finish(self) -> list[Outcome]:
        """Run all events and return the outcomes in order of arrival."""
        self.after(0.0, self.tick)
        while self.events:
            at, _, act = heapq.heappop(self.events)
            self.harness.now = at
            act()
        assert not self.harness.engine.request_queue.held
        assert self.harness.engine.table.running_requests == 0
        return list(self.outcomes.values())

    def _schedule_arrival(self, key: bytes, arrival: Arrival) -> None:
        self.after(arrival.at, lambda: self.harness.request(key, size=REQUEST_BYTES))
        deadline = arrival.at + arrival.kind.deadline_seconds
        self.after(deadline, lambda: self.abandon(key))


def _flow_key(number: int, arrival: Arrival) -> bytes:
    host = (FIRST_CALLER_HOST + arrival.caller).to_bytes(4, "big")
    return arrival.kind.service + host + number.to_bytes(2, "little")


def poisson(
    draw: random.Random,
    kind: Kind,
    *,
    per_second: float,
    start: float = 0.0,
    seconds: float,
    slowness: float = 1.0,
    caller: int | None = None,
) -> list[Arrival]:
    """Return random arrivals, from any of 50 callers unless one is given."""
    arrivals = []
    at = start + draw.expovariate(per_second)
    while at < start + seconds:
        is_long = draw.random() < LONG_REQUEST_SHARE
        work = kind.work_seconds * (LONG_REQUEST_FACTOR if is_long else 1.0)
        sender = draw.randrange(1, 51) if caller is None else caller
        arrivals.append(
            Arrival(at, kind, slowness * work * draw.uniform(0.8, 1.2), sender)
        )
        at += draw.expovariate(per_second)
    return arrivals


def mixed(
    rates: Rates,
    seed: int,
    demand: float,
    *,
    start: float = 0.0,
    seconds: float,
    slowness: float = 1.0,
) -> list[Arrival]:
    """Return feeds and commands, ``demand`` times as many as the slots can run."""
    draw = random.Random(seed)
    work = rates.command.work_seconds / rates.command_share
    work *= 1.0 + LONG_REQUEST_SHARE * (LONG_REQUEST_FACTOR - 1.0)
    commands_per_second = demand * rates.slots / (work * slowness)
    return [
        arrival
        for kind, ratio in ((rates.feed, rates.feeds_per_command), (rates.command, 1.0))
        for arrival in poisson(
            draw,
            kind,
            per_second=ratio * commands_per_second,
            start=start,
            seconds=seconds,
            slowness=slowness,
        )
    ]


def overload(rates: Rates, seed: int) -> list[Arrival]:
    """Return 1.7 times the demand that can be served for 3 s, and 0.6 around it."""
    return [
        *mixed(rates, seed, 0.6, seconds=2.0),
        *mixed(rates, seed, 1.7, start=2.0, seconds=3.0),
        *mixed(rates, seed, 0.6, start=5.0, seconds=3.0),
    ]


def aggressive_caller(seed: int) -> list[Arrival]:
    """Return feeds of one caller for twice the slots, and of ten others for a fifth."""
    draw = random.Random(seed)
    load = poisson(draw, FEED, per_second=100.0, seconds=4.0, caller=AGGRESSIVE)
    for caller in range(AGGRESSIVE + 1, AGGRESSIVE + 11):
        load += poisson(draw, FEED, per_second=1.0, seconds=4.0, caller=caller)
    return load


def run(
    arrivals: abc.Iterable[Arrival], *, slots: int, is_scheduled: bool
) -> list[Outcome]:
    """Run a load with the sidecar's queue, or with the upstream's own queue alone."""
    return _Run(
        sorted(arrivals, key=lambda each: each.at),
        slots=slots,
        is_scheduled=is_scheduled,
    ).finish()


def share_on_time(outcomes: abc.Iterable[Outcome], name: str) -> float:
    """Return the share of the requests of one kind answered within their objective."""
    of_kind = [outcome for outcome in outcomes if outcome.arrival.kind.name == name]
    return sum(outcome.is_on_time for outcome in of_kind) / len(of_kind)
