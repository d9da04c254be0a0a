"""PROXY protocol version 2 headers for IPv4 datagrams.

Source: the PROXY protocol specification, section 2.2 (binary header format).
"""

import struct
import typing

from plantainproxy import _types

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_AND_COMMAND = 0x21
FAMILY_INET_DATAGRAM = 0x12
ADDRESS_BYTES = 12
HEADER_BYTES = 28
"""Size of a header without type-length-value fields."""

_HEADER_START = SIGNATURE + bytes((VERSION_AND_COMMAND, FAMILY_INET_DATAGRAM))
_ADDRESSES_OFFSET = 16
START_WITHOUT_TLVS = _HEADER_START + ADDRESS_BYTES.to_bytes(2, "big")
"""First bytes of a header without type-length-value fields, up to the addresses."""
_ADDRESSES = struct.Struct("!4s4s2s2s")
_unpack = struct.Struct("!14sH4s4s2s2s").unpack_from


class Header(typing.NamedTuple):
    """The addresses of one datagram, each packed into six bytes."""

    source: bytes
    destination: bytes
    payload_offset: int
    """Offset of the payload in the datagram, in bytes."""


def decode(datagram: bytes) -> Header | None:
    """Decode the header of a datagram; return ``None`` if it is not valid."""
    try:
        start, length, source, destination, source_port, port = _unpack(datagram)
    except struct.error:
        return None
    if start != _HEADER_START or length < ADDRESS_BYTES:
        return None
    payload_offset = _ADDRESSES_OFFSET + length
    if payload_offset > len(datagram):
        return None
    return Header(source + source_port, destination + port, payload_offset)


def encode(*, source: _types.Address, destination: _types.Address) -> bytes:
    """Encode the header of a datagram from ``source`` to ``destination``."""
    return encode_packed(source=source.pack(), destination=destination.pack())


def encode_packed(*, source: bytes, destination: bytes) -> bytes:
    """Encode a header from packed addresses in the form that :func:`decode` returns."""
    return (
        _HEADER_START
        + ADDRESS_BYTES.to_bytes(2, "big")
        + _ADDRESSES.pack(source[:4], destination[:4], source[4:], destination[4:])
    )
