"""Tests of the fault-injecting proxy."""

import trio

from plantainproxy import _types
from standins import fault_proxy

TEST_TIMEOUT_SECONDS = 10


async def _echo(stream: trio.SocketStream) -> None:
    async for chunk in stream:
        await stream.send_all(chunk)


async def _exchange(stream: trio.SocketStream, payload: bytes) -> bytes:
    await stream.send_all(payload)
    return await stream.receive_some()


def test_a_silent_connection_stays_silent_while_new_ones_work() -> None:
    """Connections opened before the fault relay no bytes; later ones do."""

    async def scenario() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, _echo, listeners)
            target = _types.Address("127.0.0.1", port)
            async with fault_proxy.open_tcp_link(target) as link:
                old = await trio.open_tcp_stream(*link.address)
                assert await _exchange(old, b"one") == b"one"
                link.silence_open_connections()
                await old.send_all(b"two")
                new = await trio.open_tcp_stream(*link.address)
                assert await _exchange(new, b"three") == b"three"
                with trio.move_on_after(0.05) as timeout_scope:
                    await old.receive_some()
                assert timeout_scope.cancelled_caught
                link.disconnect()
                assert await new.receive_some() == b""
            nursery.cancel_scope.cancel()

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await scenario()

    trio.run(run_with_timeout)


def test_datagrams_pass_both_ways_and_can_be_silenced() -> None:
    """A silent backward direction drops the responses of the target."""

    async def scenario() -> None:
        server = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        caller = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        with server, caller:
            await server.bind(("127.0.0.1", 0))
            target = _types.Address("127.0.0.1", server.getsockname()[1])
            async with fault_proxy.open_udp_link(target, seed=1) as link:
                await caller.sendto(b"ask", link.address)
                payload, sender = await server.recvfrom(100)
                assert payload == b"ask"
                await server.sendto(b"answer", sender)
                assert await caller.recv(100) == b"answer"
                link.backward = fault_proxy.Faults(silent=True)
                await server.sendto(b"unheard", sender)
                with trio.move_on_after(0.05) as timeout_scope:
                    await caller.recv(100)
                assert timeout_scope.cancelled_caught

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await scenario()

    trio.run(run_with_timeout)
