"""Packets of any datagram protocol, as the routing rules see them."""

from collections import abc
import typing

import xxhash

_GENERATION_UNIT_MILLISECONDS = 1000
_GENERATION_MASK = 0xFFFF
_GENERATION_HALF_RANGE = 0x8000


class Destination(typing.NamedTuple):
    """Where an established flow lives, as the flow itself says."""

    tunnel: bytes
    """The sidecar's packed tunnel address."""
    domain: int
    """The number of the sidecar's failure domain."""
    generation: int
    """The low 16 bits of the sidecar's generation in seconds."""
    tag: int
    """The tag of the service address, 16 bits."""


class Packet(typing.NamedTuple):
    """One datagram of a flow."""

    flow_key: bytes
    """Bytes that stay the same for the packets to hash alike."""
    service: bytes
    """The packed service address that the packet came to."""
    opening: bool
    """Whether the packet may start a flow."""
    destination: Destination | None = None
    """Where the flow lives; absent when the packet does not carry it."""


flow_hash: abc.Callable[[bytes], int] = xxhash.xxh3_64_intdigest
"""Hashes a flow key to 64 bits."""


def service_tag(service: bytes) -> int:
    """Return the 16-bit tag of a packed service address."""
    return int(xxhash.xxh3_64_intdigest(service)) & 0xFFFF


def generation_tag(generation: int) -> int:
    """Shorten a generation in milliseconds to the 16 bits that a packet carries."""
    return (generation // _GENERATION_UNIT_MILLISECONDS) & _GENERATION_MASK


def is_newer_generation(tag: int, *, than: int) -> bool:
    """Compare two generation tags by serial number arithmetic (RFC 1982)."""
    return 0 < ((tag - than) & _GENERATION_MASK) < _GENERATION_HALF_RANGE
