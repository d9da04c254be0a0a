"""Detects pauses of this process, in which received data waits without being handled.

A request states how much time its sender still has. If the receiver was frozen or its
machine suspended, that time has passed while the request waited in a socket.
"""

import dataclasses
import time

CHECK_INTERVAL_SECONDS = 0.1
"""Interval at which a running process records that it runs."""
MIN_PAUSE_SECONDS = 0.5
"""Shorter gaps are delays of a busy machine."""
BACKLOG_SECONDS = 0.5
"""For this long after a pause, what is handled may have arrived during the pause."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Detector:
    """When the process last ran, and its newest pause."""

    last_run_at: float
    pause_seconds: float = 0.0
    pause_ended_at: float = float("-inf")


def clock() -> float:
    """Return a steady time that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def record_run(detector: Detector, *, now: float) -> None:
    """Record that the process runs; a long gap since the last record is a pause."""
    gap_seconds = now - detector.last_run_at
    detector.last_run_at = now
    if gap_seconds >= MIN_PAUSE_SECONDS:
        detector.pause_seconds = gap_seconds
        detector.pause_ended_at = now


def waited_seconds(detector: Detector, *, now: float) -> float:
    """Return how long data that is handled now may have waited because of a pause."""
    record_run(detector, now=now)
    if now - detector.pause_ended_at >= BACKLOG_SECONDS:
        return 0.0
    return detector.pause_seconds
