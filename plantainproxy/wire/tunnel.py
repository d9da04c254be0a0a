"""The tunnel between balancers and sidecars.

A message is a prefix before the fabric's datagram, which stays as it came, PROXY
header included. The prefix is the version, the hop count, the number of earlier
owners, the cookie, then the packed address of each earlier owner.
"""

import struct
import typing

VERSION = 1
MAX_HOPS = 2
"""How often sidecars may pass one datagram on."""
MAX_EARLIER_OWNERS = 2

_PREFIX = struct.Struct("!BBBx8s")
_OWNER_BYTES = 6

PREFIX_BYTES = _PREFIX.size
"""Size of a prefix without earlier owners."""


class Message(typing.NamedTuple):
    """One datagram with what its receiver needs to pass it on."""

    hops: int
    """How often sidecars have passed the datagram on."""
    earlier_owners: tuple[bytes, ...]
    """Packed tunnel addresses that owned the flow's slot before, newest first."""
    datagram: bytes
    """The fabric's datagram with its PROXY header."""


def encode_prefix(
    cookie: bytes, *, hops: int = 0, earlier_owners: tuple[bytes, ...] = ()
) -> bytes:
    """Make the prefix that goes before the fabric's datagram."""
    owners = earlier_owners[:MAX_EARLIER_OWNERS]
    return _PREFIX.pack(VERSION, hops, len(owners), cookie) + b"".join(owners)


def decode(message: bytes, *, cookies: frozenset[bytes]) -> Message | None:
    """Read a message; return ``None`` when its sender is not of the system."""
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
