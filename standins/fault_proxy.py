"""A fault-injecting proxy for TCP connections and UDP datagrams on loopback.

A link relays traffic between two processes. Its faults can change while traffic flows:
connections closed and refused, bytes discarded in one or both directions, added delay,
and for datagrams also loss, duplication and reordering.
"""

from collections import abc
import contextlib
import dataclasses
import random

import trio

from plantainproxy import _types

CHUNK_BYTES = 65_536
REORDER_DELAY_SECONDS = 0.02
"""Extra delay of a reordered datagram, so that later ones overtake it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Faults of one direction of a link."""

    silent: bool = False
    """All bytes are discarded; neither end sees an error or the end of the stream."""
    delay_seconds: float = 0.0
    """Delay of each chunk of a TCP stream or of each datagram."""
    loss_probability: float = 0.0
    """Probability that a datagram is dropped; ignored for TCP."""
    duplicate_probability: float = 0.0
    """Probability that a datagram is sent twice; ignored for TCP."""
    reorder_probability: float = 0.0
    """Probability of an extra ``REORDER_DELAY_SECONDS``; ignored for TCP."""


NO_FAULTS = Faults()


class Link:
    """Faults and open connections of one link; tests set its attributes directly."""

    def __init__(self, *, target: _types.Address, seed: int = 1) -> None:
        """Create a link without faults; ``seed`` selects its random datagram faults."""
        self.target = target
        """Address to which connections and datagrams are relayed."""
        self.address = _types.Address("127.0.0.1", 0)
        """Address on which the link listens; the port is set once the link is open."""
        self.forward = NO_FAULTS
        """Faults from the connecting side to the target."""
        self.backward = NO_FAULTS
        """Faults from the target to the connecting side."""
        self.is_refusing = False
        """Whether new TCP connections are closed right after they are accepted."""
        self.random = random.Random(seed)
        self.silent_connections: set[int] = set()
        """Numbers of the connections that permanently discard all further bytes."""
        self.open_connections: dict[int, trio.CancelScope] = {}
        """Cancel scope of each open connection, by connection number."""
        self.accepted_count = 0
        """Number of accepted connections; the latest one has this number."""

    def disconnect(self) -> None:
        """Close all TCP connections and refuse new ones until ``restore`` is called."""
        self.is_refusing = True
        for scope in self.open_connections.values():
            scope.cancel()

    def restore(self) -> None:
        """Accept new connections again and clear the faults of both directions.

        Connections silenced by ``silence_open_connections`` stay silent.
        """
        self.is_refusing = False
        self.forward = NO_FAULTS
        self.backward = NO_FAULTS

    def silence_open_connections(self) -> None:
        """Discard all further bytes of the open connections; new ones work."""
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
    """Listen on a free loopback port and relay TCP connections to the target."""
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
    """Relay datagrams through one socket per sender, so that responses reach it."""
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
    """Listen on a free loopback port and relay datagrams to the target and back."""
    link = Link(target=target, seed=seed)
    listen_socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    with listen_socket:
        await listen_socket.bind(("127.0.0.1", 0))
        link.address = _types.Address("127.0.0.1", listen_socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_relay_datagrams, link, listen_socket)
            yield link
            nursery.cancel_scope.cancel()
