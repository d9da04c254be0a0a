"""Stand-in for the platform's store: a subset of etcd v3's JSON gateway.

It serves HTTP/1.1. ``POST /standin/faults`` sets faults and ``GET /standin/counts``
returns the number of calls by kind. A second, control-only address serves just these
two paths, so that they stay reachable while the first address refuses connections.
"""

import argparse
import collections
from collections import abc
import contextlib
import json
import math
import socket
import typing

import h11
import msgspec
import trio

from standins import store_data, store_gateway

EXPIRY_CHECK_SECONDS = 0.1
RECEIVE_BYTES = 65_536
MAX_PENDING_REVISIONS = 1_000
"""Revisions queued for one watch."""


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The active faults. A POST replaces the fields that it contains."""

    down: str = ""
    """How the store is unavailable; empty if it is available.

    ``refused``: no listener; open connections are closed and new ones refused.
    ``closed``: each request closes its connection without a response, and watches end.
    ``silent``: requests are read but get no response, and watches send no events.
    """
    slow_milliseconds: float = 0
    """Delay before each call is executed; watches are delayed too."""
    lose_next_answers: int = 0
    """How many of the next calls get no response; reads do not count.

    Such a call is executed and its connection closed, so the client cannot
    determine whether the call was applied.
    """
    stale_reads: int = 0
    """Number of revisions by which reads lag behind the newest one."""
    expire_lease: bool = False
    """One-shot: expires all leases immediately."""
    mute_connections: bool = False
    """One-shot: open connections send no response any more; new ones work."""


class StandIn:
    """Data, faults, call counts and connections of one stand-in store."""

    def __init__(self, host: str, port: int) -> None:
        """Bind the address; ``run`` starts to listen on it."""
        self.data = store_data.StoreData()
        self.faults = Faults()
        self.counts: collections.Counter[str] = collections.Counter()
        """Number of calls by kind; ``watching`` is the number of open watches."""
        self.listen_socket = _bind_tcp_socket(host, port)
        self.address: tuple[str, int] = self.listen_socket.getsockname()
        self.connections: set[Connection] = set()
        self.faults_changed = trio.Event()
        """Set, then replaced by a new event, whenever the faults change."""


class Connection:
    """One accepted connection with its HTTP/1.1 protocol state."""

    def __init__(self, stream: trio.SocketStream, *, control_only: bool) -> None:
        """Wrap a stream; ``control_only`` restricts it to the ``/standin/`` paths."""
        self.stream = stream
        self.protocol = h11.Connection(h11.SERVER)
        self.control_only = control_only
        self.is_muted = False


def _bind_tcp_socket(host: str, port: int) -> trio.socket.SocketType:
    tcp_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    tcp_socket.bind((host, port))
    return trio.socket.from_stdlib_socket(tcp_socket)


def set_faults(stand_in: StandIn, **changes: object) -> None:
    """Replace the given faults; apply and clear the one-shot ones."""
    merged = {**msgspec.to_builtins(stand_in.faults), **changes}
    stand_in.faults = msgspec.convert(merged, type=Faults)
    if stand_in.faults.expire_lease:
        stand_in.faults.expire_lease = False
        store_data.expire_leases(stand_in.data, math.inf)
    if stand_in.faults.mute_connections:
        stand_in.faults.mute_connections = False
        for connection in stand_in.connections:
            connection.is_muted = not connection.control_only
    stand_in.faults_changed.set()
    stand_in.faults_changed = trio.Event()


async def run(
    stand_in: StandIn,
    *,
    control_port: int = 0,
    task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the control address once both listeners are up."""
    host = stand_in.address[0]
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(control_port, host=host)
        nursery.start_soon(_serve_control, stand_in, listener)
        nursery.start_soon(_expire_leases, stand_in)
        await nursery.start(_serve_store, stand_in)
        task_status.started(listener.socket.getsockname())


async def _serve_control(stand_in: StandIn, listener: trio.SocketListener) -> None:
    async def handle(stream: trio.SocketStream) -> None:
        await _serve(stand_in, Connection(stream, control_only=True))

    await trio.serve_listeners(handle, [listener])


async def _serve_store(
    stand_in: StandIn,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    async def handle(stream: trio.SocketStream) -> None:
        await _serve(stand_in, Connection(stream, control_only=False))

    while True:
        stand_in.listen_socket.listen(128)
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners,
                handle,
                [trio.SocketListener(stand_in.listen_socket)],
            )
            await _wait_until(stand_in, lambda: stand_in.faults.down == "refused")
            nursery.cancel_scope.cancel()
        # A bound socket that does not listen reserves the port, and the kernel
        # refuses connections to it.
        stand_in.listen_socket = _bind_tcp_socket(*stand_in.address)
        task_status = trio.TASK_STATUS_IGNORED
        await _wait_until(stand_in, lambda: stand_in.faults.down != "refused")


async def _wait_until(stand_in: StandIn, condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await stand_in.faults_changed.wait()


async def _expire_leases(stand_in: StandIn) -> None:
    while True:
        await trio.sleep(EXPIRY_CHECK_SECONDS)
        store_data.expire_leases(stand_in.data, trio.current_time())


async def _serve(stand_in: StandIn, connection: Connection) -> None:
    stand_in.connections.add(connection)
    try:
        async with connection.stream:
            while await _serve_request(stand_in, connection):
                connection.protocol.start_next_cycle()
    except (trio.BrokenResourceError, h11.RemoteProtocolError):
        return
    finally:
        stand_in.connections.discard(connection)


async def _serve_request(stand_in: StandIn, connection: Connection) -> bool:
    """Handle one request; return whether the connection can be reused."""
    request = await _next_event(connection)
    if not isinstance(request, h11.Request):
        return False
    body = bytearray()
    while isinstance(event := await _next_event(connection), h11.Data):
        body += event.data
    if not isinstance(event, h11.EndOfMessage):
        return False
    path = request.target.decode()
    if path.startswith("/standin/"):
        return await _handle_control(stand_in, connection, path, bytes(body))
    if connection.control_only:
        return False
    return await _handle_call(stand_in, connection, path, bytes(body))


async def _next_event(connection: Connection) -> typing.Any:
    while (event := connection.protocol.next_event()) is h11.NEED_DATA:
        received = await connection.stream.receive_some(RECEIVE_BYTES)
        connection.protocol.receive_data(received)
    return event


async def _handle_control(
    stand_in: StandIn, connection: Connection, path: str, body: bytes
) -> bool:
    if path == "/standin/counts":
        return await _send_response(connection, 200, dict(stand_in.counts))
    try:
        set_faults(stand_in, **json.loads(body))
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        return await _send_response(connection, 400, {"error": str(error)})
    return await _send_response(connection, 200, msgspec.to_builtins(stand_in.faults))


async def _handle_call(
    stand_in: StandIn, connection: Connection, path: str, body: bytes
) -> bool:
    down = stand_in.faults.down
    if down == "silent" or connection.is_muted:
        await trio.sleep_forever()
    if down:
        return False
    await trio.sleep(stand_in.faults.slow_milliseconds / 1000)
    if path == store_gateway.WATCH_PATH:
        return await _handle_watch(stand_in, connection, json.loads(body))
    handler = store_gateway.HANDLERS.get(path)
    if handler is None:
        return await _send_response(connection, 404, {"error": "Not Found", "code": 5})
    kind, respond = handler
    stand_in.counts[kind] += 1
    try:
        call = store_gateway.GatewayCall(
            data=stand_in.data,
            body=json.loads(body),
            now=trio.current_time(),
            stale_revisions=stand_in.faults.stale_reads,
        )
        response = respond(call)
    except store_gateway.GatewayError as error:
        return await _send_response(connection, error.status, error.body)
    except (KeyError, ValueError) as error:
        return await _send_response(connection, 400, {"error": repr(error), "code": 3})
    if kind != "range" and stand_in.faults.lose_next_answers > 0:
        stand_in.faults.lose_next_answers -= 1
        return False
    return await _send_response(connection, 200, response)


async def _send_response(connection: Connection, status: int, body: object) -> bool:
    encoded_body = json.dumps(body).encode()
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(encoded_body))),
    ]
    encoded_response = connection.protocol.send(
        h11.Response(status_code=status, headers=headers)
    )
    encoded_response += connection.protocol.send(h11.Data(data=encoded_body))
    encoded_response += connection.protocol.send(h11.EndOfMessage())
    await connection.stream.send_all(encoded_response)
    return connection.protocol.our_state is h11.DONE


async def _handle_watch(
    stand_in: StandIn, connection: Connection, body: store_gateway.Body
) -> bool:
    stand_in.counts["watch"] += 1
    stand_in.counts["watching"] += 1
    key, range_end = store_gateway.parse_watch_range(body)
    sender, receiver = trio.open_memory_channel[list[store_data.Version]](
        MAX_PENDING_REVISIONS
    )

    def enqueue_matching(versions: list[store_data.Version]) -> None:
        matching = [
            version
            for version in versions
            if store_data.in_range(version.key, key, range_end)
        ]
        if matching:
            sender.send_nowait(matching)

    stand_in.data.observers.add(enqueue_matching)
    try:
        await _stream_watch(stand_in, connection, receiver)
    finally:
        stand_in.data.observers.discard(enqueue_matching)
        stand_in.counts["watching"] -= 1
    return False


async def _stream_watch(
    stand_in: StandIn,
    connection: Connection,
    receiver: trio.MemoryReceiveChannel[list[store_data.Version]],
) -> None:
    async def send_line(line: object) -> None:
        if connection.is_muted or stand_in.faults.down == "silent":
            return
        data = h11.Data(data=json.dumps(line).encode() + b"\n")
        await connection.stream.send_all(connection.protocol.send(data))

    async def send_events() -> None:
        async for versions in receiver:
            await send_line(store_gateway.render_events(stand_in.data, versions))

    async def wait_for_fault() -> None:
        await _wait_until(
            stand_in, lambda: stand_in.faults.down in ("refused", "closed")
        )

    async def wait_for_disconnect() -> None:
        while await connection.stream.receive_some(RECEIVE_BYTES):
            pass

    response = h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])
    await connection.stream.send_all(connection.protocol.send(response))
    await send_line(store_gateway.render_created(stand_in.data))
    await _run_until_first_exit(send_events, wait_for_fault, wait_for_disconnect)


async def _run_until_first_exit(*tasks: abc.Callable[[], abc.Awaitable[None]]) -> None:
    async with trio.open_nursery() as nursery:

        async def run_then_cancel(task: abc.Callable[[], abc.Awaitable[None]]) -> None:
            with contextlib.suppress(trio.BrokenResourceError):
                await task()
            nursery.cancel_scope.cancel()

        for task in tasks:
            nursery.start_soon(run_then_cancel, task)


async def _main(host: str, port: int, control_port: int) -> None:
    stand_in = StandIn(host, port)
    async with trio.open_nursery() as nursery:

        async def serve(*, task_status: trio.TaskStatus[tuple[str, int]]) -> None:
            await run(stand_in, control_port=control_port, task_status=task_status)

        control = await nursery.start(serve)
        print("ready {}:{}".format(*stand_in.address), flush=True)
        print("control {}:{}".format(*control), flush=True)


def main() -> None:
    """Run the stand-in from the command line; print its two addresses."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform's store.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    arguments = parser.parse_args()
    trio.run(_main, arguments.host, arguments.port, arguments.control_port)


if __name__ == "__main__":
    main()
