"""Stand-ins for the two ends of a transparent flow: an upstream and a caller.

Both exchange packets in the platform's format over UDP on loopback addresses. A request
is one packet, and the upstream responds with one packet that has the same payload.
"""

import collections
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
OPENING_RETRANSMIT_SECONDS = (0.2, 0.4, 0.8)
"""Waits after the opening packet and after each of its two retransmissions."""
HEARTBEAT_TIMEOUT_SECONDS = 1.0
SEQUENCE_MASK = 0xFFFF_FFFF
INITIAL_SEQUENCE_BITS = 30
"""Initial sequence numbers are below 2**30, so that none wraps around in a test."""
LAST_FLOWS_SECONDS = 0.25
"""How long an upstream that has stopped listening serves its last flows."""
MAX_RECORDED_ARRIVALS = 200_000
"""Capacity of an upstream's record of packets, of about 100 bytes each."""

FlowKey = tuple[_types.Address, _types.Address]
"""The caller's address and the service address of a flow."""


def encode(
    flags: int,
    source: _types.Address,
    destination: _types.Address,
    *,
    sequence: int = 0,
    acknowledgement: int = 0,
    payload: bytes = b"",
) -> bytes:
    """Encode a packet with a zero checksum, which neither stand-in verifies."""
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
class Packet:
    """A decoded packet."""

    flags: int
    sequence: int
    acknowledgement: int
    source: _types.Address
    destination: _types.Address
    payload: bytes


def decode(data: bytes) -> Packet:
    """Decode a packet in the platform's format."""
    flags, _, _, _, sequence, acknowledgement, dst, dport, src, sport, _ = (
        packet_format.HEADER.unpack_from(data)
    )
    return Packet(
        flags=flags,
        sequence=sequence,
        acknowledgement=acknowledgement,
        source=_types.Address(socket.inet_ntoa(src[::-1]), sport),
        destination=_types.Address(socket.inet_ntoa(dst[::-1]), dport),
        payload=data[packet_format.HEADER.size :],
    )


class ArrivalRecord:
    """When packets of which flows reached an upstream's socket, newest last."""

    def __init__(self, *, capacity: int = MAX_RECORDED_ARRIVALS) -> None:
        """Create an empty record, which discards its oldest entries when it is full."""
        self.arrivals: collections.deque[tuple[float, FlowKey]] = collections.deque(
            maxlen=capacity
        )
        self.complete_since = float("-inf")
        """Time after which no entry has been discarded."""

    def add(self, key: FlowKey, *, now: float) -> None:
        """Record a packet."""
        if len(self.arrivals) == self.arrivals.maxlen:
            self.complete_since = self.arrivals[0][0]
        self.arrivals.append((now, key))


class Upstream:
    """An upstream and the state of its flows."""

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
        """Create an upstream that is ready and has no flows."""
        self.address = address
        self.outbound = outbound
        self.heartbeats = http.Pool(heartbeat_address)
        self.service = service
        self.domain = domain
        self.heartbeat_seconds = heartbeat_seconds
        self.draining = False
        self.cancel_scope = trio.CancelScope()
        self.heartbeat_scope = trio.CancelScope()
        self.listening_scope = trio.CancelScope()
        self.half_open: dict[FlowKey, int] = {}
        """Initial sequence number of each opening, by caller and service address."""
        self.flows: dict[FlowKey, int] = {}
        """Last sequence number sent by the upstream, by caller and service address."""
        self.executed_payloads: list[bytes] = []
        self.opening_packet_count = 0
        self.unexpected_packets: list[Packet] = []
        """SYN-ACK packets received; only a caller may receive these."""
        self.started_milliseconds = time.time_ns() // 1_000_000
        self.next_caller_sequence: dict[FlowKey, int] = {}
        self.record = ArrivalRecord()
        self.opened_at: dict[FlowKey, float] = {}
        """When each flow's handshake was completed here."""
        self.ended_at = float("inf")

    def crash(self) -> None:
        """Stop immediately, without draining or a final heartbeat."""
        self.cancel_scope.cancel()

    async def leave(self) -> None:
        """Deregister, stop listening, serve the last flows, and end."""
        self.stop_heartbeats()
        with contextlib.suppress(http.UnsentError, http.UnansweredError):
            await http.post(
                self.heartbeats,
                "/v1/instances/i-1/deregister",
                msgspec.json.encode({"born": self.started_milliseconds}),
                timeout_seconds=HEARTBEAT_TIMEOUT_SECONDS,
            )
        self.stop_listening()
        await trio.sleep(LAST_FLOWS_SECONDS)
        self.crash()

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats."""
        self.heartbeat_scope.cancel()

    def stop_listening(self) -> None:
        """Refuse connections, as an upstream that serves its last flows does."""
        self.listening_scope.cancel()

    async def run(self) -> None:
        """Serve packets and health checks and send heartbeats until cancelled."""
        with (
            self.cancel_scope,
            trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket,
        ):
            await udp_socket.bind(self.address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._listen)
                nursery.start_soon(self._send_heartbeats)
                try:
                    while True:
                        data, _ = await udp_socket.recvfrom(65_536)
                        responses = self.receive(data, now=trio.current_time())
                        for response in responses:
                            await udp_socket.sendto(response, self.outbound)
                finally:
                    self.ended_at = trio.current_time()

    async def _listen(self) -> None:
        with self.listening_scope:
            await _http_server.serve(self.address, self._health)

    def _health(self, request: _http_server.Request) -> _http_server.Response:
        return _http_server.Response(503 if self.draining else 200, b"{}")

    async def _send_heartbeats(self) -> None:
        with self.heartbeat_scope:
            await self._send_heartbeats_forever()

    async def _send_heartbeats_forever(self) -> None:
        for heartbeat_sequence in itertools.count(1):
            body = {
                "service": self.service,
                "addr": str(self.address),
                "zone": self.domain,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0,
                "seq": heartbeat_sequence,
                "born": self.started_milliseconds,
            }
            with contextlib.suppress(http.UnsentError, http.UnansweredError):
                await http.post(
                    self.heartbeats,
                    "/v1/instances/i-1/heartbeat",
                    msgspec.json.encode(body),
                    timeout_seconds=HEARTBEAT_TIMEOUT_SECONDS,
                )
            await trio.sleep(self.heartbeat_seconds)

    def receive(self, data: bytes, *, now: float) -> list[bytes]:
        """Record and handle one packet; return the packets to send in response."""
        packet = decode(data)
        key = (packet.source, packet.destination)
        self.record.add(key, now=now)
        responses = self.handle(data)
        if key in self.flows:
            self.opened_at.setdefault(key, now)
        return responses

    def handle(self, data: bytes) -> list[bytes]:
        """Handle one packet and return the packets to send in response.

        A packet that neither belongs to an open flow nor completes an opening is
        returned to the sidecar with the ``BOUNCED`` flag.
        """
        packet = decode(data)
        key = (packet.source, packet.destination)
        if packet.flags & packet_format.SYN:
            if packet.flags & packet_format.ACK:
                self.unexpected_packets.append(packet)
                return []
            initial_sequence = self.half_open.setdefault(
                key, random.getrandbits(INITIAL_SEQUENCE_BITS)
            )
            self.opening_packet_count += 1
            flags = packet_format.SYN | packet_format.ACK
            return [_build_response(packet, flags, initial_sequence)]
        offered_sequence = self.half_open.get(key)
        if (
            offered_sequence is not None
            and packet.acknowledgement == offered_sequence + 1
        ):
            self.flows.setdefault(key, offered_sequence)
        if key not in self.flows:
            returned = bytes((packet.flags | packet_format.BOUNCED,))
            return [returned + bytes(3) + data[4:]]
        if not packet.payload:
            return []
        end_sequence = packet.sequence + len(packet.payload)
        if end_sequence > self.next_caller_sequence.get(key, 0):
            self.next_caller_sequence[key] = end_sequence
            self.executed_payloads.append(packet.payload)
            self.flows[key] += len(packet.payload)
        sequence = self.flows[key] - len(packet.payload) + 1
        return [
            _build_response(packet, packet_format.ACK, sequence, payload=packet.payload)
        ]


def _build_response(
    packet: Packet, flags: int, sequence: int, *, payload: bytes = b""
) -> bytes:
    return encode(
        flags,
        packet.destination,
        packet.source,
        sequence=sequence,
        acknowledgement=packet.sequence + len(packet.payload),
        payload=payload,
    )


class FlowResetError(Exception):
    """A reset packet was received for the flow."""


class NoAnswerError(Exception):
    """No response was received in time."""


class Caller:
    """A caller address that opens one flow at a time."""

    def __init__(
        self, address: _types.Address, balancers: list[_types.Address]
    ) -> None:
        """Create a caller that sends through the balancers in turn, as a fabric may."""
        self.address = address
        self.balancers = balancers
        self.routed_packet_count = 0
        self.port = 2_000

    def next_balancer(self) -> _types.Address:
        """Return the balancer for the next packet."""
        self.routed_packet_count += 1
        return self.balancers[self.routed_packet_count % len(self.balancers)]


class Flow:
    """The caller's end of an open flow."""

    def __init__(
        self,
        caller: Caller,
        udp_socket: trio.socket.SocketType,
        source: _types.Address,
        service: _types.Address,
        upstream_sequence: int,
    ) -> None:
        """Create a flow from the upstream's response to its opening packet."""
        self.caller = caller
        self.socket = udp_socket
        self.source = source
        self.service = service
        self.sequence = 1
        self.acknowledgement = upstream_sequence + 1

    async def request(self, payload: bytes, *, timeout_seconds: float = 5.0) -> bytes:
        """Send one request, with retransmissions, and return the response payload.

        Raises ``NoAnswerError`` without a response within the timeout, and
        ``FlowResetError`` when the flow is reset.
        """
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
            await self.socket.sendto(data, self.caller.next_balancer())
            packet = await _receive_packet(self.socket, self.source, RETRANSMIT_SECONDS)
            while packet is not None and packet.payload != payload:
                packet = await _receive_packet(
                    self.socket, self.source, RETRANSMIT_SECONDS
                )
            if packet is None:
                continue
            self.sequence += len(payload)
            self.acknowledgement = packet.sequence + len(packet.payload)
            return packet.payload
        raise NoAnswerError(
            f"no response to request {payload!r} within {timeout_seconds} s"
        )


async def _receive_packet(
    udp_socket: trio.socket.SocketType, source: _types.Address, wait_seconds: float
) -> Packet | None:
    """Return the next packet addressed to ``source``, or ``None`` on timeout."""
    with trio.move_on_after(wait_seconds):
        while True:
            data, _ = await udp_socket.recvfrom(65_536)
            packet = decode(data)
            if packet.destination != source:
                continue
            if packet.flags & packet_format.RST:
                raise FlowResetError(f"reset packet received from {packet.source}")
            return packet
    return None


@contextlib.asynccontextmanager
async def open_flow(caller: Caller, service: _types.Address) -> abc.AsyncIterator[Flow]:
    """Open a flow, retransmitting the opening packet until the upstream responds.

    Raises ``NoAnswerError`` or ``FlowResetError``.
    """
    caller.port += 1
    source = _types.Address(caller.address.host, caller.port)
    with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        await udp_socket.bind(caller.address)
        for retransmission, wait_seconds in enumerate(OPENING_RETRANSMIT_SECONDS):
            opening = encode(
                packet_format.SYN, source, service, acknowledgement=retransmission
            )
            await udp_socket.sendto(opening, caller.next_balancer())
            packet = await _receive_packet(udp_socket, source, wait_seconds)
            if packet is not None:
                break
        else:
            raise NoAnswerError("no response to the opening packet")
        flow = Flow(caller, udp_socket, source, service, packet.sequence)
        acknowledgement = encode(
            packet_format.ACK,
            source,
            service,
            sequence=1,
            acknowledgement=flow.acknowledgement,
        )
        await udp_socket.sendto(acknowledgement, caller.next_balancer())
        yield flow
