"""Retry policy: retry budget, attempt limit and backoff with full jitter."""

import dataclasses

from plantainproxy import _types

BUDGET_SHARE = 0.1
"""Retry tokens deposited per request."""
BUDGET_CAPACITY = 10.0
"""Maximum number of accumulated retry tokens."""
MAX_ATTEMPTS = 3
BACKOFF_BASE_SECONDS = 0.02
BACKOFF_LIMIT_SECONDS = 1.0
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a share of the requests."""

    tokens: float = BUDGET_CAPACITY


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """A failed attempt at a request."""

    attempt: int
    """Number of this attempt, starting at 1."""
    repeatable: bool
    """Whether the request may safely run more than once."""
    outcome: _types.Outcome


def deposit(budget: RetryBudget) -> None:
    """Add the retry tokens of one incoming request to the budget."""
    budget.tokens = min(budget.tokens + BUDGET_SHARE, BUDGET_CAPACITY)


def retry_delay(
    budget: RetryBudget,
    failure: FailedAttempt,
    *,
    draw: float,
    now: float,
    deadline: float,
) -> float | None:
    """Withdraw one retry token; return the backoff in seconds.

    Returns ``None`` if the request must not be retried. The backoff is uniformly
    distributed between zero and a bound that doubles with each attempt (full jitter).
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
