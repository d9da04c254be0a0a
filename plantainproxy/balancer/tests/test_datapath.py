"""The datapath over real sockets, and on bad input."""

from collections import abc
import contextlib
import dataclasses
import random
import socket
import typing

import pytest
import trio

from plantainproxy import _types
from plantainproxy.balancer import datapath, health, resets
from plantainproxy.config import model
from plantainproxy.core import packets, routing
from plantainproxy.quic import classify
from plantainproxy.wire import connection_id, keyring, proxy, tunnel

HANG_SECONDS = 20
SERVICE = _types.Address("127.1.0.1", 443)
CALLER = _types.Address("127.0.9.9", 5555)
GENERATION = 1_800_000_000_000
KEY_SET = model.KeySet(
    revision=1, current=7, keys=(model.Key(number=7, secret=b"s" * 32),)
)
RING = keyring.Keyring(KEY_SET)
CONFIGURATION = model.Configuration(
    revision=1,
    routes=(model.Route(name="fleet", address=SERVICE, pool="fleet"),),
    pools=(model.Pool(name="fleet"),),
    domains=(model.Domain(name="rimouski", number=1),),
)


def record(tunnel_address: _types.Address) -> _types.MemberRecord:
    """Make the record of a sidecar."""
    return _types.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=tunnel_address,
        domain="rimouski",
        generation=GENERATION,
        sequence=1,
        pool="fleet",
        tunnel=tunnel_address,
    )


def short_packet(tunnel_address: _types.Address) -> bytes:
    """Make an established packet's payload."""
    destination = packets.Destination(
        tunnel_address.pack(),
        1,
        packets.generation_tag(GENERATION),
        packets.service_tag(SERVICE.pack()),
    )
    found = connection_id.encode(RING.current, destination, nonce=1)
    return b"\x40" + found + b"b" * 30


def initial(number: int) -> bytes:
    """Make an opening packet's payload."""
    return b"\xc0\x00\x00\x00\x01\x08" + number.to_bytes(8, "big") + b"\x00" * 1200


def from_fabric(payload: bytes, service: _types.Address = SERVICE) -> bytes:
    """Put the fabric's header before a payload."""
    return proxy.encode(source=CALLER, destination=service) + payload


class Rig(typing.NamedTuple):
    """A running datapath with two sidecars' sockets and the fabric's."""

    state: datapath.State
    balancer: _types.Address
    fabric: trio.socket.SocketType
    sidecars: tuple[trio.socket.SocketType, trio.socket.SocketType]

    def tunnel(self, number: int) -> _types.Address:
        """Return a sidecar's address."""
        return _types.Address(*self.sidecars[number].getsockname())


async def _bound() -> trio.socket.SocketType:
    opened = trio.socket.socket(type=socket.SOCK_DGRAM)
    await opened.bind(("127.0.0.1", 0))
    return opened


@contextlib.asynccontextmanager
async def running() -> abc.AsyncIterator[Rig]:
    """Run a datapath that knows two sidecars."""
    sidecars = (await _bound(), await _bound())
    fabric = await _bound()
    state = datapath.State()
    with (
        datapath.open_socket(_types.Address("127.0.0.1", 0)) as opened,
        sidecars[0],
        sidecars[1],
        fabric,
    ):
        rig = Rig(state, _types.Address(*opened.getsockname()), fabric, sidecars)
        records = tuple(record(rig.tunnel(number)) for number in range(2))
        send, receive = trio.open_memory_channel[datapath.Event](8)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(datapath.run, state, opened, receive)
            for event in (
                datapath.KeysChanged(key_set=KEY_SET),
                routing.ConfigurationChanged(configuration=CONFIGURATION),
                routing.MembersChanged(pool="fleet", records=records),
            ):
                await send.send(event)
            while len(state.routing.upstreams) < len(records):
                await trio.sleep(0.01)
            yield rig
            await send.aclose()


def test_established_packets_reach_the_sidecar_that_they_name() -> None:
    """The sidecar receives the fabric's datagram unchanged behind a prefix."""

    async def main() -> None:
        with trio.fail_after(HANG_SECONDS):
            async with running() as rig:
                for number in (0, 1):
                    datagram = from_fabric(short_packet(rig.tunnel(number)))
                    await rig.fabric.sendto(datagram, rig.balancer)
                    received = await rig.sidecars[number].recv(65536)
                    message = tunnel.decode(received, cookies=RING.cookies)
                    assert message == tunnel.Message(0, (), datagram)
            assert rig.state.counters.established == 2

    trio.run(main)


def test_opening_packets_of_one_flow_reach_one_sidecar() -> None:
    """Each flow's packets follow the slot table."""

    async def main() -> None:
        with trio.fail_after(HANG_SECONDS):
            async with running() as rig:
                for number in range(20):
                    datagram = from_fabric(initial(number))
                    packet = packets.Packet(
                        number.to_bytes(8, "big"), SERVICE.pack(), True
                    )
                    action = routing.route(rig.state.routing, packet, 0.0)
                    assert isinstance(action, routing.Forward)
                    expected = int(action.tunnel == rig.tunnel(1))
                    for _ in range(2):
                        await rig.fabric.sendto(datagram, rig.balancer)
                        received = await rig.sidecars[expected].recv(65536)
                        assert received.endswith(datagram)

    trio.run(main)


def test_a_caller_of_a_sidecar_that_left_gets_a_reset() -> None:
    """The reset comes back through the fabric with the connection's token."""

    async def main() -> None:
        with trio.fail_after(HANG_SECONDS):
            async with running() as rig:
                left = dataclasses.replace(
                    record(rig.tunnel(0)), state=_types.MemberState.LEFT
                )
                event = routing.MembersChanged(pool="fleet", records=(left,))
                await datapath.apply(rig.state, [event])
                payload = short_packet(rig.tunnel(0))
                await rig.fabric.sendto(from_fabric(payload), rig.balancer)
                answer = await rig.fabric.recv(65536)
                header = proxy.decode(answer)
                assert header is not None
                assert header.source == SERVICE.pack()
                assert header.destination == CALLER.pack()
                token = RING.current.reset_token(payload[1:18])
                assert answer.endswith(token)
                assert len(answer) - header.payload_offset < len(payload)

    trio.run(main)


class Case(typing.NamedTuple):
    """A bad datagram and how it is counted."""

    datagram: bytes
    reason: routing.DropReason


BAD = routing.DropReason
CASES = (
    Case(b"", BAD.BAD_HEADER),
    Case(short_packet(SERVICE), BAD.BAD_HEADER),
    Case(from_fabric(b""), BAD.INVALID_PACKET),
    Case(from_fabric(b"\x40" + b"x" * 16), BAD.INVALID_PACKET),
    Case(from_fabric(b"\x40" + b"\x07" * 40), BAD.INVALID_PACKET),
    Case(from_fabric(initial(1), CALLER), BAD.UNKNOWN_SERVICE),
    Case(from_fabric(initial(1)), BAD.NO_UPSTREAM),
    Case(from_fabric(b"x" * datapath.MAX_DATAGRAM_BYTES), BAD.TOO_LARGE),
)


def known_state() -> datapath.State:
    """Make a state with keys and a configuration but no members."""
    state = datapath.State()
    events: list[datapath.Event] = [
        datapath.KeysChanged(key_set=KEY_SET),
        routing.ConfigurationChanged(configuration=CONFIGURATION),
    ]
    trio.run(datapath.apply, state, events)
    return state


def carry(state: datapath.State, datagrams: list[bytes], send: datapath.Send) -> None:
    """Let the datapath find the datagrams in its socket."""
    waiting = iter(datagrams)

    def receive(place: memoryview) -> tuple[int, tuple[str, int]]:
        for datagram in waiting:
            size = min(len(datagram), len(place))
            place[:size] = datagram[:size]
            return size, CALLER
        raise BlockingIOError

    datapath.drain(state, receive, send, datapath.make_buffer(), now=0.0)


@pytest.mark.parametrize("case", CASES)
def test_a_bad_datagram_is_counted_by_reason(case: Case) -> None:
    """Nothing is sent and nothing raises."""
    state = known_state()
    sent: list[object] = []
    carry(state, [case.datagram], lambda message, _: sent.append(message))
    assert state.counters.drops[case.reason] == 1
    assert not sent


def test_a_large_established_packet_is_not_forwarded_in_part() -> None:
    """The limit holds on the short way too."""
    state = known_state()
    address = _types.Address("127.0.3.1", 9)
    event = routing.MembersChanged(pool="fleet", records=(record(address),))
    trio.run(datapath.apply, state, [event])
    datagram = from_fabric(short_packet(address))
    sent: list[int] = []
    for size in (datapath.MAX_DATAGRAM_BYTES, datapath.MAX_DATAGRAM_BYTES + 1):
        padded = datagram.ljust(size, b"b")
        carry(state, [padded], lambda message, _: sent.append(len(message)))
    assert sent == [tunnel.PREFIX_BYTES + datapath.MAX_DATAGRAM_BYTES]
    assert state.counters.drops[BAD.TOO_LARGE] == 1


def test_nothing_is_forwarded_before_the_keys_are_known() -> None:
    """Unknown is not empty."""
    state = datapath.State()
    carry(state, [from_fabric(initial(1))], lambda message, _: pytest.fail("sent"))
    assert state.counters.drops[BAD.NOT_READY] == 1


def test_mutated_datagrams_never_raise() -> None:
    """Every datagram is either forwarded, answered or counted as dropped."""
    state = known_state()
    generator = random.Random(3)
    valid = (from_fabric(short_packet(SERVICE)), from_fabric(initial(1)))
    rounds = 4000
    for number in range(rounds):
        datagram = bytearray(valid[number % 2])
        for _ in range(generator.randrange(4)):
            datagram[generator.randrange(len(datagram))] = generator.randrange(256)
        cut = bytes(datagram[: generator.randrange(1, 80)])
        carry(state, [cut], lambda message, _: None)
    counters = state.counters
    counted = counters.established + counters.opening + counters.resets
    assert counted + sum(counters.drops.values()) == rounds


def test_the_short_way_decides_like_the_rules() -> None:
    """Whatever the short way forwards, the rules forward alike."""
    tunnels = [_types.Address("127.0.3.1", number) for number in range(1, 6)]
    states = (_types.MemberState.LEFT, _types.MemberState.DRAINING)
    records = [record(tunnel_address) for tunnel_address in tunnels]
    records[1] = dataclasses.replace(records[1], state=states[0])
    records[2] = dataclasses.replace(records[2], state=states[1])
    records[3] = dataclasses.replace(records[3], lost=True)
    records[4] = dataclasses.replace(records[4], generation=GENERATION + 9000)
    state = known_state()
    event = routing.MembersChanged(pool="fleet", records=tuple(records))
    trio.run(datapath.apply, state, [event])
    found = []
    for tunnel_address in tunnels:
        datagram = from_fabric(short_packet(tunnel_address))
        buffer = bytearray(tunnel.PREFIX_BYTES) + datagram
        target = state.shortcut(buffer)
        packet = classify.classify_packet(
            RING, SERVICE.pack(), datagram, proxy.HEADER_BYTES
        )
        assert packet is not None
        if target is not None:
            action = routing.route(state.routing, packet, 1e9)
            assert action == routing.Forward(target)
            found.append(target)
    assert found == [tunnels[0], tunnels[2]]


@pytest.mark.parametrize(("size", "expected"), [(21, None), (22, 21), (200, 48)])
def test_a_reset_is_smaller_than_its_cause(size: int, expected: int | None) -> None:
    """A packet too small for a smaller reset gets none."""
    packet = short_packet(SERVICE)[:18] + b"b" * (size - 18)
    made = resets.payload(RING, packet, lambda count: b"\xff" * count)
    assert (None if made is None else len(made)) == expected


def test_resets_are_limited() -> None:
    """A burst passes, then only what the rate earns."""
    limit = resets.RateLimit()
    burst = int(resets.RESET_BURST)
    assert all(resets.take(limit, now=1.0) for _ in range(burst))
    assert not resets.take(limit, now=1.0)
    assert resets.take(limit, now=1.0 + 2 / resets.RESETS_PER_SECOND)


async def _accepts(address: _types.Address) -> bool:
    try:
        stream = await trio.open_tcp_stream(*address)
    except OSError:
        return False
    await stream.aclose()
    return True


async def _until(address: _types.Address, *, accepts: bool) -> None:
    while await _accepts(address) is not accepts:
        await trio.sleep(0.01)


def test_the_health_port_accepts_only_while_in_service() -> None:
    """It opens and closes at each message."""

    async def main() -> None:
        send, receive = trio.open_memory_channel[bool](4)
        with trio.fail_after(HANG_SECONDS):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    health.run, _types.Address("127.0.0.1", 0), receive
                )
                assert not await _accepts(address)
                for serving in (True, False, True):
                    await send.send(serving)
                    await _until(address, accepts=serving)
                await send.aclose()
            assert not await _accepts(address)

    trio.run(main)
