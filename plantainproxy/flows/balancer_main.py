"""The balancer of transparent flows: ``plantain-flow-balancer``."""

from collections import abc
import contextlib
import functools
import itertools
import random
import socket

import trio

from plantainproxy import _lifecycle, _types
from plantainproxy.flows import (
    balancer,
    datagrams,
    event_log,
    follower,
    messages,
    node,
    packets,
    policy,
    policy_exchange,
    registry,
    settings,
    upstreams,
)
from plantainproxy.platform import (
    configuration,
    metadata_store,
    packet_format,
)
from plantainproxy.platform import settings as platform_settings

HELLO_SECONDS = 1.0
"""How often sidecars are asked for reports."""
FIRST_HELLO_SECONDS = 0.1
"""How often a sidecar that sends no reports is asked."""
TICK_SECONDS = 0.04
"""How often open lookups are looked at; half the wait for an answer."""
SWEEP_SECONDS = 5.0
LEAVE_CHECKS = 2
"""Failed health checks after which the fabric sends nothing more to a balancer."""
LEAVE_QUIET_SECONDS = 0.2
"""Time without a packet after these checks; packets on their way take less."""
UNCHECKED_QUIET_SECONDS = 1.2
"""The same for a balancer that nobody checks."""
LEAVE_RESERVE_SECONDS = 1.0
"""A stopping balancer leaves this long before the end of its grace."""


class Port:
    """Sends the engine's packets from the data socket."""

    def __init__(
        self, data_socket: socket.socket, node_settings: settings.NodeSettings
    ) -> None:
        """Use an open socket."""
        self.socket = data_socket
        self.own_host = socket.inet_aton(node_settings.host)
        self.caller_port = node_settings.data_address.port
        self.log = event_log.EventLog("balancer", render_flow=packet_format.render_flow)

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Send a packet to a sidecar."""
        data = packet_format.stamp(packet.data, balancer=self.own_host, purpose=purpose)
        datagrams.send(self.socket, data, to, self.log)

    def reset(self, packet: packets.Packet) -> None:
        """Tell the packet's caller that the flow is closed."""
        data = packet_format.encode_reset(packet.flow, sequence=packet.acknowledgement)
        host = packet_format.caller_host(packet.flow)
        to = _types.Address(host, self.caller_port)
        datagrams.send(self.socket, data, to, self.log)


class Balancer:
    """The running parts of one process."""

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        data_socket: socket.socket,
        message_socket: socket.socket,
    ) -> None:
        """Join the parts."""
        self.settings = node_settings
        self.data_socket = data_socket
        self.message_socket = message_socket
        self.port = Port(data_socket, node_settings)
        self.log = self.port.log
        self.engine = balancer.Engine(
            port=self.port,
            domain=node_settings.domain,
            draw=random.random,
            log=self.log,
        )
        self.exchange = policy_exchange.Exchange(self.engine.policies, self.log)
        self.store = metadata_store.MetadataStore(
            node_settings.store_address,
            history_seconds=node_settings.store_history_seconds,
            count=self.log.count,
        )
        self.last_packet_at = float("-inf")
        self.failed_checks = 0
        """Health checks since the stop began."""


def _take_policy(running: Balancer, offered: policy.Policy) -> bool:
    return balancer.take_policy(running.engine, offered, now=trio.current_time())


def _take_registered(
    running: Balancer, items: abc.Mapping[str, bytes], revision: int
) -> None:
    balancer.take_registered(
        running.engine, registry.decode(items), now=trio.current_time()
    )
    running.log.write("sidecars listed", count=len(items), revision=revision)
    _greet(running)


def _greet(running: Balancer, *, only_silent: bool = False) -> None:
    """Ask sidecars for reports: all, or those that send none."""
    now = trio.current_time()
    known = running.engine.view.upstreams
    greeted = (
        upstreams.without_reports(running.engine.view, now=now)
        if only_silent
        else list(known)
    )
    if not greeted:
        return
    policies = running.engine.policies
    hello = messages.encode(
        messages.ReportRequest(
            revision=policies.revision,
            domain=running.settings.domain,
            sidecars=len(known),
            digest=policies.digest,
        )
    )
    for address in greeted:
        datagrams.send(running.message_socket, hello, address, running.log)


def _handle_data(running: Balancer, data: bytes, sender: _types.Address) -> None:
    packet = packet_format.decode(data)
    if packet is None:
        running.log.count("dropped.malformed")
        return
    now = trio.current_time()
    running.last_packet_at = now
    balancer.handle_packet(running.engine, packet, now=now)


def _handle_message(running: Balancer, data: bytes, sender: _types.Address) -> None:
    message = messages.decode(data)
    if message is None:
        running.log.count("dropped.malformed_message")
        return
    if isinstance(message, messages.Report):
        running.exchange.handle_revision(message.revision, message.digest, sender)
    balancer.handle_message(
        running.engine,
        message,
        sender,
        parse=packet_format.decode_returned,
        now=trio.current_time(),
    )


def _answer_check(running: Balancer) -> bool:
    """Return whether the fabric may send packets here."""
    if running.engine.stopping:
        running.failed_checks += 1
    return balancer.is_ready(running.engine, now=trio.current_time())


async def _greet_forever(running: Balancer) -> None:
    rounds = int(HELLO_SECONDS / FIRST_HELLO_SECONDS)
    for number in itertools.count():
        _greet(running, only_silent=number % rounds != 0)
        await trio.sleep(FIRST_HELLO_SECONDS)


async def _tick_forever(running: Balancer) -> None:
    while True:
        await trio.sleep(TICK_SECONDS)
        balancer.tick(running.engine, now=trio.current_time())


async def _sweep_forever(running: Balancer) -> None:
    while True:
        await trio.sleep(SWEEP_SECONDS)
        balancer.sweep_flows(running.engine, now=trio.current_time())


async def _leave(running: Balancer, lifecycle: _lifecycle.Lifecycle) -> None:
    """Wait until the fabric sends nothing more here, or the grace ends."""
    await lifecycle.stopping.wait()
    running.engine.stopping = True
    running.log.write("stopping", flows=len(running.engine.flows))
    began = trio.current_time()
    latest = began + running.settings.grace_seconds - LEAVE_RESERVE_SECONDS
    while trio.current_time() < latest:
        await trio.sleep(LEAVE_QUIET_SECONDS / 2)
        quiet = trio.current_time() - max(running.last_packet_at, began)
        is_out = running.failed_checks >= LEAVE_CHECKS
        if quiet >= (LEAVE_QUIET_SECONDS if is_out else UNCHECKED_QUIET_SECONDS):
            break
    running.log.write("stopped")


def _gauges(running: Balancer) -> dict[str, float]:
    engine = running.engine
    return {
        "ready": float(balancer.is_ready(engine, now=trio.current_time())),
        "revision": float(engine.policies.revision),
        "cached_flows": float(len(engine.flows)),
        "open_lookups": float(len(engine.lookups)),
        "waiting_openings": float(len(engine.waiting.openings)),
        "upstreams": float(len(engine.view.upstreams)),
    }


async def _run(lifecycle: _lifecycle.Lifecycle, own: settings.NodeSettings) -> None:
    with (
        datagrams.bound_socket(own.data_address) as data_socket,
        datagrams.bound_socket(own.message_address) as message_socket,
    ):
        running = Balancer(own, data_socket, message_socket)
        running.log.write("started", node=own.name, domain=own.domain)
        async with trio.open_nursery() as nursery:
            node.start(nursery, lifecycle, _parts(running))
            nursery.start_soon(
                functools.partial(
                    follower.follow,
                    running.store,
                    registry.PREFIX,
                    apply_entries=functools.partial(_take_registered, running),
                    log=running.log,
                    coalesce_seconds=registry.COALESCE_SECONDS,
                )
            )
            for repeat in (_greet_forever, _tick_forever, _sweep_forever):
                nursery.start_soon(repeat, running)
            await _leave(running, lifecycle)
            nursery.cancel_scope.cancel()


def _parts(running: Balancer) -> node.NodeContext[settings.NodeSettings]:
    return node.NodeContext(
        settings=running.settings,
        read_settings=platform_settings.load_balancer,
        store=running.store,
        policy_prefix=configuration.PREFIX,
        decode_policy=configuration.decode_policy,
        apply_policy=functools.partial(_take_policy, running),
        exchange=running.exchange,
        log=running.log,
        is_ready=functools.partial(_answer_check, running),
        gauges=functools.partial(_gauges, running),
        receivers=(
            (running.data_socket, functools.partial(_handle_data, running)),
            (running.message_socket, functools.partial(_handle_message, running)),
        ),
    )


def main() -> None:
    """Run the balancer with the settings that the platform names."""
    with contextlib.suppress(KeyboardInterrupt):
        node.run(platform_settings.load_balancer, _run)


if __name__ == "__main__":
    main()
