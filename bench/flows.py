"""Measures CPU time per packet and memory per flow of the transparent flow balancer.

Run with ``python -m bench.flows``. The cases are packets of established flows, opening
packets, and packets that miss the flow cache.
"""

from collections import abc
import random
import socket
import time
import tracemalloc

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, packets, policy
from plantainproxy.flows.engine import balancer, balancer_state, upstreams
from plantainproxy.flows.programs import datagrams
from plantainproxy.platform import packet_format
from standins import flow_ends

PACKETS = 20_000
FLOWS = 100_000
POOL_SIZES = (10, 100, 1_000, 17_000)
SERVICE = _types.Address("198.18.0.1", 8443)
CALLER = "10.64.0.7"
POOL = "feed"
PAYLOAD = b"x" * 200
SINK = _types.Address("127.0.0.1", 9)
MICROSECONDS = 1e6


class ForwardingPort:
    """Sends all packets that a balancer forwards to one discard address."""

    def __init__(self, sender: socket.socket, log: event_log.EventLog) -> None:
        """Send through an open socket."""
        self.sender = sender
        self.log = log
        self.local_address = socket.inet_aton("127.0.0.1")

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Set the forwarding fields of a packet and send it."""
        data = packet_format.set_forwarding_fields(
            packet.data, balancer=self.local_address, purpose=purpose
        )
        datagrams.send(self.sender, data, SINK, self.log)

    def reset(self, packet: packets.Packet) -> None:
        """Ignore the packet; no reset is sent."""


def _make_packet(port: int, *, flags: int = packet_format.ACK) -> bytes:
    source = _types.Address(CALLER, port)
    return flow_ends.encode(flags, source, SERVICE, payload=PAYLOAD)


def _make_engine(port: ForwardingPort, size: int) -> balancer_state.Engine:
    engine = balancer_state.Engine(
        port=port, domain="d", draw=random.random, log=event_log.EventLog("bench")
    )
    service = packet_format.pack_service(SERVICE)
    route = policy.Route(
        name="r",
        service=service,
        kind=policy.RouteKind.IDEMPOTENT,
        shares=(policy.Share(pool=POOL, weight=1.0),),
    )
    balancer.apply_policy(
        engine, policy.Policy(revision=1, routes={service: route}), now=0.0
    )
    addresses = [
        _types.Address(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 7_000)
        for n in range(size)
    ]
    balancer.apply_registrations(
        engine,
        {
            address: upstreams.ListedSidecar(data_address=address)
            for address in addresses
        },
        now=0.0,
    )
    engine.view.complete_at = 0.0
    report = messages.Report(
        boot=1,
        number=1,
        revision=1,
        pool=POOL,
        domain="d",
        state=messages.UpstreamState.READY,
        data_port=7_000,
        running=0,
        flows=0,
        slots=4,
        room=1_000_000,
        cold=False,
        complete=True,
    )
    for upstream in engine.view.upstreams.values():
        upstream.report, upstream.last_report_at = report, 0.0
    upstreams.rebuild_rings(engine.view)
    return engine


def _measure_call(call: abc.Callable[[int], None], count: int) -> float:
    """Return the mean CPU time of one call in microseconds."""
    started = time.process_time()
    for number in range(count):
        call(number)
    return (time.process_time() - started) / count * MICROSECONDS


def _send_and_receive(
    receiver: socket.socket, data: bytes, sender: socket.socket
) -> bytes:
    sender.sendto(data, receiver.getsockname())
    return receiver.recv(65_536)


def main() -> None:
    """Measure all cases and print the results."""
    with (
        socket.socket(type=socket.SOCK_DGRAM) as sender,
        socket.socket(type=socket.SOCK_DGRAM) as receiver,
    ):
        receiver.bind(("127.0.0.1", 0))
        log = event_log.EventLog("bench")
        port = ForwardingPort(sender, log)
        data = _make_packet(2_000)

        def receive_and_send(_: int) -> None:
            datagrams.send(sender, _send_and_receive(receiver, data, sender), SINK, log)

        baseline_microseconds = _measure_call(receive_and_send, PACKETS)
        print(f"bare receive and send: {baseline_microseconds:.1f} us")
        for size in POOL_SIZES:
            _measure_size(port, sender, receiver, size)
    _measure_memory(ForwardingPort(socket.socket(type=socket.SOCK_DGRAM), log))


def _measure_size(
    port: ForwardingPort, sender: socket.socket, receiver: socket.socket, size: int
) -> None:
    engine = _make_engine(port, size)
    opening = packet_format.decode(_make_packet(2_000, flags=packet_format.SYN))
    assert opening is not None
    balancer.handle_packet(engine, opening, now=0.1)
    data = _make_packet(2_000)

    def forward(_: int) -> None:
        packet = packet_format.decode(_send_and_receive(receiver, data, sender))
        assert packet is not None
        balancer.handle_packet(engine, packet, now=0.1)

    def place(number: int) -> None:
        key = opening.flow[:10] + number.to_bytes(2, "little")
        balancer.handle_packet(engine, opening._replace(flow=key), now=0.1)

    established = opening._replace(opening=False)

    def miss(number: int) -> None:
        key = opening.flow[:8] + number.to_bytes(4, "little")
        balancer.handle_packet(engine, established._replace(flow=key), now=0.1)

    print(
        f"{size} upstreams: established {_measure_call(forward, PACKETS):.1f} us, "
        f"opening {_measure_call(place, PACKETS // 4):.1f} us, "
        f"miss {_measure_call(miss, PACKETS // 4):.1f} us"
    )


def _measure_memory(port: ForwardingPort) -> None:
    engine = _make_engine(port, 10)
    opening = packet_format.decode(_make_packet(2_000, flags=packet_format.SYN))
    assert opening is not None
    tracemalloc.start()
    for number in range(FLOWS):
        key = opening.flow[:8] + number.to_bytes(4, "little")
        balancer.handle_packet(engine, opening._replace(flow=key), now=0.1)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    print(f"memory of a cached flow: {traced_bytes / FLOWS:.0f} bytes at {FLOWS} flows")


if __name__ == "__main__":
    main()
