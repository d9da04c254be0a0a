"""A stand-in for fabric and balancers in one task, for tests of a few sidecars.

Opening packets go to the sidecar that the caller picks by ``choose``; packets with one
of our connection IDs go to the sidecar that the ID names.
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
    """The sockets of a relay and what it does to datagrams."""

    keys: keyring.Keyring
    fabric: socket.socket
    """Takes the sidecars' answers."""
    services: dict[_types.Address, socket.socket]
    choose: abc.Callable[[bytes], _types.Address]
    """Picks a sidecar's tunnel address for the connection ID of an opening packet."""
    loss: float = 0.0
    random: random.Random
    forwarded: int = 0

    @property
    def fabric_address(self) -> _types.Address:
        """Where sidecars send their answers."""
        return _types.Address(*self.fabric.getsockname())


@contextlib.asynccontextmanager
async def open_relay(
    *,
    keys: keyring.Keyring,
    choose: abc.Callable[[bytes], _types.Address],
    hosts: tuple[str, ...] = ("127.1.0.1",),
    seed: int = 1,
) -> abc.AsyncIterator[Relay]:
    """Run a relay with one service address on each host."""
    with contextlib.ExitStack() as stack:
        fabric = stack.enter_context(tunnel.open_socket(_types.Address("127.0.0.1", 0)))
        services: dict[_types.Address, socket.socket] = {}
        for host in hosts:
            bound = stack.enter_context(tunnel.open_socket(_types.Address(host, 0)))
            services[_types.Address(*bound.getsockname())] = bound
        relay = Relay(
            keys=keys,
            fabric=fabric,
            services=services,
            choose=choose,
            random=random.Random(seed),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_answers, relay)
            for service, bound in services.items():
                nursery.start_soon(_requests, relay, service, bound)
            yield relay
            nursery.cancel_scope.cancel()


async def _answers(relay: Relay) -> None:
    while True:
        for datagram in await tunnel.receive_batch(relay.fabric):
            found = proxy.decode(datagram)
            if found is None or relay.random.random() < relay.loss:
                continue
            bound = relay.services[_types.Address.unpack(found.source)]
            caller = _types.Address.unpack(found.destination)
            tunnel.send(bound, datagram[found.payload_offset :], caller)


async def _requests(
    relay: Relay, service: _types.Address, bound: socket.socket
) -> None:
    while True:
        await trio.lowlevel.wait_readable(bound)
        for _ in range(tunnel.MAX_BATCH_DATAGRAMS):
            try:
                payload, caller = bound.recvfrom(tunnel.MAX_DATAGRAM_BYTES)
            except OSError:
                break
            _to_sidecar(relay, service, _types.Address(*caller), payload)


def _to_sidecar(
    relay: Relay, service: _types.Address, caller: _types.Address, payload: bytes
) -> None:
    found = header.parse(payload)
    if found is None or relay.random.random() < relay.loss:
        return
    destination = connection_id.decode(relay.keys, found.destination_id)
    if destination is None:
        target = relay.choose(found.destination_id)
    else:
        target = connection_id.tunnel_address(destination)
    relay.forwarded += 1
    prefix = tunnel_format.encode_prefix(relay.keys.current.cookie)
    datagram = proxy.encode(source=caller, destination=service) + payload
    tunnel.send(relay.fabric, prefix + datagram, target)
