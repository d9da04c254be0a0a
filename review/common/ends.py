"""Stand-ins of hosts and clients: the two ends of a flow."""

import asyncio
import dataclasses
import json
import random
import time
import typing

from common import http1, packet

SYN_COPIES = (0.0, 0.2, 0.6)
OPENING_SECONDS = 1.4
RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6

Note = typing.Callable[..., None]


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, receive: typing.Callable[[bytes], None]) -> None:
        self.receive = receive

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.receive(data)


async def open_socket(
    host: str, port: int, receive: typing.Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Open a UDP socket that passes each datagram to a function."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Socket(receive), local_addr=(host, port)
    )
    return transport


@dataclasses.dataclass
class HostFlow:
    """A host's end of a flow."""

    seq: int
    expected: int
    is_open: bool = False
    answer: bytes = b""
    answered_seq: int = 0
    is_busy: bool = False


class Host:
    """A host: accepts flows, runs requests, sends heartbeats, bounces the rest."""

    def __init__(
        self,
        *,
        name: str,
        node: dict[str, typing.Any],
        note: Note,
        work_seconds: float = 0.005,
        slots: int = 4,
    ) -> None:
        """Describe a host beside the node with these settings."""
        self.name = name
        self.node = node
        self.note = note
        self.work_seconds = work_seconds
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.ip, port = node["app"].split(":")
        self.port = int(port)
        self.outbound = (self.ip, int(node["listen"]["outbound"].split(":")[1]))
        self.control = (self.ip, int(node["listen"]["control"].split(":")[1]))
        self.born = int(time.time() * 1_000)
        self.beats = 0
        self.state = "ready"
        self.flows: dict[packet.End, HostFlow] = {}
        self.runs: list[tuple[float, str, str]] = []
        """Time, request id and path of every request that was run."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, then send heartbeats."""
        self.transport = await open_socket(self.ip, self.port, self.receive)
        self.server = await http1.serve(
            self.ip, self.port, self._health, self.connections
        )
        self._spawn(self._beat_forever())

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _health(
        self, method: str, target: str, body: bytes, _: asyncio.StreamWriter
    ) -> tuple[int, object]:
        return (200 if self.state == "ready" else 503), {}

    def stop(self) -> None:
        """End the host's process: it drops its flows and listens no more."""
        for task in self.tasks:
            task.cancel()
        self.server.close()
        self.transport.close()
        for writer in self.connections:
            writer.close()
        self.flows.clear()
        self.state = "ended"

    def heartbeat(self) -> dict[str, typing.Any]:
        """Return the body of the next heartbeat."""
        self.beats += 1
        return {
            "service": self.node["service"],
            "addr": self.node["app"],
            "zone": self.node["zone"],
            "version": "v1",
            "slots": self.slot_count,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.beats,
            "born": self.born,
        }

    async def _beat_forever(self) -> None:
        while True:
            body = json.dumps(self.heartbeat()).encode()
            path = f"/v1/instances/{self.name}/heartbeat"
            await http1.call(self.control, "POST", path, body)
            await asyncio.sleep(self.node["heartbeat_ms"] / 1_000)

    def receive(self, raw: bytes) -> None:
        """Handle one datagram of the node beside this host."""
        try:
            received = packet.decode(raw)
        except ValueError as error:
            self.note("host got a changed packet", host=self.name, error=str(error))
            return
        flow = self.flows.get(received.source)
        if received.flags & packet.SYN:
            self._accept(received, flow)
            return
        if flow is None or (
            not flow.is_open and received.ack != (flow.seq + 1) & packet.MASK
        ):
            self.transport.sendto(packet.bounce(raw), self.outbound)
            return
        flow.is_open = True
        if received.flags & (packet.FIN | packet.RST):
            del self.flows[received.source]
            self._send(received, packet.FIN | packet.ACK, flow.seq + 1, received.seq)
            return
        if not received.data:
            return
        if received.seq == flow.expected and not flow.is_busy:
            flow.is_busy = True
            self._spawn(self._run(received, flow))
        elif received.seq == flow.answered_seq and flow.answer:
            self._send_answer(received, flow)

    def _accept(self, received: packet.Packet, flow: HostFlow | None) -> None:
        if flow is None:
            flow = HostFlow(random.getrandbits(29), received.seq + 1)
            self.flows[received.source] = flow
        if not flow.is_open:
            self._send(received, packet.SYN | packet.ACK, flow.seq, received.seq + 1)

    async def _run(self, received: packet.Packet, flow: HostFlow) -> None:
        async with self.slots:
            request = received.data.decode()
            first, *lines = request.split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines if ": " in line)
            identity = fields["X-Plantainproxy-Request-Id"]
            self.runs.append((time.monotonic(), identity, first.split(" ")[1]))
            self.note("run", host=self.name, id=identity, path=first.split(" ")[1])
            await asyncio.sleep(self.work_seconds)
        body = f"{self.name} {identity}"
        flow.answer = (
            "HTTP/1.1 200 OK\r\nX-Plantainproxy-Response-Signature: s\r\n"
            f"content-length: {len(body)}\r\n\r\n{body}"
        ).encode()
        flow.answered_seq = received.seq
        flow.expected = received.seq + len(received.data)
        flow.is_busy = False
        self._send_answer(received, flow)

    def _send_answer(self, received: packet.Packet, flow: HostFlow) -> None:
        self._send(
            received,
            packet.ACK,
            received.ack,
            received.seq + len(received.data),
            flow.answer,
        )

    def _send(
        self,
        received: packet.Packet,
        flags: int,
        seq: int,
        ack: int,
        data: bytes = b"",
    ) -> None:
        answer = packet.Packet(
            flags=flags,
            source=received.target,
            target=received.source,
            seq=seq,
            ack=ack,
            data=data,
        )
        if not self.transport.is_closing():
            self.transport.sendto(packet.encode(answer), self.outbound)


class Flow:
    """A client's end of a flow."""

    def __init__(self, client: "Client", port: int, service: packet.End) -> None:
        """Create a flow that is not open."""
        self.client = client
        self.end = (client.ip, port)
        self.service = service
        self.seq = random.getrandbits(29)
        self.ack = 0
        self.state = "new"
        self.changed = asyncio.Event()
        self.answer: bytes | None = None

    def receive(self, received: packet.Packet) -> None:
        """Handle a packet for this flow."""
        if received.flags & packet.RST:
            if self.state == "opening" or abs(received.seq - self.ack) <= 76_800:
                self.client.note("reset", flow=self.end[1], state=self.state)
                self.state = "reset"
        elif received.flags & packet.SYN:
            if self.state == "opening":
                self.state, self.ack = "open", (received.seq + 1) & packet.MASK
        elif received.data and received.seq == self.ack:
            self.answer = received.data
            self.ack = (received.seq + len(received.data)) & packet.MASK
            self._send(packet.ACK)
        self.changed.set()

    def _send(self, flags: int, data: bytes = b"", *, ack: int | None = None) -> None:
        sent = packet.Packet(
            flags=flags,
            source=self.end,
            target=self.service,
            seq=self.seq,
            ack=self.ack if ack is None else ack,
            data=data,
        )
        self.client.send(packet.encode(sent), self.end[1])

    async def _wait(self, seconds: float) -> None:
        self.changed.clear()
        try:
            async with asyncio.timeout(max(seconds, 0.001)):
                await self.changed.wait()
        except TimeoutError:
            return

    async def open(self) -> bool:
        """Open the flow; return whether a host accepted it."""
        self.state = "opening"
        started = time.monotonic()
        copies = 0
        while self.state == "opening":
            age = time.monotonic() - started
            if age >= OPENING_SECONDS:
                break
            if copies < len(SYN_COPIES) and age >= SYN_COPIES[copies]:
                self._send(packet.SYN, ack=copies)
                copies += 1
            due = SYN_COPIES[copies] if copies < len(SYN_COPIES) else OPENING_SECONDS
            await self._wait(started + due - time.monotonic())
        if self.state != "open":
            return False
        self.seq += 1
        return True

    async def request(self, path: str, *, seconds: float) -> bytes | None:
        """Send a request on the open flow and return the answer, if any."""
        identity = f"{random.getrandbits(64):016x}"
        self.client.note("sent", flow=self.end[1], id=identity, path=path)
        data = (
            f"GET {path} HTTP/1.1\r\nhost: x\r\n"
            f"X-Plantainproxy-Request-Id: {identity}\r\n\r\n"
        ).encode()
        self.answer = None
        deadline, pause = time.monotonic() + seconds, RETRANSMIT_SECONDS
        due = 0.0
        while self.state == "open" and self.answer is None:
            now = time.monotonic()
            if now >= deadline:
                break
            if now >= due:
                self._send(packet.ACK, data)
                due, pause = now + pause, min(2 * pause, MAX_RETRANSMIT_SECONDS)
            await self._wait(min(due, deadline) - time.monotonic())
        if self.answer is not None:
            self.seq += len(data)
            self.client.note("answered", flow=self.end[1], id=identity)
        return self.answer

    def close(self) -> None:
        """Close the flow."""
        if self.state == "open":
            self._send(packet.FIN | packet.ACK)
        self.client.flows.pop(self.end[1], None)


class Client:
    """A client with its own address, whose packets the router forwards."""

    def __init__(
        self,
        *,
        ip: str,
        data_port: int,
        choose: typing.Callable[[int], str | None],
        note: Note,
    ) -> None:
        """Create a client; ``choose`` returns the edge node for a port, if any."""
        self.ip = ip
        self.data_port = data_port
        self.choose = choose
        self.note = note
        self.flows: dict[int, Flow] = {}
        self.next_port = random.randrange(10_000, 20_000)

    async def start(self) -> None:
        """Open the socket."""
        self.transport = await open_socket(self.ip, self.data_port, self._receive)

    def _receive(self, raw: bytes) -> None:
        received = packet.decode(raw)
        flow = self.flows.get(received.target[1])
        if flow is not None and received.source == flow.service:
            flow.receive(received)

    def send(self, raw: bytes, port: int) -> None:
        """Send a packet through the router."""
        edge = self.choose(port)
        if edge is not None:
            self.transport.sendto(raw, (edge, self.data_port))

    def new_flow(self, service: packet.End) -> Flow:
        """Return a flow from a port that was not used before."""
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self, self.next_port, service)
        return flow
