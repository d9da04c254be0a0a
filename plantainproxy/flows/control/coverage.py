"""Whether the relays of a process's domain watch the store on its behalf."""

COVERAGE_SECONDS = 1.6
"""A process without a notice for this long watches the store itself. Three times the
interval of notices, and well below the time in which a change has to be in force."""


class Coverage:
    """When a relay last stated that its copies of the store's documents are current."""

    def __init__(self) -> None:
        """Start without a notice."""
        self.last_notice_at = float("-inf")


def record_notice(coverage: Coverage, *, is_current: bool, now: float) -> None:
    """Record a relay's notice; one that the store turns away covers nobody."""
    if is_current:
        coverage.last_notice_at = now


def is_covered(coverage: Coverage, *, now: float) -> bool:
    """Return whether this process may leave the watching to the relays."""
    return now - coverage.last_notice_at < COVERAGE_SECONDS
