"""A small HTTP/1.1 server for health checks, heartbeats and metrics."""

from collections import abc
import logging
import typing

import h11
import trio

from plantainproxy import _types

logger = logging.getLogger("plantain.http")

MAX_BODY_BYTES = 65_536
RECEIVE_BYTES = 16_384
IDLE_SECONDS = 60.0
"""A connection without a request for this long is closed."""


class Request(typing.NamedTuple):
    """One whole request."""

    method: str
    path: str
    body: bytes


class Response(typing.NamedTuple):
    """One whole response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = abc.Callable[[Request], Response | abc.Awaitable[Response]]
"""Answers a request, at once or later."""


async def serve(address: _types.Address, handle: Handler) -> None:
    """Answer requests for ever."""

    async def converse(stream: trio.SocketStream) -> None:
        try:
            await _converse(stream, handle)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            logger.debug("connection ended", extra={"fields": {"error": repr(error)}})

    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    await trio.serve_listeners(converse, listeners)


async def _converse(stream: trio.SocketStream, handle: Handler) -> None:
    protocol = h11.Connection(h11.SERVER)
    async with stream:
        while True:
            with trio.move_on_after(IDLE_SECONDS):
                request = await _receive(stream, protocol)
                if request is None:
                    return
                answer = handle(request)
                if not isinstance(answer, Response):
                    answer = await answer
                await stream.send_all(_encode(protocol, answer))
                if not _start_next(protocol):
                    return
                continue
            return


def _start_next(protocol: h11.Connection) -> bool:
    """Get ready for another request; return whether the connection stays open."""
    if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True


async def _receive(
    stream: trio.SocketStream, protocol: h11.Connection
) -> Request | None:
    """Return the next request; ``None`` at the end or after an invalid one."""
    head: h11.Request | None = None
    body = b""
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            return None
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(RECEIVE_BYTES))
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


def _encode(protocol: h11.Connection, response: Response) -> bytes:
    headers = [
        ("content-type", response.content_type),
        ("content-length", str(len(response.body))),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [protocol.send(head)]
    if response.body:
        parts.append(protocol.send(h11.Data(data=response.body)))
    parts.append(protocol.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
