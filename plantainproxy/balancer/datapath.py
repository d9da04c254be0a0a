"""The task that owns the balancer's UDP socket.

It forwards datagrams as ``core.routing`` decides and keeps no state per flow. Changes
of configuration, members and keys arrive over a channel.
"""

from collections import abc
import contextlib
import dataclasses
import os
import socket
import typing

import trio

from plantainproxy import _types
from plantainproxy.balancer import fast_path, resets
from plantainproxy.config import model
from plantainproxy.core import routing
from plantainproxy.quic import classify
from plantainproxy.wire import keyring, proxy, tunnel

MAX_DATAGRAM_BYTES = 4096
"""Largest datagram that is accepted from the fabric."""
BATCH_DATAGRAMS = 128
"""Maximum number of datagrams that are forwarded before other tasks may run."""
EVENT_PAUSE_RATIO = 2.0
"""Pause after a batch of events, relative to the time that the batch took."""
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeysChanged:
    """A new key set was accepted.

    The event is ignored if the active key set has a higher revision.
    """

    key_set: model.KeySet


Event = routing.Event | KeysChanged


class Counters:
    """Numbers of datagrams processed since the start, by result."""

    def __init__(self) -> None:
        """Set all counters to zero."""
        self.established = 0
        """Forwarded packets of established flows."""
        self.opening = 0
        """Forwarded packets that may open a flow."""
        self.resets = 0
        """Stateless resets sent."""
        self.drops = dict.fromkeys(routing.DropReason, 0)
        """Dropped datagrams by reason."""


class State:
    """Routing state, keys and counters of the datapath."""

    def __init__(self) -> None:
        """Create a state without configuration, members or keys."""
        self.routing = routing.State()
        self.key_ring: keyring.Keyring | None = None
        self.fast_path: fast_path.Lookup = fast_path.no_match
        """Looks up the sidecar of an established packet."""
        self.prefix = bytes(tunnel.PREFIX_BYTES)
        """The tunnel prefix of a message without earlier owners."""
        self.counters = Counters()
        self.reset_limit = resets.RateLimit()


Receive = abc.Callable[[memoryview], tuple[int, tuple[str, int]]]
Send = abc.Callable[[bytes | memoryview, tuple[str, int]], object]


def open_socket(address: _types.Address) -> socket.socket:
    """Return a bound non-blocking UDP socket for the fabric's datagrams."""
    bound_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        bound_socket.setblocking(False)
        bound_socket.bind(address)
    except OSError:
        bound_socket.close()
        raise
    return bound_socket


async def run(
    state: State,
    datagrams: socket.socket,
    events: trio.MemoryReceiveChannel[Event],
) -> None:
    """Forward datagrams and apply events until the event channel is closed."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_forward_datagrams, state, datagrams)
        await _process_events(state, events)
        nursery.cancel_scope.cancel()


async def apply(state: State, events: abc.Sequence[Event]) -> None:
    """Apply events.

    The new routing state is built in a worker thread; until it is ready, packets are
    routed by the old one.
    """
    for event in events:
        if isinstance(event, KeysChanged):
            _apply_key_set(state, event.key_set)
    routing_events = [event for event in events if not isinstance(event, KeysChanged)]
    now = trio.current_time()

    def rebuild() -> tuple[routing.State, fast_path.Lookup]:
        updated = state.routing
        if routing_events:
            updated = routing.apply(updated, routing_events, now=now)
        return updated, fast_path.build(updated, state.key_ring)

    state.routing, state.fast_path = await trio.to_thread.run_sync(rebuild)


def make_buffer() -> bytearray:
    """Return a buffer for :func:`forward_batch`, for a tunnel prefix and a datagram.

    It has one byte more than the largest datagram, so that a datagram that is too
    large is detected.
    """
    return bytearray(tunnel.PREFIX_BYTES + MAX_DATAGRAM_BYTES + 1)


def forward_batch(
    state: State, receive: Receive, send: Send, buffer: bytearray, *, now: float
) -> None:
    """Forward up to ``BATCH_DATAGRAMS`` datagrams from the socket's receive queue.

    Each datagram is received directly behind the tunnel prefix, so that it can be
    forwarded without a copy if it needs no other prefix.
    """
    look_up, counters = state.fast_path, state.counters
    buffer[: tunnel.PREFIX_BYTES] = state.prefix
    message = memoryview(buffer)
    datagram_view = message[tunnel.PREFIX_BYTES :]
    for _ in range(BATCH_DATAGRAMS):
        try:
            size, source = receive(datagram_view)
        except OSError:
            return
        target = None
        message_end = tunnel.PREFIX_BYTES + size
        if fast_path.MIN_DATAGRAM_BYTES <= size <= MAX_DATAGRAM_BYTES:
            target = look_up(buffer)
        if target is None:
            _forward_slow_path(state, send, message[:message_end], source, now)
            continue
        try:
            send(message[:message_end], target)
        except OSError:
            counters.drops[routing.DropReason.SEND_FAILED] += 1
            continue
        counters.established += 1


def _forward_slow_path(
    state: State, send: Send, message: memoryview, source: tuple[str, int], now: float
) -> None:
    """Forward or drop a datagram that the fast path does not handle.

    ``message`` begins with the tunnel prefix without earlier owners.
    """
    counters, key_ring = state.counters, state.key_ring
    datagram = bytes(message[tunnel.PREFIX_BYTES :])
    if key_ring is None or len(datagram) > MAX_DATAGRAM_BYTES:
        counters.drops[_drop_reason(key_ring)] += 1
        return
    header = proxy.decode(datagram)
    if header is None:
        counters.drops[routing.DropReason.BAD_HEADER] += 1
        return
    packet = classify.classify_packet(
        key_ring, header.destination, datagram, header.payload_offset
    )
    if packet is None:
        counters.drops[routing.DropReason.INVALID_PACKET] += 1
        return
    action = routing.route(state.routing, packet, now)
    if not isinstance(action, routing.Forward):
        _handle_unforwarded(
            state,
            send,
            key_ring,
            action,
            ReceivedDatagram(datagram, header, source),
            now,
        )
        return
    outgoing: bytes | memoryview = message
    if action.earlier_owners:
        outgoing = _encode_prefix(key_ring, action.earlier_owners) + datagram
    try:
        send(outgoing, action.tunnel)
    except OSError:
        counters.drops[routing.DropReason.SEND_FAILED] += 1
        return
    if packet.opening:
        counters.opening += 1
    else:
        counters.established += 1


class ReceivedDatagram(typing.NamedTuple):
    """One datagram from the fabric."""

    datagram: bytes
    header: proxy.Header
    source: tuple[str, int]
    """The fabric's address."""


def _drop_reason(key_ring: keyring.Keyring | None) -> routing.DropReason:
    if key_ring is None:
        return routing.DropReason.NOT_READY
    return routing.DropReason.TOO_LARGE


def _encode_prefix(
    key_ring: keyring.Keyring, earlier_owners: tuple[_types.Address, ...]
) -> bytes:
    return tunnel.encode_prefix(
        key_ring.current.cookie,
        earlier_owners=tuple(owner.pack() for owner in earlier_owners),
    )


def _handle_unforwarded(
    state: State,
    send: Send,
    key_ring: keyring.Keyring,
    action: routing.Action,
    received: ReceivedDatagram,
    now: float,
) -> None:
    """Count a dropped packet, or answer it with a reset."""
    if isinstance(action, routing.Drop):
        state.counters.drops[action.reason] += 1
    elif isinstance(action, routing.Reset):
        _send_reset(state, send, key_ring, received, now)


def _send_reset(
    state: State,
    send: Send,
    key_ring: keyring.Keyring,
    received: ReceivedDatagram,
    now: float,
) -> None:
    """Send a stateless reset to the caller through the fabric."""
    drops = state.counters.drops
    datagram, header, source = received
    payload = resets.build_reset(
        key_ring, datagram[header.payload_offset :], os.urandom
    )
    if payload is None:
        drops[routing.DropReason.RESET_IMPOSSIBLE] += 1
        return
    if not resets.acquire_token(state.reset_limit, now=now):
        drops[routing.DropReason.RESET_LIMIT] += 1
        return
    reply_header = proxy.encode_packed(
        source=header.destination, destination=header.source
    )
    try:
        send(reply_header + payload, source)
    except OSError:
        drops[routing.DropReason.SEND_FAILED] += 1
        return
    state.counters.resets += 1


async def _forward_datagrams(state: State, datagrams: socket.socket) -> None:
    receive, send = datagrams.recvfrom_into, datagrams.sendto
    buffer = make_buffer()
    while True:
        await trio.lowlevel.wait_readable(datagrams)
        forward_batch(state, receive, send, buffer, now=trio.current_time())


async def _process_events(
    state: State, events: trio.MemoryReceiveChannel[Event]
) -> None:
    """Apply queued events in batches.

    The pause after each batch leaves CPU time for forwarding.
    """
    async for event in events:
        batch = [event]
        with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
            while True:
                batch.append(events.receive_nowait())
        started = trio.current_time()
        await apply(state, batch)
        await trio.sleep(EVENT_PAUSE_RATIO * (trio.current_time() - started))


def _apply_key_set(state: State, key_set: model.KeySet) -> None:
    if state.key_ring is not None and key_set.revision < state.key_ring.revision:
        return
    state.key_ring = keyring.Keyring(key_set)
    state.prefix = tunnel.encode_prefix(state.key_ring.current.cookie)
