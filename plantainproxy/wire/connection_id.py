"""Connection IDs that carry their own destination.

An ID is the key's number in one byte, then one AES block. The block's redundancy is
the check field, which must be zero, and the tag of the service address, which must
fit the address that the packet came to.
"""

import struct
from typing import NamedTuple

import xxhash

from plantainproxy import _types
from plantainproxy.wire import keyring

BYTES = 17
"""Size of a connection ID."""

_BLOCK = struct.Struct("!6sBHH3sH")
_CHECK = 0
_NONCE_BYTES = 3


class Destination(NamedTuple):
    """Where a flow lives."""

    tunnel: bytes
    """The sidecar's packed tunnel address."""
    domain: int
    """The number of the sidecar's failure domain."""
    generation: int
    """The low 16 bits of the sidecar's generation in seconds."""
    tag: int
    """The tag of the service address, 16 bits."""


def service_tag(service: bytes) -> int:
    """Return the 16-bit tag of a packed service address."""
    return int(xxhash.xxh3_64_intdigest(service)) & 0xFFFF


def generation_tag(generation: int) -> int:
    """Shorten a generation in milliseconds to the 16 bits that an ID carries."""
    return (generation // 1000) & 0xFFFF


def encode(key: keyring.WorkingKey, destination: Destination, *, nonce: int) -> bytes:
    """Make the connection ID of a destination; ``nonce`` makes it unique."""
    block = _BLOCK.pack(
        *destination, (nonce & 0xFFFFFF).to_bytes(_NONCE_BYTES, "big"), _CHECK
    )
    return bytes((key.number,)) + key.encrypt(block)


def decode(ring: keyring.Keyring, connection_id: bytes) -> Destination | None:
    """Read a connection ID; return ``None`` when it is not one of ours."""
    if len(connection_id) != BYTES:
        return None
    key = ring.by_number.get(connection_id[0])
    if key is None:
        return None
    fields = _BLOCK.unpack(key.decrypt(connection_id[1:]))
    if fields[5] != _CHECK:
        return None
    return Destination(fields[0], fields[1], fields[2], fields[3])


def tunnel_address(destination: Destination) -> _types.Address:
    """Return the sidecar's tunnel address."""
    return _types.Address.unpack(destination.tunnel)
