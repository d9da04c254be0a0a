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
REORDER_SECONDS = 0.02
"""How long a datagram is held so that later ones overtake it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """What happens to one direction of a link."""

    silent: bool = False
    """Bytes vanish and nothing is told to either end."""
    delay_seconds: float = 0.0
    lost_share: float = 0.0
    """Datagrams only."""
    doubled_share: float = 0.0
    """Datagrams only."""
    reordered_share: float = 0.0
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
        self.refusing = False
        """New TCP connections are closed at once."""
        self.random = random.Random(seed)
        self.silent_connections: set[int] = set()
        """Connections that pass nothing any more, while new ones work."""
        self.open_connections: dict[int, trio.CancelScope] = {}
        self.accepted = 0

    def cut(self) -> None:
        """End every connection and refuse new ones."""
        self.refusing = True
        for scope in self.open_connections.values():
            scope.cancel()

    def mend(self) -> None:
        """Let new connections and all bytes pass again."""
        self.refusing = False
        self.forward = NO_FAULTS
        self.backward = NO_FAULTS

    def silence_existing(self) -> None:
        """Make the present connections silent for good; new ones work."""
        self.silent_connections.update(self.open_connections)


async def _pump(
    link: Link, number: int, source: trio.SocketStream, sink: trio.SocketStream
) -> None:
    is_forward = source.socket.getsockname()[1] == link.address.port
    while True:
        chunk = await source.receive_some(CHUNK_BYTES)
        faults = link.forward if is_forward else link.backward
        if faults.silent or number in link.silent_connections:
            if not chunk:
                await trio.sleep_forever()
            continue
        if faults.delay_seconds:
            await trio.sleep(faults.delay_seconds)
        if not chunk:
            with contextlib.suppress(trio.BrokenResourceError):
                await sink.send_eof()
            return
        await sink.send_all(chunk)


async def _serve_connection(link: Link, near: trio.SocketStream) -> None:
    link.accepted += 1
    number = link.accepted
    async with near:
        if link.refusing:
            return
        try:
            far = await trio.open_tcp_stream(*link.target)
        except OSError:
            return
        async with far:
            with trio.CancelScope() as scope:
                link.open_connections[number] = scope
                try:
                    await _pump_both(link, number, near, far)
                finally:
                    del link.open_connections[number]


async def _pump_both(
    link: Link, number: int, near: trio.SocketStream, far: trio.SocketStream
) -> None:
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError, BaseExceptionGroup
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_pump, link, number, near, far)
            nursery.start_soon(_pump, link, number, far, near)


@contextlib.asynccontextmanager
async def open_tcp_link(target: _types.Address) -> abc.AsyncIterator[Link]:
    """Listen on a free port and pass connections on to the target."""
    link = Link(target=target)
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    link.address = _types.Address("127.0.0.1", listener.socket.getsockname()[1])

    async def handle(stream: trio.SocketStream) -> None:
        await _serve_connection(link, stream)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        yield link
        nursery.cancel_scope.cancel()


async def _deliver(
    link: Link,
    faults: Faults,
    socket: trio.socket.SocketType,
    payload: bytes,
    address: tuple[str, int],
) -> None:
    delay_seconds = faults.delay_seconds
    if link.random.random() < faults.reordered_share:
        delay_seconds += REORDER_SECONDS
    if delay_seconds:
        await trio.sleep(delay_seconds)
    copies = 2 if link.random.random() < faults.doubled_share else 1
    for _ in range(copies):
        with contextlib.suppress(OSError):
            await socket.sendto(payload, address)


async def _relay_datagrams(link: Link, near: trio.socket.SocketType) -> None:
    """Pass datagrams on, with one socket for each sender towards the target."""
    far_sockets: dict[tuple[str, int], trio.socket.SocketType] = {}

    async def relay_back(sender: tuple[str, int]) -> None:
        far = far_sockets[sender]
        while True:
            payload = await far.recv(CHUNK_BYTES)
            faults = link.backward
            if faults.silent or link.random.random() < faults.lost_share:
                continue
            nursery.start_soon(_deliver, link, faults, near, payload, sender)

    async with trio.open_nursery() as nursery:
        while True:
            payload, sender = await near.recvfrom(CHUNK_BYTES)
            faults = link.forward
            if faults.silent or link.random.random() < faults.lost_share:
                continue
            if sender not in far_sockets:
                far = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
                await far.bind(("127.0.0.1", 0))
                far_sockets[sender] = far
                nursery.start_soon(relay_back, sender)
            nursery.start_soon(
                _deliver, link, faults, far_sockets[sender], payload, link.target
            )


@contextlib.asynccontextmanager
async def open_udp_link(
    target: _types.Address, *, seed: int
) -> abc.AsyncIterator[Link]:
    """Receive datagrams on a free port and pass them on to the target."""
    link = Link(target=target, seed=seed)
    near = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    with near:
        await near.bind(("127.0.0.1", 0))
        link.address = _types.Address("127.0.0.1", near.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_relay_datagrams, link, near)
            yield link
            nursery.cancel_scope.cancel()
