"""Tests of the pooled HTTP client against raw servers."""

from collections import abc
import socket
import typing

import pytest
import trio

from plantainproxy import _types
from plantainproxy.eventloop import loop, runtime, tcp
from plantainproxy.store import http

Run = abc.Callable[..., typing.Any]

RUNS = pytest.mark.parametrize("run", [loop.run, trio.run], ids=["loop", "trio"])
TEST_TIMEOUT_SECONDS = 10.0
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"


def test_a_connection_with_bytes_after_the_answer_is_not_reused() -> None:
    """A second copy of an answer would be taken for the answer to the next request."""
    connection_count = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal connection_count
        connection_count += 1
        copy = ANSWER + b"for %d" % connection_count
        await stream.receive_some(65_536)
        await stream.send_all(copy + copy)
        await stream.receive_some(65_536)

    async def main() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        pool = http.Pool(_types.Address(*listeners[0].socket.getsockname()))
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                for number in (1, 2):
                    reply = await http.call(pool, "GET", "/", timeout_seconds=5.0)
                    assert reply.body == b"for %d" % number
                nursery.cancel_scope.cancel()

    trio.run(main)


@RUNS
@pytest.mark.parametrize(
    ("path", "target"),
    [
        ("/healthz?deep=1", b"/healthz?deep=1"),
        ("/santé", b"/sant%C3%A9"),
        ("/a b\r\nx: y\x7f", b"/a%20b%0D%0Ax:%20y%7F"),
    ],
)
def test_a_path_is_sent_as_one_request_line(run: Run, path: str, target: bytes) -> None:
    """Guards against the end of every sidecar by a health path that is not ASCII.

    The encoding of the request raised a ``UnicodeEncodeError``.
    """
    received = b""

    async def serve(stream: tcp.Stream) -> None:
        nonlocal received
        received = await stream.receive_some(65_536)
        await stream.send_all(ANSWER + b"ready")

    async def main() -> http.Response:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = _types.Address(*probe.getsockname())
        async with runtime.open_task_group() as group:
            group.start_soon(tcp.serve, address, serve)
            await runtime.sleep(0.05)
            reply = await http.call(
                http.Pool(address), "GET", path, timeout_seconds=5.0
            )
            group.cancel_scope.cancel()
        return reply

    assert run(main).status == 200
    assert received.startswith(b"GET %s HTTP/1.1\r\nhost: " % target)


def _call_raw_server(run: Run, *parts: bytes) -> http.Response:
    """Call a server that sends the parts one by one and closes the connection."""

    async def serve(stream: tcp.Stream) -> None:
        await stream.receive_some(65_536)
        for part in parts:
            await stream.send_all(part)
            await runtime.sleep(0.001)

    async def main() -> http.Response:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = _types.Address(*probe.getsockname())
        pool = http.Pool(address)
        async with runtime.open_task_group() as group:
            group.start_soon(tcp.serve, address, serve)
            with runtime.fail_after(TEST_TIMEOUT_SECONDS):
                while True:
                    try:
                        reply = await http.call(pool, "GET", "/", timeout_seconds=5.0)
                        break
                    except http.UnsentError:
                        await runtime.sleep(0.01)
            group.cancel_scope.cancel()
        return reply

    return typing.cast(http.Response, run(main))


@RUNS
def test_a_response_that_trickles_in_is_complete(run: Run) -> None:
    """A slow store may deliver a response byte by byte."""
    whole = ANSWER.replace(b"OK", b"OK\r\nStore-Era: 7") + b"hello"
    reply = _call_raw_server(run, *(bytes((byte,)) for byte in whole))
    assert (reply.status, reply.body) == (200, b"hello")
    assert reply.headers["store-era"] == "7"


@RUNS
@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n" + ANSWER + b"hello",
        ANSWER + b"hello" + b"nonsense\r\n\r\n",
    ],
    ids=["until the end", "chunked", "informational", "bytes after it"],
)
def test_all_forms_of_a_response_are_understood(run: Run, response: bytes) -> None:
    """The platform's store may choose any form that HTTP allows."""
    reply = _call_raw_server(run, response)
    assert (reply.status, reply.body) == (200, b"hello")


@RUNS
@pytest.mark.parametrize(
    "response",
    [
        b"",
        ANSWER + b"hell",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 2",
        b"nonsense\r\n\r\n",
    ],
    ids=["empty", "short", "no last chunk", "cut head", "no HTTP"],
)
def test_an_incomplete_response_is_no_answer(run: Run, response: bytes) -> None:
    """A list of sidecars that was cut must not replace the whole one."""
    with pytest.raises(ExceptionGroup) as raised:
        _call_raw_server(run, response)
    assert raised.group_contains(http.UnansweredError)
