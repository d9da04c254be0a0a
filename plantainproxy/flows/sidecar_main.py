"""The sidecar of transparent flows: ``plantain-flow-sidecar``."""

import contextlib
import functools
import random
import socket

import trio

from plantainproxy import _http_server, _lifecycle, _types
from plantainproxy.flows import (
    datagrams,
    event_log,
    guard,
    messages,
    node,
    packets,
    policy,
    policy_exchange,
    record,
    registry,
    settings,
    sidecar,
    upstream,
    upstream_watch,
)
from plantainproxy.platform import (
    configuration,
    heartbeats,
    metadata_store,
    packet_format,
)
from plantainproxy.platform import settings as platform_settings

TICK_SECONDS = 0.02
"""How often waiting questions and due reports are looked at."""
SWEEP_SECONDS = 2.0


class Port:
    """Sends the engine's packets and messages."""

    def __init__(
        self,
        own: settings.SidecarSettings,
        outbound_socket: socket.socket,
        message_socket: socket.socket,
    ) -> None:
        """Use open sockets."""
        self.upstream = own.upstream_address
        self.caller_port = own.data_address.port
        self.outbound_socket = outbound_socket
        self.message_socket = message_socket
        self.log = event_log.EventLog("sidecar", render_flow=packet_format.render_flow)

    def deliver(self, packet: packets.Packet) -> None:
        """Send a caller's packet to the upstream."""
        datagrams.send(self.outbound_socket, packet.data, self.upstream, self.log)

    def answer(self, packet: packets.Packet) -> None:
        """Send an upstream's packet to its caller."""
        self._send_to_caller(packet.flow, packet.data)

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Tell a caller that its flow is closed."""
        data = packet_format.encode_reset(flow, sequence=acknowledgement)
        self._send_to_caller(flow, data)

    def tell(self, balancer: _types.Address, message: messages.Message) -> None:
        """Send a message to a balancer."""
        datagrams.send(
            self.message_socket, messages.encode(message), balancer, self.log
        )

    def _send_to_caller(self, flow: bytes, data: bytes) -> None:
        to = _types.Address(packet_format.caller_host(flow), self.caller_port)
        datagrams.send(self.outbound_socket, data, to, self.log)


class Sidecar:
    """The running parts of one process."""

    def __init__(
        self,
        own: settings.SidecarSettings,
        data_socket: socket.socket,
        outbound_socket: socket.socket,
        message_socket: socket.socket,
    ) -> None:
        """Join the parts."""
        self.settings = own
        self.data_socket = data_socket
        self.outbound_socket = outbound_socket
        self.message_socket = message_socket
        self.port = Port(own, outbound_socket, message_socket)
        self.log = self.port.log
        identity = sidecar.Identity(
            place=guard.Place(pool=own.pool, domain=own.domain),
            data_port=own.data_address.port,
            message_port=own.message_port,
            boot=random.getrandbits(32),
        )
        self.engine = sidecar.Engine(
            port=self.port,
            identity=identity,
            cold_limit=guard.ColdLimit(
                started_at=trio.current_time(),
                rate_factor=own.cold_rate_factor,
                spare=own.cold_spare_flows,
            ),
            log=self.log,
        )
        self.exchange = policy_exchange.Exchange(self.engine.policies, self.log)
        self.store = metadata_store.MetadataStore(
            own.store_address,
            history_seconds=own.store_history_seconds,
            count=self.log.count,
        )
        self.registration = registry.Registration(
            self.store,
            registry.Entry(
                host=own.host,
                message_port=own.message_port,
                data_port=own.data_address.port,
            ),
            self.log,
        )


def _take_policy(running: Sidecar, offered: policy.Policy) -> bool:
    return sidecar.take_policy(running.engine, offered, now=trio.current_time())


def _handle_data(running: Sidecar, data: bytes, sender: _types.Address) -> None:
    packet = packet_format.decode(data)
    if packet is None:
        running.log.count("dropped.malformed")
        return
    sidecar.handle_inbound(running.engine, packet, now=trio.current_time())


def _handle_outbound(running: Sidecar, data: bytes, sender: _types.Address) -> None:
    packet = packet_format.decode(data, from_upstream=True)
    if packet is None:
        running.log.count("dropped.malformed")
        return
    waited = sidecar.handle_outbound(running.engine, packet, now=trio.current_time())
    if waited is not None:
        running.log.observe("answer_seconds", waited)


def _handle_message(running: Sidecar, data: bytes, sender: _types.Address) -> None:
    message = messages.decode(data)
    if not isinstance(message, messages.ReportRequest):
        running.log.count("dropped.malformed_message")
        return
    running.exchange.handle_revision(message.revision, message.digest, sender)
    sidecar.handle_hello(running.engine, message, sender, now=trio.current_time())


async def _tick_forever(running: Sidecar) -> None:
    while True:
        await trio.sleep(TICK_SECONDS)
        sidecar.tick(running.engine, now=trio.current_time())


async def _sweep_forever(running: Sidecar) -> None:
    while True:
        await trio.sleep(SWEEP_SECONDS)
        sidecar.sweep(running.engine, now=trio.current_time())


async def _serve_heartbeats(running: Sidecar) -> None:
    def take(beat: upstream.Heartbeat) -> bool:
        return sidecar.handle_heartbeat(running.engine, beat, now=trio.current_time())

    def take_leave(instance: str) -> None:
        sidecar.handle_leave(running.engine, instance, now=trio.current_time())

    own = running.settings
    handler = heartbeats.make_handler(
        address=own.upstream_address, on_heartbeat=take, on_leave=take_leave
    )
    await _http_server.serve(own.heartbeat_address, handler)


async def _watch_upstream(running: Sidecar) -> None:
    def take_refusal() -> None:
        sidecar.handle_refusal(running.engine, now=trio.current_time())

    def take_health() -> None:
        sidecar.handle_healthy(running.engine, now=trio.current_time())

    def take_absence() -> None:
        sidecar.handle_absence(running.engine, now=trio.current_time())

    await upstream_watch.watch(
        running.settings.upstream_address,
        upstream_watch.Events(
            refused=take_refusal, healthy=take_health, not_started=take_absence
        ),
        health_path=lambda: sidecar.wanted_health_path(running.engine),
    )


def _gauges(running: Sidecar) -> dict[str, float]:
    engine = running.engine
    return {
        "ready": float(_is_ready(running)),
        "revision": float(engine.policies.revision),
        "flows": float(len(engine.table.flows)),
        "running_requests": float(engine.table.running),
        "balancers": float(len(engine.subscribers)),
    }


def _is_ready(running: Sidecar) -> bool:
    engine = running.engine
    return engine.policies.current is not None and not engine.stopping


async def _run(lifecycle: _lifecycle.Lifecycle, own: settings.SidecarSettings) -> None:
    with (
        datagrams.bound_socket(own.data_address) as data_socket,
        datagrams.bound_socket(own.outbound_address) as outbound_socket,
        datagrams.bound_socket(own.message_address) as message_socket,
    ):
        running = Sidecar(own, data_socket, outbound_socket, message_socket)
        running.log.write("started", node=own.name, domain=own.domain, pool=own.pool)
        async with trio.open_nursery() as nursery:
            _start_tasks(nursery, lifecycle, running)
            await lifecycle.stopping.wait()
            sidecar.stop(running.engine, now=trio.current_time())
            if sidecar.has_left(running.engine):
                await registry.withdraw(running.registration)
            # Otherwise the upstream lives on and is out of reach until the next
            # process has started, so this one leaves at once.
            running.log.write("stopped", flows=len(running.engine.table.flows))
            nursery.cancel_scope.cancel()


def _start_tasks(
    nursery: trio.Nursery, lifecycle: _lifecycle.Lifecycle, running: Sidecar
) -> None:
    node.start(nursery, lifecycle, _parts(running))
    keeper = record.Keeper(
        running.registration,
        writes_per_second=running.settings.store_writes_per_second,
    )
    nursery.start_soon(registry.maintain_registration, running.registration)
    nursery.start_soon(record.keep, keeper, running.engine)
    for repeat in (_tick_forever, _sweep_forever, _serve_heartbeats, _watch_upstream):
        nursery.start_soon(repeat, running)


def _parts(running: Sidecar) -> node.NodeContext[settings.SidecarSettings]:
    return node.NodeContext(
        settings=running.settings,
        read_settings=platform_settings.load_sidecar,
        store=running.store,
        policy_prefix=configuration.PREFIX,
        decode_policy=configuration.decode_policy,
        apply_policy=functools.partial(_take_policy, running),
        exchange=running.exchange,
        log=running.log,
        is_ready=functools.partial(_is_ready, running),
        gauges=functools.partial(_gauges, running),
        receivers=(
            (running.data_socket, functools.partial(_handle_data, running)),
            (running.outbound_socket, functools.partial(_handle_outbound, running)),
            (running.message_socket, functools.partial(_handle_message, running)),
        ),
    )


def main() -> None:
    """Run the sidecar with the settings that the platform names."""
    with contextlib.suppress(KeyboardInterrupt):
        node.run(platform_settings.load_sidecar, _run)


if __name__ == "__main__":
    main()
