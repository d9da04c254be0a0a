"""Stateless resets for connections whose sidecar has ended (RFC 9000, 10.3)."""

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
    """State of a token bucket."""

    tokens: float = RESET_BURST
    updated_at: float = 0.0
    """When tokens were last added, in seconds."""


def acquire_token(limit: RateLimit, *, now: float) -> bool:
    """Take one token; return whether one was available."""
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
    """Return the reset that answers a packet, or ``None`` if it gets no reset.

    A caller recognizes a reset only after the handshake, by the token of the connection
    ID that it sends to. A packet with a long header therefore gets no reset. A reset is
    smaller than the packet that it answers, so that two endpoints cannot send each
    other resets endlessly.
    """
    connection_id = classify.destination_id(packet)
    if connection_id is None or not classify.is_short_header(packet):
        return None
    key = key_ring.by_number.get(connection_id[0])
    size = min(len(packet) - 1, _MAX_RESET_BYTES)
    if key is None or size < _MIN_RESET_BYTES:
        return None
    token = key.reset_token(connection_id)
    filler = random_bytes(size - len(token))
    first_byte = _FIXED_BITS | filler[0] & _RANDOM_BITS
    return bytes((first_byte,)) + filler[1:] + token
