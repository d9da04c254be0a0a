"""Fast path for established packets.

Most packets have a proxy header without TLVs and a connection ID that encodes a
reachable sidecar. For these, one lookup by the decrypted ID gives the same result as
``core.routing``; all other packets take the slow path. The lookup is rebuilt after each
change of the routing state or the keys.
"""

from collections import abc
import struct

from plantainproxy import _types
from plantainproxy.core import routing
from plantainproxy.wire import connection_id, keyring, proxy, tunnel

Lookup = abc.Callable[[bytearray], _types.Address | None]
"""Returns the sidecar to forward to, or ``None`` for the slow path.

The argument is a buffer with the tunnel prefix, then at least ``MIN_DATAGRAM_BYTES``
of the fabric's datagram.
"""

_FIELDS = struct.Struct(f"!{tunnel.PREFIX_BYTES}x16s4x4s2x4s16s")
"""Fields of a buffer with the tunnel prefix and a datagram.

The fields are: the start of the proxy header; the service host; the service port, the
first packet byte and the key number; and the encrypted block of the connection ID.
"""
MIN_DATAGRAM_BYTES = _FIELDS.size - tunnel.PREFIX_BYTES
"""Size of the smallest datagram that the fast path can handle."""
_ServiceLookup = tuple[abc.Callable[[bytes], bytes], dict[bytes, _types.Address]]
"""Decryption function of one key, and tunnel addresses of one service's sidecars."""
_SHORT_HEADERS = range(0x40, 0x80)
"""First bytes of short headers (RFC 9000, 17.3)."""


def no_match(buffer: bytearray) -> _types.Address | None:
    """Return ``None``: without keys, each datagram takes the slow path."""
    return None


def build(state: routing.State, key_ring: keyring.Keyring | None) -> Lookup:
    """Return the lookup for a routing state and the keys.

    The tables of a service are built when its first datagram arrives, because a state
    change must not cost time or memory for each of thousands of services.
    """
    if key_ring is None:
        return no_match
    service_lookups: dict[bytes, _ServiceLookup] = {}
    tunnels: dict[bytes, dict[bytes, _types.Address]] = {}

    def prepare(cache_key: bytes) -> _ServiceLookup | None:
        service, first_byte, key_number = cache_key[:-2], cache_key[-2], cache_key[-1]
        key = key_ring.by_number.get(key_number)
        if (
            key is None
            or first_byte not in _SHORT_HEADERS
            or service not in state.services
        ):
            return None
        if service not in tunnels:
            tunnels[service] = {
                connection_id.destination_prefix(destination): address
                for destination, address in routing.destinations(state, service).items()
            }
        service_lookup = service_lookups[cache_key] = (key.decrypt, tunnels[service])
        return service_lookup

    return _make_lookup(service_lookups, prepare)


def _make_lookup(
    service_lookups: dict[bytes, _ServiceLookup],
    prepare: abc.Callable[[bytes], _ServiceLookup | None],
) -> Lookup:
    unpack, get_cached = _FIELDS.unpack_from, service_lookups.get
    plain_start, destination_prefix_bytes = (
        proxy.START_WITHOUT_TLVS,
        connection_id.DESTINATION_PREFIX_BYTES,
    )

    def look_up(buffer: bytearray) -> _types.Address | None:
        header_start, host, port_and_start, block = unpack(buffer)
        if header_start != plain_start:
            return None
        cache_key = host + port_and_start
        service_lookup = get_cached(cache_key) or prepare(cache_key)
        if service_lookup is None:
            return None
        decrypt, tunnels = service_lookup
        return tunnels.get(decrypt(block)[:destination_prefix_bytes])

    return look_up
