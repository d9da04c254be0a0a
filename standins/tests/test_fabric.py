"""Tests of the stand-in fabric as a separate process, over real sockets."""

from collections import abc
import contextlib
import functools
import json
import socket
import subprocess
import sys
import typing

import trio

from plantainproxy import _types
from plantainproxy.wire import proxy

TEST_TIMEOUT_SECONDS = 30


async def _open_udp_socket() -> trio.socket.SocketType:
    udp_socket = trio.socket.socket(type=socket.SOCK_DGRAM)
    await udp_socket.bind(("127.0.0.1", 0))
    return udp_socket


def _address(udp_socket: trio.socket.SocketType) -> _types.Address:
    return _types.Address(*udp_socket.getsockname())


@contextlib.asynccontextmanager
async def run_fabric(
    *balancers: tuple[_types.Address, _types.Address],
) -> abc.AsyncIterator[dict[str, _types.Address]]:
    """Run the fabric process and yield its addresses by socket name."""
    arguments = [sys.executable, "-m", "standins.fabric", "--service", "127.1.0.1:0"]
    for pair in balancers:
        arguments += ["--balancer", f"{pair[0]},{pair[1]}"]
    async with trio.open_nursery() as nursery:
        process: trio.Process = await nursery.start(
            functools.partial(
                trio.run_process, arguments, stdout=subprocess.PIPE, check=False
            )
        )
        assert process.stdout is not None
        text = ""
        while not text.endswith("ready\n"):
            text += (await process.stdout.receive_some()).decode()
        pairs = (line.removeprefix("ready ").split("=") for line in text.split("\n"))
        yield {
            pair[0]: _types.Address.parse(pair[1]) for pair in pairs if len(pair) == 2
        }
        process.terminate()


async def send_command(
    control: trio.SocketStream, **fields: object
) -> dict[str, typing.Any]:
    """Send one command and return the decoded reply."""
    await control.send_all(json.dumps(fields).encode() + b"\n")
    response: dict[str, typing.Any] = json.loads(await control.receive_some())
    return response


async def wait_for_healthy(
    control: trio.SocketStream, count: int
) -> dict[str, typing.Any]:
    """Wait until exactly ``count`` balancers are healthy; return the counters."""
    while True:
        response = await send_command(control)
        if len(response["healthy"]) == count:
            return response
        await trio.sleep(0.05)


def test_datagrams_pass_both_ways_with_their_addresses() -> None:
    """Checks the header that a balancer receives and the source of the response."""

    async def main() -> None:
        caller, balancer = await _open_udp_socket(), await _open_udp_socket()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        health = _types.Address(*listener.socket.getsockname())
        with trio.fail_after(TEST_TIMEOUT_SECONDS), caller, balancer:
            async with listener, run_fabric((_address(balancer), health)) as addresses:
                control = await trio.open_tcp_stream(*addresses["control"])
                await wait_for_healthy(control, 1)
                await caller.sendto(b"hello", addresses["service"])
                datagram = await balancer.recv(2048)
                header = proxy.decode(datagram)
                assert header is not None
                assert header.source == _address(caller).pack()
                assert header.destination == addresses["service"].pack()
                assert datagram[header.payload_offset :] == b"hello"
                response_header = proxy.encode(
                    source=addresses["service"], destination=_address(caller)
                )
                await balancer.sendto(response_header + b"answer", addresses["back"])
                assert await caller.recvfrom(2048) == (b"answer", addresses["service"])
                await control.aclose()

    trio.run(main)


def test_a_balancer_that_stops_accepting_gets_no_datagrams() -> None:
    """A closed health port makes a balancer unhealthy; drops are counted."""

    async def main() -> None:
        caller, balancer = await _open_udp_socket(), await _open_udp_socket()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        health = _types.Address(*listener.socket.getsockname())
        with trio.fail_after(TEST_TIMEOUT_SECONDS), caller, balancer:
            async with run_fabric((_address(balancer), health)) as addresses:
                control = await trio.open_tcp_stream(*addresses["control"])
                await wait_for_healthy(control, 1)
                await send_command(control, to_balancers={"loss": 1.0})
                await caller.sendto(b"hello", addresses["service"])
                while (await send_command(control))["lost"] != 1:
                    await trio.sleep(0.01)
                await listener.aclose()
                await wait_for_healthy(control, 0)
                await caller.sendto(b"hello", addresses["service"])
                while (await send_command(control))["without_balancer"] != 1:
                    await trio.sleep(0.01)
                assert "error" in await send_command(control, unknown=1)
                await control.aclose()

    trio.run(main)
