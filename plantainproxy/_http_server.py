"""A minimal HTTP/1.1 server for health checks, heartbeats and metrics."""

from collections import abc
import logging
import typing

import h11
import trio

from plantainproxy import _types

logger = logging.getLogger("plantain.http")

MAX_BODY_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 16_384
IDLE_TIMEOUT_SECONDS = 60.0
"""Limit on receiving and answering one request; then the connection is closed."""


class Request(typing.NamedTuple):
    """A complete HTTP request."""

    method: str
    path: str
    body: bytes


class Response(typing.NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    """Further headers."""


Handler = abc.Callable[[Request], Response | abc.Awaitable[Response]]
"""Returns the response to a request, directly or as an awaitable."""


async def serve(address: _types.Address, handle: Handler) -> None:
    """Listen on an address and answer requests until cancelled."""

    async def handle_connection(stream: trio.SocketStream) -> None:
        try:
            await _serve_connection(stream, handle)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            logger.debug(
                "HTTP connection failed", extra={"fields": {"error": repr(error)}}
            )

    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    await trio.serve_listeners(handle_connection, listeners)


async def _serve_connection(stream: trio.SocketStream, handle: Handler) -> None:
    protocol = h11.Connection(h11.SERVER)
    async with stream:
        while True:
            with trio.move_on_after(IDLE_TIMEOUT_SECONDS):
                request = await _receive_request(stream, protocol)
                if request is None:
                    return
                response = handle(request)
                if not isinstance(response, Response):
                    response = await response
                await stream.send_all(_encode_response(protocol, response))
                if not _start_next_cycle(protocol):
                    return
                continue
            return


def _start_next_cycle(protocol: h11.Connection) -> bool:
    """Prepare for the next request; return whether the connection stays open."""
    if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True


async def _receive_request(
    stream: trio.SocketStream, protocol: h11.Connection
) -> Request | None:
    """Return the next request.

    Returns ``None`` at the end of the connection and for a request that is invalid
    or larger than ``MAX_BODY_BYTES``.
    """
    head: h11.Request | None = None
    body = b""
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            return None
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(RECEIVE_BUFFER_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return None
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return Request(head.method.decode(), head.target.decode(), body)
        else:
            return None


def _encode_response(protocol: h11.Connection, response: Response) -> bytes:
    headers = [
        ("content-type", response.content_type),
        ("content-length", str(len(response.body))),
        *response.headers,
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    encoded_events = [protocol.send(head)]
    if response.body:
        encoded_events.append(protocol.send(h11.Data(data=response.body)))
    encoded_events.append(protocol.send(h11.EndOfMessage()))
    return b"".join(encoded_event for encoded_event in encoded_events if encoded_event)
