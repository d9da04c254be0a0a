"""Recognizes an upstream that fails although it says that it is ready.

Such an upstream draws new flows to it: one that has just started has none, and one
that resets every request never has any in progress.
"""

import collections

CRASH_WINDOW_SECONDS = 10.0
"""Crashes that are further apart than this have nothing to do with each other."""
CRASHES = 2
"""One crash is an accident; the second one within the window is a pattern."""
CUT_WINDOW_SECONDS = 2.0
"""The span over which requests that the upstream cut are weighed against answers."""
MIN_CUTS = 3
"""Fewer cuts than this may be single faults of a request."""
CUT_SHARE = 0.2
"""Share of the ended requests that were cut from which on the upstream is avoided;
far above what a sound one cuts, and below half of the failures of a bad one."""
FIRST_HOLD_SECONDS = 2.0
LAST_HOLD_SECONDS = 8.0
"""An upstream is avoided for the first time, and twice as long each time that it fails
again soon; at most as long as a fault that goes away may be remembered."""


class Record:
    """What an upstream did lately, and until when it is avoided."""

    def __init__(self) -> None:
        """Start without a fault."""
        self.crashed_at: collections.deque[float] = collections.deque()
        self.cut_at: collections.deque[float] = collections.deque()
        self.answered_at: collections.deque[float] = collections.deque()
        self.avoided_until = float("-inf")
        self.hold_seconds = FIRST_HOLD_SECONDS


def is_suspect(record: Record, *, now: float) -> bool:
    """Return whether new flows should go elsewhere where they can."""
    return now < record.avoided_until


def note_crash(record: Record, *, now: float) -> None:
    """Note that the upstream ended without having said so."""
    _add(record.crashed_at, now, window=CRASH_WINDOW_SECONDS)
    if len(record.crashed_at) >= CRASHES:
        _avoid(record, now=now)


def note_answer(record: Record, *, now: float) -> None:
    """Note that a request got an answer."""
    _add(record.answered_at, now, window=CUT_WINDOW_SECONDS)


def note_cut(record: Record, *, now: float) -> None:
    """Note that the upstream reset a flow whose request waited for its answer."""
    _add(record.cut_at, now, window=CUT_WINDOW_SECONDS)
    _forget(record.answered_at, now, window=CUT_WINDOW_SECONDS)
    cuts = len(record.cut_at)
    if cuts >= MIN_CUTS and cuts >= CUT_SHARE * (cuts + len(record.answered_at)):
        _avoid(record, now=now)


def _avoid(record: Record, *, now: float) -> None:
    """Avoid the upstream from now on; one that is avoided already, for longer."""
    since_last = now - record.avoided_until
    if since_last >= LAST_HOLD_SECONDS:
        record.hold_seconds = FIRST_HOLD_SECONDS
    elif since_last >= 0:
        record.hold_seconds = min(2 * record.hold_seconds, LAST_HOLD_SECONDS)
    record.avoided_until = now + record.hold_seconds


def _add(times: collections.deque[float], now: float, *, window: float) -> None:
    times.append(now)
    _forget(times, now, window=window)


def _forget(times: collections.deque[float], now: float, *, window: float) -> None:
    while times and now - times[0] >= window:
        times.popleft()
