"""Stateless resets, which end connections unknown to this endpoint (RFC 9000, 10.3)."""

import dataclasses
import os

MIN_RESET_BYTES = 21
"""Minimum size; a shorter datagram cannot be a valid packet."""
MAX_RESET_BYTES = 41

_SHORT_HEADER_BITS = 0x40
_RANDOM_BITS = 0x3F


def encode(token: bytes, *, trigger_bytes: int) -> bytes | None:
    """Encode a reset that is smaller than the datagram that triggered it.

    Return ``None`` if the trigger is too small for that. The decreasing size prevents
    two endpoints from answering each other's resets endlessly.
    """
    size = min(MAX_RESET_BYTES, trigger_bytes - 1)
    if size < MIN_RESET_BYTES:
        return None
    unpredictable_bytes = bytearray(os.urandom(size - len(token)))
    unpredictable_bytes[0] = _SHORT_HEADER_BITS | (
        unpredictable_bytes[0] & _RANDOM_BITS
    )
    return bytes(unpredictable_bytes) + token


@dataclasses.dataclass(slots=True, kw_only=True)
class ResetBudget:
    """Token bucket that limits the rate of resets."""

    tokens_per_second: float = 500.0
    burst: float = 500.0
    tokens: float = 500.0
    updated_at: float = 0.0
    """Time of the last refill, in seconds."""


def acquire(budget: ResetBudget, *, now: float) -> bool:
    """Take one token; return whether a reset may be sent."""
    elapsed = max(0.0, now - budget.updated_at)
    budget.updated_at = now
    budget.tokens = min(
        budget.burst, budget.tokens + elapsed * budget.tokens_per_second
    )
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
