"""Tests of the datapath over real sockets and with invalid input."""

from collections import abc
import contextlib
import dataclasses
import random
import socket
import typing

import pytest
import trio

from plantainproxy import _members, _types
from plantainproxy.balancer import datapath, health, resets
from plantainproxy.config import model
from plantainproxy.core import packets, routing
from plantainproxy.quic import classify
from plantainproxy.wire import connection_id, keyring, proxy, tunnel

TEST_TIMEOUT_SECONDS = 20
SERVICE = _types.Address("127.1.0.1", 443)
CALLER = _types.Address("127.0.9.9", 5555)
GENERATION = 1_800_000_000_000
KEY_SET = model.KeySet(
    revision=1, current=7, keys=(model.Key(number=7, secret=b"s" * 32),)
)
KEY_RING = keyring.Keyring(KEY_SET)
CONFIGURATION = model.Configuration(
    revision=1,
    routes=(model.Route(name="fleet", address=SERVICE, pool="fleet"),),
    pools=(model.Pool(name="fleet"),),
    domains=(model.Domain(name="rimouski", number=1),),
)


def record(tunnel_address: _types.Address) -> _members.MemberRecord:
    """Return the member record of a sidecar."""
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=tunnel_address,
        domain="rimouski",
        generation=GENERATION,
        sequence=1,
        pool="fleet",
        tunnel=tunnel_address,
    )


def short_packet(tunnel_address: _types.Address) -> bytes:
    """Return the QUIC packet of an established connection to a sidecar."""
    destination = packets.Destination(
        tunnel_address.pack(),
        1,
        packets.generation_tag(GENERATION),
        packets.service_tag(SERVICE.pack()),
    )
    encoded_id = connection_id.encode(KEY_RING.current, destination, nonce=1)
    return b"\x40" + encoded_id + b"b" * 30


def initial_packet(number: int) -> bytes:
    """Return the QUIC Initial packet of flow ``number``."""
    return b"\xc0\x00\x00\x00\x01\x08" + number.to_bytes(8, "big") + b"\x00" * 1200


def from_fabric(payload: bytes, service: _types.Address = SERVICE) -> bytes:
    """Return a payload with the fabric's proxy header."""
    return proxy.encode(source=CALLER, destination=service) + payload


class DatapathHarness(typing.NamedTuple):
    """A running datapath, and the sockets of the fabric and of two sidecars."""

    state: datapath.State
    balancer: _types.Address
    fabric: trio.socket.SocketType
    sidecars: tuple[trio.socket.SocketType, trio.socket.SocketType]

    def tunnel(self, number: int) -> _types.Address:
        """Return the tunnel address of a sidecar."""
        return _types.Address(*self.sidecars[number].getsockname())


async def _open_socket() -> trio.socket.SocketType:
    bound_socket = trio.socket.socket(type=socket.SOCK_DGRAM)
    await bound_socket.bind(("127.0.0.1", 0))
    return bound_socket


@contextlib.asynccontextmanager
async def running() -> abc.AsyncIterator[DatapathHarness]:
    """Run a datapath with two sidecars in its state."""
    sidecars = (await _open_socket(), await _open_socket())
    fabric = await _open_socket()
    state = datapath.State()
    with (
        datapath.open_socket(_types.Address("127.0.0.1", 0)) as bound_socket,
        sidecars[0],
        sidecars[1],
        fabric,
    ):
        harness = DatapathHarness(
            state, _types.Address(*bound_socket.getsockname()), fabric, sidecars
        )
        records = tuple(record(harness.tunnel(number)) for number in range(2))
        send, receive = trio.open_memory_channel[datapath.Event](8)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(datapath.run, state, bound_socket, receive)
            for event in (
                datapath.KeysChanged(key_set=KEY_SET),
                routing.ConfigurationChanged(configuration=CONFIGURATION),
                routing.MembersChanged(pool="fleet", records=records),
            ):
                await send.send(event)
            while len(state.routing.upstreams) < len(records):
                await trio.sleep(0.01)
            yield harness
            await send.aclose()


def test_established_packets_reach_the_sidecar_that_they_name() -> None:
    """The sidecar receives the fabric's datagram unchanged after the tunnel prefix."""

    async def main() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with running() as harness:
                for number in (0, 1):
                    datagram = from_fabric(short_packet(harness.tunnel(number)))
                    await harness.fabric.sendto(datagram, harness.balancer)
                    received = await harness.sidecars[number].recv(65536)
                    message = tunnel.decode(received, cookies=KEY_RING.cookies)
                    assert message == tunnel.Message(0, (), datagram)
            assert harness.state.counters.established == 2

    trio.run(main)


def test_opening_packets_of_one_flow_reach_one_sidecar() -> None:
    """Packets of a flow go to the owner of its slot."""

    async def main() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with running() as harness:
                for number in range(20):
                    datagram = from_fabric(initial_packet(number))
                    packet = packets.Packet(
                        number.to_bytes(8, "big"), SERVICE.pack(), True
                    )
                    action = routing.route(harness.state.routing, packet, 0.0)
                    assert isinstance(action, routing.Forward)
                    expected = int(action.tunnel == harness.tunnel(1))
                    for _ in range(2):
                        await harness.fabric.sendto(datagram, harness.balancer)
                        received = await harness.sidecars[expected].recv(65536)
                        assert received.endswith(datagram)

    trio.run(main)


def test_a_caller_of_a_sidecar_that_left_gets_a_reset() -> None:
    """The reset is sent through the fabric and ends with the connection ID's token."""

    async def main() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with running() as harness:
                left = dataclasses.replace(
                    record(harness.tunnel(0)), state=_types.MemberState.LEFT
                )
                event = routing.MembersChanged(pool="fleet", records=(left,))
                await datapath.apply(harness.state, [event])
                payload = short_packet(harness.tunnel(0))
                await harness.fabric.sendto(from_fabric(payload), harness.balancer)
                answer = await harness.fabric.recv(65536)
                header = proxy.decode(answer)
                assert header is not None
                assert header.source == SERVICE.pack()
                assert header.destination == CALLER.pack()
                token = KEY_RING.current.reset_token(payload[1:18])
                assert answer.endswith(token)
                assert len(answer) - header.payload_offset < len(payload)

    trio.run(main)


class Case(typing.NamedTuple):
    """An invalid datagram and the reason under which it is counted."""

    datagram: bytes
    reason: routing.DropReason


REASON = routing.DropReason
CASES = (
    Case(b"", REASON.BAD_HEADER),
    Case(short_packet(SERVICE), REASON.BAD_HEADER),
    Case(from_fabric(b""), REASON.INVALID_PACKET),
    Case(from_fabric(b"\x40" + b"x" * 16), REASON.INVALID_PACKET),
    Case(from_fabric(b"\x40" + b"\x07" * 40), REASON.INVALID_PACKET),
    Case(from_fabric(initial_packet(1), CALLER), REASON.UNKNOWN_SERVICE),
    Case(from_fabric(initial_packet(1)), REASON.NO_UPSTREAM),
    Case(from_fabric(b"x" * datapath.MAX_DATAGRAM_BYTES), REASON.TOO_LARGE),
)


def configured_state() -> datapath.State:
    """Return a state with keys and a configuration but without members."""
    state = datapath.State()
    events: list[datapath.Event] = [
        datapath.KeysChanged(key_set=KEY_SET),
        routing.ConfigurationChanged(configuration=CONFIGURATION),
    ]
    trio.run(datapath.apply, state, events)
    return state


def forward(state: datapath.State, datagrams: list[bytes], send: datapath.Send) -> None:
    """Run the datapath on datagrams, as if its socket had received them."""
    waiting = iter(datagrams)

    def receive(datagram_view: memoryview) -> tuple[int, tuple[str, int]]:
        for datagram in waiting:
            size = min(len(datagram), len(datagram_view))
            datagram_view[:size] = datagram[:size]
            return size, CALLER
        raise BlockingIOError

    datapath.forward_batch(state, receive, send, datapath.make_buffer(), now=0.0)


@pytest.mark.parametrize("case", CASES)
def test_a_bad_datagram_is_counted_by_reason(case: Case) -> None:
    """The datagram is dropped without an exception."""
    state = configured_state()
    sent: list[object] = []
    forward(state, [case.datagram], lambda message, _: sent.append(message))
    assert state.counters.drops[case.reason] == 1
    assert not sent


def test_a_large_established_packet_is_not_forwarded_in_part() -> None:
    """The size limit also applies on the fast path."""
    state = configured_state()
    address = _types.Address("127.0.3.1", 9)
    event = routing.MembersChanged(pool="fleet", records=(record(address),))
    trio.run(datapath.apply, state, [event])
    datagram = from_fabric(short_packet(address))
    sent: list[int] = []
    for size in (datapath.MAX_DATAGRAM_BYTES, datapath.MAX_DATAGRAM_BYTES + 1):
        padded = datagram.ljust(size, b"b")
        forward(state, [padded], lambda message, _: sent.append(len(message)))
    assert sent == [tunnel.PREFIX_BYTES + datapath.MAX_DATAGRAM_BYTES]
    assert state.counters.drops[REASON.TOO_LARGE] == 1


def test_nothing_is_forwarded_before_the_keys_are_known() -> None:
    """A datagram that arrives before the first key set is dropped as not ready."""
    state = datapath.State()
    forward(
        state,
        [from_fabric(initial_packet(1))],
        lambda message, _: pytest.fail("sent without keys"),
    )
    assert state.counters.drops[REASON.NOT_READY] == 1


def test_mutated_datagrams_never_raise() -> None:
    """Each datagram is forwarded, answered with a reset or counted as dropped."""
    state = configured_state()
    generator = random.Random(3)
    valid = (from_fabric(short_packet(SERVICE)), from_fabric(initial_packet(1)))
    rounds = 4000
    for number in range(rounds):
        datagram = bytearray(valid[number % 2])
        for _ in range(generator.randrange(4)):
            datagram[generator.randrange(len(datagram))] = generator.randrange(256)
        truncated = bytes(datagram[: generator.randrange(1, 80)])
        forward(state, [truncated], lambda message, _: None)
    counters = state.counters
    counted = counters.established + counters.opening + counters.resets
    assert counted + sum(counters.drops.values()) == rounds


def test_the_fast_path_forwards_like_the_routing_rules() -> None:
    """When the fast path forwards a packet, ``routing.route`` picks the same target."""
    tunnels = [_types.Address("127.0.3.1", number) for number in range(1, 6)]
    states = (_types.MemberState.LEFT, _types.MemberState.DRAINING)
    records = [record(tunnel_address) for tunnel_address in tunnels]
    records[1] = dataclasses.replace(records[1], state=states[0])
    records[2] = dataclasses.replace(records[2], state=states[1])
    records[3] = dataclasses.replace(records[3], lost=True)
    records[4] = dataclasses.replace(records[4], generation=GENERATION + 9000)
    state = configured_state()
    event = routing.MembersChanged(pool="fleet", records=tuple(records))
    trio.run(datapath.apply, state, [event])
    forwarded_to = []
    for tunnel_address in tunnels:
        datagram = from_fabric(short_packet(tunnel_address))
        buffer = bytearray(tunnel.PREFIX_BYTES) + datagram
        target = state.fast_path(buffer)
        packet = classify.classify_packet(
            KEY_RING, SERVICE.pack(), datagram, proxy.HEADER_BYTES
        )
        assert packet is not None
        if target is not None:
            action = routing.route(state.routing, packet, 1e9)
            assert action == routing.Forward(target)
            forwarded_to.append(target)
    assert forwarded_to == [tunnels[0], tunnels[2]]


@pytest.mark.parametrize(("size", "expected"), [(21, None), (22, 21), (200, 48)])
def test_a_reset_is_smaller_than_its_cause(size: int, expected: int | None) -> None:
    """A packet gets no reset if a valid reset would not be smaller than the packet."""
    packet = short_packet(SERVICE)[:18] + b"b" * (size - 18)
    reset = resets.build_reset(KEY_RING, packet, lambda count: b"\xff" * count)
    assert (None if reset is None else len(reset)) == expected


def test_resets_are_limited() -> None:
    """After a burst, tokens are available at the refill rate."""
    limit = resets.RateLimit()
    burst = int(resets.RESET_BURST)
    assert all(resets.acquire_token(limit, now=1.0) for _ in range(burst))
    assert not resets.acquire_token(limit, now=1.0)
    assert resets.acquire_token(limit, now=1.0 + 2 / resets.RESETS_PER_SECOND)


async def _accepts(address: _types.Address) -> bool:
    try:
        stream = await trio.open_tcp_stream(*address)
    except OSError:
        return False
    await stream.aclose()
    return True


async def _wait_until(address: _types.Address, *, accepts: bool) -> None:
    while await _accepts(address) is not accepts:
        await trio.sleep(0.01)


def test_the_health_port_accepts_only_while_in_service() -> None:
    """The listener opens and closes as the messages state."""

    async def main() -> None:
        send, receive = trio.open_memory_channel[bool](4)
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    health.run, _types.Address("127.0.0.1", 0), receive
                )
                assert not await _accepts(address)
                for serving in (True, False, True):
                    await send.send(serving)
                    await _wait_until(address, accepts=serving)
                await send.aclose()
            assert not await _accepts(address)

    trio.run(main)
