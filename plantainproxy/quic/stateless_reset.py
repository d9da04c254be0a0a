"""Stateless resets: telling a caller that its connection is gone (RFC 9000, 10.3)."""

import dataclasses
import os

MIN_RESET_BYTES = 21
"""A shorter datagram could not be taken for a packet."""
TYPICAL_RESET_BYTES = 41

_SHORT_HEADER_BITS = 0x40
_RANDOM_BITS = 0x3F


def encode(token: bytes, *, trigger_bytes: int) -> bytes | None:
    """Make a reset that is smaller than the datagram that triggered it.

    Return ``None`` when the trigger is too small to answer: two endpoints that answer
    each other's resets would otherwise never stop.
    """
    size = min(TYPICAL_RESET_BYTES, trigger_bytes - 1)
    if size < MIN_RESET_BYTES:
        return None
    unpredictable_bytes = bytearray(os.urandom(size - len(token)))
    unpredictable_bytes[0] = _SHORT_HEADER_BITS | (
        unpredictable_bytes[0] & _RANDOM_BITS
    )
    return bytes(unpredictable_bytes) + token


@dataclasses.dataclass(slots=True, kw_only=True)
class ResetBudget:
    """How many resets may still be sent: a token bucket."""

    tokens_per_second: float = 500.0
    burst: float = 500.0
    tokens: float = 500.0
    updated_at: float = 0.0
    """The time up to which the bucket has been refilled, in seconds."""


def acquire(budget: ResetBudget, *, now: float) -> bool:
    """Take one reset from the budget; return whether it may be sent."""
    elapsed = max(0.0, now - budget.updated_at)
    budget.updated_at = now
    budget.tokens = min(
        budget.burst, budget.tokens + elapsed * budget.tokens_per_second
    )
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
