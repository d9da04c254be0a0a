"""TCP connections on both loops: partial writes, resets, refusals and cancellation."""

from collections import abc
import contextlib
import socket
import struct
import typing

import pytest
import trio

from plantainproxy import _types
from plantainproxy.eventloop import loop, runtime, tcp

Run = abc.Callable[..., typing.Any]

RUNS = pytest.mark.parametrize("run", [loop.run, trio.run], ids=["loop", "trio"])
LARGE_BYTES = 4 * 1_048_576
"""More than the buffers of a connection hold."""
TIMEOUT_SECONDS = 10.0
SHORT_SECONDS = 0.05


@contextlib.asynccontextmanager
async def serving(
    handle: abc.Callable[[tcp.Stream], abc.Coroutine[object, object, None]],
) -> abc.AsyncIterator[_types.Address]:
    """Serve on a free address until the exit."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = _types.Address(*probe.getsockname())
    async with runtime.open_task_group() as group:
        group.start_soon(tcp.serve, address, handle)
        with runtime.fail_after(TIMEOUT_SECONDS):
            while True:
                try:
                    (await tcp.connect(address)).close()
                    break
                except OSError:
                    await runtime.sleep(0.01)
        yield address
        group.cancel_scope.cancel()


async def read_all(stream: tcp.Stream) -> bytes:
    """Receive until the end."""
    received = bytearray()
    while part := await stream.receive_some(65_536):
        received += part
    return bytes(received)


@RUNS
def test_a_slow_reader_gets_all_bytes(run: Run) -> None:
    """A write that the socket takes only in part must be continued."""

    async def send(stream: tcp.Stream) -> None:
        with contextlib.suppress(OSError):
            await stream.send_all(bytes(LARGE_BYTES) + b"end")

    async def main() -> bytes:
        async with serving(send) as address:
            with contextlib.closing(await tcp.connect(address)) as stream:
                await runtime.sleep(SHORT_SECONDS)
                with runtime.fail_after(TIMEOUT_SECONDS):
                    return await read_all(stream)

    received = run(main)
    assert len(received) == LARGE_BYTES + 3
    assert received.endswith(b"end")


@RUNS
def test_a_writer_to_a_peer_that_does_not_read_can_be_cancelled(run: Run) -> None:
    """A silent peer must not hold a task for ever."""

    async def ignore(stream: tcp.Stream) -> None:
        await runtime.sleep(TIMEOUT_SECONDS)

    async def main() -> bool:
        async with serving(ignore) as address:
            with contextlib.closing(await tcp.connect(address)) as stream:
                with runtime.move_on_after(SHORT_SECONDS) as scope:
                    await stream.send_all(bytes(LARGE_BYTES))
                return scope.cancelled_caught

    assert run(main)


@RUNS
def test_a_reset_is_an_error_and_the_server_goes_on(run: Run) -> None:
    """One connection that is reset must not end the others."""

    async def reset(stream: tcp.Stream) -> None:
        if await stream.receive_some(1) == b"r":
            no_linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            return
        await stream.send_all(b"ok")

    async def main() -> bytes:
        async with serving(reset) as address:
            with contextlib.closing(await tcp.connect(address)) as stream:
                await stream.send_all(b"r")
                with pytest.raises(ConnectionResetError):
                    await stream.receive_some(1)
            with contextlib.closing(await tcp.connect(address)) as stream:
                await stream.send_all(b"x")
                return await read_all(stream)

    assert run(main) == b"ok"


@RUNS
def test_a_refused_connection_names_the_address(run: Run) -> None:
    """The error must show which peer refused."""

    async def main() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = _types.Address(*probe.getsockname())
        with pytest.raises(OSError, match=str(address)):
            await tcp.connect(address)

    run(main)


@RUNS
def test_a_connection_without_input_is_idle(run: Run) -> None:
    """A pooled connection that the server has closed must not be used again."""

    async def close_later(stream: tcp.Stream) -> None:
        await runtime.sleep(SHORT_SECONDS)

    async def main() -> list[bool]:
        async with serving(close_later) as address:
            with contextlib.closing(await tcp.connect(address)) as stream:
                first = stream.has_input()
                await runtime.sleep(4 * SHORT_SECONDS)
                return [first, stream.has_input()]

    assert run(main) == [False, True]


@RUNS
def test_accepting_goes_on_after_a_lack_of_descriptors(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A moment without free descriptors must not end the server."""
    real_accept = socket.socket.accept
    failures = [OSError(24, "too many open files"), ConnectionAbortedError()]

    def accept(listener: socket.socket) -> tuple[socket.socket, typing.Any]:
        if failures:
            raise failures.pop(0)
        return real_accept(listener)

    async def answer(stream: tcp.Stream) -> None:
        await stream.send_all(b"ok")

    async def main() -> bytes:
        monkeypatch.setattr(socket.socket, "accept", accept)
        async with serving(answer) as address:
            with (
                runtime.fail_after(TIMEOUT_SECONDS),
                contextlib.closing(await tcp.connect(address)) as stream,
            ):
                return await read_all(stream)

    assert run(main) == b"ok"
    assert not failures
