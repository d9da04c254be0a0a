"""Recognizes an upstream that fails although it says that it is ready.

Such an upstream draws new flows to it: one that has just started has none, and one
that resets every request never has any in progress.
"""

import collections

CRASH_WINDOW_SECONDS = 10.0
"""Crashes that are further apart than this have nothing to do with each other."""
MIN_CRASHES = 2
"""One crash is an accident; the second one within the window is a pattern."""
RESET_WINDOW_SECONDS = 2.0
"""The span over which requests that the upstream cut are weighed against answers."""
MIN_RESETS = 3
"""Fewer cuts than this may be single faults of a request."""
MIN_RESET_SHARE = 0.2
"""Share of the ended requests that were cut from which on the upstream is avoided;
far above what a sound one cuts, and below half of the failures of a bad one."""
MIN_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 8.0
"""An upstream is avoided for the first time, and twice as long each time that it fails
again soon; at most as long as a fault that goes away may be remembered."""


class OutlierDetector:
    """What an upstream did lately, and until when it is avoided."""

    def __init__(self) -> None:
        """Start without a fault."""
        self.crash_times: collections.deque[float] = collections.deque()
        self.reset_times: collections.deque[float] = collections.deque()
        self.response_times: collections.deque[float] = collections.deque()
        self.ejected_until = float("-inf")
        self.ejection_seconds = MIN_EJECTION_SECONDS


def is_ejected(detector: OutlierDetector, *, now: float) -> bool:
    """Return whether new flows should go elsewhere where they can."""
    return now < detector.ejected_until


def record_crash(detector: OutlierDetector, *, now: float) -> None:
    """Note that the upstream ended without having said so."""
    _append(detector.crash_times, now, window=CRASH_WINDOW_SECONDS)
    if len(detector.crash_times) >= MIN_CRASHES:
        _eject(detector, now=now)


def record_response(detector: OutlierDetector, *, now: float) -> None:
    """Note that a request got an answer."""
    _append(detector.response_times, now, window=RESET_WINDOW_SECONDS)


def record_reset(detector: OutlierDetector, *, now: float) -> None:
    """Note that the upstream reset a flow whose request waited for its answer."""
    _append(detector.reset_times, now, window=RESET_WINDOW_SECONDS)
    _remove_expired(detector.response_times, now, window=RESET_WINDOW_SECONDS)
    resets = len(detector.reset_times)
    if resets >= MIN_RESETS and resets >= MIN_RESET_SHARE * (resets + len(detector.response_times)):
        _eject(detector, now=now)


def _eject(detector: OutlierDetector, *, now: float) -> None:
    """Avoid the upstream from now on; one that is avoided already, for longer."""
    seconds_since_ejection = now - detector.ejected_until
    if seconds_since_ejection >= MAX_EJECTION_SECONDS:
        detector.ejection_seconds = MIN_EJECTION_SECONDS
    elif seconds_since_ejection >= 0:
        detector.ejection_seconds = min(2 * detector.ejection_seconds, MAX_EJECTION_SECONDS)
    detector.ejected_until = now + detector.ejection_seconds


def _append(times: collections.deque[float], now: float, *, window: float) -> None:
    times.append(now)
    _remove_expired(times, now, window=window)


def _remove_expired(times: collections.deque[float], now: float, *, window: float) -> None:
    while times and now - times[0] >= window:
        times.popleft()
