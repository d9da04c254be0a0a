"""Outlier detection: ejects an upstream that reports ready but fails repeatedly.

Such an upstream would attract new flows, as its load is low: after a restart it has no
flows, and if it resets every request it never has one in progress.
"""

import collections

CRASH_WINDOW_SECONDS = 10.0
"""Crashes further apart than this are treated as unrelated."""
MIN_CRASHES = 2
"""Crashes within the window that eject the upstream; a single one does not."""
RESET_WINDOW_SECONDS = 2.0
"""Sliding window in which requests that the upstream reset are compared with those
that it answered."""
MIN_RESETS = 3
"""Fewer resets than this may be faults of single requests."""
MIN_RESET_SHARE = 0.2
"""Share of resets among the ended requests at which the upstream is ejected: far above
the share of a healthy upstream, and less than half of the share of a failing one."""
MIN_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 8.0
"""The first ejection takes the minimum. Each one that follows soon after takes twice
as long as the one before, up to the maximum, which bounds how long an upstream stays
ejected after its fault has gone."""


class OutlierDetector:
    """Recent crashes, resets and responses of an upstream, and its ejection."""

    def __init__(self) -> None:
        """Start without failures and without an ejection."""
        self.crash_times: collections.deque[float] = collections.deque()
        self.reset_times: collections.deque[float] = collections.deque()
        self.response_times: collections.deque[float] = collections.deque()
        self.ejected_until = float("-inf")
        self.ejection_seconds = MIN_EJECTION_SECONDS


def is_ejected(detector: OutlierDetector, *, now: float) -> bool:
    """Return whether new flows should go to other upstreams if there are any."""
    return now < detector.ejected_until


def record_crash(detector: OutlierDetector, *, now: float) -> None:
    """Record that the upstream ended without draining first."""
    _append(detector.crash_times, now, window=CRASH_WINDOW_SECONDS)
    if len(detector.crash_times) >= MIN_CRASHES:
        _eject(detector, now=now)


def record_response(detector: OutlierDetector, *, now: float) -> None:
    """Record that the upstream answered a request."""
    _append(detector.response_times, now, window=RESET_WINDOW_SECONDS)


def record_reset(detector: OutlierDetector, *, now: float) -> None:
    """Record that the upstream reset a flow with a request in progress."""
    _append(detector.reset_times, now, window=RESET_WINDOW_SECONDS)
    _remove_expired(detector.response_times, now, window=RESET_WINDOW_SECONDS)
    resets = len(detector.reset_times)
    if resets >= MIN_RESETS and resets >= MIN_RESET_SHARE * (
        resets + len(detector.response_times)
    ):
        _eject(detector, now=now)


def _eject(detector: OutlierDetector, *, now: float) -> None:
    """Eject the upstream from now on; extend an ejection that is still active."""
    seconds_since_ejection = now - detector.ejected_until
    if seconds_since_ejection >= MAX_EJECTION_SECONDS:
        detector.ejection_seconds = MIN_EJECTION_SECONDS
    elif seconds_since_ejection >= 0:
        detector.ejection_seconds = min(
            2 * detector.ejection_seconds, MAX_EJECTION_SECONDS
        )
    detector.ejected_until = now + detector.ejection_seconds


def _append(times: collections.deque[float], now: float, *, window: float) -> None:
    times.append(now)
    _remove_expired(times, now, window=window)


def _remove_expired(
    times: collections.deque[float], now: float, *, window: float
) -> None:
    while times and now - times[0] >= window:
        times.popleft()
