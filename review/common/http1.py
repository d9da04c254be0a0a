"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections import abc
import json

Handler = abc.Callable[
    [str, str, bytes, asyncio.StreamWriter],
    abc.Awaitable[tuple[int, object] | None],
]
"""Returns status and JSON body; ``None`` leaves the request without an answer."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    size = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            size = int(value)
    return first, await reader.readexactly(size) if size else b""


async def serve(
    host: str,
    port: int,
    handle: Handler,
    connections: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Serve requests; every answer is JSON.

    ``connections`` gets the open connections.
    """
    opened = set() if connections is None else connections

    async def connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.add(writer)
        try:
            while True:
                first, body = await _read_message(reader)
                method, target, _ = first.split(" ")
                answer = await handle(method, target, body, writer)
                if answer is None:
                    # Read on without answering, as on a connection that went silent.
                    while await reader.read(65_536):
                        pass
                    return
                status, content = answer
                encoded = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(encoded)}\r\n\r\n"
                )
                writer.write(head.encode() + encoded)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            opened.discard(writer)
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=512)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    *,
    seconds: float = 1.0,
    source: str | None = None,
) -> int | None:
    """Send one request on a connection of its own; return the status, if any."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            head = (
                f"{method} {path} HTTP/1.1\r\nhost: {address[0]}:{address[1]}\r\n"
                "content-type: application/json\r\n"
                f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            first, _ = await _read_message(reader)
            return int(first.split(" ")[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
