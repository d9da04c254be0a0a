"""Stand-ins of hosts and clients, and the packets that they exchange.

The sum of a packet is over a key that only the two ends know. Here it is a CRC, which
both ends check, so that a changed packet is seen.
"""

import asyncio
import json
import random
import socket
import struct
import time
import zlib

HEADER = struct.Struct("<B3sIHII4sH4sH4s")
SYN, FIN, BOUNCED, ACK, RST = 2, 8, 16, 64, 128
COPY_AFTER = (0.2, 0.6)
OPEN_TIMEOUT = 1.4
MASK = 0xFFFFFFFF
HALF = 0x80000000


def pack_host(host):
    """Return an IPv4 address in the order of a packet."""
    return socket.inet_aton(host)[::-1]


def unpack_host(data):
    """Return the IPv4 address of four bytes of a packet."""
    return socket.inet_ntoa(data[::-1])


def checksum(flags, seq, ack, src, dst, payload):
    """Return the sum that both ends of a flow compute."""
    core = bytes((flags & ~BOUNCED,)) + struct.pack("<II", seq, ack)
    return zlib.crc32(core + repr((src, dst)).encode() + payload, 0x5EED) or 1


def encode(flags, src, dst, seq, ack, payload=b""):
    """Encode a packet of a client or a host."""
    seq, ack = seq & MASK, ack & MASK
    return (
        HEADER.pack(
            flags,
            bytes(3),
            checksum(flags, seq, ack, src, dst, payload),
            len(payload),
            seq,
            ack,
            pack_host(dst[0]),
            dst[1],
            pack_host(src[0]),
            src[1],
            bytes(4),
        )
        + payload
    )


class Packet:
    """A decoded packet."""

    def __init__(self, data):
        """Decode a datagram."""
        (self.flags, _, self.sum, _, self.seq, self.ack, dst, dport, src, sport, _) = (
            HEADER.unpack_from(data)
        )
        self.src = (unpack_host(src), sport)
        self.dst = (unpack_host(dst), dport)
        self.payload = data[HEADER.size :]
        self.is_genuine = self.sum == checksum(
            self.flags, self.seq, self.ack, self.src, self.dst, self.payload
        )


class _Udp(asyncio.DatagramProtocol):
    """Passes the data of each datagram to a function."""

    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, sender):
        self.handle(data)


async def open_udp(address, handle):
    """Open a UDP socket whose datagrams go to a function."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Udp(handle), local_addr=address
    )
    return transport


class Host:
    """A host of a service: its flows, its requests, its health and its heartbeats."""

    def __init__(
        self,
        *,
        name,
        service,
        zone,
        address,
        outbound,
        control,
        record,
        slots=5,
        work_s=0.03,
        heartbeat_s=0.77,
    ):
        """Create a host that has not started."""
        self.name, self.service, self.zone = name, service, zone
        self.address, self.outbound, self.control = address, outbound, control
        self.record, self.slots, self.work_s = record, slots, work_s
        self.heartbeat_s = heartbeat_s
        self.draining = False
        self.cold_until = float("-inf")
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.half_open = {}
        self.flows = {}
        self.tasks = []
        self.slot_gate = asyncio.Semaphore(slots)
        self.drain_acked_at = None
        self.alive = False

    async def start(self):
        """Open the sockets and start the heartbeats."""
        self.alive = True
        self.udp = await open_udp(self.address, self._receive)
        self.tcp = await asyncio.start_server(self._health, *self.address)
        self.tasks.append(asyncio.create_task(self._beat_forever()))
        self.record.write("host started", host=self.name, service=self.service)

    def crash(self):
        """End at once; the flows are gone."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.udp.close()
        self.tcp.close()
        for writer in list(getattr(self, "writers", ())):
            writer.transport.abort()
        self.record.write("host ended", host=self.name)

    async def leave(self, *, serve_s):
        """Drain, serve some time more, deregister and exit."""
        self.draining = True
        await self._beat()
        await asyncio.sleep(serve_s)
        await self._post(f"/v1/instances/{self.name}/deregister", {"born": self.born})
        self.crash()

    async def _health(self, reader, writer):
        self.writers = getattr(self, "writers", set())
        self.writers.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                status = 503 if self.draining else 200
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}".encode()
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _beat_forever(self):
        while True:
            await self._beat()
            await asyncio.sleep(self.heartbeat_s)

    async def _beat(self):
        self.seq += 1
        left = max(self.cold_until - time.monotonic(), 0)
        state = "draining" if self.draining else "ready"
        body = {
            "service": self.service,
            "addr": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": int(left * 1000),
            "seq": self.seq,
            "born": self.born,
        }
        status = await self._post(f"/v1/instances/{self.name}/heartbeat", body)
        if status == 200 and state == "draining" and self.drain_acked_at is None:
            self.drain_acked_at = time.monotonic()
            self.record.write("draining acknowledged", host=self.name)

    async def _post(self, path, body):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.control)
                encoded = json.dumps(body).encode()
                writer.write(
                    f"POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
                    f"content-type: application/json\r\n"
                    f"content-length: {len(encoded)}\r\n\r\n".encode()
                    + encoded
                )
                line = await reader.readline()
                writer.close()
                return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError):
            return 0

    def _send(self, data):
        if self.alive:
            self.udp.sendto(data, self.outbound)

    def _receive(self, data):
        packet = Packet(data)
        if not packet.is_genuine:
            self.record.write("forged packet at host", host=self.name)
            return
        key = (packet.src, packet.dst)
        if packet.flags & SYN:
            self._handle_opening(key, packet)
        elif key in self.flows or self._is_acceptance_confirmed(key, packet):
            self._handle_flow(key, packet)
        elif not packet.flags & RST:
            self.record.write("stray at host", host=self.name, flow=_label(key))
            self._send(bytes((data[0] | BOUNCED,)) + bytes(3) + data[4:])

    def _handle_opening(self, key, packet):
        if packet.flags & ACK:
            self.record.write("acceptance at host", host=self.name)
            return
        if key not in self.half_open:
            self.half_open[key] = (random.getrandbits(32), packet.seq)
            self.record.write("opening at host", host=self.name, flow=_label(key))
        iss, _ = self.half_open[key]
        self._send(encode(SYN | ACK, key[1], key[0], iss, packet.seq + 1))

    def _is_acceptance_confirmed(self, key, packet):
        offered = self.half_open.get(key)
        if offered is None or packet.ack != (offered[0] + 1) & MASK:
            return False
        self.flows[key] = {
            "next": (offered[1] + 1) & MASK,
            "snd": (offered[0] + 1) & MASK,
            "acked": (offered[0] + 1) & MASK,
            "fin": False,
        }
        self.record.write("flow open", host=self.name, flow=_label(key))
        return True

    def _handle_flow(self, key, packet):
        flow = self.flows[key]
        if packet.flags & RST:
            del self.flows[key]
            self.half_open.pop(key, None)
            return
        if (packet.ack - flow["acked"]) & MASK < HALF:
            flow["acked"] = packet.ack
        if packet.payload:
            if packet.seq == flow["next"]:
                flow["next"] = (flow["next"] + len(packet.payload)) & MASK
                self.tasks.append(
                    asyncio.create_task(self._run(key, packet.payload.decode()))
                )
            self._send(encode(ACK, key[1], key[0], flow["snd"], flow["next"]))
        if packet.flags & FIN and packet.seq == flow["next"] and not flow["fin"]:
            flow["fin"] = True
            flow["next"] = (flow["next"] + 1) & MASK
            fin = encode(ACK | FIN, key[1], key[0], flow["snd"], flow["next"])
            flow["snd"] = (flow["snd"] + 1) & MASK
            self._send(fin)

    async def _run(self, key, request):
        async with self.slot_gate:
            self.record.write(
                "run", host=self.name, service=self.service, request=request
            )
            await asyncio.sleep(self.work_s)
        flow = self.flows.get(key)
        if flow is None:
            return
        payload = f"answer to {request} by {self.name}".encode()
        start = flow["snd"]
        flow["snd"] = end = (start + len(payload)) & MASK
        wait = 0.2
        for _ in range(9):
            if key not in self.flows:
                return
            self._send(encode(ACK, key[1], key[0], start, flow["next"], payload))
            await asyncio.sleep(wait)
            wait = min(2 * wait, 1.6)
            if (flow["acked"] - end) & MASK < HALF:
                return


def _label(key):
    """Return the client's address and port of a flow."""
    return f"{key[0][0]}:{key[0][1]}"


class ResetError(Exception):
    """The client got a reset of the flow."""


class NoAnswerError(Exception):
    """The client got no answer in time."""


class Client:
    """A client address; it opens flows from new ports."""

    def __init__(self, host, port, router, record):
        """Create a client whose packets go through a router."""
        self.address = (host, port)
        self.router, self.record = router, record
        self.next_port = 20_000
        self.flows = {}

    async def start(self):
        """Open the socket of the client."""
        self.udp = await open_udp(self.address, self._receive)

    def _receive(self, data):
        packet = Packet(data)
        flow = self.flows.get((packet.dst, packet.src))
        if flow is not None:
            flow.receive(packet)

    async def open(self, service):
        """Open a flow; raise if it is reset or not accepted."""
        self.next_port += 1
        flow = Flow(self, (self.address[0], self.next_port), service)
        self.flows[(flow.source, service)] = flow
        await flow.open()
        return flow


class Flow:
    """The client's end of a flow with one request at a time."""

    def __init__(self, client, source, service):
        """Create a flow that is not open."""
        self.client, self.source, self.service = client, source, service
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.reset_at = None
        self.inbox = asyncio.Queue()
        self.last_packet_at = time.monotonic()

    def label(self):
        """Return the client's address and port."""
        return f"{self.source[0]}:{self.source[1]}"

    def send(self, flags, payload=b"", seq=None, ack=None):
        """Send a packet through the balancer that the router selects."""
        data = encode(
            flags,
            self.source,
            self.service,
            self.seq if seq is None else seq,
            self.ack if ack is None else ack,
            payload,
        )
        self.last_packet_at = time.monotonic()
        balancer = self.client.router.route(self.source, self.service)
        if balancer is not None:
            self.client.udp.sendto(data, balancer)

    def receive(self, packet):
        """Take a packet for this flow."""
        if packet.flags & RST:
            near = (packet.seq - self.ack + 76_800) & MASK <= 153_600
            if self.is_open and not near:
                return
            self.reset_at = time.monotonic()
            self.client.record.write(
                "reset at client",
                flow=self.label(),
                of_system=packet.sum == 0,
                was_open=self.is_open,
            )
            self.inbox.put_nowait(packet)
            return
        if not packet.is_genuine:
            self.client.record.write("forged packet at client", flow=self.label())
            return
        self.inbox.put_nowait(packet)

    async def open(self):
        """Send the opening and its copies until it is accepted."""
        started = time.monotonic()
        copies = [0.0, *COPY_AFTER]
        for number, at in enumerate(copies):
            await self._wait_until(started + at, lambda p: p.flags & SYN)
            if self.is_open:
                return
            self.send(SYN, ack=number)
        await self._wait_until(started + OPEN_TIMEOUT, lambda p: p.flags & SYN)
        if not self.is_open:
            raise NoAnswerError("no acceptance")

    async def _wait_until(self, deadline, matches):
        while (left := deadline - time.monotonic()) > 0:
            try:
                packet = await asyncio.wait_for(self.inbox.get(), left)
            except TimeoutError:
                return None
            if packet.flags & RST:
                raise ResetError(self.label())
            if packet.flags & SYN:
                if not self.is_open:
                    self.is_open = True
                    self.ack = (packet.seq + 1) & MASK
                    self.seq = (self.seq + 1) & MASK
                    self.send(ACK)
                    return packet
                continue
            if matches(packet):
                return packet
        return None

    async def request(self, text, deadline_s=5.0):
        """Send one request and return the answer's text."""
        payload = text.encode()
        self.client.record.write("sent", request=text, flow=self.label())
        deadline = time.monotonic() + deadline_s
        wait = 0.2
        while time.monotonic() < deadline:
            self.send(ACK, payload)
            until = min(time.monotonic() + wait, deadline)
            packet = await self._wait_until(until, lambda p: p.payload)
            wait = min(2 * wait, 1.6)
            while packet is not None and packet.seq != self.ack:
                packet = await self._wait_until(until, lambda p: p.payload)
            if packet is None:
                continue
            self.seq = (self.seq + len(payload)) & MASK
            self.ack = (self.ack + len(packet.payload)) & MASK
            self.send(ACK)
            answer = packet.payload.decode()
            self.client.record.write("answered", request=text, answer=answer)
            return answer
        raise NoAnswerError(text)

    def close(self):
        """Send a FIN."""
        if self.is_open:
            self.send(ACK | FIN)
