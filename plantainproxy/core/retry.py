"""Whether and when a failed request is tried again."""

import dataclasses

from plantainproxy import _types

BUDGET_SHARE = 0.1
"""Retries allowed for each request."""
BUDGET_CAPACITY = 10.0
"""Most retries that a quiet time may save up."""
MAX_ATTEMPTS = 3
BACKOFF_BASE_SECONDS = 0.02
BACKOFF_LIMIT_SECONDS = 1.0
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Retries that may still be spent."""

    tokens: float = BUDGET_CAPACITY


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """One failed attempt."""

    attempt: int
    """Attempts made so far, from 1."""
    repeatable: bool
    """Whether running the request twice does no harm."""
    outcome: _types.Outcome


def deposit(budget: RetryBudget) -> None:
    """Count one request that arrived."""
    budget.tokens = min(budget.tokens + BUDGET_SHARE, BUDGET_CAPACITY)


def retry_delay(
    budget: RetryBudget, failure: FailedAttempt, *, draw: float, now: float, deadline: float
) -> float | None:
    """Spend budget on one retry; return the wait in seconds, ``None`` for no retry.

    The wait is drawn evenly between zero and a bound that doubles with each attempt.
    """
    if failure.attempt >= MAX_ATTEMPTS or budget.tokens < 1.0:
        return None
    if failure.outcome is not _types.Outcome.NOT_RUN and not failure.repeatable:
        return None
    bound = BACKOFF_BASE_SECONDS * 2.0 ** (failure.attempt - 1)
    wait = draw * min(bound, BACKOFF_LIMIT_SECONDS)
    if now + wait >= deadline:
        return None
    budget.tokens -= 1.0
    return wait
