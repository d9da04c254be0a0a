"""How much load one upstream may carry now.

The concurrency limit is learned from the latency measured on this side. It starts at
what a cold upstream bears, rises only while it is used and the latency stays near its
long-term baseline, and shrinks with overload, with disuse and after a restart. A
health report may only lower it. The rate of new lines follows the same ramp.
"""

import dataclasses
import enum

COLD_LIMIT = 2.0
"""Requests at once that a cold upstream bears."""
COLD_CONNECTIONS_PER_SECOND = 10.0
CONNECTION_BURST = 10.0
"""Lines that may be opened at once after a pause."""
WINDOW_SECONDS = 0.5
"""The limit and the line rate change at most once in this time."""
LIMIT_GROWTH = 1.25
"""Largest factor by which one window raises the limit."""
CONNECTION_RATE_GROWTH = 1.5
CONNECTION_RATE_DECAY = 0.9
COLD_HOLD_DOWN_SECONDS = 3.0
"""How long the limit stays where a cold upstream bears it."""
MAX_COLD_HOLD_DOWN_SECONDS = 24.0
"""The hold doubles up to this as long as restarts follow one another."""
UNUSED_DECAY = 0.8
"""Factor by which one window of disuse lowers the limit."""
LATENCY_TOLERANCE = 1.5
"""Ratio of latency to baseline up to which the limit may rise."""
LATENCY_OVERLOAD = 4.0
"""Ratio of latency to baseline that counts as overload."""
BASELINE_FALL = 0.3
BASELINE_RISE = 0.01
"""Weights of a new window in the baseline; it rises slowly and falls quickly."""
LATENCY_FLOOR_SECONDS = 0.002
"""Below this latency, ratios only tell scheduling noise."""
RESTART_FAILURES = 3
"""Broken connections in a row that count as a restart."""
REPORT_LIFETIME_SECONDS = 3.0
"""A health report lowers the limit no longer than this."""


class Signal(enum.Enum):
    """What one exchange with the upstream says of its load."""

    SUCCESS = enum.auto()
    """A whole answer; its latency counts."""
    OVERLOAD = enum.auto()
    """The upstream shed the request."""
    TIMEOUT = enum.auto()
    """The upstream did not answer in time; it may be overloaded or gone."""
    CONNECTION_ERROR = enum.auto()
    """The connection was refused, reset or cut."""
    NEUTRAL = enum.auto()
    """The exchange says nothing, such as one that the caller gave up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthReport:
    """What the upstream's health report says."""

    started: str = ""
    """Identifies the start of the upstream's process; empty when not told."""
    limit: int | None = None
    """Requests at once that the upstream asks for."""
    draining: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """All that is known of one upstream's load."""

    limit: float = COLD_LIMIT
    running: int = 0
    peak_running: int = 0
    """Most requests that ran at once in this window."""
    window_ends_at: float = 0.0
    latency_sum: float = 0.0
    latency_samples: int = 0
    baseline_seconds: float = 0.0
    """Long-term latency; 0 before the first window."""
    overloaded: bool = False
    """Whether an overload signal came in this window."""
    failures: int = 0
    """Broken connections since the last sign of life."""
    hold_down_until: float | None = None
    """Until when the limit may not rise; absent before the first event."""
    hold_down_seconds: float = COLD_HOLD_DOWN_SECONDS
    """How long the next cold start is held."""
    started: str = ""
    draining: bool = False
    """The upstream's own wish to take no new work."""
    report_limit: int | None = None
    report_until: float = 0.0
    connection_rate: float = COLD_CONNECTIONS_PER_SECOND
    connection_tokens: float = CONNECTION_BURST
    connection_tokens_at: float = 0.0
    """When the line tokens were last counted."""
    connections: int = 0
    """Lines allowed in this window."""


def reset_to_cold(state: State, *, now: float) -> None:
    """Forget what a warm upstream could bear."""
    state.limit = COLD_LIMIT
    _start_hold_down(state, now=now)
    state.baseline_seconds = 0.0
    state.connection_rate = COLD_CONNECTIONS_PER_SECOND
    state.connection_tokens = min(state.connection_tokens, CONNECTION_BURST)
    _start_window(state, now=now)


def is_available(state: State) -> bool:
    """Tell whether the upstream is reachable and takes new work."""
    return state.failures < RESTART_FAILURES and not state.draining


def limit(state: State, *, max_running: int, now: float) -> int:
    """Return how many requests may run at once."""
    _advance_window(state, max_running=max_running, now=now)
    bound = min(int(state.limit), max_running)
    if state.report_limit is not None and now < state.report_until:
        bound = min(bound, state.report_limit)
    return max(bound, 1)


def admits(state: State, *, max_running: int, now: float) -> bool:
    """Tell whether one more request may start."""
    if not is_available(state):
        return False
    return state.running < limit(state, max_running=max_running, now=now)


def record_request_start(state: State) -> None:
    """Count a request that starts."""
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
    """Count a request that ended and learn from it."""
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
    """Take a health report; it may lower the limit and never raises it."""
    _record_contact(state, now=now)
    state.draining = report.draining
    record_process_start(state, report.started, now=now)
    state.report_limit = report.limit
    state.report_until = now + REPORT_LIFETIME_SECONDS


def record_process_start(state: State, started: str, *, now: float) -> None:
    """Compare the start that the upstream names; another one means a restart."""
    if not started or started == state.started:
        return
    if state.started:
        reset_to_cold(state, now=now)
    state.started = started


def record_unreachable(state: State, *, now: float) -> None:
    """Take a health poll that found nobody."""
    _record_connection_error(state, now=now)


def allow_connection(
    state: State, *, lines_per_second: float, max_running: int, now: float
) -> bool:
    """Take one token for a new line; tell whether there was one."""
    _advance_window(state, max_running=max_running, now=now)
    rate = min(state.connection_rate, lines_per_second)
    elapsed = max(now - state.connection_tokens_at, 0.0)
    state.connection_tokens_at = now
    state.connection_tokens = min(state.connection_tokens + elapsed * rate, CONNECTION_BURST)
    if not is_available(state) or state.connection_tokens < 1.0:
        return False
    state.connection_tokens -= 1.0
    state.connections += 1
    return True


def _record_contact(state: State, *, now: float) -> None:
    """Take a sign of life; an upstream that was gone comes back cold."""
    if state.failures >= RESTART_FAILURES:
        state.hold_down_until = now + state.hold_down_seconds
    state.failures = 0


def _record_connection_error(state: State, *, now: float) -> None:
    state.failures += 1
    _halve_limits(state)
    if state.failures == RESTART_FAILURES:
        reset_to_cold(state, now=now)


def _start_hold_down(state: State, *, now: float) -> None:
    """Hold the limit; longer when the last hold proved too short."""
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
    state.connection_rate = max(state.connection_rate * CONNECTION_RATE_DECAY, COLD_CONNECTIONS_PER_SECOND)


def _update_latency_baseline(state: State) -> float:
    """Fold this window's latency into the baseline; return their ratio."""
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
