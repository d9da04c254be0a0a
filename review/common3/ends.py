"""Stand-ins of the two ends of a flow: hosts and clients, and the routers between."""

import asyncio
from collections import abc
import contextlib
import random
import socket
import struct
import time
import typing
import zlib

from review.common3 import http_io

HEADER = struct.Struct("<B3sIHII4sH4sH4s")
"""Fields: flags, pad, sum, len, seq, ack, dst, dport, src, sport, echo."""
SYN, ACK, FIN, RST, BOUNCED = 2, 64, 8, 128, 16
MAX_DATA_BYTES = 1_200
MASK = 0xFFFF_FFFF
ANY_SUM = 7
"""The key of the sum is not disclosed; the stand-ins do not check it."""
SYN_TIMES_SECONDS = (0.0, 0.2, 0.6)
SYN_TIMEOUT_SECONDS = 1.4
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
MAX_HOST_RETRIES = 8
PROBE_SECONDS = 0.5
MISSED_PROBES = 2

End = tuple[str, int]
Key = tuple[End, End]
"""The client's end and the route's end of a flow."""


class Packet(typing.NamedTuple):
    """A decoded packet."""

    flags: int
    seq: int
    ack: int
    src: End
    dst: End
    data: bytes
    sum: int


def encode(
    flags: int, src: End, dst: End, *, seq: int = 0, ack: int = 0, data: bytes = b""
) -> bytes:
    """Return the bytes of a packet."""
    fields = (flags, bytes(3), ANY_SUM, len(data), seq & MASK, ack & MASK)
    ends = (_pack(dst[0]), dst[1], _pack(src[0]), src[1], bytes(4))
    return HEADER.pack(*fields, *ends) + data


def decode(raw: bytes) -> Packet:
    """Decode a packet."""
    flags, _, checksum, _, seq, ack, dst, dport, src, sport, _ = HEADER.unpack_from(raw)
    return Packet(
        flags,
        seq,
        ack,
        (socket.inet_ntoa(src[::-1]), sport),
        (socket.inet_ntoa(dst[::-1]), dport),
        raw[HEADER.size :],
        checksum,
    )


def _pack(host: str) -> bytes:
    return socket.inet_aton(host)[::-1]


class UdpSocket(asyncio.DatagramProtocol):
    """A UDP socket that passes datagrams to a function."""

    def __init__(self, receive: abc.Callable[[bytes, End], None]) -> None:
        """Create the protocol of a socket."""
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: End) -> None:
        """Pass a datagram on."""
        self.receive(data, addr)

    def send(self, data: bytes, to: End) -> None:
        """Send a datagram."""
        assert self.transport is not None
        self.transport.sendto(data, to)


async def open_udp(
    host: str, port: int, receive: abc.Callable[[bytes, End], None]
) -> UdpSocket:
    """Bind a UDP socket to an address."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpSocket(receive), local_addr=(host, port)
    )
    return protocol


class HostFlow:
    """A flow that a host holds; requests and responses are one packet each."""

    def __init__(self, seq: int, expected: int) -> None:
        """Create a half-open flow."""
        self.seq = seq
        """The host's next sequence number."""
        self.expected = expected
        """The client's next sequence number."""
        self.is_open = False
        self.last_reply = b""


class Host:
    """An application host beside a sidecar."""

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        zone: str,
        service: str,
        ports: dict[str, int],
        record: abc.Callable[..., None],
        work_seconds: float = 0.05,
        heartbeat_seconds: float = 0.77,
    ) -> None:
        """Create a host that has not been started."""
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        self.ports, self.record = ports, record
        self.work_seconds, self.heartbeat_seconds = work_seconds, heartbeat_seconds
        self.flows: dict[Key, HostFlow] = {}
        self.born = 0
        self.state = "ready"
        self.udp: UdpSocket | None = None
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[asyncio.StreamWriter] = set()
        self.running = 0
        """Requests that are being worked on."""
        self.is_alive = False

    async def start(self) -> None:
        """Start a new incarnation."""
        self.born = time.time_ns() // 1_000_000
        self.is_alive = True
        self.udp = await open_udp(self.ip, self.ports["app"], self._receive)
        self.server = await http_io.serve(
            self.ip, self.ports["app"], self._answer, connections=self.connections
        )
        self.heartbeat_number = 0
        self.next_heartbeat_at = float("inf")
        self.heartbeats = asyncio.get_running_loop().create_task(
            self._send_heartbeats()
        )
        self.tasks.add(self.heartbeats)

    def stop(self) -> None:
        """End the incarnation as a crash does."""
        self.is_alive = False
        for task in list(self.tasks):
            task.cancel()
        self.flows.clear()
        if self.udp is not None and self.udp.transport is not None:
            self.udp.transport.close()
        if self.server is not None:
            self.server.close()

    def _run(self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: typing.Any
    ) -> http_io.Answer:
        return (200 if self.state == "ready" else 503), {}

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            spread = 0.95 + 0.1 * random.random()
            seconds = self.heartbeat_seconds * spread
            self.next_heartbeat_at = time.monotonic() + seconds
            await asyncio.sleep(seconds)

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.heartbeat_number += 1
        message = {
            "service": self.service,
            "addr": f"{self.ip}:{self.ports['app']}",
            "zone": self.zone,
            "version": "v1",
            "slots": 5,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.heartbeat_number,
            "born": self.born,
        }
        return await self._tell("heartbeat", message)

    async def _tell(self, action: str, message: dict[str, typing.Any]) -> bool:
        path = f"/v1/instances/i-{self.name}-{self.born}/{action}"
        # A new connection for each call: one that is kept open ends with its sidecar.
        client = http_io.Client(self.ip, self.ports["control"])
        status = await client.call("POST", path, message)
        client.close()
        acknowledged = 200 <= status < 300
        fields = {"host": self.name, "state": self.state, "status": status}
        self.record(action, **fields)
        return acknowledged

    async def leave(self) -> None:
        """Deregister, close the port, serve the running requests, and exit."""
        assert self.server is not None
        self.heartbeats.cancel()
        await self._tell("deregister", {"born": self.born})
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        self.record("port closed", host=self.name, running=self.running)
        while self.running:
            await asyncio.sleep(0.005)
        self.record("exit", host=self.name, flows=len(self.flows))
        self.stop()

    def _send(self, data: bytes) -> None:
        assert self.udp is not None
        self.udp.send(data, (self.ip, self.ports["outbound"]))

    def _receive(self, raw: bytes, sender: End) -> None:
        packet = decode(raw)
        key = (packet.src, packet.dst)
        if packet.flags & (SYN | ACK) == SYN:
            self._accept(key, packet)
            return
        flow = self.flows.get(key)
        if flow is not None and not flow.is_open and packet.ack == flow.seq & MASK:
            flow.is_open = True
            self.record("open at host", host=self.name, flow=key)
        if flow is None or not flow.is_open:
            self._send(bytes((raw[0] | BOUNCED, 0, 0, 0)) + raw[4:])
        elif packet.flags & (FIN | RST):
            if packet.flags & FIN:
                self._reply(key, FIN | ACK, seq=flow.seq, ack=packet.seq + 1)
            del self.flows[key]
        elif packet.data and packet.seq == flow.expected & MASK:
            flow.expected += len(packet.data)
            self._run(self._work(key, flow, packet))
        elif packet.data and flow.last_reply:
            self._send(flow.last_reply)

    def _accept(self, key: Key, packet: Packet) -> None:
        """Answer an opening packet, also a copy, until the flow is open."""
        flow = self.flows.get(key)
        if flow is None:
            seq = random.getrandbits(30)
            flow = self.flows[key] = HostFlow(seq + 1, packet.seq + 1)
        if not flow.is_open:
            self._reply(key, SYN | ACK, seq=flow.seq - 1, ack=flow.expected)

    async def _work(self, key: Key, flow: HostFlow, packet: Packet) -> None:
        request_id = packet.data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.record("run", host=self.name, service=self.service, request=request_id)
        flow.last_reply = b""
        self.running += 1
        await asyncio.sleep(self.work_seconds)
        self.running -= 1
        body = request_id.encode().ljust(400, b".")
        head = (
            "HTTP/1.1 200 OK\r\nX-Plantainproxy-Response-Signature: "
            f"{zlib.crc32(body):08x}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        raw = encode(ACK, key[1], key[0], seq=flow.seq, ack=flow.expected, data=data)
        flow.seq += len(data)
        flow.last_reply = raw
        self._send(raw)
        if self.state == "draining":
            self._reply(key, FIN | ACK, seq=flow.seq, ack=flow.expected)
            flow.seq += 1

    def _reply(self, key: Key, flags: int, *, seq: int, ack: int) -> None:
        self._send(encode(flags, key[1], key[0], seq=seq, ack=ack))


class Balancer(typing.NamedTuple):
    """What the routers know of a balancer."""

    name: str
    ip: str
    zone: str


class Router:
    """The platform's routers: probes, and a hash of each packet's addresses."""

    def __init__(self, *, data_port: int, ready_port: int) -> None:
        """Create routers without balancers."""
        self.data_port, self.ready_port = data_port, ready_port
        self.balancers: list[Balancer] = []
        self.misses: dict[str, int] = {}

    async def probe(self) -> None:
        """Probe all balancers twice a second until cancelled."""
        while True:
            for balancer in self.balancers:
                asyncio.get_running_loop().create_task(self._probe_one(balancer))
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe_one(self, balancer: Balancer) -> None:
        client = http_io.Client(balancer.ip, self.ready_port)
        status = await client.call("GET", "/v1/readyz", timeout=0.45)
        client.close()
        missed = self.misses.get(balancer.name, MISSED_PROBES)
        self.misses[balancer.name] = 0 if status == 200 else missed + 1

    def in_rotation(self, zone: str | None = None) -> list[Balancer]:
        """Return the balancers in rotation, of one zone if it is given."""
        return [
            balancer
            for balancer in self.balancers
            if self.misses.get(balancer.name, MISSED_PROBES) < MISSED_PROBES
            and zone in (None, balancer.zone)
        ]

    def next_hop(self, key: Key, zone: str) -> End | None:
        """Return where a client's packet goes."""
        in_zone = [known for known in self.balancers if known.zone == zone]
        nodes = self.in_rotation(zone)
        if nodes and 2 * len(nodes) < len(in_zone):
            nodes = in_zone
        nodes = nodes or self.in_rotation()
        if not nodes:
            return None
        number = zlib.crc32(repr(key).encode())
        return nodes[number % len(nodes)].ip, self.data_port


class ClientFlow:
    """A flow from the client's end; one request at a time."""

    def __init__(self, client: "Client", src: End, dst: End) -> None:
        """Create a flow that has not been opened."""
        self.client, self.key = client, (src, dst)
        self.seq = random.getrandbits(30)
        self.ack = 0
        self.is_open = False
        self.is_reset = False
        self.packets: asyncio.Queue[Packet] = asyncio.Queue()

    def send(self, flags: int, *, ack: int, data: bytes = b"") -> None:
        """Send a packet through the routers."""
        raw = encode(flags, *self.key, seq=self.seq, ack=ack, data=data)
        self.client.send(self.key, raw)

    async def next_packet(self, seconds: float) -> Packet | None:
        """Return the next packet; ``None`` after the time or for a reset."""
        with contextlib.suppress(asyncio.TimeoutError):
            packet = await asyncio.wait_for(self.packets.get(), max(seconds, 0.001))
            if not packet.flags & RST:
                return packet
            self.is_reset = True
            by = "the system" if packet.sum == 0 else "a host"
            self.client.record("reset", flow=self.key, open=self.is_open, by=by)
            if self.client.on_reset is not None and packet.sum == 0:
                self.client.on_reset(self)
        return None

    async def open(self) -> bool:
        """Open the flow; return whether a host has accepted it."""
        started_at = time.monotonic()
        for number, _at in enumerate(SYN_TIMES_SECONDS):
            self.send(SYN, ack=number)
            times = (*SYN_TIMES_SECONDS, SYN_TIMEOUT_SECONDS)
            until = started_at + times[number + 1]
            while (left := until - time.monotonic()) > 0 and not self.is_reset:
                packet = await self.next_packet(left)
                if packet is not None and packet.flags & (SYN | ACK) == SYN | ACK:
                    self.seq, self.ack = self.seq + 1, packet.seq + 1
                    self.is_open = True
                    self.send(ACK, ack=self.ack)
                    self.client.record("open", flow=self.key)
                    return True
            if self.is_reset:
                break
        self.client.record("not opened", flow=self.key)
        return False

    async def request(self, request_id: str, *, deadline: float) -> str:
        """Send a request; return "answered", "reset" or "no answer"."""
        data = (
            "POST /x HTTP/1.1\r\nX-Plantainproxy-Request-Id: "
            f"{request_id}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        ends_at, retry = time.monotonic() + deadline, FIRST_RETRY_SECONDS
        self.client.record("request", flow=self.key, request=request_id)
        outcome = "no answer"
        while time.monotonic() < ends_at and outcome == "no answer":
            self.send(ACK, ack=self.ack, data=data)
            until = min(time.monotonic() + retry, ends_at)
            retry = min(2 * retry, MAX_RETRY_SECONDS)
            while (left := until - time.monotonic()) > 0:
                packet = await self.next_packet(left)
                if self.is_reset:
                    outcome = "reset"
                    break
                if packet is None or packet.seq != self.ack & MASK or not packet.data:
                    continue
                if request_id.encode() not in packet.data:
                    outcome = "another answer"
                    break
                self.seq, self.ack = self.seq + len(data), self.ack + len(packet.data)
                self.send(ACK, ack=self.ack)
                outcome = "answered"
                break
        self.client.record(outcome, flow=self.key, request=request_id)
        return outcome

    def close(self) -> None:
        """Close the flow without waiting for the host."""
        if self.is_open and not self.is_reset:
            self.send(FIN | ACK, ack=self.ack)
        self.client.flows.pop(self.key, None)


class Client:
    """A client's address, which may have many flows."""

    def __init__(
        self, *, ip: str, zone: str, router: Router, record: abc.Callable[..., None]
    ) -> None:
        """Create a client that has not been started."""
        self.ip, self.zone, self.router, self.record = ip, zone, router, record
        self.flows: dict[Key, ClientFlow] = {}
        self.next_port = 40_000
        self.on_reset: abc.Callable[[ClientFlow], None] | None = None
        """Called when a flow gets a reset of the system."""
        self.udp: UdpSocket | None = None

    async def start(self) -> None:
        """Open the client's socket, at the port to which packets for it are sent."""
        self.udp = await open_udp(self.ip, self.router.data_port, self._receive)

    def new_flow(self, route: End) -> ClientFlow:
        """Return a flow from a new port."""
        self.next_port += 1
        flow = ClientFlow(self, (self.ip, self.next_port), route)
        self.flows[flow.key] = flow
        return flow

    def send(self, key: Key, raw: bytes) -> None:
        """Send a packet through the routers."""
        to = self.router.next_hop(key, self.zone)
        if to is not None and self.udp is not None:
            self.udp.send(raw, to)

    def _receive(self, raw: bytes, sender: End) -> None:
        packet = decode(raw)
        flow = self.flows.get((packet.dst, packet.src))
        if flow is not None:
            flow.packets.put_nowait(packet)
