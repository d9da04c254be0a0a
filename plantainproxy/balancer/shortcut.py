"""The short way for established packets.

Most packets carry a plain header and the connection ID of a sidecar that serves.
For these, one look-up by the decrypted ID gives what ``core.routing`` would decide;
everything else takes the long way. The look-up is built anew at each change.
"""

from collections.abc import Callable
import struct

from plantainproxy import _types
from plantainproxy.core import routing
from plantainproxy.wire import connection_id, keyring, proxy

Find = Callable[[bytes], _types.Address | None]
"""Returns the sidecar to forward a datagram to; ``None`` for the long way."""

_FIELDS = struct.Struct("!16s4x4s2x2sBB16s")
"""Header start, service address and port, first byte, key number, AES block."""
_LONG_HEADER_BIT = 0x80


def find_nothing(datagram: bytes) -> _types.Address | None:
    """Send every datagram the long way."""
    return None


def build(state: routing.State, ring: keyring.Keyring | None) -> Find:
    """Return the look-up that fits a state and the keys."""
    if ring is None:
        return find_nothing
    decrypts = {number: key.decrypt for number, key in ring.by_number.items()}
    services = {
        service: {
            connection_id.naming_bytes(destination): tunnel
            for destination, tunnel in routing.destinations(state, service).items()
        }
        for service in state.services
    }
    plain_start, naming_bytes = proxy.PLAIN_START, connection_id.NAMING_BYTES
    unpack = _FIELDS.unpack_from

    def find(datagram: bytes) -> _types.Address | None:
        try:
            start, host, port, first, key_number, block = unpack(datagram)
        except struct.error:
            return None
        if start != plain_start or first >= _LONG_HEADER_BIT:
            return None
        tunnels = services.get(host + port)
        decrypt = decrypts.get(key_number)
        if tunnels is None or decrypt is None:
            return None
        return tunnels.get(decrypt(block)[:naming_bytes])

    return find
