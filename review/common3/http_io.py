"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections import abc
import contextlib
import json
import typing
import urllib.parse

Answer = tuple[int, object]
"""Status and JSON body; status 0 breaks the connection off without a response."""
Handler = abc.Callable[[str, str, dict[str, str], typing.Any], abc.Awaitable[Answer]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the start line, the headers and the body of the next message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


def encode_answer(status: int, body: object, headers: dict[str, str]) -> bytes:
    """Return the bytes of a response."""
    encoded = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} x", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(encoded)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + encoded


async def serve(
    host: str,
    port: int,
    handle: Handler,
    headers: abc.Callable[[], dict[str, str]] = dict,
    connections: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Listen on an address and answer each request with the handler's answer.

    ``connections`` holds the open connections.
    """

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if connections is not None:
            connections.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                path, _, query = target.partition("?")
                status, answer = await handle(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    json.loads(body) if body else None,
                )
                if not status:
                    break
                writer.write(encode_answer(status, answer, headers()))
                await writer.drain()
        if connections is not None:
            connections.discard(writer)
        writer.close()

    return await asyncio.start_server(serve_connection, host, port, backlog=1024)


class Client:
    """A client with one connection that is kept open."""

    def __init__(self, host: str, port: int) -> None:
        """Connect on the first call."""
        self.address = (host, port)
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def call(
        self, method: str, path: str, body: object = None, *, timeout: float = 1.0
    ) -> int:
        """Send a request; return the response's status, or 0 without a response."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self.close()
            return 0

    async def _call(self, method: str, path: str, body: object) -> int:
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.address)
        reader, writer = self.streams
        encoded = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address[0]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(encoded)}\r\n\r\n"
        )
        writer.write(head.encode() + encoded)
        await writer.drain()
        start, _, _ = await read_message(reader)
        return int(start.split(" ")[1])
