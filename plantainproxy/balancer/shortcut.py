"""The short way for established packets.

Most packets carry a plain header and the connection ID of a sidecar that serves.
For these, one look-up by the decrypted ID gives what ``core.routing`` would decide;
everything else takes the long way. The look-up is built anew at each change.
"""

from collections import abc
import struct

from plantainproxy import _types
from plantainproxy.core import routing
from plantainproxy.wire import connection_id, keyring, proxy, tunnel

Find = abc.Callable[[bytearray], _types.Address | None]
"""Returns the sidecar to forward to; ``None`` for the long way.

The argument is a buffer with the tunnel prefix, then at least ``SMALLEST_BYTES`` of
the fabric's datagram.
"""

_FIELDS = struct.Struct(f"!{tunnel.PREFIX_BYTES}x16s4x4s2x4s16s")
"""Header start, service host, service port with first byte and key number, block."""
SMALLEST_BYTES = _FIELDS.size - tunnel.PREFIX_BYTES
"""Size of the smallest datagram that may go the short way."""
_Way = tuple[abc.Callable[[bytes], bytes], dict[bytes, _types.Address]]
"""The decryption of one key, and the tunnels of one service."""
_SHORT_HEADERS = range(0x40, 0x80)
"""First bytes of short headers (RFC 9000, 17.3)."""


def find_nothing(buffer: bytearray) -> _types.Address | None:
    """Send every datagram the long way."""
    return None


def build(state: routing.State, ring: keyring.Keyring | None) -> Find:
    """Return the look-up that fits a state and the keys.

    What a service needs is prepared when its first datagram comes, as a change of
    state must not cost time or memory for each of thousands of services.
    """
    if ring is None:
        return find_nothing
    ways: dict[bytes, _Way] = {}
    tunnels: dict[bytes, dict[bytes, _types.Address]] = {}

    def prepare(start: bytes) -> _Way | None:
        service, first, number = start[:-2], start[-2], start[-1]
        key = ring.by_number.get(number)
        if key is None or first not in _SHORT_HEADERS or service not in state.services:
            return None
        if service not in tunnels:
            tunnels[service] = {
                connection_id.destination_prefix(destination): address
                for destination, address in routing.destinations(state, service).items()
            }
        way = ways[start] = (key.decrypt, tunnels[service])
        return way

    return _finder(ways, prepare)


def _finder(
    ways: dict[bytes, _Way], prepare: abc.Callable[[bytes], _Way | None]
) -> Find:
    unpack, way_of = _FIELDS.unpack_from, ways.get
    plain_start, naming_bytes = (
        proxy.START_WITHOUT_TLVS,
        connection_id.DESTINATION_PREFIX_BYTES,
    )

    def find(buffer: bytearray) -> _types.Address | None:
        header_start, host, rest, block = unpack(buffer)
        if header_start != plain_start:
            return None
        start = host + rest
        way = way_of(start) or prepare(start)
        if way is None:
            return None
        decrypt, tunnels = way
        return tunnels.get(decrypt(block)[:naming_bytes])

    return find
