"""Reading of the parts of a QUIC packet that any server may see (RFC 8999)."""

from plantainproxy.core import packets
from plantainproxy.wire import connection_id, keyring

_LONG_HEADER_BIT = 0x80
_VERSION_NEGOTIATION = 0
_LENGTH_OFFSET = 5
"""Where a long header holds the length of its destination connection ID."""
_ID_OFFSET_LONG = 6
_SMALLEST_OPENING_ID_BYTES = 8
_LARGEST_ID_BYTES = 20
_OPENING_TYPES = {
    0x00000001: frozenset((0x00, 0x10)),
    0x6B3343CF: frozenset((0x10, 0x20)),
}
"""Type bits of Initial and 0-RTT packets by version (RFC 9000, RFC 9369)."""
_TYPE_BITS = 0x30


def is_short(datagram: bytes, offset: int) -> bool:
    """Return whether the packet at an offset has a short header."""
    return not datagram[offset] & _LONG_HEADER_BIT


def destination_id(datagram: bytes, offset: int) -> bytes | None:
    """Return the destination connection ID of the packet at an offset."""
    if len(datagram) <= offset:
        return None
    if is_short(datagram, offset):
        start, size = offset + 1, connection_id.BYTES
    elif len(datagram) <= offset + _LENGTH_OFFSET:
        return None
    else:
        start, size = offset + _ID_OFFSET_LONG, datagram[offset + _LENGTH_OFFSET]
    found = datagram[start : start + size]
    return found if len(found) == size else None


def read(
    ring: keyring.Keyring, service: bytes, datagram: bytes, offset: int = 0
) -> packets.Packet | None:
    """Classify the QUIC packet at an offset; ``None`` when it belongs to no flow."""
    found = destination_id(datagram, offset)
    if found is None:
        return None
    destination = connection_id.decode(ring, found)
    if destination is not None:
        return packets.Packet(found, service, False, destination)
    if is_short(datagram, offset) or not _may_open(datagram, offset, len(found)):
        return None
    return packets.Packet(found, service, True)


def _may_open(datagram: bytes, offset: int, id_bytes: int) -> bool:
    """Return whether a long header may start a connection.

    A version that is not known counts as opening: the sidecar answers it with the
    versions that it speaks.
    """
    version = int.from_bytes(datagram[offset + 1 : offset + _LENGTH_OFFSET], "big")
    if version == _VERSION_NEGOTIATION:
        return False
    opening_types = _OPENING_TYPES.get(version)
    if opening_types is None:
        return True
    if not _SMALLEST_OPENING_ID_BYTES <= id_bytes <= _LARGEST_ID_BYTES:
        return False
    return datagram[offset] & _TYPE_BITS in opening_types
