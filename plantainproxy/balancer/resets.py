"""Stateless resets for connections whose sidecar is gone (RFC 9000, 10.3)."""

from collections import abc
import dataclasses

from plantainproxy.quic import classify
from plantainproxy.wire import keyring

RESETS_PER_SECOND = 1000.0
RESET_BURST = 1000.0

_MAX_RESET_BYTES = 48
_MIN_RESET_BYTES = 21
_FIXED_BITS = 0x40
_RANDOM_BITS = 0x3F


@dataclasses.dataclass(slots=True)
class RateLimit:
    """A token bucket."""

    tokens: float = RESET_BURST
    updated_at: float = 0.0
    """When tokens were last added, in seconds."""


def acquire_token(limit: RateLimit, *, now: float) -> bool:
    """Take one token; return whether there was one."""
    refill = max(0.0, now - limit.updated_at) * RESETS_PER_SECOND
    limit.tokens = min(RESET_BURST, limit.tokens + refill)
    limit.updated_at = now
    if limit.tokens < 1.0:
        return False
    limit.tokens -= 1.0
    return True


def build_reset(
    key_ring: keyring.Keyring, packet: bytes, random_bytes: abc.Callable[[int], bytes]
) -> bytes | None:
    """Make the reset that answers a packet; ``None`` when its form allows none.

    A caller knows a reset only by the token of the connection ID it sends to, and
    only after the handshake, so a long header gets none. A reset is smaller than
    the packet it answers, so two ends cannot keep resetting each other.
    """
    connection_id = classify.destination_id(packet)
    if connection_id is None or not classify.is_short(packet):
        return None
    key = key_ring.by_number.get(connection_id[0])
    size = min(len(packet) - 1, _MAX_RESET_BYTES)
    if key is None or size < _MIN_RESET_BYTES:
        return None
    token = key.reset_token(connection_id)
    filler = random_bytes(size - len(token))
    first_byte = _FIXED_BITS | filler[0] & _RANDOM_BITS
    return bytes((first_byte,)) + filler[1:] + token
