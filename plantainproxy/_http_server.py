"""A minimal HTTP/1.1 server for health checks, heartbeats and metrics."""

import collections
from collections import abc
import logging
import typing

import httptools

from plantainproxy import _types
from plantainproxy.eventloop import binding, runtime, tcp

logger = logging.getLogger("plantain.http")

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 16_384
IDLE_TIMEOUT_SECONDS = 60.0
"""Limit on receiving and answering one request; then the connection is closed."""


class Request(typing.NamedTuple):
    """A complete HTTP request."""

    method: str
    path: str
    body: bytes
    is_last: bool = False
    """Whether the connection is closed after the response."""


class Response(typing.NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    """Further headers."""


Handler = abc.Callable[[Request], Response | abc.Awaitable[Response]]
"""Returns the response to a request, directly or as an awaitable."""
ErrorHandler = abc.Callable[[Exception], None]

INTERNAL_ERROR = Response(500)


class _RequestParser:
    """Parser of the requests on a connection; its methods are callbacks of the library.

    Callers may send further requests before they have the response to an earlier one.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.requests: collections.deque[Request] = collections.deque()
        """Complete requests that have not been handled."""
        self.target = b""
        self.body = b""
        self.incomplete_bytes = 0
        """Bytes that were received since the last complete request."""

    def on_message_begin(self) -> None:
        self.target = b""
        self.body = b""

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        request = Request(
            method=self.parser.get_method().decode("ascii"),
            path=self.target.decode("latin-1"),
            body=self.body,
            is_last=not self.parser.should_keep_alive(),
        )
        self.requests.append(request)
        self.incomplete_bytes = 0


def _log_error(error: Exception) -> None:
    logger.error("the handler of a request failed", exc_info=error)


async def serve(
    address: _types.Address,
    handle: Handler,
    on_error: ErrorHandler = _log_error,
    *,
    wait_seconds: float = binding.WAIT_SECONDS,
) -> None:
    """Listen on an address and answer requests until cancelled.

    Waits for up to ``wait_seconds`` while another socket holds the address.
    ``on_error`` gets what a handler raises; the response then has the status 500.
    """

    async def handle_connection(stream: tcp.Stream) -> None:
        try:
            await serve_connection(stream, handle, on_error)
        except OSError:
            # The caller has ended the connection and expects no response.
            return

    await tcp.serve(address, handle_connection, wait_seconds=wait_seconds)


async def serve_connection(
    stream: tcp.Stream, handle: Handler, on_error: ErrorHandler
) -> None:
    """Answer the requests on one connection until it ends."""
    parser = _RequestParser()
    is_open = True
    while is_open:
        is_open = False
        with runtime.move_on_after(IDLE_TIMEOUT_SECONDS):
            request = await _receive_request(stream, parser)
            if request is None:
                return
            response = await _respond(request, handle, on_error)
            await stream.send_all(_encode_response(request, response))
            is_open = not request.is_last


async def _respond(
    request: Request, handle: Handler, on_error: ErrorHandler
) -> Response:
    try:
        response = handle(request)
        return response if isinstance(response, Response) else await response
    except Exception as error:
        on_error(error)
        return INTERNAL_ERROR


async def _receive_request(
    stream: tcp.Stream, parser: _RequestParser
) -> Request | None:
    """Return the next request.

    Returns ``None`` at the end of the connection and for a request that is invalid
    or too large.
    """
    while not parser.requests:
        received = await stream.receive_some(RECEIVE_BUFFER_BYTES)
        parser.incomplete_bytes += len(received)
        try:
            parser.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return None
        if not received or len(parser.body) > MAX_BODY_BYTES:
            return None
        if parser.incomplete_bytes > MAX_HEAD_BYTES + MAX_BODY_BYTES:
            return None
    return parser.requests.popleft()


def _encode_response(request: Request, response: Response) -> bytes:
    headers = [
        ("content-type", response.content_type),
        ("content-length", str(len(response.body))),
        *response.headers,
    ]
    if request.is_last:
        headers.append(("connection", "close"))
    lines = [f"HTTP/1.1 {response.status} "]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
