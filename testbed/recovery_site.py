"""A simulated site whose processes and upstreams all restart, without a network.

Balancers and sidecars are the production engines on the clock of ``speed_site``.
Callers repeat their openings and retry as the platform's callers do, also while nothing
runs. The run is the same for the same seed, so policies of the return can be compared.
"""

import functools
import heapq

import msgspec

from plantainproxy.flows import packets
from plantainproxy.flows.engine import balancer
from testbed import speed_site, transparent

COPY_SECONDS = (0.0, 0.2, 0.6)
"""When a caller sends an opening packet and its copies."""
ATTEMPT_SECONDS = 1.4
"""After this time without an acceptance, a caller gives up an attempt."""
MAX_ATTEMPTS = 3
OBJECTIVE_SECONDS = 0.3
DEADLINE_SECONDS = 4.0
WARM_UP_SECONDS = 2.0
"""Time of normal service before the outage."""


class Outage(msgspec.Struct, frozen=True, kw_only=True):
    """How long the parts of the site are away, from the loss of power."""

    sidecars_seconds: float
    balancers_seconds: float
    cold_seconds: float = 2.0
    """How long the upstreams are cold after the return of the sidecars."""
    cold_factor: float = 1.6
    """How many times longer a cold upstream works."""


class Request(msgspec.Struct, kw_only=True):
    """A request of a caller and what came of it."""

    sent_at: float
    work_seconds: float
    attempt: int = 0
    flow: bytes = b""
    """Flow of the newest attempt."""
    is_open: bool = False
    """Whether an upstream has accepted the newest attempt's flow."""
    answered_at: float | None = None
    has_ended: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether it was answered within the objective of its first attempt."""
        return (
            self.answered_at is not None
            and self.answered_at - self.sent_at <= OBJECTIVE_SECONDS
        )


class Site(speed_site.Site):
    """A site in normal service that loses power once."""

    def __init__(
        self,
        *,
        outage: Outage,
        upstreams_count: int = 7,
        slots: int = 5,
        balancers: int = 5,
        requests_per_second: float = 190.0,
        work_seconds: float = 0.061,
        seed: int = 1,
    ) -> None:
        """Start all processes; ``run_outage`` ends and restarts them."""
        self.outage = outage
        self.requests: list[Request] = []
        self.by_flow: dict[bytes, Request] = {}
        self.is_down = False
        self.are_balancers_down = False
        super().__init__(
            [1.0] * upstreams_count,
            balancers=balancers,
            load=speed_site.Load(
                requests_per_second=requests_per_second,
                work_seconds=work_seconds,
                spread=0.5,
            ),
            domains=("hall-a", "hall-b", "hall-c"),
            balancer_domains=("hall-a", "hall-b", "hall-c"),
            slots=slots,
            seed=seed,
        )
        self.lost_power_at = self.now

    def run_outage(self, seconds_after: float) -> None:
        """Run normal service, the outage, and some time after the loss of power."""
        self.run_for(WARM_UP_SECONDS)
        self.lost_power_at = self.now
        self.is_down = self.are_balancers_down = True
        for member in self.upstreams:
            member.queue.clear()
        self.after(self.outage.sidecars_seconds, self._return_sidecars)
        self.after(self.outage.balancers_seconds, self._return_balancers)
        self.run_for(seconds_after)

    def on_time_share(self, start: float, end: float) -> float:
        """Return the share on time of the requests sent between two times.

        The times count from the loss of power.
        """
        sent = [
            request
            for request in self.requests
            if start <= request.sent_at - self.lost_power_at < end
        ]
        return sum(request.is_on_time for request in sent) / max(len(sent), 1)

    def handle_at_caller(
        self, sender: speed_site.Upstream, packet: packets.Packet
    ) -> None:
        """Answer an acceptance with the request, and a response with the close."""
        request = self.by_flow.get(packet.flow)
        if self.is_down or request is None or request.has_ended:
            return
        if packet.flow != request.flow:
            return
        if packet.accepting:
            if not request.is_open:
                request.is_open = True
                self.work[packet.flow] = request.work_seconds
                self._send_on_flow(request, sequence=1, size=200)
            return
        request.answered_at, request.has_ended = self.now, True
        self._send_on_flow(request, sequence=201, closing=True)

    def handle_reset(self, flow: bytes) -> None:
        """Retry a request whose attempt was reset."""
        request = self.by_flow.get(flow)
        if request is not None and request.flow == flow:
            self._end_attempt(request)

    def _send_request(self) -> None:
        load = self.load
        self.after(
            self.random.expovariate(load.requests_per_second), self._send_request
        )
        work = load.work_seconds * self.random.uniform(1 - load.spread, 1 + load.spread)
        request = Request(sent_at=self.now, work_seconds=work)
        self.requests.append(request)
        self._start_attempt(request)

    def _start_attempt(self, request: Request) -> None:
        number = next(self.flow_numbers)
        flow = transparent.flow_key(number % speed_site.FLOW_PORTS)
        request.flow, request.is_open = flow, False
        self.by_flow[flow] = request
        self.balancer_of[flow] = self.random.choice(self.balancers)
        for copy, seconds in enumerate(COPY_SECONDS):
            send = functools.partial(self._send_opening, request, flow, copy)
            self.after(seconds, send)
        self.after(ATTEMPT_SECONDS, functools.partial(self._time_out, request, flow))

    def _send_opening(self, request: Request, flow: bytes, copy: int) -> None:
        if request.flow != flow or request.is_open or request.has_ended:
            return
        if self.are_balancers_down:
            return
        data = flow + bytes((copy,))
        packet = transparent.make_packet(flow, opening=True, acknowledgement=copy)
        packet = packet._replace(data=data)
        self.returned[data] = packet
        balancer.handle_packet(self.balancer_of[flow].engine, packet, now=self.now)

    def _time_out(self, request: Request, flow: bytes) -> None:
        if request.flow == flow and not request.is_open:
            self._end_attempt(request)

    def _end_attempt(self, request: Request) -> None:
        if request.has_ended:
            return
        request.attempt += 1
        if (
            request.attempt == MAX_ATTEMPTS
            or self.now - request.sent_at >= DEADLINE_SECONDS
        ):
            request.has_ended = True
            return
        self._start_attempt(request)

    def _send_on_flow(
        self, request: Request, *, sequence: int, size: int = 0, closing: bool = False
    ) -> None:
        packet = transparent.make_packet(
            request.flow,
            sequence=sequence,
            size=size,
            closing=closing,
            acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
        )
        engine = self.balancer_of[request.flow].engine
        self.after(
            speed_site.HOP_SECONDS,
            lambda: balancer.handle_packet(engine, packet, now=self.now),
        )

    def _return_sidecars(self) -> None:
        """Restart the upstreams, which are cold, and their sidecars."""
        self.is_down = False
        for member in self.upstreams:
            member.running = 0
            member.queue.clear()
            member.speed = 1 / self.outage.cold_factor
            member.start_engine()
            self.after(self.outage.cold_seconds, functools.partial(_warm, member))

    def _return_balancers(self) -> None:
        self.are_balancers_down = False
        for member in self.balancers:
            member.start_engine()
            balancer.apply_registrations(member.engine, self.registered, now=self.now)
            for sidecar_member in self.upstreams:
                self.request_report(member, sidecar_member)

    def _tick(self) -> None:
        if not self.is_down:
            super()._tick()
            return
        self.after(speed_site.TICK_SECONDS, self._tick)


def _warm(member: speed_site.Upstream) -> None:
    member.speed = 1.0


def best_on_time_share(site: Site, start: float, end: float) -> float:
    """Return the share on time that an order with full knowledge reaches.

    One queue in front of all slots, which knows the work of each request and runs those
    that can still be on time first, the earliest end of the objective first; it starts
    with the balancers. The order is not always the best one, so the bound is close to
    the largest share but may be exceeded slightly.
    """
    outage = site.outage
    opens_at = site.lost_power_at + outage.balancers_seconds
    warm_at = site.lost_power_at + outage.sidecars_seconds + outage.cold_seconds
    slots = [opens_at] * sum(member.slots for member in site.upstreams)
    arrivals = sorted(
        (request for request in site.requests if request.sent_at >= site.lost_power_at),
        key=lambda request: request.sent_at,
    )
    on_time: set[int] = set()
    waiting: list[tuple[float, int]] = []
    position = 0
    while position < len(arrivals) or waiting:
        free_at = heapq.heappop(slots)
        if not waiting and position < len(arrivals):
            free_at = max(free_at, arrivals[position].sent_at)
        while position < len(arrivals) and arrivals[position].sent_at <= free_at:
            heapq.heappush(waiting, (arrivals[position].sent_at, position))
            position += 1
        factor = outage.cold_factor if free_at < warm_at else 1.0
        while waiting:
            sent_at, index = heapq.heappop(waiting)
            done_at = free_at + arrivals[index].work_seconds * factor
            if done_at <= sent_at + OBJECTIVE_SECONDS:
                on_time.add(index)
                heapq.heappush(slots, done_at)
                break
        else:
            heapq.heappush(slots, free_at)
    within = [
        index
        for index, request in enumerate(arrivals)
        if start <= request.sent_at - site.lost_power_at < end
    ]
    return sum(index in on_time for index in within) / max(len(within), 1)
