"""Parser for the QUIC packet header fields that are readable without keys.

RFC 8999 defines the version-independent fields, RFC 9000 the others.
"""

import typing

from plantainproxy.wire import connection_id

VERSION_1 = 0x00000001
MIN_INITIAL_DATAGRAM_BYTES = 1200
"""Minimum size of a datagram that carries an Initial packet."""
MIN_OPENING_ID_BYTES = 8
"""Minimum size of the connection ID that a caller chooses for its first packet."""

_LONG_FORM = 0x80
_FIXED_BIT = 0x40
_LONG_TYPE_MASK = 0x30
_INITIAL_TYPE = 0x00
_MAX_ID_BYTES = 20
_MIN_LONG_HEADER_BYTES = 6


class PacketHeader(typing.NamedTuple):
    """Header fields of the first packet of a datagram."""

    is_long: bool
    is_initial: bool
    """Whether the packet is an Initial packet of QUIC version 1."""
    version: int
    """The QUIC version; 0 for a short header, which has no version field."""
    destination_id: bytes
    source_id: bytes


def parse(payload: bytes) -> PacketHeader | None:
    """Parse the header of a datagram's first packet; ``None`` if it is malformed."""
    if not payload:
        return None
    if payload[0] & _LONG_FORM:
        return _parse_long_header(payload)
    end = 1 + connection_id.BYTES
    if not payload[0] & _FIXED_BIT or len(payload) < end:
        return None
    return PacketHeader(False, False, 0, payload[1:end], b"")


def _parse_long_header(payload: bytes) -> PacketHeader | None:
    if len(payload) < _MIN_LONG_HEADER_BYTES:
        return None
    version = int.from_bytes(payload[1:5], "big")
    destination_end = _MIN_LONG_HEADER_BYTES + payload[5]
    if payload[5] > _MAX_ID_BYTES or len(payload) <= destination_end:
        return None
    source_start = destination_end + 1
    source_end = source_start + payload[destination_end]
    if payload[destination_end] > _MAX_ID_BYTES or len(payload) < source_end:
        return None
    is_initial = (
        version == VERSION_1
        and payload[0] & _FIXED_BIT != 0
        and payload[0] & _LONG_TYPE_MASK == _INITIAL_TYPE
    )
    return PacketHeader(
        True,
        is_initial,
        version,
        payload[_MIN_LONG_HEADER_BYTES:destination_end],
        payload[source_start:source_end],
    )
