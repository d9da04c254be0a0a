"""An HTTP/1.1 client with pooled connections and a timeout on each call."""

from collections import abc
import contextlib
import dataclasses
import socket
import typing

import h11
import trio

from plantainproxy import _types

MAX_IDLE_SECONDS = 15.0
"""Idle time after which a pooled connection is closed instead of reused."""
MAX_IDLE_CONNECTIONS = 4
MAX_RESPONSE_BYTES = 64 * 1_048_576
RECEIVE_BUFFER_BYTES = 65_536
KEEPALIVE_INTERVAL_SECONDS = 1
"""Idle time before the first TCP keepalive probe and interval between probes.

One second is the smallest value that the kernel accepts.
"""
KEEPALIVE_PROBES = 2
"""Unacknowledged probes after which the kernel closes the connection."""
USER_TIMEOUT_MILLISECONDS = 2_500
"""Maximum time that sent bytes may stay unacknowledged.

It is close to the time that the keepalive probes take to detect a dead peer.
"""


class UnsentError(Exception):
    """The server has certainly not applied the request."""


class UnansweredError(Exception):
    """The server may have applied the request, but no complete response arrived."""


_TRANSPORT_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.TooSlowError,
    h11.RemoteProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Values by name in lower case; the last one of a repeated name."""


class Connection:
    """An open connection with its HTTP state and receive buffer."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Wrap a connected stream."""
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.line_buffer = bytearray()
        """Bytes of a streamed response that have not been returned as lines yet."""


class Pool:
    """A pool of connections to one server."""

    def __init__(self, address: _types.Address) -> None:
        """Create an empty pool; connections are opened on demand."""
        self.address = address
        self.idle: list[Connection] = []


def close_idle(pool: Pool) -> None:
    """Close all idle connections of a pool."""
    while pool.idle:
        pool.idle.pop().stream.socket.close()


async def post(
    pool: Pool, path: str, body: bytes, *, timeout_seconds: float
) -> Response:
    """Send a POST request and return the response."""
    return await call(pool, "POST", path, body, timeout_seconds=timeout_seconds)


async def call(
    pool: Pool,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    timeout_seconds: float,
) -> Response:
    """Send a request and return the response.

    Raises ``UnsentError`` if no connection can be opened, and ``UnansweredError`` if
    no complete response arrives within the timeout. After a failure all idle
    connections are closed, because a network path that drops the packets of one
    connection may drop those of all.
    """
    may_be_sent = False
    try:
        with trio.fail_after(timeout_seconds):
            connection = await _acquire(pool)
            with _closing_on_error(connection):
                may_be_sent = True
                response = await _send_and_receive(
                    connection, pool.address, path, body, method=method
                )
    except _TRANSPORT_ERRORS as error:
        close_idle(pool)
        reason = f"{pool.address}: {error!r}"
        raise (UnansweredError if may_be_sent else UnsentError)(reason) from error
    _release(pool, connection)
    return response


async def _acquire(pool: Pool) -> Connection:
    oldest_idle_since = trio.current_time() - MAX_IDLE_SECONDS
    while pool.idle:
        connection = pool.idle.pop()
        # If an idle connection is readable, the server has closed it.
        is_open = not connection.stream.socket.is_readable()
        if is_open and connection.idle_since >= oldest_idle_since:
            return connection
        connection.stream.socket.close()
    return await _connect(pool.address)


async def _connect(address: _types.Address) -> Connection:
    stream = await trio.open_tcp_stream(address.host, address.port)
    enable_keepalive(stream.socket)
    return Connection(stream)


def enable_keepalive(connected_socket: trio.socket.SocketType) -> None:
    """Enable TCP keepalive, so that the kernel closes a connection to a dead peer.

    A watch that waits for events sends nothing, so without probes the loss of the
    peer would not be detected.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    )
    for level, option, value in options:
        connected_socket.setsockopt(level, option, value)


def _release(pool: Pool, connection: Connection) -> None:
    protocol = connection.protocol
    # Bytes after the response are not the answer to any request.
    is_reusable = (
        protocol.our_state is h11.DONE
        and protocol.their_state is h11.DONE
        and not protocol.trailing_data[0]
    )
    if not is_reusable or len(pool.idle) >= MAX_IDLE_CONNECTIONS:
        connection.stream.socket.close()
        return
    protocol.start_next_cycle()
    connection.idle_since = trio.current_time()
    pool.idle.append(connection)


@contextlib.contextmanager
def _closing_on_error(connection: Connection) -> abc.Iterator[None]:
    try:
        yield
    except BaseException:
        connection.stream.socket.close()
        raise


async def _send_and_receive(
    connection: Connection,
    address: _types.Address,
    path: str,
    body: bytes,
    *,
    method: str,
) -> Response:
    await _send(connection, address, path, body, method=method)
    head = await _receive_head(connection)
    received = bytearray()
    while isinstance(event := await _next_event(connection), h11.Data):
        received += event.data
        if len(received) > MAX_RESPONSE_BYTES:
            raise h11.RemoteProtocolError(
                "response body is larger than MAX_RESPONSE_BYTES"
            )
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Response(status=head.status_code, body=bytes(received), headers=headers)


async def _send(
    connection: Connection,
    address: _types.Address,
    path: str,
    body: bytes,
    *,
    method: str = "POST",
) -> None:
    headers = [
        ("host", str(address)),
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
    ]
    request = h11.Request(method=method, target=path, headers=headers)
    request_bytes = connection.protocol.send(request)
    request_bytes += connection.protocol.send(h11.Data(data=body))
    request_bytes += connection.protocol.send(h11.EndOfMessage())
    await connection.stream.send_all(request_bytes)


async def _receive_head(connection: Connection) -> h11.Response:
    event = await _next_event(connection)
    while isinstance(event, h11.InformationalResponse):
        event = await _next_event(connection)
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError("connection closed before a response arrived")
    return event


async def _next_event(connection: Connection) -> typing.Any:
    while (event := connection.protocol.next_event()) is h11.NEED_DATA:
        received = await connection.stream.receive_some(RECEIVE_BUFFER_BYTES)
        connection.protocol.receive_data(received)
    return event


@contextlib.asynccontextmanager
async def open_stream(
    address: _types.Address, path: str, body: bytes, *, timeout_seconds: float
) -> abc.AsyncIterator[Connection]:
    """Send a request whose response is an unbounded stream of lines.

    The stream uses a dedicated connection, which is closed on exit. Raises
    ``UnsentError`` if the stream cannot be opened or its status is not 200.
    """
    try:
        with trio.fail_after(timeout_seconds):
            connection = await _connect(address)
            with _closing_on_error(connection):
                await _send(connection, address, path, body)
                status = (await _receive_head(connection)).status_code
    except _TRANSPORT_ERRORS as error:
        raise UnsentError(f"{address}: {error!r}") from error
    try:
        if status != 200:
            raise UnsentError(f"{address}: stream request failed with status {status}")
        yield connection
    finally:
        connection.stream.socket.close()


async def next_line(connection: Connection) -> bytes | None:
    """Return the next line of a streamed response.

    Returns ``None`` at the end of the response, if the connection fails, or if a
    line exceeds the maximum response size.
    """
    while (line_end := connection.line_buffer.find(b"\n")) < 0:
        try:
            event = await _next_event(connection)
        except _TRANSPORT_ERRORS:
            return None
        if not isinstance(event, h11.Data):
            return None
        connection.line_buffer += event.data
        if len(connection.line_buffer) > MAX_RESPONSE_BYTES:
            return None
    line = bytes(connection.line_buffer[:line_end])
    del connection.line_buffer[: line_end + 1]
    return line
