"""Tests of the pooled HTTP client against raw servers."""

import trio

from plantainproxy import _types
from plantainproxy.store import http

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
