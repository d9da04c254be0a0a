"""Stateless resets for connections whose sidecar is gone (RFC 9000, 10.3)."""

from collections import abc
import dataclasses

from plantainproxy.quic import classify
from plantainproxy.wire import keyring

RESETS_PER_SECOND = 1000.0
RESET_BURST = 1000.0

_LARGEST_BYTES = 48
_SMALLEST_BYTES = 21
_FIXED_BITS = 0x40
_RANDOM_BITS = 0x3F


@dataclasses.dataclass(slots=True)
class RateLimit:
    """A token bucket."""

    tokens: float = RESET_BURST
    updated: float = 0.0
    """When tokens were last added, in seconds."""


def take(limit: RateLimit, *, now: float) -> bool:
    """Take one token; return whether there was one."""
    earned = max(0.0, now - limit.updated) * RESETS_PER_SECOND
    limit.tokens = min(RESET_BURST, limit.tokens + earned)
    limit.updated = now
    if limit.tokens < 1.0:
        return False
    limit.tokens -= 1.0
    return True


def payload(
    ring: keyring.Keyring, packet: bytes, random_bytes: abc.Callable[[int], bytes]
) -> bytes | None:
    """Make the reset that answers a packet; ``None`` when its form allows none.

    A caller knows a reset only by the token of the connection ID it sends to, and
    only after the handshake, so a long header gets none. A reset is smaller than
    the packet it answers, so two ends cannot keep resetting each other.
    """
    connection_id = classify.destination_id(packet)
    if connection_id is None or not classify.is_short_header(packet):
        return None
    key = ring.by_number.get(connection_id[0])
    size = min(len(packet) - 1, _LARGEST_BYTES)
    if key is None or size < _SMALLEST_BYTES:
        return None
    token = key.reset_token(connection_id)
    filler = random_bytes(size - len(token))
    first = _FIXED_BITS | filler[0] & _RANDOM_BITS
    return bytes((first,)) + filler[1:] + token
