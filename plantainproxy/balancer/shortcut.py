"""The short way for established packets.

Most packets carry a plain header and the connection ID of a sidecar that serves.
For these, one look-up by the decrypted ID gives what ``core.routing`` would decide;
everything else takes the long way. The look-up is built anew at each change.
"""

from collections.abc import Callable
import itertools
import struct

from plantainproxy import _types
from plantainproxy.core import routing
from plantainproxy.wire import connection_id, keyring, proxy, tunnel

Find = Callable[[bytearray], _types.Address | None]
"""Returns the sidecar to forward to; ``None`` for the long way.

The argument is a buffer with the tunnel prefix, then at least ``SMALLEST_BYTES`` of
the fabric's datagram.
"""

_FIELDS = struct.Struct(f"!{tunnel.PREFIX_BYTES}x16s4x4s2x4s16s")
"""Header start, service host, service port with first byte and key number, block."""
SMALLEST_BYTES = _FIELDS.size - tunnel.PREFIX_BYTES
"""Size of the smallest datagram that may go the short way."""
_Way = tuple[Callable[[bytes], bytes], dict[bytes, _types.Address]]
"""The decryption of one key, and the tunnels of one service."""
_SHORT_HEADERS = range(0x40, 0x80)
"""First bytes of short headers (RFC 9000, 17.3)."""


def find_nothing(buffer: bytearray) -> _types.Address | None:
    """Send every datagram the long way."""
    return None


def build(state: routing.State, ring: keyring.Keyring | None) -> Find:
    """Return the look-up that fits a state and the keys."""
    if ring is None:
        return find_nothing
    ways = {}
    for service in state.services:
        tunnels = {
            connection_id.naming_bytes(destination): address
            for destination, address in routing.destinations(state, service).items()
        }
        for key, first in itertools.product(ring.by_number.values(), _SHORT_HEADERS):
            start = service + bytes((first, key.number))
            ways[start] = (key.decrypt, tunnels)
    return _finder(ways)


def _finder(ways: dict[bytes, _Way]) -> Find:
    unpack, way_of = _FIELDS.unpack_from, ways.get
    plain_start, naming_bytes = proxy.PLAIN_START, connection_id.NAMING_BYTES

    def find(buffer: bytearray) -> _types.Address | None:
        header_start, host, rest, block = unpack(buffer)
        way = way_of(host + rest)
        if way is None or header_start != plain_start:
            return None
        decrypt, tunnels = way
        return tunnels.get(decrypt(block)[:naming_bytes])

    return find
