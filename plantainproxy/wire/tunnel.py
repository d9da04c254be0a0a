"""Messages of the tunnel between balancers and sidecars.

A message is a prefix followed by the unmodified datagram from the fabric, including its
PROXY header. The prefix consists of the version, the hop count, the number of earlier
owners, the cookie and the packed address of each earlier owner.
"""

import struct
import typing

VERSION = 1
MAX_HOPS = 2
"""Maximum number of times that sidecars forward one datagram."""
MAX_EARLIER_OWNERS = 2

_PREFIX = struct.Struct("!BBBx8s")
_OWNER_BYTES = 6

PREFIX_BYTES = _PREFIX.size
"""Size of a prefix without earlier owners."""


class Message(typing.NamedTuple):
    """A datagram with the data that its receiver needs to forward it."""

    hops: int
    """Number of times that sidecars have forwarded the datagram."""
    earlier_owners: tuple[bytes, ...]
    """Packed tunnel addresses of earlier owners of the flow's slot, newest first."""
    datagram: bytes
    """Datagram from the fabric, including its PROXY header."""


def encode_prefix(
    cookie: bytes, *, hops: int = 0, earlier_owners: tuple[bytes, ...] = ()
) -> bytes:
    """Encode the prefix of a message, with at most ``MAX_EARLIER_OWNERS`` owners."""
    owners = earlier_owners[:MAX_EARLIER_OWNERS]
    return _PREFIX.pack(VERSION, hops, len(owners), cookie) + b"".join(owners)


def decode(message: bytes, *, cookies: frozenset[bytes]) -> Message | None:
    """Decode a message; return ``None`` if its prefix is malformed or not authentic."""
    if len(message) < _PREFIX.size:
        return None
    version, hops, owner_count, cookie = _PREFIX.unpack_from(message)
    if version != VERSION or cookie not in cookies:
        return None
    if hops > MAX_HOPS or owner_count > MAX_EARLIER_OWNERS:
        return None
    start = _PREFIX.size
    end = start + owner_count * _OWNER_BYTES
    if len(message) < end:
        return None
    owners = tuple(
        message[offset : offset + _OWNER_BYTES]
        for offset in range(start, end, _OWNER_BYTES)
    )
    return Message(hops, owners, message[end:])
