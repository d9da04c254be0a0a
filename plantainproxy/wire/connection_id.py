"""QUIC connection IDs that encode the destination of their connection.

An ID is the number of the key in one byte, followed by one AES block. Two fields of
the block reveal forged IDs: the check field must be zero, and the tag of the service
address must match the address to which the packet was sent.
"""

import struct

from plantainproxy import _types
from plantainproxy.core import packets
from plantainproxy.wire import keyring

BYTES = 17
"""Size of a connection ID."""

_DESTINATION_PREFIX = struct.Struct("!6sBHHH")
_CHECK = 0
_NONCE_BYTES = 3
_NONCE_MASK = 0xFFFFFF

DESTINATION_PREFIX_BYTES = _DESTINATION_PREFIX.size
"""Size of the result of :func:`destination_prefix`."""


Destination = packets.Destination
service_tag = packets.service_tag
generation_tag = packets.generation_tag


def encode(key: keyring.WorkingKey, destination: Destination, *, nonce: int) -> bytes:
    """Encode a destination as a connection ID; ``nonce`` makes the ID unique."""
    block = destination_prefix(destination) + (nonce & _NONCE_MASK).to_bytes(
        _NONCE_BYTES, "big"
    )
    return bytes((key.number,)) + key.encrypt(block)


def destination_prefix(destination: Destination) -> bytes:
    """Return the plaintext block of a destination without the nonce at its end."""
    return _DESTINATION_PREFIX.pack(*destination, _CHECK)


def decode(ring: keyring.Keyring, connection_id: bytes) -> Destination | None:
    """Decode a connection ID; return ``None`` if its key or check field is invalid."""
    if len(connection_id) != BYTES:
        return None
    key = ring.by_number.get(connection_id[0])
    if key is None:
        return None
    fields = _DESTINATION_PREFIX.unpack_from(key.decrypt(connection_id[1:]))
    if fields[4] != _CHECK:
        return None
    return Destination(fields[0], fields[1], fields[2], fields[3])


def tunnel_address(destination: Destination) -> _types.Address:
    """Return the tunnel address of the destination's sidecar."""
    return _types.Address.unpack(destination.tunnel)
