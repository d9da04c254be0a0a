"""The HTTP server answers complete requests only, however their bytes arrive."""

from collections import abc
import contextlib
import socket
import typing

import pytest
import trio

from plantainproxy import _http_server, _types
from plantainproxy.eventloop import loop, runtime, tcp

Run = abc.Callable[..., typing.Any]

RUNS = pytest.mark.parametrize("run", [loop.run, trio.run], ids=["loop", "trio"])
TIMEOUT_SECONDS = 10.0
BEAT = b"POST /beat HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"
LAST_BEAT = BEAT.replace(b"host: h", b"host: h\r\nconnection: close")


def _echo(request: _http_server.Request) -> _http_server.Response:
    if request.path == "/fail":
        raise LookupError("unforeseen")
    text = f"{request.method} {request.path} ".encode() + request.body
    return _http_server.Response(200, text, headers=(("x-seen", "yes"),))


async def _exchange(*parts: bytes) -> bytes:
    """Send the parts one by one; return all bytes until the server closes."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = _types.Address(*probe.getsockname())
    async with runtime.open_task_group() as group:
        group.start_soon(_http_server.serve, address, _echo)
        with runtime.fail_after(TIMEOUT_SECONDS):
            stream = await _connect(address)
            with contextlib.closing(stream):
                received = await _send_and_read(stream, parts)
        group.cancel_scope.cancel()
    return received


async def _connect(address: _types.Address) -> tcp.Stream:
    while True:
        try:
            return await tcp.connect(address)
        except OSError:
            await runtime.sleep(0.01)


async def _send_and_read(stream: tcp.Stream, parts: abc.Sequence[bytes]) -> bytes:
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        for part in parts:
            await stream.send_all(part)
            await runtime.sleep(0.001)
        while part := await stream.receive_some(65_536):
            received += part
    return bytes(received)


@RUNS
def test_a_request_that_trickles_in_is_answered_once_it_is_complete(run: Run) -> None:
    """A slow link may deliver a heartbeat byte by byte."""
    received = run(_exchange, *(bytes((byte,)) for byte in LAST_BEAT))
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"x-seen: yes" in head
    assert b"connection: close" in head
    assert body == b"POST /beat abc"


@RUNS
def test_requests_sent_ahead_are_answered_in_order(run: Run) -> None:
    """A caller that does not wait must not get the response to another request."""
    second = LAST_BEAT.replace(b"/beat", b"/next")
    received = run(_exchange, BEAT + second)
    assert received.count(b"HTTP/1.1 200 ") == 2
    assert received.index(b"POST /beat abc") < received.index(b"POST /next abc")


@RUNS
def test_an_unforeseen_error_loses_one_request(run: Run) -> None:
    """Guards against an end of the process by one request that its handler fails at."""
    received = run(_exchange, BEAT.replace(b"/beat", b"/fail") + LAST_BEAT)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert received.endswith(b"POST /beat abc")


@RUNS
@pytest.mark.parametrize(
    "request_bytes",
    [
        b"nonsense\r\n\r\n",
        BEAT.replace(b"content-length: 3", b"content-length: -3"),
        BEAT.replace(b"content-length: 3", b"content-length: 70000") + bytes(70_000),
        b"GET / HTTP/1.1\r\nx: " + b"x" * 200_000,
        BEAT[:-1],
    ],
    ids=["no HTTP", "negative length", "large body", "large head", "cut"],
)
def test_an_invalid_request_gets_no_response(run: Run, request_bytes: bytes) -> None:
    """Memory is small, and a damaged heartbeat must not count as one."""

    async def main() -> bytes:
        with runtime.move_on_after(1.0):
            return await _exchange(request_bytes)
        return b""

    assert run(main) == b""
