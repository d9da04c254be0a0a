"""Stateless classification of QUIC packets by their unprotected headers (RFC 8999)."""

from plantainproxy.core import packets
from plantainproxy.wire import connection_id, keyring

_LONG_HEADER_BIT = 0x80
_TYPE_BITS = 0x30
_VERSION_OFFSET = 1
_ID_LENGTH_OFFSET = 5
"""Offset of the destination connection ID's length in a long header."""
_LONG_ID_OFFSET = 6
_SHORT_ID_OFFSET = 1
_MIN_OPENING_ID_BYTES = 8
_MAX_ID_BYTES = 20
_OPENING_TYPE_BITS = {
    bytes.fromhex("00000000"): frozenset[int](),
    bytes.fromhex("00000001"): frozenset((0x00, 0x10)),
    bytes.fromhex("6b3343cf"): frozenset((0x10, 0x20)),
}
"""Type bits of Initial and 0-RTT packets by version (RFC 9000, RFC 9369).

Version 0 marks Version Negotiation packets. Only servers send them, so none of them
opens a connection.
"""


def is_short_header(packet: bytes) -> bool:
    """Return whether a non-empty packet has a short header."""
    return packet[0] < _LONG_HEADER_BIT


def destination_id(packet: bytes) -> bytes | None:
    """Return the destination connection ID; ``None`` if the packet is truncated.

    A short header does not encode the length of the ID; the length of the sidecars'
    IDs is assumed.
    """
    if not packet:
        return None
    if is_short_header(packet):
        start, id_size = _SHORT_ID_OFFSET, connection_id.BYTES
    elif len(packet) < _LONG_ID_OFFSET:
        return None
    else:
        start, id_size = _LONG_ID_OFFSET, packet[_ID_LENGTH_OFFSET]
    raw_id = packet[start : start + id_size]
    return raw_id if len(raw_id) == id_size else None


def classify_packet(
    ring: keyring.Keyring, service: bytes, datagram: bytes, offset: int = 0
) -> packets.Packet | None:
    """Classify the QUIC packet at an offset; ``None`` if it belongs to no flow."""
    if len(datagram) < offset + _LONG_ID_OFFSET:
        return None
    first_byte = datagram[offset]
    if first_byte < _LONG_HEADER_BIT:
        start = offset + _SHORT_ID_OFFSET
        raw_id = datagram[start : start + connection_id.BYTES]
        return _decode_established(ring, service, raw_id)
    id_size = datagram[offset + _ID_LENGTH_OFFSET]
    start = offset + _LONG_ID_OFFSET
    raw_id = datagram[start : start + id_size]
    if id_size == connection_id.BYTES:
        packet = _decode_established(ring, service, raw_id)
        if packet is not None:
            return packet
    version = datagram[offset + _VERSION_OFFSET : offset + _ID_LENGTH_OFFSET]
    if len(raw_id) != id_size or not _may_open_connection(
        version, first_byte & _TYPE_BITS, id_size
    ):
        return None
    return packets.Packet(raw_id, service, True)


def _decode_established(
    ring: keyring.Keyring, service: bytes, raw_id: bytes
) -> packets.Packet | None:
    destination = connection_id.decode(ring, raw_id)
    if destination is None:
        return None
    return packets.Packet(raw_id, service, False, destination)


def _may_open_connection(version: bytes, type_bits: int, id_size: int) -> bool:
    """Return whether a long header may start a connection.

    An unsupported version counts as opening: the sidecar answers it with a Version
    Negotiation packet.
    """
    opening_types = _OPENING_TYPE_BITS.get(version)
    if opening_types is None:
        return True
    if not _MIN_OPENING_ID_BYTES <= id_size <= _MAX_ID_BYTES:
        return False
    return type_bits in opening_types
