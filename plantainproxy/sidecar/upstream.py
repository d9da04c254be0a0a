"""HTTP/1.1 client of one upstream.

Each exchange has exclusive use of a connection and counts the bytes that the kernel
accepted from it. A failed exchange is reported as "not run" only if that count is zero,
or if the upstream sent a 503 with the header ``plantain-not-run: true``.

HTTP/1.1 does not state which request a response answers. An upstream may send a second
copy of a response when its connection is in use again. Each request therefore carries
its number on the connection, and a connection is reused only while the upstream repeats
the numbers in its responses.
"""

from collections import abc
import contextlib
import dataclasses
import logging
import socket

import h11
import msgspec
import trio

from plantainproxy import _decoding, _exceptions, _types
from plantainproxy.core import admission
from plantainproxy.rpc import messages
from plantainproxy.telemetry import logs

CONNECT_TIMEOUT_SECONDS = 1.0
HEALTH_INTERVAL_SECONDS = 1.0
HEALTH_TIMEOUT_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 16
MAX_IDLE_SECONDS = 2.0
"""Connections that have been idle for longer are closed instead of reused."""
MAX_RESPONSE_BYTES = 8_388_608
MAX_HEADER_BYTES = 65_536
RECEIVE_BYTES = 65_536
TIMEOUT_HEADER = b"request-timeout-ms"
NOT_RUN_HEADER = b"plantain-not-run"
STARTED_HEADER = b"plantain-started"
EXCHANGE_HEADER = b"plantain-exchange"
"""Number of the request on its connection, from 1; the response repeats it."""
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
REPLACED_REQUEST_HEADERS = frozenset(
    {b"content-length", b"expect", TIMEOUT_HEADER, EXCHANGE_HEADER}
)
REMOVED_RESPONSE_HEADERS = frozenset({NOT_RUN_HEADER, STARTED_HEADER, EXCHANGE_HEADER})

_log = logging.getLogger("plantain.upstream")
_warn = logs.rate_limited(_log)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Result of one exchange: a complete response or an error kind."""

    signal: admission.Signal
    response: messages.Response | None = None
    error: _exceptions.ErrorKind | None = None
    detail: str = ""
    started: str = ""
    """Start identifier that the upstream sent with its response, else empty."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Connection:
    """A connection to the upstream; at most one exchange uses it at a time."""

    socket: trio.socket.SocketType
    http: h11.Connection
    idle_since: float = 0.0
    exchange_number: int = 0
    """Number of the newest request."""
    is_reusable: bool = False
    """Whether the newest response repeated the number of its request."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ConnectionPool:
    """Idle connections to one upstream; the most recently used is last."""

    address: _types.Address
    idle: list[Connection] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Progress:
    """Number of request bytes that the kernel has accepted in one exchange."""

    sent_bytes: int = 0


class _HealthDocument(msgspec.Struct):
    """JSON document of a health report; unknown members are ignored."""

    started: str = ""
    limit: int | None = None
    draining: bool = False


@contextlib.contextmanager
def open_connection_pool(address: _types.Address) -> abc.Iterator[ConnectionPool]:
    """Provide a connection pool and close its idle connections at the end."""
    pool = ConnectionPool(address=address)
    try:
        yield pool
    finally:
        for connection in pool.idle:
            connection.socket.close()
        pool.idle.clear()


async def exchange(
    pool: ConnectionPool, request: messages.Request, *, timeout_seconds: float
) -> Result:
    """Run one request; cancellation closes its connection."""
    progress = _Progress()
    with trio.move_on_after(timeout_seconds):
        try:
            return await _exchange(pool, request, progress, timeout_seconds)
        except h11.LocalProtocolError as error:
            return _malformed_result(progress, str(error))
        except (OSError, EOFError, h11.RemoteProtocolError) as error:
            return _connection_error_result(
                progress, str(error) or type(error).__name__
            )
    return _timeout_result(progress)


async def poll_health(
    pool: ConnectionPool, on_report: abc.Callable[[admission.HealthReport | None], None]
) -> None:
    """Poll the health report periodically; report ``None`` without a response."""
    while True:
        on_report(await read_health(pool))
        await trio.sleep(HEALTH_INTERVAL_SECONDS)


async def read_health(pool: ConnectionPool) -> admission.HealthReport | None:
    """Request the health report once; ``None`` means no response.

    A response without a valid report counts as an empty report.
    """
    request = messages.Request(method="GET", path="/health")
    result = await exchange(pool, request, timeout_seconds=HEALTH_TIMEOUT_SECONDS)
    if result.signal is admission.Signal.OVERLOAD and result.response is None:
        return admission.HealthReport()
    if result.response is None:
        return None
    return decode_health(result.response.body)


def decode_health(body: bytes) -> admission.HealthReport:
    """Decode a health report; an invalid one counts as empty."""
    try:
        report = msgspec.json.decode(body, type=_HealthDocument)
    except _decoding.ERRORS:
        return admission.HealthReport()
    return admission.HealthReport(
        started=report.started, limit=report.limit, draining=report.draining
    )


async def _exchange(
    pool: ConnectionPool,
    request: messages.Request,
    progress: _Progress,
    timeout_seconds: float,
) -> Result:
    with _lease() as lease:
        connection = await _send(pool, request, progress, timeout_seconds, lease)
        result = await _receive(connection, request)
        _return_to_pool(pool, connection, lease)
        return result


@contextlib.contextmanager
def _lease() -> abc.Iterator[list[Connection]]:
    """Yield a list of leased connections; close those still in it at the end."""
    lease: list[Connection] = []
    try:
        yield lease
    finally:
        for connection in lease:
            connection.socket.close()


def _return_to_pool(
    pool: ConnectionPool, connection: Connection, lease: list[Connection]
) -> None:
    """Return a connection to the pool if both sides completed the exchange.

    Bytes after the response are not the answer to any request.
    """
    http = connection.http
    if (http.our_state, http.their_state) != (h11.DONE, h11.DONE):
        return
    if not connection.is_reusable or http.trailing_data[0]:
        return
    if len(pool.idle) >= MAX_IDLE_CONNECTIONS:
        return
    http.start_next_cycle()
    connection.idle_since = trio.current_time()
    lease.remove(connection)
    pool.idle.append(connection)


async def _send(
    pool: ConnectionPool,
    request: messages.Request,
    progress: _Progress,
    timeout_seconds: float,
    lease: list[Connection],
) -> Connection:
    """Send on an idle connection, or on a new one if every idle one fails."""
    while idle := _take_idle(pool):
        lease.append(idle)
        if await _try_send(idle, request, progress, timeout_seconds):
            return idle
        idle.socket.close()
        lease.remove(idle)
    connection = await _connect(pool.address, lease)
    if not await _try_send(connection, request, progress, timeout_seconds):
        raise ConnectionResetError("closed before the first byte was sent")
    return connection


def _take_idle(pool: ConnectionPool) -> Connection | None:
    """Remove and return an idle connection that is still usable.

    A readable socket means that the upstream closed it or sent unexpected data.
    """
    earliest_idle_since = trio.current_time() - MAX_IDLE_SECONDS
    while pool.idle:
        connection = pool.idle.pop()
        if (
            connection.idle_since >= earliest_idle_since
            and not connection.socket.is_readable()
        ):
            return connection
        connection.socket.close()
    return None


async def _connect(address: _types.Address, lease: list[Connection]) -> Connection:
    tcp_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    http = h11.Connection(
        our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
    )
    connection = Connection(socket=tcp_socket, http=http)
    lease.append(connection)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
        await tcp_socket.connect(address)
        return connection
    raise TimeoutError("the connection was not accepted in time")


async def _try_send(
    connection: Connection,
    request: messages.Request,
    progress: _Progress,
    timeout_seconds: float,
) -> bool:
    """Send the request; return false if not a single byte could be sent.

    If the connection fails after the first byte, the function returns true, so that the
    response is still read: the upstream may have sent one before it read the request
    to its end.
    """
    connection.exchange_number += 1
    unsent = memoryview(_encode(connection, request, timeout_seconds))
    while unsent:
        try:
            sent_bytes = await connection.socket.send(unsent)
        except OSError:
            return progress.sent_bytes > 0
        progress.sent_bytes += sent_bytes
        unsent = unsent[sent_bytes:]
    return True


def _encode(
    connection: Connection, request: messages.Request, timeout_seconds: float
) -> bytes:
    http = connection.http
    milliseconds = max(int(timeout_seconds * 1000), 1)
    connection_options = _connection_options(request.headers)
    removed_names = HOP_BY_HOP | REPLACED_REQUEST_HEADERS | connection_options
    fields = [
        (field.name, field.value)
        for field in request.headers
        if field.name.lower() not in removed_names
    ]
    if not any(name.lower() == b"host" for name, _ in fields):
        fields.insert(0, (b"host", b"upstream"))
    fields.append((TIMEOUT_HEADER, b"%d" % milliseconds))
    fields.append((EXCHANGE_HEADER, b"%d" % connection.exchange_number))
    if request.body or request.method not in {"GET", "HEAD", "OPTIONS"}:
        fields.append((b"content-length", b"%d" % len(request.body)))
    head = h11.Request(
        method=request.method.encode(), target=request.path.encode(), headers=fields
    )
    parts = [http.send(head)]
    if request.body:
        parts.append(http.send(h11.Data(data=request.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


def _connection_options(headers: tuple[messages.Header, ...]) -> frozenset[bytes]:
    """Return the header names that ``Connection`` fields declare hop-by-hop."""
    return frozenset(
        option.strip().lower()
        for field in headers
        if field.name.lower() == b"connection"
        for option in field.value.split(b",")
    )


async def _receive(connection: Connection, request: messages.Request) -> Result:
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = connection.http.next_event()
        if event is h11.NEED_DATA:
            connection.http.receive_data(await _read(connection.socket))
        elif isinstance(event, h11.Response):
            head = event
            _check_exchange_number(connection, head)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_RESPONSE_BYTES:
                raise h11.RemoteProtocolError("the answer is too large")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _result(head, bytes(body), request.method)
        elif not isinstance(event, h11.InformationalResponse):
            raise h11.RemoteProtocolError("the answer is cut")


def _check_exchange_number(connection: Connection, head: h11.Response) -> None:
    """Raise an error if a response answers another request of its connection."""
    repeated = dict(head.headers).get(EXCHANGE_HEADER)
    expected = b"%d" % connection.exchange_number
    connection.is_reusable = repeated == expected
    is_first = connection.exchange_number == 1
    if repeated != expected and not (is_first and repeated is None):
        raise h11.RemoteProtocolError(
            f"the answer is for request {repeated!r} of the connection, "
            f"expected {expected!r}"
        )


async def _read(source: trio.socket.SocketType) -> bytes:
    """Read some bytes; the end of the stream is always an error.

    A response that is delimited only by the end of the stream is therefore rejected,
    since its truncation could not be detected.
    """
    data = await source.recv(RECEIVE_BYTES)
    if not data:
        raise EOFError("the connection ended before the answer was whole")
    return data


def _result(head: h11.Response, body: bytes, method: str) -> Result:
    received_headers = tuple(
        messages.Header(name=name, value=value) for name, value in head.headers
    )
    header_values = {field.name: field.value for field in received_headers}
    started = header_values.get(STARTED_HEADER, b"").decode("latin-1")
    if (
        head.status_code == 503
        and header_values.get(NOT_RUN_HEADER, b"").lower() == b"true"
    ):
        return Result(
            signal=admission.Signal.OVERLOAD,
            error=_exceptions.ErrorKind.OVERLOADED,
            detail="the upstream shed the request",
            started=started,
        )
    removed_names = (
        HOP_BY_HOP | REMOVED_RESPONSE_HEADERS | _connection_options(received_headers)
    )
    if method != "HEAD":
        removed_names |= {b"content-length"}
    is_overload = head.status_code == 503
    return Result(
        signal=admission.Signal.OVERLOAD if is_overload else admission.Signal.SUCCESS,
        response=messages.Response(
            status=head.status_code,
            headers=tuple(
                field for field in received_headers if field.name not in removed_names
            ),
            body=body,
        ),
        started=started,
    )


def _malformed_result(progress: _Progress, detail: str) -> Result:
    """Return the result for a request that cannot be encoded as HTTP/1.1."""
    kind = _exceptions.ErrorKind.BAD_REQUEST
    if progress.sent_bytes:
        kind = _exceptions.ErrorKind.UPSTREAM_FAILED
    return Result(signal=admission.Signal.NEUTRAL, error=kind, detail=detail)


def _connection_error_result(progress: _Progress, detail: str) -> Result:
    kind = _exceptions.ErrorKind.NO_UPSTREAM
    if progress.sent_bytes:
        kind = _exceptions.ErrorKind.UPSTREAM_FAILED
    _warn(
        "Exchange with the upstream failed after %d request bytes: %s.",
        progress.sent_bytes,
        detail,
    )
    return Result(signal=admission.Signal.CONNECTION_ERROR, error=kind, detail=detail)


def _timeout_result(progress: _Progress) -> Result:
    kind = _exceptions.ErrorKind.DEADLINE_EXPIRED
    if progress.sent_bytes:
        kind = _exceptions.ErrorKind.UPSTREAM_TIMEOUT
    return Result(signal=admission.Signal.TIMEOUT, error=kind)


Run = abc.Callable[[messages.Request, float], abc.Awaitable[Result]]
"""Runs a request on the upstream with a timeout in seconds."""


def runner(pool: ConnectionPool) -> Run:
    """Return a function that runs requests on connections of the pool."""

    async def run(request: messages.Request, timeout_seconds: float) -> Result:
        return await exchange(pool, request, timeout_seconds=timeout_seconds)

    return run
