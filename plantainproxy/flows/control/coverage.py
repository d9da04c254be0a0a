"""Which relays of a process's domain watch the store on its behalf."""

from plantainproxy import _types

COVERAGE_SECONDS = 1.6
"""A process without a notice for this long watches the store itself. Three times the
interval of notices, and well below the time in which a change has to be in force."""


class Coverage:
    """When each relay last stated that its copies of the documents are current."""

    def __init__(self) -> None:
        """Start without a notice."""
        self.notices: dict[_types.Address, float] = {}


def record_notice(
    coverage: Coverage, relay: _types.Address, *, is_current: bool, now: float
) -> None:
    """Record a relay's notice; one that the store turns away covers nobody."""
    for known, last_notice_at in list(coverage.notices.items()):
        if now - last_notice_at >= COVERAGE_SECONDS:
            del coverage.notices[known]
    if is_current:
        coverage.notices[relay] = now


def is_covered(coverage: Coverage, *, now: float) -> bool:
    """Return whether this process may leave the watching to the relays."""
    return covering_relay(coverage, now=now) is not None


def covering_relay(coverage: Coverage, *, now: float) -> _types.Address | None:
    """Return a relay that reaches the store, the same for all processes of a domain."""
    return min(
        (
            relay
            for relay, last_notice_at in coverage.notices.items()
            if now - last_notice_at < COVERAGE_SECONDS
        ),
        default=None,
    )
