"""A fault-injecting proxy for TCP connections and UDP datagrams on loopback.

A link stands between two processes. Its faults are set while traffic flows: cut,
silent, one way only, slow, and for datagrams lost, duplicated or out of order.
"""

from collections import abc
import contextlib
import dataclasses
import random

import trio

from plantainproxy import _types

CHUNK_BYTES = 65_536
REORDER_DELAY_SECONDS = 0.02
"""How long a datagram is held so that later ones overtake it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """What happens to one direction of a link."""

    silent: bool = False
    """Bytes vanish and nothing is told to either end."""
    delay_seconds: float = 0.0
    loss_probability: float = 0.0
    """Datagrams only."""
    duplicate_probability: float = 0.0
    """Datagrams only."""
    reorder_probability: float = 0.0
    """Datagrams only."""


NO_FAULTS = Faults()


class Link:
    """The state of one link, changed by the test that owns it."""

    def __init__(self, *, target: _types.Address, seed: int = 1) -> None:
        """Start without faults."""
        self.target = target
        """Where connections and datagrams go."""
        self.address = _types.Address("127.0.0.1", 0)
        """Where the link listens; set when it is open."""
        self.forward = NO_FAULTS
        """Faults from the connecting side to the target."""
        self.backward = NO_FAULTS
        """Faults from the target to the connecting side."""
        self.is_refusing = False
        """New TCP connections are closed at once."""
        self.random = random.Random(seed)
        self.silent_connections: set[int] = set()
        """Connections that pass nothing any more, while new ones work."""
        self.open_connections: dict[int, trio.CancelScope] = {}
        self.accepted_count = 0

    def disconnect(self) -> None:
        """End every connection and refuse new ones."""
        self.is_refusing = True
        for scope in self.open_connections.values():
            scope.cancel()

    def restore(self) -> None:
        """Let new connections and all bytes pass again."""
        self.is_refusing = False
        self.forward = NO_FAULTS
        self.backward = NO_FAULTS

    def silence_open_connections(self) -> None:
        """Make the present connections silent for good; new ones work."""
        self.silent_connections.update(self.open_connections)


async def _copy_stream(
    link: Link,
    connection_number: int,
    source: trio.SocketStream,
    destination: trio.SocketStream,
) -> None:
    is_forward = source.socket.getsockname()[1] == link.address.port
    while True:
        chunk = await source.receive_some(CHUNK_BYTES)
        faults = link.forward if is_forward else link.backward
        if faults.silent or connection_number in link.silent_connections:
            if not chunk:
                await trio.sleep_forever()
            continue
        if faults.delay_seconds:
            await trio.sleep(faults.delay_seconds)
        if not chunk:
            with contextlib.suppress(trio.BrokenResourceError):
                await destination.send_eof()
            return
        await destination.send_all(chunk)


async def _serve_connection(link: Link, client: trio.SocketStream) -> None:
    link.accepted_count += 1
    connection_number = link.accepted_count
    async with client:
        if link.is_refusing:
            return
        try:
            target = await trio.open_tcp_stream(*link.target)
        except OSError:
            return
        async with target:
            with trio.CancelScope() as scope:
                link.open_connections[connection_number] = scope
                try:
                    await _copy_both_ways(link, connection_number, client, target)
                finally:
                    del link.open_connections[connection_number]


async def _copy_both_ways(
    link: Link,
    connection_number: int,
    client: trio.SocketStream,
    target: trio.SocketStream,
) -> None:
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError, BaseExceptionGroup
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_copy_stream, link, connection_number, client, target)
            nursery.start_soon(_copy_stream, link, connection_number, target, client)


@contextlib.asynccontextmanager
async def open_tcp_link(target: _types.Address) -> abc.AsyncIterator[Link]:
    """Listen on a free port and pass connections on to the target."""
    link = Link(target=target)
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    link.address = _types.Address("127.0.0.1", listener.socket.getsockname()[1])

    async def serve(stream: trio.SocketStream) -> None:
        await _serve_connection(link, stream)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        yield link
        nursery.cancel_scope.cancel()


async def _send_with_faults(
    link: Link,
    faults: Faults,
    socket: trio.socket.SocketType,
    payload: bytes,
    address: tuple[str, int],
) -> None:
    delay_seconds = faults.delay_seconds
    if link.random.random() < faults.reorder_probability:
        delay_seconds += REORDER_DELAY_SECONDS
    if delay_seconds:
        await trio.sleep(delay_seconds)
    copies = 2 if link.random.random() < faults.duplicate_probability else 1
    for _ in range(copies):
        with contextlib.suppress(OSError):
            await socket.sendto(payload, address)


async def _relay_datagrams(link: Link, listen_socket: trio.socket.SocketType) -> None:
    """Pass datagrams on, with one socket for each sender towards the target."""
    target_sockets: dict[tuple[str, int], trio.socket.SocketType] = {}

    async def relay_responses(sender: tuple[str, int]) -> None:
        target_socket = target_sockets[sender]
        while True:
            payload = await target_socket.recv(CHUNK_BYTES)
            faults = link.backward
            if faults.silent or link.random.random() < faults.loss_probability:
                continue
            nursery.start_soon(
                _send_with_faults, link, faults, listen_socket, payload, sender
            )

    async with trio.open_nursery() as nursery:
        while True:
            payload, sender = await listen_socket.recvfrom(CHUNK_BYTES)
            faults = link.forward
            if faults.silent or link.random.random() < faults.loss_probability:
                continue
            if sender not in target_sockets:
                target_socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
                await target_socket.bind(("127.0.0.1", 0))
                target_sockets[sender] = target_socket
                nursery.start_soon(relay_responses, sender)
            nursery.start_soon(
                _send_with_faults,
                link,
                faults,
                target_sockets[sender],
                payload,
                link.target,
            )


@contextlib.asynccontextmanager
async def open_udp_link(
    target: _types.Address, *, seed: int
) -> abc.AsyncIterator[Link]:
    """Receive datagrams on a free port and pass them on to the target."""
    link = Link(target=target, seed=seed)
    listen_socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    with listen_socket:
        await listen_socket.bind(("127.0.0.1", 0))
        link.address = _types.Address("127.0.0.1", listen_socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_relay_datagrams, link, listen_socket)
            yield link
            nursery.cancel_scope.cancel()
