"""Inputs of another writer: what processes may receive beside what they expect.

None of them is a valid statement of a process or of an operator, so that processes must
serve as if it had not arrived.
"""

from collections import abc
import contextlib
import json
import random
import socket
import typing

import msgspec
import trio

from plantainproxy import _types
from plantainproxy.flows.stored import registry
from testbed import flow_site

NESTED_LEVELS = 100_000
CONNECT_SECONDS = 1.0
HELD_SECONDS = 0.5
"""How long a connection stays open after the last byte."""
DATAGRAMS = 20
MAX_DATAGRAM_BYTES = 60_000

Value = typing.Any


def nested_json(levels: int = NESTED_LEVELS) -> bytes:
    """Return lists in lists."""
    return b"[" * levels + b"]" * levels


def nested_msgpack(levels: int = NESTED_LEVELS) -> bytes:
    """Return lists of one element in lists."""
    return b"\x91" * levels + b"\xc0"


def document(version: int, draw: random.Random) -> bytes:
    """Return a configuration that cannot be applied, or has an odd unknown field."""
    route = {
        "name": "r-feed",
        "host": flow_site.SERVICE.host,
        "prefix": f"/{flow_site.SERVICE.port}/",
        "type": "idempotent",
        "service": flow_site.SERVICE_NAME,
    }
    complete = {
        "version": version,
        "routes": [route],
        "services": [{"name": flow_site.SERVICE_NAME, "health_path": "/healthz"}],
    }
    valid = json.dumps(complete).encode()
    return draw.choice(
        (
            b'{"new": ' + nested_json() + b"," + valid[1:],
            b'{"routes_new": "' + b"x" * 2**20 + b'",' + valid[1:],
            valid.replace(b"{", b'{"new": {"a": [{}]}, ', 1),
            valid.replace(b'"routes": [', b'"routes": [' + nested_json() + b", "),
            valid.replace(str(version).encode(), b"9" * 40, 1),
            valid.replace(b'"services"', b'"limits": {"idle_timeout_ms": NaN}, "s"'),
            valid.replace(b'"type"', b'"priority": 1e400, "type"'),
            valid.replace(b"198.18", b"::1"),
            valid.replace(b"/8443/", b"/99999/"),
            valid.replace(b"/healthz", b"/\xff"),
            valid[: draw.randrange(len(valid))],
            b"",
            nested_json(),
        )
    )


def entry(draw: random.Random) -> bytes:
    """Return an entry of the list of sidecars that names no usable address."""
    rows: tuple[list[Value], ...] = (
        ["no host", 1, 2, "d0"],
        ["127.0.0.1\0", 1, 2, "d0"],
        ["::1", 1, 2, "d0"],
        ["127.0.0.1", 65_536, 2, "d0"],
        ["127.0.0.1", 1, -1, "d0"],
        ["127.0.0.1", 2**64 - 1, 2, "d0"],
        ["127.0.0.1", "1", 2, "d0"],
        ["127.0.0.1"],
        [],
    )
    encoded = [msgspec.msgpack.encode(row) for row in rows]
    encoded += [b"", b"\xc1", nested_msgpack(), b"\x94" + nested_msgpack() * 4]
    return draw.choice(encoded)


def heartbeat(draw: random.Random) -> bytes:
    """Return the body of a heartbeat that no upstream sends."""
    return draw.choice(
        (
            b"",
            b"{}",
            b"\xff\xfe",
            b'{"slots": ' + b"9" * 5_000 + b"}",
            b'{"new": ' + b"[" * 30_000 + b"]" * 30_000 + b"}",
            b'{"state": "ready", "slots": -1, "born": 1e400}',
        )
    )


def http_request(draw: random.Random) -> bytes:
    """Return bytes at an HTTP port that are no complete and valid request."""
    return draw.choice(
        (
            b"",
            b"\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00",
            b"GET / HTTP/1.1\r\n",
            b"GET /\xff\x00 HTTP/9.9\r\n\r\n",
            b"GET / HTTP/1.1\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n",
            b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
            b"POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\nx",
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"f" * 18
            + b"\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n",
            b"GET /v1/readyz HTTP/1.1\r\nhost: x\r\n\r\n" * 200,
            draw.randbytes(4_096),
        )
    )


def datagram(draw: random.Random) -> bytes:
    """Return a datagram that is neither a packet of a flow nor a message."""
    size = draw.choice((0, 1, 33, 34, 35, 200, 1_234, MAX_DATAGRAM_BYTES))
    odd = (
        nested_msgpack(MAX_DATAGRAM_BYTES),
        msgspec.msgpack.encode(["hello"]),
        msgspec.msgpack.encode(["report", *[2**64 - 1] * 20]),
        msgspec.msgpack.encode(["batch", [["no host", 0, ["l", 1, 1, 1, 1, 1]]]]),
        msgspec.msgpack.encode(["batch", [["1.2.3.4\0", -1, None]]]),
        msgspec.msgpack.encode(["notice", -1, "x", 2**63, None, True]),
        msgspec.msgpack.encode(["held", b"short"]),
        msgspec.msgpack.encode(["returned", "no-reason", 1, b"", float("nan")]),
        msgspec.msgpack.encode(["relay", "d0", ["no host", "1.2.3.4\0"], 7]),
    )
    # The first byte of 0xC1 is in no message, and has unknown flags for a packet.
    return draw.choice((b"\xc1" + draw.randbytes(size), *odd))


async def send_bytes(address: _types.Address, data: bytes) -> None:
    """Send bytes over a connection, and close it without reading."""
    refused = (OSError, trio.BrokenResourceError)
    with trio.move_on_after(CONNECT_SECONDS), contextlib.suppress(*refused):
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(data)
            await trio.sleep(HELD_SECONDS)


def send_datagrams(
    source: str, addresses: abc.Sequence[_types.Address], draw: random.Random
) -> None:
    """Send some datagrams to each address."""
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        sender.bind((source, 0))
        for address in addresses:
            for _ in range(DATAGRAMS):
                with contextlib.suppress(OSError):
                    sender.sendto(datagram(draw), address)


async def send_heartbeat(address: _types.Address, draw: random.Random) -> None:
    """Send a heartbeat of an unknown instance."""
    body = heartbeat(draw)
    head = "POST /v1/instances/i-foreign/heartbeat HTTP/1.1\r\nhost: x\r\n"
    head += f"content-length: {len(body)}\r\n\r\n"
    await send_bytes(address, head.encode() + body)


def write_entry(site: flow_site.Site, draw: random.Random) -> str:
    """Write an entry beside those of the sidecars; return its key."""
    key = f"{registry.PREFIX}foreign-{draw.randrange(5)}/"
    site.store.put(key, entry(draw))
    return key
