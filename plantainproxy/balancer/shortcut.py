"""The short way for established packets.

Most packets carry a plain header and the connection ID of a sidecar that serves.
For these, one look-up by the decrypted ID gives what ``core.routing`` would decide;
everything else takes the long way. The look-up is built anew at each change.
"""

from collections.abc import Callable

from plantainproxy import _types
from plantainproxy.core import routing
from plantainproxy.wire import connection_id, keyring, proxy

Find = Callable[[bytes], _types.Address | None]
"""Returns the sidecar to forward a datagram to; ``None`` for the long way."""

_KEY_NUMBER = proxy.HEADER_BYTES + 1
_BLOCK = slice(_KEY_NUMBER + 1, _KEY_NUMBER + connection_id.BYTES)
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
    first, key_number = proxy.HEADER_BYTES, _KEY_NUMBER
    block_start, block_end = _BLOCK.start, _BLOCK.stop

    def find(datagram: bytes) -> _types.Address | None:
        if len(datagram) < block_end or not datagram.startswith(plain_start):
            return None
        if datagram[first] >= _LONG_HEADER_BIT:
            return None
        tunnels = services.get(datagram[20:24] + datagram[26:28])
        decrypt = decrypts.get(datagram[key_number])
        if tunnels is None or decrypt is None:
            return None
        return tunnels.get(decrypt(datagram[block_start:block_end])[:naming_bytes])

    return find
