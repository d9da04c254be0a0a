"""An HTTP/1.1 client with pooled connections and a timeout on each call."""

from collections import abc
import contextlib
import socket
import typing

import httptools

from plantainproxy import _types
from plantainproxy.eventloop import runtime, tcp

MAX_IDLE_SECONDS = 15.0
"""Idle time after which a pooled connection is closed instead of reused."""
MAX_IDLE_CONNECTIONS = 4
MAX_RESPONSE_BYTES = 64 * 1_048_576
RECEIVE_BUFFER_BYTES = 65_536
FIRST_FINAL_STATUS = 200
"""Lower status codes are those of informational responses (RFC 9110)."""
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


_UNRESERVED = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)
"""Bytes that stand for themselves in a query (RFC 3986)."""
_SPACE = 0x20
_DELETE = 0x7F
"""Between them are the printable characters of ASCII."""


class UnsentError(Exception):
    """The server has certainly not applied the request."""


class UnansweredError(Exception):
    """The server may have applied the request, but no complete response arrived."""


class ProtocolError(Exception):
    """The server's bytes are not a complete HTTP response."""


_TRANSPORT_ERRORS = (OSError, runtime.TooSlowError, ProtocolError)


class Response(typing.NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: abc.Mapping[str, str] = {}
    """Values by name in lower case; the last one of a repeated name."""


class _ResponseParser:
    """The parsed part of one response; the methods are the library's callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        """Status code; 0 before the head is complete."""
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.received_bytes = 0
        self.is_complete = False
        self.is_reusable = False
        """Whether the connection can be used for another request."""

    def on_message_begin(self) -> None:
        # Bytes after the response are not the answer to any request.
        self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.is_complete:
            return
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if not self.is_complete and status >= FIRST_FINAL_STATUS:
            self.status = status

    def on_body(self, body: bytes) -> None:
        if not self.is_complete:
            self.body += body

    def on_message_complete(self) -> None:
        if not self.status:
            # An informational response precedes the final one.
            self.headers.clear()
            return
        self.is_reusable = not self.is_complete and self.parser.should_keep_alive()
        self.is_complete = True


class Connection:
    """An open connection with the response that it receives."""

    def __init__(self, stream: tcp.Stream) -> None:
        """Wrap a connected stream."""
        self.stream = stream
        self.response = _ResponseParser()
        self.idle_since = 0.0


class Pool:
    """A pool of connections to one server."""

    def __init__(self, address: _types.Address) -> None:
        """Create an empty pool; connections are opened on demand."""
        self.address = address
        self.idle: list[Connection] = []


def close_idle(pool: Pool) -> None:
    """Close all idle connections of a pool."""
    while pool.idle:
        pool.idle.pop().stream.close()


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
        with runtime.fail_after(timeout_seconds):
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
    oldest_idle_since = runtime.current_time() - MAX_IDLE_SECONDS
    while pool.idle:
        connection = pool.idle.pop()
        # If an idle connection is readable, the server has closed it.
        is_open = not connection.stream.has_input()
        if is_open and connection.idle_since >= oldest_idle_since:
            return connection
        connection.stream.close()
    return await _connect(pool.address)


async def _connect(address: _types.Address) -> Connection:
    stream = await tcp.connect(address)
    enable_keepalive(stream.socket)
    return Connection(stream)


def enable_keepalive(connected_socket: socket.socket) -> None:
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
    if not connection.response.is_reusable or len(pool.idle) >= MAX_IDLE_CONNECTIONS:
        connection.stream.close()
        return
    connection.idle_since = runtime.current_time()
    pool.idle.append(connection)


@contextlib.contextmanager
def _closing_on_error(connection: Connection) -> abc.Iterator[None]:
    try:
        yield
    except BaseException:
        connection.stream.close()
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
    response = connection.response
    while not response.is_complete:
        await _receive(connection)
        if response.received_bytes > MAX_RESPONSE_BYTES:
            raise ProtocolError(
                f"the response has more than {MAX_RESPONSE_BYTES} bytes"
            )
    return Response(
        status=response.status,
        body=bytes(response.body),
        headers=response.headers,
    )


async def _send(
    connection: Connection,
    address: _types.Address,
    path: str,
    body: bytes,
    *,
    method: str = "POST",
) -> None:
    connection.response = _ResponseParser()
    head = (
        f"{method} {encode_target(path)} HTTP/1.1\r\n"
        f"host: {address}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    await connection.stream.send_all(head.encode("ascii") + body)


def encode_target(path: str) -> str:
    """Return a path with percent-encoding of what a request line cannot contain."""
    if path.isascii() and path.isprintable() and " " not in path:
        return path
    return "".join(
        chr(byte) if _SPACE < byte < _DELETE else f"%{byte:02X}"
        for byte in path.encode()
    )


async def _receive(connection: Connection) -> None:
    """Receive and parse further bytes of the response."""
    response = connection.response
    received = await connection.stream.receive_some(RECEIVE_BUFFER_BYTES)
    if not received:
        _handle_end(response)
        return
    response.received_bytes += len(received)
    try:
        response.parser.feed_data(received)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        response.is_reusable = False
        if not response.is_complete:
            raise ProtocolError(f"invalid response: {error!r}") from error


def _handle_end(response: _ResponseParser) -> None:
    """Handle the end of the connection, which ends a response of unstated length."""
    has_length = {"content-length", "transfer-encoding"} & response.headers.keys()
    if not response.status or has_length:
        raise ProtocolError("the connection was closed before the end of the response")
    response.is_complete = True


@contextlib.asynccontextmanager
async def open_stream(
    address: _types.Address, path: str, body: bytes, *, timeout_seconds: float
) -> abc.AsyncIterator[Connection]:
    """Send a request whose response is an unbounded stream of lines.

    The stream uses a dedicated connection, which is closed on exit. Raises
    ``UnsentError`` if the stream cannot be opened or its status is not 200.
    """
    try:
        with runtime.fail_after(timeout_seconds):
            connection = await _connect(address)
            with _closing_on_error(connection):
                await _send(connection, address, path, body)
                while not connection.response.status:
                    await _receive(connection)
                status = connection.response.status
    except _TRANSPORT_ERRORS as error:
        raise UnsentError(f"{address}: {error!r}") from error
    try:
        if status != 200:
            raise UnsentError(f"{address}: stream request failed with status {status}")
        yield connection
    finally:
        connection.stream.close()


async def next_line(connection: Connection) -> bytes | None:
    """Return the next line of a streamed response.

    Returns ``None`` at the end of the response, if the connection fails, or if a
    line exceeds the maximum response size.
    """
    response = connection.response
    while (line_end := response.body.find(b"\n")) < 0:
        if response.is_complete or len(response.body) > MAX_RESPONSE_BYTES:
            return None
        try:
            await _receive(connection)
        except _TRANSPORT_ERRORS:
            return None
    line = bytes(response.body[:line_end])
    del response.body[: line_end + 1]
    return line


def encode_query(parameters: abc.Mapping[str, str]) -> str:
    """Return the query part of a path, percent-encoded.

    ``urllib.parse`` does the same, but its import delays the start of a process.
    """
    return "&".join(
        f"{_percent_encode(name)}={_percent_encode(value)}"
        for name, value in parameters.items()
    )


def _percent_encode(text: str) -> str:
    return "".join(
        chr(byte) if byte in _UNRESERVED else f"%{byte:02X}" for byte in text.encode()
    )
