"""Stand-in for the platform's fabric, which spreads datagrams over the balancers.

Each datagram of a caller is sent to a balancer chosen at random from the healthy ones,
with a PROXY header in front. Responses arrive directly from balancers and sidecars and
leave from the service address named in their header.

Run ``python -m standins.fabric --help`` for its options. It prints a line
``ready NAME=ADDRESS`` for each socket, then a line ``ready``. The control port accepts
one JSON object per line and replies with the counters; see :class:`Command`.
"""

import argparse
from collections import abc
import contextlib
import dataclasses
import random
import socket
import typing

import msgspec
import trio

from plantainproxy import _types
from plantainproxy.wire import proxy

HEALTH_INTERVAL_SECONDS = 0.2
HEALTH_TIMEOUT_SECONDS = 1.0
MAX_DATAGRAM_BYTES = 65536
MAX_COMMAND_BYTES = 65536
MAX_BATCH_DATAGRAMS = 64
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of one direction.

    ``loss``, ``duplicate`` and ``reorder`` are probabilities in [0, 1].
    """

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    """Probability that a datagram is delayed by another ``reorder_seconds``."""
    reorder_seconds: float = 0.02
    delay_seconds: float = 0.0
    jitter_seconds: float = 0.0
    """Upper limit of a random delay in addition to ``delay_seconds``."""


class Balancer(typing.NamedTuple):
    """Addresses of one balancer: UDP for datagrams, TCP for health checks."""

    datagram_address: _types.Address
    health_address: _types.Address


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line received on the control port; absent fields change nothing."""

    to_balancers: Faults | None = None
    to_callers: Faults | None = None
    cut: tuple[str, ...] | None = None
    """Datagram addresses of balancers whose datagrams are dropped in both directions.

    Their health checks still pass, so the fabric keeps choosing these balancers.
    """
    cut_sidecars: tuple[str, ...] | None = None
    """Source addresses whose responses are dropped."""
    balancers: tuple[tuple[str, str], ...] | None = None
    """Replaces the list of balancers: datagram and health address of each."""


class Counters(msgspec.Struct):
    """Datagram counts since the start, and the balancers that are healthy now."""

    from_callers: int = 0
    to_callers: int = 0
    lost: int = 0
    duplicated: int = 0
    reordered: int = 0
    without_balancer: int = 0
    """Datagrams of callers dropped because no balancer was healthy."""
    bad_answers: int = 0
    """Responses without a valid header or with an unknown service address."""
    by_balancer: dict[str, int] = {}
    """Datagrams for each balancer by datagram address.

    Includes datagrams lost by ``to_balancers``, but none while the balancer is cut.
    """
    healthy: tuple[str, ...] = ()
    """Datagram addresses of the healthy balancers."""


@dataclasses.dataclass(slots=True)
class FabricState:
    """Balancers, their health, active faults and counters."""

    balancers: tuple[Balancer, ...]
    random: random.Random
    healthy: tuple[Balancer, ...] = ()
    to_balancers: Faults = Faults()
    to_callers: Faults = Faults()
    cut: frozenset[_types.Address] = frozenset()
    cut_sidecars: frozenset[_types.Address] = frozenset()
    counters: Counters = dataclasses.field(default_factory=Counters)


class Sockets(typing.NamedTuple):
    """The UDP sockets, all bound and non-blocking."""

    back: socket.socket
    """Sends to balancers; receives the responses of balancers and sidecars."""
    services: dict[bytes, socket.socket]
    """Sockets towards callers, by packed service address."""


class OutgoingDatagram(typing.NamedTuple):
    """A datagram with the socket and the address to send it with."""

    sender: socket.socket
    datagram: bytes
    address: tuple[str, int]


def _open_udp_socket(address: _types.Address) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    udp_socket.bind(address)
    return udp_socket


def _local_address(udp_socket: socket.socket) -> _types.Address:
    return _types.Address(*udp_socket.getsockname())


def _send(outgoing: OutgoingDatagram) -> None:
    with contextlib.suppress(OSError):
        outgoing.sender.sendto(outgoing.datagram, outgoing.address)


async def _send_after_delay(outgoing: OutgoingDatagram, seconds: float) -> None:
    await trio.sleep(seconds)
    _send(outgoing)


def _send_with_faults(
    state: FabricState,
    faults: Faults,
    outgoing: OutgoingDatagram,
    nursery: trio.Nursery,
) -> None:
    """Send one datagram with the faults of its direction applied."""
    draw = state.random.random
    if faults.loss and draw() < faults.loss:
        state.counters.lost += 1
        return
    copies = 1
    if faults.duplicate and draw() < faults.duplicate:
        state.counters.duplicated += 1
        copies = 2
    delay = faults.delay_seconds
    if faults.jitter_seconds:
        delay += faults.jitter_seconds * draw()
    if faults.reorder and draw() < faults.reorder:
        state.counters.reordered += 1
        delay += faults.reorder_seconds
    for _ in range(copies):
        if delay:
            nursery.start_soon(_send_after_delay, outgoing, delay)
        else:
            _send(outgoing)


async def _receive_datagrams(
    udp_socket: socket.socket,
) -> abc.AsyncIterator[tuple[bytes, _types.Address]]:
    while True:
        await trio.lowlevel.wait_readable(udp_socket)
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                datagram, source = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                break
            yield datagram, _types.Address(*source)


async def _forward_from_callers(
    state: FabricState, sockets: Sockets, service: socket.socket, nursery: trio.Nursery
) -> None:
    """Forward the datagrams for one service address to random healthy balancers."""
    destination = _local_address(service)
    async for datagram, caller in _receive_datagrams(service):
        state.counters.from_callers += 1
        if not state.healthy:
            state.counters.without_balancer += 1
            continue
        target = state.random.choice(state.healthy).datagram_address
        if target in state.cut:
            state.counters.lost += 1
            continue
        counts = state.counters.by_balancer
        counts[str(target)] = counts.get(str(target), 0) + 1
        header = proxy.encode(source=caller, destination=destination)
        outgoing = OutgoingDatagram(sockets.back, header + datagram, target)
        _send_with_faults(state, state.to_balancers, outgoing, nursery)


async def _forward_responses(
    state: FabricState, sockets: Sockets, nursery: trio.Nursery
) -> None:
    """Forward responses to callers from the service address in their header."""
    async for datagram, sender in _receive_datagrams(sockets.back):
        header = proxy.decode(datagram)
        service = None if header is None else sockets.services.get(header.source)
        if header is None or service is None:
            state.counters.bad_answers += 1
            continue
        if sender in state.cut or sender in state.cut_sidecars:
            state.counters.lost += 1
            continue
        state.counters.to_callers += 1
        caller = _types.Address.unpack(header.destination)
        outgoing = OutgoingDatagram(service, datagram[header.payload_offset :], caller)
        _send_with_faults(state, state.to_callers, outgoing, nursery)


async def _accepts_connections(address: _types.Address) -> bool:
    with trio.move_on_after(HEALTH_TIMEOUT_SECONDS):
        try:
            stream = await trio.open_tcp_stream(*address)
        except OSError:
            return False
        await trio.aclose_forcefully(stream)
        return True
    return False


async def _check_health(state: FabricState, balancer: Balancer) -> None:
    is_healthy = await _accepts_connections(balancer.health_address)
    healthy = tuple(
        candidate
        for candidate in state.balancers
        if (is_healthy if candidate == balancer else candidate in state.healthy)
    )
    state.healthy = healthy


async def _run_health_checks(state: FabricState) -> None:
    while True:
        async with trio.open_nursery() as nursery:
            for balancer in state.balancers:
                nursery.start_soon(_check_health, state, balancer)
        await trio.sleep(HEALTH_INTERVAL_SECONDS)


def _parse_addresses(texts: tuple[str, ...]) -> frozenset[_types.Address]:
    return frozenset(_types.Address.parse(text) for text in texts)


def _parse_balancer(datagram_address: str, health_address: str) -> Balancer:
    return Balancer(
        _types.Address.parse(datagram_address), _types.Address.parse(health_address)
    )


def execute_command(state: FabricState, line: bytes) -> bytes:
    """Execute one command; return the counters, or an error if it is invalid."""
    try:
        command = msgspec.json.decode(line, type=Command)
        cut = None if command.cut is None else _parse_addresses(command.cut)
        cut_sidecars = (
            None
            if command.cut_sidecars is None
            else _parse_addresses(command.cut_sidecars)
        )
        balancers = (
            None
            if command.balancers is None
            else tuple(_parse_balancer(*pair) for pair in command.balancers)
        )
    except (ValueError, msgspec.MsgspecError) as error:
        return msgspec.json.encode({"error": str(error)})
    state.to_balancers = command.to_balancers or state.to_balancers
    state.to_callers = command.to_callers or state.to_callers
    state.cut = state.cut if cut is None else cut
    state.cut_sidecars = state.cut_sidecars if cut_sidecars is None else cut_sidecars
    if balancers is not None:
        state.balancers = balancers
        state.healthy = tuple(
            balancer for balancer in state.healthy if balancer in balancers
        )
    state.counters.healthy = tuple(
        str(balancer.datagram_address) for balancer in state.healthy
    )
    return msgspec.json.encode(state.counters)


async def _serve_control(state: FabricState, stream: trio.SocketStream) -> None:
    pending = b""
    with contextlib.suppress(trio.BrokenResourceError):
        async with stream:
            async for chunk in stream:
                *lines, pending = (pending + chunk).split(b"\n")
                for line in lines:
                    await stream.send_all(execute_command(state, line) + b"\n")
                if len(pending) > MAX_COMMAND_BYTES:
                    return


def _print_ready(name: str, address: _types.Address) -> None:
    print(f"ready {name}={address}", flush=True)


@contextlib.contextmanager
def _open_udp_sockets(
    addresses: list[_types.Address],
) -> abc.Iterator[list[socket.socket]]:
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(_open_udp_socket(address)) for address in addresses]


async def run(options: argparse.Namespace) -> None:
    """Forward datagrams and serve the control port until cancelled."""
    state = FabricState(
        balancers=tuple(_parse_balancer(*pair.split(",")) for pair in options.balancer),
        random=random.Random(options.seed),
    )
    with _open_udp_sockets([options.back, *options.service]) as udp_sockets:
        services = {
            _local_address(service_socket).pack(): service_socket
            for service_socket in udp_sockets[1:]
        }
        sockets = Sockets(udp_sockets[0], services)
        async with trio.open_nursery() as nursery:
            (control,) = await trio.open_tcp_listeners(
                options.control.port, host=options.control.host
            )

            async def serve(stream: trio.SocketStream) -> None:
                await _serve_control(state, stream)

            nursery.start_soon(trio.serve_listeners, serve, [control])
            nursery.start_soon(_run_health_checks, state)
            nursery.start_soon(_forward_responses, state, sockets, nursery)
            for service in services.values():
                nursery.start_soon(
                    _forward_from_callers, state, sockets, service, nursery
                )
                _print_ready("service", _local_address(service))
            _print_ready("back", _local_address(sockets.back))
            _print_ready("control", _types.Address(*control.socket.getsockname()))
            print("ready", flush=True)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description="Stand-in for the platform's fabric.")
    address = _types.Address.parse
    any_loopback_port = _types.Address("127.0.0.1", 0)
    parser.add_argument(
        "--service",
        type=address,
        action="append",
        required=True,
        help="UDP address for callers; repeatable",
    )
    parser.add_argument(
        "--balancer",
        action="append",
        default=[],
        help="DATAGRAMS,HEALTH addresses of a balancer; repeatable",
    )
    parser.add_argument(
        "--back",
        type=address,
        default=any_loopback_port,
        help="UDP address for responses",
    )
    parser.add_argument(
        "--control",
        type=address,
        default=any_loopback_port,
        help="TCP address of the control port (JSON lines)",
    )
    parser.add_argument("--seed", type=int, default=0)
    return parser


def main() -> None:
    """Run the stand-in from the command line until it is interrupted."""
    with contextlib.suppress(KeyboardInterrupt):
        trio.run(run, _build_parser().parse_args())


if __name__ == "__main__":
    main()
