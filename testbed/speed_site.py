"""A simulated site of balancers and upstreams of unequal speed, without a network.

Balancers and sidecars are the production engines on a manual clock. Each upstream has a
number of slots and a first-in, first-out queue. Callers send requests at a steady rate
with random intervals, each on a flow of its own.
"""

import collections
from collections import abc
import functools
import heapq
import itertools
import random
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, packets
from plantainproxy.flows.engine import (
    admission,
    balancer,
    balancer_state,
    sidecar,
    sidecar_reports,
    sidecar_state,
    upstream,
    upstream_events,
    upstreams,
)
from testbed import transparent

TICK_SECONDS = 0.02
HOP_SECONDS = 0.0005
HEARTBEAT_TICKS = 50
FLOW_PORTS = 60_000


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of the callers."""

    requests_per_second: float
    work_seconds: float = 0.04
    """Mean service time on an upstream of speed 1."""
    spread: float = 0.3
    """Largest deviation of a service time from the mean, as a share of it."""
    tail_share: float = 0.0
    """Share of the requests that take ``tail_factor`` times the work."""
    tail_factor: float = 7.0


class Balancer:
    """A balancer's engine, whose packets travel through the site."""

    def __init__(self, site: "Site", number: int, domain: str) -> None:
        """Create a balancer with the site's policy and list of sidecars."""
        self.site = site
        self.address = _types.Address(f"10.0.0.{number + 1}", transparent.MESSAGE_PORT)
        self.packed = bytes((10, 0, 0, number + 1))
        self.domain = domain
        self.resets = 0
        self.start_engine()

    def start_engine(self) -> None:
        """Start a process that has the policy and no report."""
        site = self.site
        self.engine = balancer_state.Engine(
            port=self,
            domain=self.domain,
            draw=site.random.random,
            log=event_log.EventLog("speed", clock=lambda: site.now),
        )
        balancer.apply_policy(self.engine, transparent.make_policy(1), now=site.now)

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Send a packet to a sidecar."""
        target = self.site.by_host[to.host]
        sent = packet._replace(balancer=self.packed, purpose=purpose)
        if packet.opening:
            self.site.returned[packet.data] = packet
        self.site.after(HOP_SECONDS, lambda: target.handle_inbound(sent))

    def reset(self, packet: packets.Packet) -> None:
        """Count a flow that is refused."""
        self.resets += 1
        self.site.handle_reset(packet.flow)

    def handle(self, sender: _types.Address, message: messages.Message) -> None:
        """Handle a sidecar's message."""
        balancer.handle_message(
            self.engine,
            message,
            sender,
            parse=lambda data: self.site.returned.get(data),
            now=self.site.now,
        )


class Upstream:
    """An upstream and the engine of its sidecar."""

    def __init__(
        self, site: "Site", number: int, *, domain: str, speed: float, slots: int
    ) -> None:
        """Create a ready upstream."""
        self.site = site
        self.speed = speed
        self.slots = slots
        self.address = transparent.address(number + 1)
        self.running = 0
        self.queue: collections.deque[tuple[bytes, float]] = collections.deque()
        self.busy_seconds = 0.0
        """Sum of the slots' times in use."""
        self.served = 0
        self.heartbeats = 0
        self.delays_reports_seconds: float | None = None
        self.domain = domain
        self.boots = 0
        self.start_engine()

    def start_engine(self) -> None:
        """Start the upstream together with its sidecar."""
        site = self.site
        self.boots += 1
        self.engine = sidecar_state.Engine(
            port=self,
            identity=sidecar_state.Identity(
                location=admission.Location(pool=transparent.POOL, domain=self.domain),
                data_port=transparent.DATA_PORT,
                message_port=transparent.MESSAGE_PORT,
                boot=self.boots,
            ),
            slow_start_limiter=admission.SlowStartLimiter(
                started_at=site.now, rate_factor=1.5, burst=4
            ),
            log=event_log.EventLog("speed", clock=lambda: site.now),
        )
        self.engine.table.complete = True
        sidecar.apply_policy(self.engine, transparent.make_policy(1), now=site.now)
        self.beat()

    def beat(self) -> None:
        """Send a heartbeat to the sidecar."""
        self.heartbeats += 1
        heartbeat = upstream.Heartbeat(
            instance="i",
            pool=transparent.POOL,
            draining=False,
            cold_seconds=0.0,
            slots=self.slots,
            born=self.boots,
            number=self.heartbeats,
        )
        upstream_events.handle_heartbeat(self.engine, heartbeat, now=self.site.now)

    def handle_inbound(self, packet: packets.Packet) -> None:
        """Pass a caller's packet to the sidecar."""
        sidecar.handle_inbound(self.engine, packet, now=self.site.now)

    def deliver(self, packet: packets.Packet) -> None:
        """Accept or close a flow, or run or queue a request."""
        if packet.opening:
            self._send(packet.flow, accepting=True)
        elif packet.closing:
            self._send(packet.flow, closing=True)
        elif packet.size:
            self.queue.append((packet.flow, self.site.work.pop(packet.flow)))
            self._start_next()

    def forward_to_caller(self, packet: packets.Packet) -> None:
        """Pass a packet of the upstream to the caller."""
        self.site.handle_at_caller(self, packet)

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Fail: no upstream ends in this site."""
        raise AssertionError("an open flow was reset")

    def send_message(self, balancer: _types.Address, message: messages.Message) -> None:
        """Send a message; reports take the site's delay."""
        target = self.site.balancers_by_host[balancer.host]
        delay = HOP_SECONDS
        if isinstance(message, messages.Report):
            delay += self.site.report_delay_seconds
        self.site.after(delay, lambda: target.handle(self.address, message))

    def _start_next(self) -> None:
        while self.queue and self.running < self.slots:
            flow, work_seconds = self.queue.popleft()
            self.running += 1
            seconds = work_seconds / self.speed
            self.busy_seconds += seconds
            self.site.after(seconds, functools.partial(self._finish, flow))

    def _finish(self, flow: bytes) -> None:
        self.running -= 1
        self.served += 1
        self._send(flow, size=500)
        self._start_next()

    def _send(
        self,
        flow: bytes,
        *,
        accepting: bool = False,
        closing: bool = False,
        size: int = 0,
    ) -> None:
        packet = transparent.make_packet(
            flow,
            accepting=accepting,
            closing=closing,
            sequence=transparent.UPSTREAM_SEQUENCE,
            size=size,
        )
        sidecar.handle_outbound(self.engine, packet, now=self.site.now)


class Site:
    """All processes, the callers and the events to come."""

    def __init__(
        self,
        speeds: abc.Sequence[float],
        *,
        balancers: int,
        load: Load,
        domains: abc.Sequence[str] = ("hall-a",),
        balancer_domains: abc.Sequence[str] = ("hall-a",),
        slots: int = 2,
        report_delay_seconds: float = 0.0,
        seed: int = 1,
    ) -> None:
        """Start all processes and exchange the first reports.

        Upstreams and balancers are assigned to the failure domains in turn.
        """
        self.random = random.Random(seed)
        self.now = 1_000.0
        self.load = load
        self.report_delay_seconds = report_delay_seconds
        self.events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.flow_numbers = itertools.count()
        self.work: dict[bytes, float] = {}
        """Work of the requests that have not reached their upstream, by flow."""
        self.opened_at: dict[bytes, float] = {}
        self.balancer_of: dict[bytes, Balancer] = {}
        self.response_seconds: list[float] = []
        self.returned: dict[bytes, packets.Packet] = {}
        """Packets that sidecars returned, by the bytes that stand for them."""
        self.ticks = 0
        self.upstreams = [
            Upstream(
                self,
                number,
                domain=domains[number % len(domains)],
                speed=speed,
                slots=slots,
            )
            for number, speed in enumerate(speeds)
        ]
        self.by_host = {member.address.host: member for member in self.upstreams}
        self.balancers = [
            Balancer(self, number, balancer_domains[number % len(balancer_domains)])
            for number in range(balancers)
        ]
        self.balancers_by_host = {
            member.address.host: member for member in self.balancers
        }
        self.registered = {
            member.address: upstreams.ListedSidecar(
                data_address=_types.Address(member.address.host, transparent.DATA_PORT)
            )
            for member in self.upstreams
        }
        for member in self.balancers:
            balancer.apply_registrations(member.engine, self.registered, now=self.now)
        self.after(0.0, self._tick)
        self.after(1.0, self._send_request)

    def after(self, seconds: float, action: abc.Callable[[], typing.Any]) -> None:
        """Run an action after a time."""
        heapq.heappush(
            self.events, (self.now + seconds, next(self.event_numbers), action)
        )

    def run_for(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def start_measuring(self) -> None:
        """Forget the times in use and the response times so far."""
        self.response_seconds.clear()
        for member in self.upstreams:
            member.busy_seconds = 0.0
            member.served = 0

    def busiest_over_mean(self) -> float:
        """Return the longest time in use of an upstream over the mean."""
        times = [member.busy_seconds / member.slots for member in self.upstreams]
        return max(times) / (sum(times) / len(times))

    def handle_reset(self, flow: bytes) -> None:
        """Handle a reset at the caller of a flow; no caller retries in this site."""

    def request_report(self, front: Balancer, member: Upstream) -> None:
        """Subscribe a balancer to the reports of a sidecar."""
        request = messages.ReportRequest(
            revision=1, domain=front.domain, sidecars=len(self.upstreams)
        )
        sidecar_reports.handle_report_request(
            member.engine, request, front.address, now=self.now
        )

    def handle_at_caller(self, sender: Upstream, packet: packets.Packet) -> None:
        """Answer an acceptance with the request, and a response with the close."""
        flow = packet.flow
        front = self.balancer_of.get(flow)
        if front is None:
            return
        acknowledgement = transparent.UPSTREAM_SEQUENCE + 1
        if packet.accepting:
            answer = transparent.make_packet(
                flow, sequence=1, size=200, acknowledgement=acknowledgement
            )
        else:
            self.response_seconds.append(self.now - self.opened_at.pop(flow))
            answer = transparent.make_packet(
                flow, sequence=201, closing=True, acknowledgement=acknowledgement
            )
            del self.balancer_of[flow], self.returned[flow]
        self.after(
            HOP_SECONDS,
            lambda: balancer.handle_packet(front.engine, answer, now=self.now),
        )

    def _send_request(self) -> None:
        load = self.load
        self.after(
            self.random.expovariate(load.requests_per_second), self._send_request
        )
        number = next(self.flow_numbers)
        flow = transparent.flow_key(number % FLOW_PORTS)
        work = load.work_seconds * self.random.uniform(1 - load.spread, 1 + load.spread)
        if self.random.random() < load.tail_share:
            work *= load.tail_factor
        self.work[flow] = work
        self.opened_at[flow] = self.now
        front = self.balancer_of[flow] = self.random.choice(self.balancers)
        opening = transparent.make_packet(flow, opening=True)
        opening = opening._replace(data=flow)
        self.returned[flow] = opening
        balancer.handle_packet(front.engine, opening, now=self.now)

    def _tick(self) -> None:
        self.after(TICK_SECONDS, self._tick)
        for number, member in enumerate(self.upstreams):
            if (self.ticks + number) % HEARTBEAT_TICKS == 0:
                member.beat()
                for front in self.balancers:
                    self.request_report(front, member)
                sidecar.evict_expired(member.engine, now=self.now)
            sidecar.tick(member.engine, now=self.now)
        for front in self.balancers:
            balancer.tick(front.engine, now=self.now)
        self.ticks += 1
