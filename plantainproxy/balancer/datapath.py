"""The task that owns the balancer's UDP socket.

It carries datagrams between the socket and the decisions of ``core.routing``, holds
no state of flows, and learns of changes over a channel.
"""

from collections import abc
import contextlib
import dataclasses
import os
import socket
import typing

import trio

from plantainproxy import _types
from plantainproxy.balancer import resets, shortcut
from plantainproxy.config import model
from plantainproxy.core import routing
from plantainproxy.quic import classify
from plantainproxy.wire import keyring, proxy, tunnel

MAX_DATAGRAM_BYTES = 4096
"""Largest datagram that the fabric may hand over."""
BATCH_DATAGRAMS = 128
"""How many datagrams are taken before other tasks get a turn."""
REST_RATIO = 2.0
"""Time between two changes, relative to the time that the former took."""
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeysChanged:
    """A key set was accepted; one of a lower revision is ignored."""

    key_set: model.KeySet


Event = routing.Event | KeysChanged


class Counters:
    """What the task did since its start; read by others."""

    def __init__(self) -> None:
        """Start from zero."""
        self.established = 0
        """Forwarded packets that named their destination."""
        self.opening = 0
        """Forwarded packets that may start a flow."""
        self.resets = 0
        """Stateless resets sent."""
        self.drops = dict.fromkeys(routing.DropReason, 0)
        """Dropped datagrams by reason."""


class State:
    """What the task decides on, and what it counts."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.routing = routing.State()
        self.ring: keyring.Keyring | None = None
        self.shortcut: shortcut.Find = shortcut.find_nothing
        """Finds the sidecar of a plain established packet."""
        self.prefix = bytes(tunnel.PREFIX_BYTES)
        """The tunnel prefix of a message without earlier owners."""
        self.counters = Counters()
        self.reset_limit = resets.RateLimit()


Receive = abc.Callable[[memoryview], tuple[int, tuple[str, int]]]
Send = abc.Callable[[bytes | memoryview, tuple[str, int]], object]


def open_socket(address: _types.Address) -> socket.socket:
    """Bind the non-blocking socket on which the fabric's datagrams arrive."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        opened.setblocking(False)
        opened.bind(address)
    except OSError:
        opened.close()
        raise
    return opened


async def run(
    state: State,
    datagrams: socket.socket,
    events: trio.MemoryReceiveChannel[Event],
) -> None:
    """Forward datagrams and follow events until the event channel closes."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_forward, state, datagrams)
        await _follow(state, events)
        nursery.cancel_scope.cancel()


async def apply(state: State, events: abc.Sequence[Event]) -> None:
    """Take events in; packets keep being decided on the old state meanwhile."""
    for event in events:
        if isinstance(event, KeysChanged):
            _take_keys(state, event.key_set)
    routing_events = [event for event in events if not isinstance(event, KeysChanged)]
    now = trio.current_time()

    def fold() -> tuple[routing.State, shortcut.Find]:
        folded = state.routing
        if routing_events:
            folded = routing.apply(folded, routing_events, now=now)
        return folded, shortcut.build(folded, state.ring)

    state.routing, state.shortcut = await trio.to_thread.run_sync(fold)


def make_buffer() -> bytearray:
    """Return a buffer for :func:`drain`: a prefix, then the largest datagram.

    One byte more shows that a datagram was too large.
    """
    return bytearray(tunnel.PREFIX_BYTES + MAX_DATAGRAM_BYTES + 1)


def drain(
    state: State, receive: Receive, send: Send, buffer: bytearray, *, now: float
) -> None:
    """Carry the datagrams that wait in the socket, up to a limit.

    A datagram is received behind the tunnel prefix, so that a plain one is sent on
    without another copy.
    """
    find, counters = state.shortcut, state.counters
    buffer[: tunnel.PREFIX_BYTES] = state.prefix
    message = memoryview(buffer)
    place = message[tunnel.PREFIX_BYTES :]
    for _ in range(BATCH_DATAGRAMS):
        try:
            size, source = receive(place)
        except OSError:
            return
        target = None
        end = tunnel.PREFIX_BYTES + size
        if shortcut.SMALLEST_BYTES <= size <= MAX_DATAGRAM_BYTES:
            target = find(buffer)
        if target is None:
            _decide(state, send, message[:end], source, now)
            continue
        try:
            send(message[:end], target)
        except OSError:
            counters.drops[routing.DropReason.SEND_FAILED] += 1
            continue
        counters.established += 1


def _decide(
    state: State, send: Send, message: memoryview, source: tuple[str, int], now: float
) -> None:
    """Carry a datagram the long way; the message begins with the plain prefix."""
    counters, ring = state.counters, state.ring
    datagram = bytes(message[tunnel.PREFIX_BYTES :])
    if ring is None or len(datagram) > MAX_DATAGRAM_BYTES:
        counters.drops[_refusal(ring)] += 1
        return
    header = proxy.decode(datagram)
    if header is None:
        counters.drops[routing.DropReason.BAD_HEADER] += 1
        return
    packet = classify.classify_packet(
        ring, header.destination, datagram, header.payload_offset
    )
    if packet is None:
        counters.drops[routing.DropReason.INVALID_PACKET] += 1
        return
    action = routing.route(state.routing, packet, now)
    if not isinstance(action, routing.Forward):
        _end(state, send, ring, action, Arrival(datagram, header, source), now)
        return
    outgoing: bytes | memoryview = message
    if action.earlier_owners:
        outgoing = _prefix(ring, action.earlier_owners) + datagram
    try:
        send(outgoing, action.tunnel)
    except OSError:
        counters.drops[routing.DropReason.SEND_FAILED] += 1
        return
    if packet.opening:
        counters.opening += 1
    else:
        counters.established += 1


class Arrival(typing.NamedTuple):
    """One datagram as it came."""

    datagram: bytes
    header: proxy.Header
    source: tuple[str, int]
    """The fabric's address."""


def _refusal(ring: keyring.Keyring | None) -> routing.DropReason:
    if ring is None:
        return routing.DropReason.NOT_READY
    return routing.DropReason.TOO_LARGE


def _prefix(ring: keyring.Keyring, earlier_owners: tuple[_types.Address, ...]) -> bytes:
    return tunnel.encode_prefix(
        ring.current.cookie,
        earlier_owners=tuple(owner.pack() for owner in earlier_owners),
    )


def _end(
    state: State,
    send: Send,
    ring: keyring.Keyring,
    action: routing.Action,
    arrival: Arrival,
    now: float,
) -> None:
    """Carry out an action that does not forward the packet."""
    if isinstance(action, routing.Drop):
        state.counters.drops[action.reason] += 1
    elif isinstance(action, routing.Reset):
        _reset(state, send, ring, arrival, now)


def _reset(
    state: State, send: Send, ring: keyring.Keyring, arrival: Arrival, now: float
) -> None:
    """Tell the caller, by way of the fabric, that its connection is dead."""
    drops = state.counters.drops
    datagram, header, source = arrival
    payload = resets.payload(ring, datagram[header.payload_offset :], os.urandom)
    if payload is None:
        drops[routing.DropReason.RESET_IMPOSSIBLE] += 1
        return
    if not resets.take(state.reset_limit, now=now):
        drops[routing.DropReason.RESET_LIMIT] += 1
        return
    answer = proxy.encode_packed(source=header.destination, destination=header.source)
    try:
        send(answer + payload, source)
    except OSError:
        drops[routing.DropReason.SEND_FAILED] += 1
        return
    state.counters.resets += 1


async def _forward(state: State, datagrams: socket.socket) -> None:
    receive, send = datagrams.recvfrom_into, datagrams.sendto
    buffer = make_buffer()
    while True:
        await trio.lowlevel.wait_readable(datagrams)
        drain(state, receive, send, buffer, now=trio.current_time())


async def _follow(state: State, events: trio.MemoryReceiveChannel[Event]) -> None:
    """Take events in, all that wait at once, and leave time for packets between."""
    async for event in events:
        batch = [event]
        with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
            while True:
                batch.append(events.receive_nowait())
        started = trio.current_time()
        await apply(state, batch)
        await trio.sleep(REST_RATIO * (trio.current_time() - started))


def _take_keys(state: State, key_set: model.KeySet) -> None:
    if state.ring is not None and key_set.revision < state.ring.revision:
        return
    state.ring = keyring.Keyring(key_set)
    state.prefix = tunnel.encode_prefix(state.ring.current.cookie)
