"""Daemon of the sidecar of transparent flows: ``plantain-flow-sidecar``."""

from collections import abc
import contextlib
import functools
import socket
import time

from plantainproxy import _decoding, _http_server, _lifecycle, _types
from plantainproxy.eventloop import runtime
from plantainproxy.flows import event_log, messages, packets, policy, settings
from plantainproxy.flows.control import coverage, documents, relay
from plantainproxy.flows.engine import (
    admission,
    sidecar,
    sidecar_reports,
    sidecar_state,
    upstream,
    upstream_events,
    upstream_speed,
)
from plantainproxy.flows.programs import (
    balancer_status,
    datagrams,
    node,
    upstream_monitor,
)
from plantainproxy.flows.stored import flow_snapshot, registry, snapshot_batch
from plantainproxy.platform import (
    configuration,
    heartbeats,
    metadata_store,
    packet_format,
)
from plantainproxy.platform import settings as platform_settings

TICK_INTERVAL_SECONDS = 0.02
"""Interval between checks for overdue queries, grace periods and due reports."""
EVICTION_INTERVAL_SECONDS = 2.0
STOP_REPORTS = 2
"""Number of reports of a planned stop to each recipient; datagrams may be lost."""
STOP_REPORT_INTERVAL_SECONDS = 2 * TICK_INTERVAL_SECONDS
"""Interval of these reports, in which a relay in this process sends its batches."""
NANOSECONDS_PER_MILLISECOND = 1_000_000


class Port:
    """Sends the engine's packets and messages over UDP sockets."""

    def __init__(
        self,
        node_settings: settings.SidecarSettings,
        outbound_socket: socket.socket,
        message_socket: socket.socket,
    ) -> None:
        """Send over sockets that are already bound."""
        self.upstream = node_settings.upstream_address
        self.caller_port = node_settings.data_address.port
        self.outbound_socket = outbound_socket
        self.message_socket = message_socket
        self.log = event_log.EventLog("sidecar", render_flow=packet_format.render_flow)

    def deliver(self, packet: packets.Packet) -> None:
        """Send a caller's packet to the upstream."""
        datagrams.send(self.outbound_socket, packet.data, self.upstream, self.log)

    def forward_to_caller(self, packet: packets.Packet) -> None:
        """Send a packet of the upstream to the caller."""
        self._send_to_caller(packet.flow, packet.data)

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Send a reset to the caller of a flow."""
        data = packet_format.encode_reset(flow, sequence=acknowledgement)
        self._send_to_caller(flow, data)

    def send_message(self, balancer: _types.Address, message: messages.Message) -> None:
        """Send a message to a balancer."""
        datagrams.send(
            self.message_socket, messages.encode(message), balancer, self.log
        )

    def send_to_all(
        self, recipients: abc.Iterable[_types.Address], message: messages.Message
    ) -> None:
        """Send one message to several processes."""
        encoded = messages.encode(message)
        for recipient in recipients:
            datagrams.send(self.message_socket, encoded, recipient, self.log)

    def _send_to_caller(self, flow: bytes, data: bytes) -> None:
        to = _types.Address(packet_format.caller_host(flow), self.caller_port)
        datagrams.send(self.outbound_socket, data, to, self.log)


class SidecarProcess:
    """The sockets, engine, store client and registration of one process."""

    def __init__(
        self,
        node_settings: settings.SidecarSettings,
        data_socket: socket.socket,
        outbound_socket: socket.socket,
        message_socket: socket.socket,
    ) -> None:
        """Build the components from the settings and open sockets."""
        self.settings = node_settings
        self.data_socket = data_socket
        self.outbound_socket = outbound_socket
        self.message_socket = message_socket
        self.port = Port(node_settings, outbound_socket, message_socket)
        self.log = self.port.log
        identity = sidecar_state.Identity(
            location=admission.Location(
                pool=node_settings.pool, domain=node_settings.domain
            ),
            data_port=node_settings.data_address.port,
            message_port=node_settings.message_port,
            boot=time.time_ns() // NANOSECONDS_PER_MILLISECOND,
        )
        self.engine = sidecar_state.Engine(
            port=self.port,
            identity=identity,
            slow_start_limiter=admission.SlowStartLimiter(
                started_at=runtime.current_time(),
                rate_factor=node_settings.cold_rate_factor,
                burst=node_settings.cold_spare_flows,
            ),
            log=self.log,
        )
        self.documents = documents.Documents(self.engine.policies, log=self.log)
        self.relay = relay.Relay(
            port=self.port, domain=node_settings.domain, log=self.log
        )
        self.store = metadata_store.MetadataStore(
            node_settings.store_address,
            history_seconds=node_settings.store_history_seconds,
            recovery_seconds=node_settings.store_recovery_seconds,
            count=self.log.count,
            on_restored=self.handle_restored,
        )
        self.registration = registry.Registration(
            self.store,
            registry.Entry(
                host=node_settings.host,
                message_port=node_settings.message_port,
                data_port=node_settings.data_address.port,
                domain=node_settings.domain,
            ),
            self.log,
        )
        self.snapshot_batch = snapshot_batch.SnapshotBatch(
            self.store, send=self.port.send_message, log=self.log
        )
        self.snapshot_writer = flow_snapshot.FlowSnapshotWriter(
            self.registration,
            writes_per_second=node_settings.store_writes_per_second,
            find_relay=self.find_relay,
            send=self.port.send_message,
            boot_clock=boot_time,
        )
        flow_snapshot.hold_flows(self.engine, now=runtime.current_time())

    def find_relay(self) -> _types.Address | None:
        """Return the relay that reads and writes the store for this process."""
        return coverage.covering_relay(
            self.documents.coverage, now=runtime.current_time()
        )

    def handle_restored(self, previous: int, era: int) -> None:
        """Handle the first response of the store after it was restored from a copy."""
        node.handle_restored(self.documents, previous, era)
        registry.request_check(
            self.registration, era, spread_seconds=registry.ERA_CHECK_SPREAD_SECONDS
        )


def _handle_era(process: SidecarProcess, era: int) -> None:
    """Check the store's era soon if another process has seen a later one.

    A relay checks at once, because other processes rely on it.
    """
    if era <= process.documents.stated_era:
        return
    documents.handle_era(process.documents, era)
    process.store.expect_era(era)
    spread_seconds = 0.0 if _is_relay(process) else registry.ERA_CHECK_SPREAD_SECONDS
    registry.request_check(process.registration, era, spread_seconds=spread_seconds)


def _apply_policy(process: SidecarProcess, offered: policy.Policy) -> bool:
    return sidecar.apply_policy(process.engine, offered, now=runtime.current_time())


def handle_data(process: SidecarProcess, data: bytes, sender: _types.Address) -> None:
    """Handle a datagram of a balancer with a caller's packet."""
    packet = packet_format.decode(data, from_balancer=True)
    if packet is None:
        process.log.count("dropped.malformed")
        return
    sidecar.handle_inbound(process.engine, packet, now=runtime.current_time())


def handle_outbound(
    process: SidecarProcess, data: bytes, sender: _types.Address
) -> None:
    """Handle a packet of the upstream."""
    packet = packet_format.decode(data, from_upstream=True)
    if packet is None:
        process.log.count("dropped.malformed")
        return
    wait_seconds = sidecar.handle_outbound(
        process.engine, packet, now=runtime.current_time()
    )
    if wait_seconds is not None:
        process.log.observe("answer_seconds", wait_seconds)


def handle_message(
    process: SidecarProcess, data: bytes, sender: _types.Address
) -> None:
    """Handle a datagram of another process."""
    message = node.decode_message(data, sender, process.log)
    if message is None:
        return
    now = runtime.current_time()
    match message:
        case messages.ReportRequest():
            process.documents.policy_exchange.handle_order(
                message.order, message.digest, sender
            )
            _handle_era(process, message.era)
            sidecar_reports.handle_report_request(
                process.engine, message, sender, now=now
            )
        case messages.Report():
            relay.handle_report(process.relay, message, sender, now=boot_time())
            _handle_era(process, message.era)
        case messages.ReportBatch():
            relay.handle_batch(process.relay, message, now=boot_time())
        case messages.RelayRequest():
            relay.handle_relay_request(process.relay, message, sender, now=boot_time())
        case messages.GatherRequest():
            relay.handle_gather_request(process.relay, message, sender, now=boot_time())
        case messages.Notice():
            documents.handle_notice(process.documents, message, sender, now=now)
            _handle_era(process, message.era)
        case messages.FlowRecord():
            snapshot_batch.handle_record(
                process.snapshot_batch, message, sender, now=boot_time()
            )
        case messages.FlowRecordResult():
            flow_snapshot.handle_result(process.snapshot_writer, message)
        case _:
            process.log.count("dropped.invalid_message")


def _apply_list(process: SidecarProcess, offered: registry.SidecarList) -> bool:
    return process.documents.sidecars.apply_if_newer(offered)


def boot_time() -> float:
    """Return the relay's clock, which also counts while the machine is suspended.

    A relay that wakes up must not act on an appointment from before its sleep, nor
    state ages that leave the sleep out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _is_relay(process: SidecarProcess) -> bool:
    return relay.is_appointed(process.relay, now=boot_time())


def tick(process: SidecarProcess, *, now: float) -> None:
    """Do the periodic work of the engine, the documents and the relay."""
    sidecar.tick(process.engine, now=now)
    sidecar.observe(process.engine, now=boot_time())
    seconds = documents.elapsed_seconds(process.documents, now=now)
    sidecar.elapse_hold(process.engine, seconds, now=now)
    process.documents.sidecars.elapse_hold(seconds)
    notice = documents.make_notice(process.documents)
    relay.tick(process.relay, notice, now=boot_time())


async def _tick_forever(process: SidecarProcess) -> None:
    while True:
        await runtime.sleep(TICK_INTERVAL_SECONDS)
        tick(process, now=runtime.current_time())


async def _evict_forever(process: SidecarProcess) -> None:
    while True:
        await runtime.sleep(EVICTION_INTERVAL_SECONDS)
        sidecar.evict_expired(process.engine, now=runtime.current_time())


def heartbeat_handler(process: SidecarProcess) -> _http_server.Handler:
    """Return the HTTP handler for the heartbeats of the upstream."""

    def handle_heartbeat(heartbeat: upstream.Heartbeat) -> bool:
        return upstream_events.handle_heartbeat(
            process.engine, heartbeat, now=runtime.current_time()
        )

    def handle_deregistration(instance: str, born: int | None) -> None:
        upstream_events.handle_deregistration(
            process.engine, instance, born=born, now=runtime.current_time()
        )

    def handle_malformed(instance: str, error: Exception) -> None:
        process.log.count(f"refused.heartbeat.{_decoding.reason(error)}")
        process.log.write_limited(
            "heartbeat refused",
            instance=instance,
            reason="malformed",
            detail=str(error)[: event_log.MAX_DETAIL_CHARACTERS],
        )

    return heartbeats.make_handler(
        address=process.settings.upstream_address,
        on_heartbeat=handle_heartbeat,
        on_deregister=handle_deregistration,
        on_malformed=handle_malformed,
    )


async def _serve_heartbeats(process: SidecarProcess) -> None:
    await _http_server.serve(
        process.settings.heartbeat_address,
        heartbeat_handler(process),
        functools.partial(process.log.write_failed, "heartbeat"),
    )


async def _monitor_upstream(process: SidecarProcess) -> None:
    def handle_connected() -> None:
        upstream_events.handle_connected(process.engine, now=runtime.current_time())

    def handle_refused() -> None:
        upstream_events.handle_connection_refused(
            process.engine, now=runtime.current_time()
        )

    def handle_health_check_passed() -> None:
        upstream_events.handle_health_check_passed(
            process.engine, now=runtime.current_time()
        )

    def handle_not_listening() -> None:
        upstream_events.handle_not_listening(process.engine, now=runtime.current_time())

    def handle_failed(error: OSError) -> None:
        process.log.count(f"upstream_connect_failed.{type(error).__name__}")
        process.log.write_limited("upstream not connected", detail=str(error))

    await upstream_monitor.monitor(
        process.settings.upstream_address,
        upstream_monitor.Callbacks(
            on_connected=handle_connected,
            on_refused=handle_refused,
            on_healthy=handle_health_check_passed,
            on_not_listening=handle_not_listening,
            on_failed=handle_failed,
        ),
        health_path=lambda: upstream_events.health_check_path(process.engine),
    )


def _gauges(process: SidecarProcess) -> dict[str, float]:
    engine = process.engine
    return {
        "ready": float(_is_ready(process)),
        "revision": float(engine.policies.revision),
        "store_era": float(engine.policies.era),
        **documents.gauges(process.documents),
        "flows": float(len(engine.table.flows)),
        "flow_table_complete": float(engine.table.complete),
        "admits_flows": float(
            sidecar_state.may_admit_flows(engine, now=runtime.current_time())
        ),
        "running_requests": float(engine.table.running_requests),
        "held_requests": float(len(engine.request_queue.held)),
        "held_bytes": float(engine.request_queue.held_bytes),
        "balancers": float(sidecar_reports.balancer_count(engine)),
        **balancer_status.subscriber_gauges(
            address.host
            for address, subscriber in engine.subscribers.items()
            if not subscriber.is_relay
        ),
        "relay": float(_is_relay(process)),
        "relay_members": float(len(process.relay.members)),
        "relay_peers": float(len(process.relay.peers)),
        "relay_oldest_report_seconds": relay.oldest_report_seconds(
            process.relay, now=boot_time()
        ),
        **upstream_speed.sidecar_gauges(
            engine.speed,
            engine.policies.current,
            pool=engine.identity.location.pool,
            now=runtime.current_time(),
        ),
    }


def _is_ready(process: SidecarProcess) -> bool:
    engine = process.engine
    return engine.policies.current is not None and not engine.stopping


@contextlib.contextmanager
def _receiving(process: SidecarProcess) -> abc.Iterator[None]:
    """Handle the datagrams of all sockets until the exit."""
    with (
        datagrams.receiving(
            process.data_socket,
            functools.partial(handle_data, process),
            functools.partial(process.log.write_failed, "packet"),
        ),
        datagrams.receiving(
            process.outbound_socket,
            functools.partial(handle_outbound, process),
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
    lifecycle: _lifecycle.Lifecycle, node_settings: settings.SidecarSettings
) -> None:
    async with datagrams.bound_sockets(
        lifecycle,
        node_settings.data_address,
        node_settings.outbound_address,
        node_settings.message_address,
    ) as sockets:
        if not sockets:
            return
        process = SidecarProcess(node_settings, *sockets)
        process.log.write(
            "started",
            node=node_settings.name,
            domain=node_settings.domain,
            pool=node_settings.pool,
        )
        with _receiving(process):
            async with runtime.open_task_group() as group:
                _start_tasks(group, lifecycle, process)
                await lifecycle.stopping.wait()
                await _announce_stop(process)
                if await _ends_with_upstream(process):
                    await registry.withdraw(process.registration)
                else:
                    await flow_snapshot.hand_over(
                        process.snapshot_writer, process.engine
                    )
                # Any other upstream keeps running and is unreachable until the next
                # sidecar process has started, so this one exits at once.
                process.log.write("stopped", flows=len(process.engine.table.flows))
                group.cancel_scope.cancel()


async def _announce_stop(process: SidecarProcess) -> None:
    """Report the stop, and serve until a relay in this process has passed it on."""
    for _ in range(STOP_REPORTS):
        sidecar.stop(process.engine, now=runtime.current_time())
        await runtime.sleep(STOP_REPORT_INTERVAL_SECONDS)


async def _ends_with_upstream(process: SidecarProcess) -> bool:
    """Return whether the upstream has ended, so that no sidecar follows this one.

    One that still listens keeps its flows, and another process of the sidecar may
    follow. One that does not, and may be leaving, is served until it has ended.
    """
    engine = process.engine
    if engine.upstream.state in (
        messages.UpstreamState.UNKNOWN,
        messages.UpstreamState.DRAINING,
    ) and await upstream_monitor.refuses_connections(process.settings.upstream_address):
        upstream_events.handle_connection_refused(engine, now=runtime.current_time())
        while engine.exit_deadline is not None:
            await runtime.sleep(TICK_INTERVAL_SECONDS)
    return engine.upstream.state is messages.UpstreamState.GONE


def _start_tasks(
    group: runtime.TaskGroup, lifecycle: _lifecycle.Lifecycle, process: SidecarProcess
) -> None:
    node.start(group, lifecycle, node_context(process))
    group.start_soon(registry.maintain_registration, process.registration)
    group.start_soon(flow_snapshot.run, process.snapshot_writer, process.engine)
    group.start_soon(
        flow_snapshot.admit_flows_once_registered, process.registration, process.engine
    )
    group.start_soon(snapshot_batch.run, process.snapshot_batch, boot_time)
    for task in (_tick_forever, _evict_forever, _serve_heartbeats, _monitor_upstream):
        group.start_soon(task, process)


def node_context(
    process: SidecarProcess,
) -> node.NodeContext[settings.SidecarSettings]:
    """Return what the shared tasks need of this process."""
    return node.NodeContext(
        settings=process.settings,
        read_settings=platform_settings.load_sidecar,
        store=process.store,
        policy_prefix=configuration.PREFIX,
        decode_policy=configuration.decode_policy,
        apply_policy=functools.partial(_apply_policy, process),
        apply_list=functools.partial(_apply_list, process),
        documents=process.documents,
        is_relay=functools.partial(_is_relay, process),
        needs_list=functools.partial(_is_relay, process),
        may_be_relayed=lambda: True,
        log=process.log,
        is_ready=functools.partial(_is_ready, process),
        gauges=functools.partial(_gauges, process),
    )


def main() -> None:
    """Run the sidecar with the platform's settings until a signal ends it."""
    with contextlib.suppress(KeyboardInterrupt):
        node.run(platform_settings.load_sidecar, _run)


if __name__ == "__main__":
    main()
