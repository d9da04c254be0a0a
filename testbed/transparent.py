"""Test harness for transparent flows.

Builds packets, policies and reports with defaults, and runs the engines of the balancer
and the sidecar on recording ports and a manual clock.
"""

from collections import abc
import types

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, packets, policy
from plantainproxy.flows.engine import (
    admission,
    balancer,
    balancer_state,
    flow_lookups,
    sidecar,
    sidecar_reports,
    sidecar_state,
    upstream,
    upstream_events,
    upstreams,
)
from plantainproxy.store import revisioned

SERVICE = b"\x01\x00\x12\xc6\xbb\x01"
DOWNLOAD_SERVICE = b"\x01\x00\x12\xc6\xbb\x02"
"""Packed address of the default route's service."""
POOL = "feed"
ROUTE_KIND = policy.RouteKind.IDEMPOTENT
"""Kind of the default route."""
DOMAIN = "hall-a"
OTHER_DOMAIN = "hall-b"
MESSAGE_PORT = 7700
DATA_PORT = 7800
UPSTREAM_SEQUENCE = 5_000
"""Initial sequence number of the upstream in accepted flows."""


def flow_key(number: int, service: bytes = SERVICE) -> bytes:
    """Return the key of the flow from the caller's port ``number`` to a service."""
    return service + b"\x0a\x00\x40\x64" + number.to_bytes(2, "little")


def make_packet(
    key: bytes,
    *,
    opening: bool = False,
    accepting: bool = False,
    closing: bool = False,
    aborting: bool = False,
    returned: bool = False,
    sequence: int = 0,
    acknowledgement: int = 0,
    size: int = 0,
    balancer: str = "10.0.0.1",
    purpose: packets.Purpose = packets.Purpose.FORWARD,
) -> packets.Packet:
    """Return a packet of a flow; by default a data packet without payload."""
    return packets.Packet(
        flow=key,
        data=b"",
        opening=opening,
        accepting=accepting,
        closing=closing,
        aborting=aborting,
        returned=returned,
        sequence=sequence,
        acknowledgement=acknowledgement,
        size=size,
        balancer=bytes(int(part) for part in balancer.split(".")),
        purpose=purpose,
    )


def make_route(
    *pools: str,
    service: bytes = SERVICE,
    priority: int = 0,
    objective_seconds: float = 0.3,
) -> policy.Route:
    """Return a route that distributes flows over the pools with equal weights."""
    return policy.Route(
        name="r",
        service=service,
        kind=ROUTE_KIND,
        shares=tuple(policy.Share(pool=pool, weight=1.0) for pool in pools),
        priority=priority,
        objective_seconds=objective_seconds,
    )


def make_policy(
    revision: int,
    *routes: policy.Route,
    domains_out: abc.Iterable[str] = (),
    cold_rate: float | None = None,
    era: int = 0,
    version: int | None = None,
) -> policy.Policy:
    """Return a policy with the given routes; by default one route to ``POOL``.

    The operators' version is the number of the revision by default.
    """
    selected_routes = routes or (make_route(POOL),)
    pools = {pool for selected in selected_routes for pool in selected.pools}
    return policy.Policy(
        revision=revision,
        era=era,
        version=revision if version is None else version,
        routes={selected.service: selected for selected in selected_routes},
        pools={
            pool: policy.PoolLimits(
                cold_seconds=2.0, cold_flows_per_second=cold_rate, health_path="/health"
            )
            for pool in pools
        },
        idle_seconds=15.0,
        domains_out=frozenset(domains_out),
    )


def make_download_policy(revision: int) -> policy.Policy:
    """Return a policy with a route to ``POOL``, and one of downloads."""
    download = make_route(POOL, service=DOWNLOAD_SERVICE)
    return make_policy(
        revision,
        make_route(POOL),
        msgspec.structs.replace(download, kind=policy.RouteKind.DOWNLOAD),
    )


def make_order(revision: int, *, era: int = 0) -> policy.Order:
    """Return the order of the policy that ``make_policy`` returns by default."""
    return policy.Order(revision, revisioned.Revision(era, revision))


def address(number: int) -> _types.Address:
    """Return the message address of the sidecar with this number."""
    return _types.Address(f"10.0.1.{number}", MESSAGE_PORT)


def listed_sidecar(number: int, domain: str = DOMAIN) -> upstreams.ListedSidecar:
    """Return what the store's list states about the sidecar with this number."""
    data_address = _types.Address(address(number).host, DATA_PORT)
    return upstreams.ListedSidecar(data_address=data_address, domain=domain)


def make_report(
    *,
    number: int = 1,
    boot: int = 1,
    pool: str = POOL,
    domain: str = DOMAIN,
    state: messages.UpstreamState = messages.UpstreamState.READY,
    running: int = 0,
    flows: int = 0,
    slots: int = 4,
    room: int = 8,
    cold: bool = False,
    stopping: bool = False,
    suspect: bool = False,
    complete: bool = True,
    revision: int = 1,
) -> messages.Report:
    """Return a sidecar's report; by default of a ready upstream without load."""
    return messages.Report(
        boot=boot,
        number=number,
        revision=revision,
        order=make_order(revision),
        pool=pool,
        domain=domain,
        state=state,
        data_port=DATA_PORT,
        running=running,
        flows=flows,
        slots=slots,
        room=room,
        cold=cold,
        complete=complete,
        stopping=stopping,
        suspect=suspect,
    )


class BalancerPort:
    """Output port of a balancer's engine that records its calls."""

    def __init__(self) -> None:
        """Create a port without recorded calls."""
        self.forwarded: list[tuple[packets.Packet, str, packets.Purpose]] = []
        self.resets: list[packets.Packet] = []

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Record a packet that is forwarded to a sidecar."""
        self.forwarded.append((packet, to.host, purpose))

    def reset(self, packet: packets.Packet) -> None:
        """Record the packet whose flow is reset."""
        self.resets.append(packet)

    def hosts(self, *purposes: packets.Purpose) -> list[str]:
        """Return the hosts that packets of some purposes were sent to, in order."""
        return [host for _, host, purpose in self.forwarded if purpose in purposes]


class BalancerHarness:
    """A balancer's engine with a recording port and a manual clock."""

    def __init__(self) -> None:
        """Create an engine without a policy or sidecars; the clock starts at 100 s."""
        self.port = BalancerPort()
        self.now = 100.0
        self.engine = balancer_state.Engine(
            port=self.port,
            domain=DOMAIN,
            draw=lambda: 0.5,
            log=event_log.EventLog("test", clock=lambda: self.now),
        )
        self.reaches_store = True
        """Whether the store answers, at once, that the list has not changed."""

    def check_list(self) -> None:
        """Check the list of sidecars if a lookup needs it and the store answers."""
        if self.reaches_store and flow_lookups.awaits_list_check(self.engine):
            flow_lookups.handle_list_checked(
                self.engine, asked_at=self.now, now=self.now
            )

    def apply_registrations(self, *numbers: int) -> None:
        """Apply the store's list of registered sidecars, given by their numbers."""
        registered = {address(number): listed_sidecar(number) for number in numbers}
        balancer.apply_registrations(self.engine, registered, now=self.now)

    def apply_policy(self, new_policy: policy.Policy) -> bool:
        """Offer a policy to the engine; return whether it was applied."""
        return balancer.apply_policy(self.engine, new_policy, now=self.now)

    def handle_message(self, number: int, message: messages.Message) -> None:
        """Pass a sidecar's message to the engine."""
        balancer.handle_message(
            self.engine,
            message,
            address(number),
            parse=lambda data: _PACKETS_BY_DATA.get(data),
            now=self.now,
        )
        self.check_list()

    def handle_returned_packet(
        self, number: int, returned: packets.Packet, reason: messages.Refusal
    ) -> None:
        """Pass a packet that a sidecar returned to the engine."""
        data = repr(returned).encode()
        _PACKETS_BY_DATA[data] = returned
        message = messages.ReturnedPacket(reason=reason, revision=1, data=data)
        self.handle_message(number, message)

    def handle_packet(self, packet: packets.Packet) -> None:
        """Pass a caller's packet to the engine."""
        balancer.handle_packet(self.engine, packet, now=self.now)
        self.check_list()

    def placed(self) -> list[packets.Packet]:
        """Return the forwarded packets as the callers sent them, without an age."""
        return [
            packet._replace(waited_seconds=0.0) for packet, _, _ in self.port.forwarded
        ]

    def tick(self, seconds: float = 0.0) -> None:
        """Advance the clock, then run the engine's timers."""
        self.now += seconds
        balancer.tick(self.engine, now=self.now)
        self.check_list()

    def run_for(self, seconds: float) -> None:
        """Advance the clock in ten equal steps, with a tick after each.

        The engine would treat a single large step as a pause of its process.
        """
        for _ in range(10):
            self.tick(seconds / 10)


_PACKETS_BY_DATA: dict[bytes, packets.Packet] = {}
"""Returned packets by their encoding, which the fake parser looks up."""


def ready_balancer(count: int = 3) -> BalancerHarness:
    """Return a balancer with a policy and a report of each of ``count`` sidecars."""
    harness = BalancerHarness()
    harness.apply_registrations(*range(1, count + 1))
    harness.engine.view.complete_at = harness.now
    harness.apply_policy(make_policy(1))
    for number in range(1, count + 1):
        harness.handle_message(number, make_report())
    return harness


class SidecarPort:
    """Output port of a sidecar's engine that records its calls."""

    def __init__(self) -> None:
        """Create a port without recorded calls."""
        self.delivered: list[packets.Packet] = []
        self.sent_to_callers: list[packets.Packet] = []
        self.resets: list[bytes] = []
        self.reset_acknowledgements: dict[bytes, int] = {}
        """Acknowledgement of the last reset of each flow."""
        self.sent_messages: list[tuple[str, messages.Message]] = []

    def deliver(self, packet: packets.Packet) -> None:
        """Record a packet that is delivered to the upstream."""
        self.delivered.append(packet)

    def forward_to_caller(self, packet: packets.Packet) -> None:
        """Record a packet that is sent to a caller."""
        self.sent_to_callers.append(packet)

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Record the flow that is reset."""
        self.resets.append(flow)
        self.reset_acknowledgements[flow] = acknowledgement

    def send_message(self, balancer: _types.Address, message: messages.Message) -> None:
        """Record a message and the balancer it is sent to."""
        self.sent_messages.append((balancer.host, message))

    def refusals(self) -> list[messages.Refusal]:
        """Return the reasons for which packets were returned, in order."""
        return [
            message.reason
            for _, message in self.sent_messages
            if isinstance(message, messages.ReturnedPacket)
        ]

    def last_report(self) -> messages.Report:
        """Return the last report that was sent to any balancer."""
        return next(
            message
            for _, message in reversed(self.sent_messages)
            if isinstance(message, messages.Report)
        )


class SidecarHarness:
    """A sidecar's engine with a recording port and a manual clock."""

    def __init__(self) -> None:
        """Create an engine without a policy or upstream; the clock starts at 100 s."""
        self.port = SidecarPort()
        self.now = 100.0
        self.engine = sidecar_state.Engine(
            port=self.port,
            identity=sidecar_state.Identity(
                location=admission.Location(pool=POOL, domain=DOMAIN),
                data_port=DATA_PORT,
                message_port=MESSAGE_PORT,
                boot=7,
            ),
            slow_start_limiter=admission.SlowStartLimiter(
                started_at=self.now, rate_factor=1.5, burst=4
            ),
            log=event_log.EventLog("test", clock=lambda: self.now),
        )

    def apply_policy(self, new_policy: policy.Policy) -> bool:
        """Offer a policy to the engine; return whether it was applied."""
        return sidecar.apply_policy(self.engine, new_policy, now=self.now)

    def handle_heartbeat(
        self,
        number: int = 1,
        *,
        born: int = 1_000,
        draining: bool = False,
        cold_seconds: float = 0.0,
        instance: str = "i-1",
        pool: str = POOL,
        slots: int = 4,
    ) -> bool:
        """Pass a heartbeat to the engine; return whether it is for this sidecar."""
        heartbeat = upstream.Heartbeat(
            instance=instance,
            pool=pool,
            draining=draining,
            cold_seconds=cold_seconds,
            slots=slots,
            born=born,
            number=number,
        )
        return upstream_events.handle_heartbeat(self.engine, heartbeat, now=self.now)

    def apply_snapshot(
        self,
        flows: abc.Mapping[bytes, int],
        *,
        born: int = 1_000,
        unconfirmed: abc.Mapping[bytes, int] = types.MappingProxyType({}),
        closed: abc.Iterable[bytes] = (),
    ) -> None:
        """Pass the flows that an earlier process saved to the engine."""
        upstream_events.apply_snapshot(
            self.engine,
            born,
            flows,
            unconfirmed=unconfirmed,
            closed=closed,
            now=self.now,
        )

    def handle_report_request(
        self,
        balancer: _types.Address,
        *,
        domain: str = DOMAIN,
        subscribes: bool = True,
        relays: tuple[str, ...] = (),
    ) -> None:
        """Pass a balancer's request for reports to the engine."""
        report_request = messages.ReportRequest(
            revision=1,
            domain=domain,
            sidecars=3,
            subscribes=subscribes,
            relays=relays,
        )
        sidecar_reports.handle_report_request(
            self.engine, report_request, balancer, now=self.now
        )

    def handle_inbound(self, packet: packets.Packet) -> None:
        """Pass a caller's packet, forwarded by a balancer, to the engine."""
        sidecar.handle_inbound(self.engine, packet, now=self.now)

    def handle_outbound(self, packet: packets.Packet) -> float | None:
        """Pass a packet of the upstream to the engine.

        Returns the response time if the packet is the first of a response.
        """
        return sidecar.handle_outbound(self.engine, packet, now=self.now)

    def open(self, key: bytes, *, sequence: int = UPSTREAM_SEQUENCE) -> None:
        """Open a flow: opening packet, acceptance, and the caller's acknowledgement."""
        self.handle_inbound(
            make_packet(key, opening=True, purpose=packets.Purpose.OPEN)
        )
        self.handle_outbound(make_packet(key, accepting=True, sequence=sequence))
        self.handle_inbound(make_packet(key, acknowledgement=sequence + 1))

    def request(self, key: bytes, *, sequence: int = 1, size: int = 200) -> None:
        """Pass a caller's request on an open flow to the engine."""
        self.handle_inbound(
            make_packet(
                key,
                sequence=sequence,
                size=size,
                acknowledgement=UPSTREAM_SEQUENCE + 1,
            )
        )

    def tick(self, seconds: float = 0.0) -> None:
        """Advance the clock, then run the engine's timers."""
        self.now += seconds
        sidecar.tick(self.engine, now=self.now)


def inherited_flows(engine: sidecar_state.Engine) -> dict[bytes, int]:
    """Return the acknowledgements of the flows that only a snapshot shows."""
    return {
        key: flow.caller_acknowledgement
        for key, flow in engine.table.flows.items()
        if flow.is_inherited
    }


def ready_sidecar() -> SidecarHarness:
    """Return a sidecar with a ready upstream, a complete flow table and a balancer."""
    harness = SidecarHarness()
    harness.apply_policy(make_policy(1))
    harness.handle_heartbeat()
    harness.engine.table.complete = True
    harness.handle_report_request(_types.Address("10.0.0.1", MESSAGE_PORT))
    return harness
