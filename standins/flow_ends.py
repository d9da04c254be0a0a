"""The two ends of transparent flows: a small upstream and a small caller.

Both speak the users' platform's packets on loopback addresses. An upstream answers each
request, which is one packet, with one packet that holds the request's bytes.
"""

from collections import abc
import contextlib
import dataclasses
import itertools
import random
import socket
import time

import msgspec
import trio

from plantainproxy import _http_server, _types
from plantainproxy.platform import packet_format
from plantainproxy.store import http

RETRANSMIT_SECONDS = 0.2
OPENING_COPIES_SECONDS = (0.2, 0.4, 0.8)
"""Waits after the opening packet, its first and its second copy."""
HEARTBEAT_TIMEOUT_SECONDS = 1.0
SEQUENCE_MASK = 0xFFFF_FFFF
SEQUENCE_BITS = 30
"""First numbers are drawn below 2**30, so that none wraps in a test."""


def encode(
    flags: int,
    source: _types.Address,
    destination: _types.Address,
    *,
    sequence: int = 0,
    acknowledgement: int = 0,
    payload: bytes = b"",
) -> bytes:
    """Encode a packet; the sum is not checked by anyone here."""
    return (
        packet_format.HEADER.pack(
            flags,
            bytes(3),
            1,
            len(payload),
            sequence & SEQUENCE_MASK,
            acknowledgement & SEQUENCE_MASK,
            _pack_host(destination),
            destination.port,
            _pack_host(source),
            source.port,
            bytes(4),
        )
        + payload
    )


def _pack_host(address: _types.Address) -> bytes:
    return socket.inet_aton(address.host)[::-1]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """A decoded packet."""

    flags: int
    sequence: int
    acknowledgement: int
    source: _types.Address
    destination: _types.Address
    payload: bytes


def decode(data: bytes) -> Head:
    """Decode a packet."""
    flags, _, _, _, sequence, acknowledgement, dst, dport, src, sport, _ = (
        packet_format.HEADER.unpack_from(data)
    )
    return Head(
        flags=flags,
        sequence=sequence,
        acknowledgement=acknowledgement,
        source=_types.Address(socket.inet_ntoa(src[::-1]), sport),
        destination=_types.Address(socket.inet_ntoa(dst[::-1]), dport),
        payload=data[packet_format.HEADER.size :],
    )


class Upstream:
    """One upstream with its flows."""

    def __init__(
        self,
        *,
        address: _types.Address,
        outbound: _types.Address,
        heartbeat_address: _types.Address,
        service: str,
        domain: str,
        heartbeat_seconds: float = 0.2,
    ) -> None:
        """Start without flows, ready."""
        self.address = address
        self.outbound = outbound
        self.heartbeats = http.Pool(heartbeat_address)
        self.service = service
        self.domain = domain
        self.heartbeat_seconds = heartbeat_seconds
        self.draining = False
        self.lifetime = trio.CancelScope()
        self.half_open: dict[tuple[_types.Address, _types.Address], int] = {}
        """The first number that was offered to each opening."""
        self.flows: dict[tuple[_types.Address, _types.Address], int] = {}
        """The upstream's next sequence number, by caller and service address."""
        self.ran: list[bytes] = []
        self.opened = 0
        self.foreign: list[Head] = []
        """Packets that an upstream must never get."""
        self.born = time.time_ns() // 1_000_000
        self.answered_until: dict[tuple[_types.Address, _types.Address], int] = {}

    def crash(self) -> None:
        """End at once, without a word."""
        self.lifetime.cancel()

    async def run(self) -> None:
        """Serve packets and health checks, and send heartbeats, for ever."""
        with (
            self.lifetime,
            trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened,
        ):
            await opened.bind(self.address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_http_server.serve, self.address, self._health)
                nursery.start_soon(self._beat_forever)
                while True:
                    data, _ = await opened.recvfrom(65_536)
                    for answer in self.handle(data):
                        await opened.sendto(answer, self.outbound)

    def _health(self, request: _http_server.Request) -> _http_server.Response:
        return _http_server.Response(503 if self.draining else 200, b"{}")

    async def _beat_forever(self) -> None:
        for number in itertools.count(1):
            body = {
                "service": self.service,
                "addr": str(self.address),
                "zone": self.domain,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0,
                "seq": number,
                "born": self.born,
            }
            with contextlib.suppress(http.UnsentError, http.UnansweredError):
                await http.post(
                    self.heartbeats,
                    "/v1/instances/i-1/heartbeat",
                    msgspec.json.encode(body),
                    timeout_seconds=HEARTBEAT_TIMEOUT_SECONDS,
                )
            await trio.sleep(self.heartbeat_seconds)

    def handle(self, data: bytes) -> list[bytes]:
        """Take one packet; return the packets that answer it."""
        head = decode(data)
        key = (head.source, head.destination)
        if head.flags & packet_format.SYN:
            if head.flags & packet_format.ACK:
                self.foreign.append(head)
                return []
            start = self.half_open.setdefault(key, random.getrandbits(SEQUENCE_BITS))
            self.opened += 1
            flags = packet_format.SYN | packet_format.ACK
            return [_answer(head, flags, start)]
        offered = self.half_open.get(key)
        if offered is not None and head.acknowledgement == offered + 1:
            self.flows.setdefault(key, offered)
        if key not in self.flows:
            returned = bytes((head.flags | packet_format.BOUNCED,))
            return [returned + bytes(3) + data[4:]]
        if not head.payload:
            return []
        end = head.sequence + len(head.payload)
        if end > self.answered_until.get(key, 0):
            self.answered_until[key] = end
            self.ran.append(head.payload)
            self.flows[key] += len(head.payload)
        sequence = self.flows[key] - len(head.payload) + 1
        return [_answer(head, packet_format.ACK, sequence, payload=head.payload)]


def _answer(head: Head, flags: int, sequence: int, *, payload: bytes = b"") -> bytes:
    return encode(
        flags,
        head.destination,
        head.source,
        sequence=sequence,
        acknowledgement=head.sequence + len(head.payload),
        payload=payload,
    )


class FlowResetError(Exception):
    """The flow was reset."""


class NoAnswerError(Exception):
    """Nobody answered in time."""


class Caller:
    """One caller's address with its flows, one at a time."""

    def __init__(
        self, address: _types.Address, balancers: list[_types.Address]
    ) -> None:
        """Send through the balancers in turn, as a fabric may."""
        self.address = address
        self.balancers = balancers
        self.turn = 0
        self.port = 2_000

    def route(self) -> _types.Address:
        """Return the balancer for the next packet."""
        self.turn += 1
        return self.balancers[self.turn % len(self.balancers)]


class Flow:
    """One open flow."""

    def __init__(
        self,
        caller: Caller,
        opened: trio.socket.SocketType,
        source: _types.Address,
        service: _types.Address,
        upstream_sequence: int,
    ) -> None:
        """Hold what the opening told."""
        self.caller = caller
        self.socket = opened
        self.source = source
        self.service = service
        self.sequence = 1
        self.acknowledgement = upstream_sequence + 1

    async def request(self, payload: bytes, *, timeout_seconds: float = 5.0) -> bytes:
        """Send one request and return its answer; raise when there is none."""
        data = encode(
            packet_format.ACK,
            self.source,
            self.service,
            sequence=self.sequence,
            acknowledgement=self.acknowledgement,
            payload=payload,
        )
        deadline = trio.current_time() + timeout_seconds
        while trio.current_time() < deadline:
            await self.socket.sendto(data, self.caller.route())
            head = await _receive(self.socket, self.source, RETRANSMIT_SECONDS)
            while head is not None and head.payload != payload:
                head = await _receive(self.socket, self.source, RETRANSMIT_SECONDS)
            if head is None:
                continue
            self.sequence += len(payload)
            self.acknowledgement = head.sequence + len(head.payload)
            return head.payload
        raise NoAnswerError(payload)


async def _receive(
    opened: trio.socket.SocketType, source: _types.Address, wait_seconds: float
) -> Head | None:
    """Return the next packet for a flow's end; ``None`` when none comes in time."""
    with trio.move_on_after(wait_seconds):
        while True:
            data, _ = await opened.recvfrom(65_536)
            head = decode(data)
            if head.destination != source:
                continue
            if head.flags & packet_format.RST:
                raise FlowResetError(str(head.source))
            return head
    return None


@contextlib.asynccontextmanager
async def open_flow(caller: Caller, service: _types.Address) -> abc.AsyncIterator[Flow]:
    """Open a flow with an opening packet and its copies.

    Raises ``NoAnswerError`` or ``FlowResetError``.
    """
    caller.port += 1
    source = _types.Address(caller.address.host, caller.port)
    with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        await opened.bind(caller.address)
        for copy, wait_seconds in enumerate(OPENING_COPIES_SECONDS):
            opening = encode(packet_format.SYN, source, service, acknowledgement=copy)
            await opened.sendto(opening, caller.route())
            head = await _receive(opened, source, wait_seconds)
            if head is not None:
                break
        else:
            raise NoAnswerError("opening")
        flow = Flow(caller, opened, source, service, head.sequence)
        acknowledgement = encode(
            packet_format.ACK,
            source,
            service,
            sequence=1,
            acknowledgement=flow.acknowledgement,
        )
        await opened.sendto(acknowledgement, caller.route())
        yield flow
