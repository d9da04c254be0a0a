"""PROXY protocol version 2 headers for IPv4 datagrams.

Source: the PROXY protocol specification, section 2.2 (binary header format).
"""

import struct
from typing import NamedTuple

from plantainproxy import _types

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_AND_COMMAND = 0x21
FAMILY_INET_DATAGRAM = 0x12
ADDRESS_BYTES = 12
HEADER_BYTES = 28
"""Size of a header without type-length-value fields."""

_START = SIGNATURE + bytes((VERSION_AND_COMMAND, FAMILY_INET_DATAGRAM))
_START_BYTES = len(_START)
PLAIN_START = _START + ADDRESS_BYTES.to_bytes(2, "big")
"""How a header without type-length-value fields begins."""
_ADDRESSES = struct.Struct("!4s4s2s2s")


class Header(NamedTuple):
    """The addresses of one datagram, each packed into six bytes."""

    source: bytes
    destination: bytes
    payload_offset: int
    """Where the payload begins, in bytes from the start of the datagram."""


def decode(datagram: bytes) -> Header | None:
    """Read the header of a datagram; return ``None`` when it is not valid."""
    if len(datagram) < HEADER_BYTES or not datagram.startswith(_START):
        return None
    length = (datagram[14] << 8) | datagram[15]
    if length < ADDRESS_BYTES or _START_BYTES + 2 + length > len(datagram):
        return None
    return Header(
        datagram[16:20] + datagram[24:26],
        datagram[20:24] + datagram[26:28],
        _START_BYTES + 2 + length,
    )


def encode(*, source: _types.Address, destination: _types.Address) -> bytes:
    """Make the header of a datagram from ``source`` to ``destination``."""
    return encode_packed(source=source.pack(), destination=destination.pack())


def encode_packed(*, source: bytes, destination: bytes) -> bytes:
    """Make a header from packed addresses, as :func:`decode` returns them."""
    return (
        _START
        + ADDRESS_BYTES.to_bytes(2, "big")
        + _ADDRESSES.pack(source[:4], destination[:4], source[4:], destination[4:])
    )
