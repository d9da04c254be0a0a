"""Stand-in for the fabric and the balancers inside the process of a sidecar test.

A packet whose destination connection ID was issued by a sidecar is sent to the
tunnel address encoded in the ID. For any other packet, such as the opening packet of a
connection, the test's ``choose_sidecar`` function picks the sidecar.
"""

from collections import abc
import contextlib
import dataclasses
import random
import socket

import trio

from plantainproxy import _types
from plantainproxy.quic import header
from plantainproxy.sidecar import tunnel
from plantainproxy.wire import (
    connection_id,
    keyring,
    proxy,
)
from plantainproxy.wire import (
    tunnel as tunnel_format,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Relay:
    """Sockets, routing and datagram loss of one relay."""

    keys: keyring.Keyring
    fabric_socket: socket.socket
    """Sends to the sidecars and receives their responses."""
    services: dict[_types.Address, socket.socket]
    """Sockets towards the callers, by service address."""
    choose_sidecar: abc.Callable[[bytes], _types.Address]
    """Returns a sidecar's tunnel address for a connection ID that no sidecar issued."""
    loss: float = 0.0
    """Probability that a datagram is dropped, in either direction."""
    random: random.Random
    forwarded_count: int = 0
    """Number of datagrams sent to sidecars."""

    @property
    def fabric_address(self) -> _types.Address:
        """Address to which the sidecars send their responses."""
        return _types.Address(*self.fabric_socket.getsockname())


@contextlib.asynccontextmanager
async def open_relay(
    *,
    keys: keyring.Keyring,
    choose_sidecar: abc.Callable[[bytes], _types.Address],
    hosts: tuple[str, ...] = ("127.1.0.1",),
    seed: int = 1,
) -> abc.AsyncIterator[Relay]:
    """Run a relay with one service address on each of the given loopback hosts."""
    with contextlib.ExitStack() as stack:
        fabric_socket = stack.enter_context(
            tunnel.open_socket(_types.Address("127.0.0.1", 0))
        )
        services: dict[_types.Address, socket.socket] = {}
        for host in hosts:
            service_socket = stack.enter_context(
                tunnel.open_socket(_types.Address(host, 0))
            )
            services[_types.Address(*service_socket.getsockname())] = service_socket
        relay = Relay(
            keys=keys,
            fabric_socket=fabric_socket,
            services=services,
            choose_sidecar=choose_sidecar,
            random=random.Random(seed),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_forward_responses, relay)
            for service, service_socket in services.items():
                nursery.start_soon(
                    _forward_from_callers, relay, service, service_socket
                )
            yield relay
            nursery.cancel_scope.cancel()


async def _forward_responses(relay: Relay) -> None:
    while True:
        for datagram in await tunnel.receive_batch(relay.fabric_socket):
            proxy_header = proxy.decode(datagram)
            if proxy_header is None or relay.random.random() < relay.loss:
                continue
            service_socket = relay.services[_types.Address.unpack(proxy_header.source)]
            caller = _types.Address.unpack(proxy_header.destination)
            tunnel.send(service_socket, datagram[proxy_header.payload_offset :], caller)


async def _forward_from_callers(
    relay: Relay, service: _types.Address, service_socket: socket.socket
) -> None:
    while True:
        await trio.lowlevel.wait_readable(service_socket)
        for _ in range(tunnel.MAX_BATCH_DATAGRAMS):
            try:
                payload, caller = service_socket.recvfrom(tunnel.MAX_DATAGRAM_BYTES)
            except OSError:
                break
            _send_to_sidecar(relay, service, _types.Address(*caller), payload)


def _send_to_sidecar(
    relay: Relay, service: _types.Address, caller: _types.Address, payload: bytes
) -> None:
    packet_header = header.parse(payload)
    if packet_header is None or relay.random.random() < relay.loss:
        return
    destination = connection_id.decode(relay.keys, packet_header.destination_id)
    if destination is None:
        target = relay.choose_sidecar(packet_header.destination_id)
    else:
        target = connection_id.tunnel_address(destination)
    relay.forwarded_count += 1
    prefix = tunnel_format.encode_prefix(relay.keys.current.cookie)
    datagram = proxy.encode(source=caller, destination=service) + payload
    tunnel.send(relay.fabric_socket, prefix + datagram, target)
