"""Connection IDs that carry their own destination.

An ID is the key's number in one byte, then one AES block. The block's redundancy is
the check field, which must be zero, and the tag of the service address, which must
fit the address that the packet came to.
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
"""Size of what :func:`naming_bytes` returns."""


Destination = packets.Destination
service_tag = packets.service_tag
generation_tag = packets.generation_tag


def encode(key: keyring.WorkingKey, destination: Destination, *, nonce: int) -> bytes:
    """Make the connection ID of a destination; ``nonce`` makes it unique."""
    block = destination_prefix(destination) + (nonce & _NONCE_MASK).to_bytes(
        _NONCE_BYTES, "big"
    )
    return bytes((key.number,)) + key.encrypt(block)


def destination_prefix(destination: Destination) -> bytes:
    """Return the start of a decrypted block, which is all of it but the nonce."""
    return _DESTINATION_PREFIX.pack(*destination, _CHECK)


def decode(ring: keyring.Keyring, connection_id: bytes) -> Destination | None:
    """Read a connection ID; return ``None`` when it is not one of ours."""
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
    """Return the sidecar's tunnel address."""
    return _types.Address.unpack(destination.tunnel)
