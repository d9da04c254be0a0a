"""Adaptive admission control for one upstream.

The concurrency limit follows the latency that the sidecar measures. It starts at the
capacity of a cold upstream and rises only while it is used and the latency stays near
its long-term baseline. Overload, disuse and a restart lower it. A health report may
only lower it. The rate of new connections follows the same slow start.
"""

import dataclasses
import enum

COLD_LIMIT = 2.0
"""Concurrent requests that a cold upstream can handle."""
COLD_CONNECTIONS_PER_SECOND = 10.0
CONNECTION_BURST = 10.0
"""Token bucket size: connections that may open at once after an idle period."""
WINDOW_SECONDS = 0.5
"""The concurrency limit and the connection rate change at most once per window."""
LIMIT_GROWTH = 1.25
"""Maximum growth factor of the concurrency limit per window."""
CONNECTION_RATE_GROWTH = 1.5
CONNECTION_RATE_DECAY = 0.9
COLD_HOLD_DOWN_SECONDS = 3.0
"""How long the limit of a cold upstream may not rise."""
MAX_COLD_HOLD_DOWN_SECONDS = 24.0
"""Upper bound of the hold-down, which doubles while restarts follow one another.

A restart that comes later than this after the last hold-down resets its duration.
"""
UNUSED_DECAY = 0.8
"""Factor applied to the limit for each window in which it is not used."""
LATENCY_TOLERANCE = 1.5
"""Highest ratio of latency to baseline at which the limit may rise."""
LATENCY_OVERLOAD = 4.0
"""Ratio of latency to baseline above which the upstream counts as overloaded."""
BASELINE_FALL = 0.3
BASELINE_RISE = 0.01
"""Smoothing weights of a new window; the baseline rises slowly and falls quickly."""
LATENCY_FLOOR_SECONDS = 0.002
"""Lower latencies are rounded up, as their ratios only reflect scheduling noise."""
RESTART_FAILURES = 3
"""Consecutive connection errors that count as a restart."""
REPORT_LIFETIME_SECONDS = 3.0
"""How long the limit in a health report applies."""


class Signal(enum.Enum):
    """Load signal derived from one exchange with the upstream."""

    SUCCESS = enum.auto()
    """A complete response; its latency is sampled."""
    OVERLOAD = enum.auto()
    """The upstream rejected the request because of its load."""
    TIMEOUT = enum.auto()
    """No response before the deadline; the upstream may be overloaded or down."""
    CONNECTION_ERROR = enum.auto()
    """The connection was refused, reset or closed early."""
    NEUTRAL = enum.auto()
    """No information about load, such as a request that the caller cancelled."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthReport:
    """Contents of the upstream's health report."""

    started: str = ""
    """Identifies the start of the upstream's process; empty if not reported."""
    limit: int | None = None
    """Concurrent requests that the upstream is willing to accept."""
    draining: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """Admission state of one upstream."""

    limit: float = COLD_LIMIT
    running: int = 0
    peak_running: int = 0
    """Maximum number of concurrent requests in this window."""
    window_ends_at: float = 0.0
    latency_sum: float = 0.0
    latency_samples: int = 0
    baseline_seconds: float = 0.0
    """Smoothed long-term latency; 0 before the first window with samples."""
    overloaded: bool = False
    """Whether the limits were halved in this window; they are halved at most once."""
    failures: int = 0
    """Connection errors since the last response or health report."""
    hold_down_until: float | None = None
    """When the limit may rise again; ``None`` before the first window."""
    hold_down_seconds: float = COLD_HOLD_DOWN_SECONDS
    """Duration of the next hold-down."""
    started: str = ""
    draining: bool = False
    """Whether the last health report stated that the upstream is draining."""
    report_limit: int | None = None
    report_until: float = 0.0
    connection_rate: float = COLD_CONNECTIONS_PER_SECOND
    connection_tokens: float = CONNECTION_BURST
    connection_tokens_at: float = 0.0
    """When the connection tokens were last refilled."""
    connections: int = 0
    """Connections allowed in this window."""


def reset_to_cold(state: State, *, now: float) -> None:
    """Reset the limits and the baseline to those of a cold upstream."""
    state.limit = COLD_LIMIT
    _start_hold_down(state, now=now)
    state.baseline_seconds = 0.0
    state.connection_rate = COLD_CONNECTIONS_PER_SECOND
    state.connection_tokens = min(state.connection_tokens, CONNECTION_BURST)
    _start_window(state, now=now)


def is_available(state: State) -> bool:
    """Return whether the upstream is reachable and accepts new requests."""
    return state.failures < RESTART_FAILURES and not state.draining


def limit(state: State, *, max_running: int, now: float) -> int:
    """Return the current limit of concurrent requests, at least 1."""
    _advance_window(state, max_running=max_running, now=now)
    bound = min(int(state.limit), max_running)
    if state.report_limit is not None and now < state.report_until:
        bound = min(bound, state.report_limit)
    return max(bound, 1)


def admits(state: State, *, max_running: int, now: float) -> bool:
    """Return whether one more request may start."""
    if not is_available(state):
        return False
    return state.running < limit(state, max_running=max_running, now=now)


def record_request_start(state: State) -> None:
    """Record the start of a request."""
    state.running += 1
    state.peak_running = max(state.peak_running, state.running)


def record_request_end(
    state: State,
    *,
    signal: Signal,
    latency_seconds: float,
    max_running: int,
    now: float,
) -> None:
    """Record the end of a request and update the limits from its signal."""
    _advance_window(state, max_running=max_running, now=now)
    state.running -= 1
    if signal is Signal.NEUTRAL:
        return
    if signal is Signal.CONNECTION_ERROR:
        _record_connection_error(state, now=now)
        return
    if signal is Signal.TIMEOUT:
        _halve_limits(state)
        return
    _record_contact(state, now=now)
    if signal is Signal.OVERLOAD:
        _halve_limits(state)
        return
    state.latency_sum += latency_seconds
    state.latency_samples += 1


def apply_health_report(state: State, report: HealthReport, *, now: float) -> None:
    """Apply a health report, which may lower the limit but never raises it."""
    _record_contact(state, now=now)
    state.draining = report.draining
    record_process_start(state, report.started, now=now)
    state.report_limit = report.limit
    state.report_until = now + REPORT_LIFETIME_SECONDS


def record_process_start(state: State, started: str, *, now: float) -> None:
    """Detect a restart: the reported process start differs from the last one."""
    if not started or started == state.started:
        return
    if state.started:
        reset_to_cold(state, now=now)
    state.started = started


def record_unreachable(state: State, *, now: float) -> None:
    """Record a health check that got no response."""
    _record_connection_error(state, now=now)


def allow_connection(
    state: State, *, connections_per_second: float, max_running: int, now: float
) -> bool:
    """Take one token for a new connection; return whether one was available."""
    _advance_window(state, max_running=max_running, now=now)
    rate = min(state.connection_rate, connections_per_second)
    elapsed = max(now - state.connection_tokens_at, 0.0)
    state.connection_tokens_at = now
    state.connection_tokens = min(
        state.connection_tokens + elapsed * rate, CONNECTION_BURST
    )
    if not is_available(state) or state.connection_tokens < 1.0:
        return False
    state.connection_tokens -= 1.0
    state.connections += 1
    return True


def _record_contact(state: State, *, now: float) -> None:
    """Clear the connection errors; start the hold-down of an upstream that was down."""
    if state.failures >= RESTART_FAILURES:
        state.hold_down_until = now + state.hold_down_seconds
    state.failures = 0


def _record_connection_error(state: State, *, now: float) -> None:
    state.failures += 1
    _halve_limits(state)
    if state.failures == RESTART_FAILURES:
        reset_to_cold(state, now=now)


def _start_hold_down(state: State, *, now: float) -> None:
    """Start a hold-down; double it if the last one ended recently or still lasts."""
    previous = state.hold_down_until
    if previous is not None and now < previous + MAX_COLD_HOLD_DOWN_SECONDS:
        state.hold_down_seconds *= 2
    else:
        state.hold_down_seconds = COLD_HOLD_DOWN_SECONDS
    state.hold_down_seconds = min(state.hold_down_seconds, MAX_COLD_HOLD_DOWN_SECONDS)
    state.hold_down_until = now + state.hold_down_seconds


def _halve_limits(state: State) -> None:
    if state.overloaded:
        return
    state.overloaded = True
    state.limit = max(state.limit / 2, 1.0)
    state.connection_rate = max(state.connection_rate / 2, COLD_CONNECTIONS_PER_SECOND)


def _start_window(state: State, *, now: float) -> None:
    state.window_ends_at = now + WINDOW_SECONDS
    state.peak_running = state.running
    state.latency_sum = 0.0
    state.latency_samples = 0
    state.overloaded = False
    state.connections = 0


def _advance_window(state: State, *, max_running: int, now: float) -> None:
    if now < state.window_ends_at:
        return
    if state.hold_down_until is None:
        state.hold_down_until = now + state.hold_down_seconds
    windows = 1 + int((now - state.window_ends_at) / WINDOW_SECONDS)
    if now >= state.hold_down_until:
        _update_limits(state, max_running=max_running)
    _start_window(state, now=now)
    if windows > 1 and not state.running:
        _decay_unused(state, windows=windows - 1)


def _update_limits(state: State, *, max_running: int) -> None:
    _update_connection_rate(state)
    if state.overloaded:
        return
    if state.peak_running < state.limit / 2:
        _lower_limit(state, factor=UNUSED_DECAY)
    if not state.latency_samples:
        return
    ratio = _update_latency_baseline(state)
    if ratio > LATENCY_OVERLOAD:
        _halve_limits(state)
        return
    if ratio > LATENCY_TOLERANCE:
        state.limit = max(state.limit * LATENCY_TOLERANCE / ratio, 1.0)
        return
    if state.peak_running >= int(state.limit):
        state.limit = min(state.limit * LIMIT_GROWTH, float(max_running))


def _update_connection_rate(state: State) -> None:
    expected_connections = state.connection_rate * WINDOW_SECONDS
    if state.overloaded:
        return
    if state.connections >= expected_connections / 2:
        state.connection_rate *= CONNECTION_RATE_GROWTH
        return
    state.connection_rate = max(
        state.connection_rate * CONNECTION_RATE_DECAY, COLD_CONNECTIONS_PER_SECOND
    )


def _update_latency_baseline(state: State) -> float:
    """Update the baseline; return the ratio of the window's latency to the old one."""
    latency = max(state.latency_sum / state.latency_samples, LATENCY_FLOOR_SECONDS)
    if not state.baseline_seconds:
        state.baseline_seconds = latency
    baseline = state.baseline_seconds
    weight = BASELINE_FALL if latency < baseline else BASELINE_RISE
    state.baseline_seconds = baseline + weight * (latency - baseline)
    return latency / baseline


def _lower_limit(state: State, *, factor: float) -> None:
    if state.limit > COLD_LIMIT:
        state.limit = max(state.limit * factor, COLD_LIMIT)


def _decay_unused(state: State, *, windows: int) -> None:
    _lower_limit(state, factor=UNUSED_DECAY**windows)
    rate = state.connection_rate * CONNECTION_RATE_DECAY**windows
    state.connection_rate = max(rate, COLD_CONNECTIONS_PER_SECOND)
