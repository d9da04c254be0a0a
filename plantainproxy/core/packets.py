"""Protocol-independent representation of the packets to route."""

from collections import abc
import typing

import xxhash

_GENERATION_UNIT_MILLISECONDS = 1000
_GENERATION_MASK = 0xFFFF
_GENERATION_HALF_RANGE = 0x8000


class Destination(typing.NamedTuple):
    """The sidecar of an established flow, as encoded in its packets."""

    tunnel: bytes
    """Packed tunnel address of the sidecar."""
    domain: int
    """Number of the sidecar's failure domain."""
    generation: int
    """Low 16 bits of the sidecar's generation in seconds."""
    tag: int
    """16-bit tag of the service address, see :func:`service_tag`."""


class Packet(typing.NamedTuple):
    """One datagram of a flow, reduced to the fields that routing uses."""

    flow_key: bytes
    """Flow identifier to hash; equal for all packets that must share a slot."""
    service: bytes
    """Packed service address to which the packet was sent."""
    opening: bool
    """Whether the packet may start a flow."""
    destination: Destination | None = None
    """The flow's sidecar; ``None`` if the packet does not encode it."""


flow_hash: abc.Callable[[bytes], int] = xxhash.xxh3_64_intdigest
"""Return the 64-bit hash of a flow key."""


def service_tag(service: bytes) -> int:
    """Return the 16-bit tag of a packed service address."""
    return int(xxhash.xxh3_64_intdigest(service)) & 0xFFFF


def generation_tag(generation: int) -> int:
    """Reduce a generation in milliseconds to the 16 bits encoded in packets."""
    return (generation // _GENERATION_UNIT_MILLISECONDS) & _GENERATION_MASK


def is_newer_generation(tag: int, *, than: int) -> bool:
    """Return whether ``tag`` is newer, by serial number arithmetic (RFC 1982)."""
    return 0 < ((tag - than) & _GENERATION_MASK) < _GENERATION_HALF_RANGE
