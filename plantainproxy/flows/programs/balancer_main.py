"""Process of the balancer for transparent flows: ``plantain-flow-balancer``."""

from collections import abc
import contextlib
import functools
import itertools
import random
import socket

from plantainproxy import _exceptions, _lifecycle, _types
from plantainproxy.eventloop import runtime
from plantainproxy.flows import event_log, messages, packets, policy, settings
from plantainproxy.flows.control import coverage, documents, report_requests
from plantainproxy.flows.engine import (
    balancer,
    balancer_state,
    flow_lookups,
    hedged_openings,
    hedging,
    upstream_speed,
    upstreams,
)
from plantainproxy.flows.programs import datagrams, node
from plantainproxy.flows.stored import flow_hints, follower, registry
from plantainproxy.platform import (
    configuration,
    metadata_store,
    packet_format,
)
from plantainproxy.platform import settings as platform_settings

REPORT_REQUEST_INTERVAL_SECONDS = 1.0
"""Interval between report requests to the sidecars of the failure domain, and between
requests to its relays."""
OVERDUE_REQUEST_INTERVAL_SECONDS = 0.1
"""Interval between report requests to sidecars whose report is overdue."""
URGENT_REQUEST_INTERVAL_SECONDS = 0.5
"""Interval of requests to the relays while callers wait for room; below the time for
which such a request is in effect."""
LIST_CHECK_INTERVAL_SECONDS = 0.2
"""Interval of checks of the list of sidecars while lookups need them. Each serves all
lookups that had started before it; the callers' flows have ended, and wait as long."""
TICK_INTERVAL_SECONDS = 0.04
"""Interval of the engine's periodic work, such as retries of lookups; below half the
initial interval between queries."""
FLOW_EVICTION_INTERVAL_SECONDS = 5.0
REMOVAL_FAILED_CHECKS = 2
"""Failed health checks after which the fabric sends no more packets to a balancer."""
DRAIN_QUIET_SECONDS = 0.2
"""A stopping balancer that has failed these checks exits once it has received no packet
for this long. Packets in flight arrive within a shorter time."""
UNCHECKED_DRAIN_QUIET_SECONDS = 1.2
"""The same for a balancer that has not failed these checks."""
DRAIN_RESERVE_SECONDS = 1.0
"""A stopping balancer exits this long before the end of its grace period."""


class Port:
    """Output of the engine: sends its packets through the data socket."""

    def __init__(
        self, data_socket: socket.socket, node_settings: settings.NodeSettings
    ) -> None:
        """Create an output for an open socket."""
        self.socket = data_socket
        self.local_host = socket.inet_aton(node_settings.host)
        self.caller_port = node_settings.data_address.port
        self.log = event_log.EventLog("balancer", render_flow=packet_format.render_flow)

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Send a packet to a sidecar."""
        data = packet_format.set_forwarding_fields(
            packet.data,
            balancer=self.local_host,
            purpose=purpose,
            waited_seconds=packet.waited_seconds,
        )
        datagrams.send(self.socket, data, to, self.log)

    def reset(self, packet: packets.Packet) -> None:
        """Send a reset for the packet's flow to its caller."""
        data = packet_format.encode_reset(packet.flow, sequence=packet.acknowledgement)
        host = packet_format.caller_host(packet.flow)
        to = _types.Address(host, self.caller_port)
        datagrams.send(self.socket, data, to, self.log)


class BalancerProcess:
    """Engine, sockets, store client and policy exchange of one process."""

    def __init__(
        self,
        node_settings: settings.BalancerSettings,
        data_socket: socket.socket,
        message_socket: socket.socket,
    ) -> None:
        """Create the components for open sockets; no task is started."""
        self.settings = node_settings
        self.data_socket = data_socket
        self.message_socket = message_socket
        self.port = Port(data_socket, node_settings)
        self.log = self.port.log
        self.engine = balancer_state.Engine(
            port=self.port,
            domain=node_settings.domain,
            draw=random.random,
            log=self.log,
            hedge_percent=node_settings.hedge_percent,
        )
        self.documents = documents.Documents(self.engine.policies, log=self.log)
        self.store = metadata_store.MetadataStore(
            node_settings.store_address,
            history_seconds=node_settings.store_history_seconds,
            recovery_seconds=node_settings.store_recovery_seconds,
            count=self.log.count,
            on_restored=functools.partial(node.handle_restored, self.documents),
        )
        self.last_packet_at = float("-inf")
        self.list_known = runtime.Event()
        """Set once a list of sidecars has been received."""
        self.list_era = 0
        """Era of the newest list of sidecars."""
        self.failed_checks = 0
        """Number of health checks that failed since the stop began."""


def _apply_policy(process: BalancerProcess, new_policy: policy.Policy) -> bool:
    return balancer.apply_policy(process.engine, new_policy, now=runtime.current_time())


def _apply_list(process: BalancerProcess, offered: registry.SidecarList) -> bool:
    if not process.documents.sidecars.apply_if_newer(offered):
        return False
    is_restored = offered.era > process.list_era
    process.list_era = offered.era
    _apply_entries(process, is_restored=is_restored)
    request_reports(process)
    process.list_known.set()
    return True


def _apply_entries(process: BalancerProcess, *, is_restored: bool = False) -> None:
    sidecars = process.documents.sidecars
    listed = registry.decode(
        sidecars.entries,
        functools.partial(process.log.write_refused, "sidecar entry"),
    )
    balancer.apply_registrations(
        process.engine, listed, now=runtime.current_time(), is_restored=is_restored
    )
    process.log.write(
        "sidecars listed",
        count=len(listed),
        left_out=len(sidecars.entries) - len(listed),
        held=len(sidecars.held_entries),
        revision=sidecars.order.number,
        era=sidecars.order.era,
    )


def _elapse_holds(process: BalancerProcess, *, now: float) -> None:
    """End what is held after a restoration of the store when its time is over."""
    seconds = documents.elapsed_seconds(process.documents, now=now)
    balancer.elapse_hold(process.engine, seconds)
    if process.documents.sidecars.elapse_hold(seconds):
        _apply_entries(process)


def _handle_era(process: BalancerProcess, era: int) -> None:
    if era <= process.documents.stated_era:
        return
    documents.handle_era(process.documents, era)
    process.store.expect_era(era)


def request_reports(process: BalancerProcess) -> None:
    """Send the periodic requests for reports."""
    view, policies = process.engine.view, process.engine.policies
    now = runtime.current_time()
    _send(process, report_requests.periodic_requests(view, policies, now=now))


def request_overdue_reports(process: BalancerProcess) -> None:
    """Send requests for the reports that are overdue."""
    view, policies = process.engine.view, process.engine.policies
    now = runtime.current_time()
    _send(process, report_requests.overdue_requests(view, policies, now=now))


def _send(
    process: BalancerProcess, requests: abc.Iterable[report_requests.Request]
) -> None:
    for request in requests:
        encoded = messages.encode(request.message)
        for address in request.recipients:
            datagrams.send(process.message_socket, encoded, address, process.log)


def handle_data(process: BalancerProcess, data: bytes, sender: _types.Address) -> None:
    """Handle a datagram of a caller."""
    packet = packet_format.decode(data)
    if packet is None:
        process.log.count("dropped.malformed")
        return
    now = runtime.current_time()
    process.last_packet_at = now
    balancer.handle_packet(process.engine, packet, now=now)


def handle_message(
    process: BalancerProcess, data: bytes, sender: _types.Address
) -> None:
    """Handle a datagram of another process."""
    message = node.decode_message(data, sender, process.log)
    if message is None:
        return
    now = runtime.current_time()
    policy_exchange = process.documents.policy_exchange
    match message:
        case messages.Notice():
            _handle_era(process, message.era)
            documents.handle_notice(process.documents, message, sender, now=now)
            return
        case messages.Report():
            policy_exchange.handle_order(message.order, message.digest, sender)
            _handle_era(process, message.era)
        case messages.ReportBatch():
            for relayed in message.reports:
                report = relayed.report
                if isinstance(report, messages.Report):
                    _handle_era(process, report.era)
                    policy_exchange.handle_order(
                        report.order,
                        report.digest,
                        _types.Address(relayed.host, sender.port),
                    )
    balancer.handle_message(
        process.engine,
        message,
        sender,
        parse=packet_format.decode_returned,
        now=now,
    )


def _handle_health_check(process: BalancerProcess) -> bool:
    """Return the readiness; count the failed checks of a stopping balancer."""
    if process.engine.stopping:
        process.failed_checks += 1
    return balancer.is_ready(process.engine, now=runtime.current_time())


async def _request_reports_forever(process: BalancerProcess) -> None:
    rounds_per_full_request = int(
        REPORT_REQUEST_INTERVAL_SECONDS / OVERDUE_REQUEST_INTERVAL_SECONDS
    )
    for round_number in itertools.count():
        if round_number % rounds_per_full_request == 0:
            request_reports(process)
        else:
            request_overdue_reports(process)
        await runtime.sleep(OVERDUE_REQUEST_INTERVAL_SECONDS)


async def _request_room_forever(process: BalancerProcess) -> None:
    """Ask the relays for reports in short intervals while callers wait for room."""
    while True:
        await runtime.sleep(TICK_INTERVAL_SECONDS)
        if process.engine.waiting.openings:
            view = process.engine.view
            now = runtime.current_time()
            _send(process, report_requests.urgent_requests(view, now=now))
            await runtime.sleep(URGENT_REQUEST_INTERVAL_SECONDS)


async def _read_flow_hints(process: BalancerProcess) -> None:
    """Read once which sidecars hold the flows of before this process."""
    await process.list_known.wait()
    if len(process.engine.view.upstreams) > flow_hints.MAX_SIDECARS:
        return
    hints = await flow_hints.read(
        process.store, message_port=process.settings.message_port, log=process.log
    )
    process.engine.hints = hints.flows
    upstreams.record_stops(process.engine.view, hints.stopped)
    await runtime.sleep(balancer.FLOW_LIFETIME_SECONDS)
    process.engine.hints.clear()


def tick(process: BalancerProcess, *, now: float) -> None:
    """Do the periodic work of the engine and of the documents."""
    balancer.tick(process.engine, now=now)
    _elapse_holds(process, now=now)


async def check_list(process: BalancerProcess) -> None:
    """Ask the store for a newer list of sidecars, and continue the lookups with it.

    The relays may have an older one: a change may be on its way, or a watch of theirs
    may have got lost. Raises ``PlantainError`` if the store does not answer.
    """
    apply_list = node.losing_failures(
        functools.partial(_apply_list, process), process.log, "sidecars", False
    )
    asked_at = runtime.current_time()
    newer = await registry.read_newer(process.store, process.documents.sidecars)
    if newer is not None:
        apply_list(newer)
    flow_lookups.handle_list_checked(
        process.engine, asked_at=asked_at, now=runtime.current_time()
    )


async def _check_list_forever(process: BalancerProcess) -> None:
    """Check the list of sidecars while lookups need that."""
    backoff = follower.Backoff()
    while True:
        await runtime.sleep(TICK_INTERVAL_SECONDS)
        if not flow_lookups.awaits_list_check(process.engine):
            continue
        try:
            await check_list(process)
        except _exceptions.PlantainError as error:
            process.log.write_limited("sidecars not checked", detail=str(error))
            await backoff.wait()
            continue
        backoff.reset()
        await runtime.sleep(LIST_CHECK_INTERVAL_SECONDS)


async def _tick_forever(process: BalancerProcess) -> None:
    while True:
        await runtime.sleep(TICK_INTERVAL_SECONDS)
        tick(process, now=runtime.current_time())


async def _send_hedges_forever(process: BalancerProcess) -> None:
    """Check for overdue openings, unless hedging is off."""
    while process.settings.hedge_percent:
        await runtime.sleep(hedging.PASS_INTERVAL_SECONDS)
        hedged_openings.send_due_hedges(process.engine, now=runtime.current_time())


async def _evict_flows_forever(process: BalancerProcess) -> None:
    while True:
        await runtime.sleep(FLOW_EVICTION_INTERVAL_SECONDS)
        balancer.evict_expired_flows(process.engine, now=runtime.current_time())


async def _wait_until_drained(
    process: BalancerProcess, lifecycle: _lifecycle.Lifecycle
) -> None:
    """Wait for the stop, then until no more packets arrive or the grace period ends."""
    await lifecycle.stopping.wait()
    process.engine.stopping = True
    process.log.write("stopping", flows=len(process.engine.flows))
    stop_began_at = runtime.current_time()
    deadline = stop_began_at + process.settings.grace_seconds - DRAIN_RESERVE_SECONDS
    while runtime.current_time() < deadline:
        await runtime.sleep(DRAIN_QUIET_SECONDS / 2)
        quiet_seconds = runtime.current_time() - max(
            process.last_packet_at, stop_began_at
        )
        is_out_of_rotation = process.failed_checks >= REMOVAL_FAILED_CHECKS
        if quiet_seconds >= (
            DRAIN_QUIET_SECONDS if is_out_of_rotation else UNCHECKED_DRAIN_QUIET_SECONDS
        ):
            break
    process.log.write("stopped")


def _may_be_relayed(view: upstreams.View) -> bool:
    return not view.list_received or any(
        upstream.domain == view.domain for upstream in view.upstreams.values()
    )


def _gauges(process: BalancerProcess) -> dict[str, float]:
    engine = process.engine
    return {
        "ready": float(balancer.is_ready(engine, now=runtime.current_time())),
        "revision": float(engine.policies.revision),
        "store_era": float(engine.policies.era),
        **documents.gauges(process.documents),
        "cached_flows": float(len(engine.flows)),
        "open_lookups": float(len(engine.lookups)),
        "flow_hints": float(len(engine.hints)),
        "waiting_openings": float(len(engine.waiting.openings)),
        "hedge_percent": engine.hedging.percent,
        "watched_openings": float(len(engine.hedging.watched)),
        "hedged_openings": float(len(engine.hedging.hedged)),
        "first_openings": float(engine.first_openings),
        "upstreams": float(len(engine.view.upstreams)),
        "report_age_seconds": upstreams.oldest_report_seconds(
            engine.view, now=runtime.current_time()
        ),
        "covered": float(
            coverage.is_covered(process.documents.coverage, now=runtime.current_time())
        ),
        **upstream_speed.balancer_gauges(engine.view),
    }


@contextlib.contextmanager
def _receiving(process: BalancerProcess) -> abc.Iterator[None]:
    """Handle the datagrams of both sockets until the exit."""
    with (
        datagrams.receiving(
            process.data_socket,
            functools.partial(handle_data, process),
            functools.partial(process.log.write_failed, "packet"),
        ),
        datagrams.receiving(
            process.message_socket,
            functools.partial(handle_message, process),
            functools.partial(process.log.write_failed, "message"),
        ),
    ):
        yield


async def _run(
    lifecycle: _lifecycle.Lifecycle, node_settings: settings.BalancerSettings
) -> None:
    async with datagrams.bound_sockets(
        lifecycle, node_settings.data_address, node_settings.message_address
    ) as sockets:
        if not sockets:
            return
        process = BalancerProcess(node_settings, *sockets)
        process.log.write(
            "started",
            node=node_settings.name,
            domain=node_settings.domain,
            hedge_percent=node_settings.hedge_percent,
        )
        with _receiving(process):
            async with runtime.open_task_group() as group:
                node.start(group, lifecycle, node_context(process))
                for task in (
                    _request_reports_forever,
                    _request_room_forever,
                    _read_flow_hints,
                    _check_list_forever,
                    _tick_forever,
                    _send_hedges_forever,
                    _evict_flows_forever,
                ):
                    group.start_soon(task, process)
                await _wait_until_drained(process, lifecycle)
                group.cancel_scope.cancel()


def node_context(
    process: BalancerProcess,
) -> node.NodeContext[settings.BalancerSettings]:
    """Return what the shared tasks need of this process."""
    return node.NodeContext(
        settings=process.settings,
        read_settings=platform_settings.load_balancer,
        store=process.store,
        policy_prefix=configuration.PREFIX,
        decode_policy=configuration.decode_policy,
        apply_policy=functools.partial(_apply_policy, process),
        apply_list=functools.partial(_apply_list, process),
        documents=process.documents,
        is_relay=lambda: False,
        needs_list=lambda: True,
        may_be_relayed=functools.partial(_may_be_relayed, process.engine.view),
        log=process.log,
        is_ready=functools.partial(_handle_health_check, process),
        gauges=functools.partial(_gauges, process),
    )


def main() -> None:
    """Run the balancer with the platform's settings until a signal ends it."""
    with contextlib.suppress(KeyboardInterrupt):
        node.run(platform_settings.load_balancer, _run)


if __name__ == "__main__":
    main()
