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

Lookup = abc.Callable[[bytearray], _types.Address | None]
"""Returns the sidecar to forward to; ``None`` for the long way.

The argument is a buffer with the tunnel prefix, then at least ``SMALLEST_BYTES`` of
the fabric's datagram.
"""

_FIELDS = struct.Struct(f"!{tunnel.PREFIX_BYTES}x16s4x4s2x4s16s")
"""Header start, service host, service port with first byte and key number, block."""
MIN_DATAGRAM_BYTES = _FIELDS.size - tunnel.PREFIX_BYTES
"""Size of the smallest datagram that may go the short way."""
_ServiceLookup = tuple[abc.Callable[[bytes], bytes], dict[bytes, _types.Address]]
"""The decryption of one key, and the tunnels of one service."""
_SHORT_HEADERS = range(0x40, 0x80)
"""First bytes of short headers (RFC 9000, 17.3)."""


def no_match(buffer: bytearray) -> _types.Address | None:
    """Send every datagram the long way."""
    return None


def build(state: routing.State, key_ring: keyring.Keyring | None) -> Lookup:
    """Return the look-up that fits a state and the keys.

    What a service needs is prepared when its first datagram comes, as a change of
    state must not cost time or memory for each of thousands of services.
    """
    if key_ring is None:
        return no_match
    service_lookups: dict[bytes, _ServiceLookup] = {}
    tunnels: dict[bytes, dict[bytes, _types.Address]] = {}

    def prepare(cache_key: bytes) -> _ServiceLookup | None:
        service, first_byte, key_number = cache_key[:-2], cache_key[-2], cache_key[-1]
        key = key_ring.by_number.get(key_number)
        if key is None or first_byte not in _SHORT_HEADERS or service not in state.services:
            return None
        if service not in tunnels:
            tunnels[service] = {
                connection_id.naming_bytes(destination): address
                for destination, address in routing.destinations(state, service).items()
            }
        service_lookup = service_lookups[cache_key] = (key.decrypt, tunnels[service])
        return service_lookup

    return _make_lookup(service_lookups, prepare)


def _make_lookup(
    service_lookups: dict[bytes, _ServiceLookup], prepare: abc.Callable[[bytes], _ServiceLookup | None]
) -> Lookup:
    unpack, get_cached = _FIELDS.unpack_from, service_lookups.get
    plain_start, naming_bytes = proxy.PLAIN_START, connection_id.NAMING_BYTES

    def look_up(buffer: bytearray) -> _types.Address | None:
        header_start, host, port_and_start, block = unpack(buffer)
        if header_start != plain_start:
            return None
        cache_key = host + port_and_start
        service_lookup = get_cached(cache_key) or prepare(cache_key)
        if service_lookup is None:
            return None
        decrypt, tunnels = service_lookup
        return tunnels.get(decrypt(block)[:naming_bytes])

    return look_up
