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
COLD_LINES_PER_SECOND = 10.0
LINE_BURST = 10.0
"""Lines that may be opened at once after a pause."""
WINDOW_SECONDS = 0.5
"""The limit and the line rate change at most once in this time."""
LIMIT_GROWTH = 1.25
"""Largest factor by which one window raises the limit."""
LINE_GROWTH = 1.5
LINE_DECAY = 0.9
COLD_HOLD_SECONDS = 3.0
"""How long the limit stays where a cold upstream bears it."""
MAX_COLD_HOLD_SECONDS = 24.0
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
    CONNECTION = enum.auto()
    """The connection was refused, reset or cut."""
    NEUTRAL = enum.auto()
    """The exchange says nothing, such as one that the caller gave up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
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
    peak: int = 0
    """Most requests that ran at once in this window."""
    window_ends: float = 0.0
    latency_sum: float = 0.0
    samples: int = 0
    baseline_seconds: float = 0.0
    """Long-term latency; 0 before the first window."""
    overloaded: bool = False
    """Whether an overload signal came in this window."""
    failures: int = 0
    """Broken connections since the last sign of life."""
    cold_until: float | None = None
    """Until when the limit may not rise; absent before the first event."""
    cold_hold_seconds: float = COLD_HOLD_SECONDS
    """How long the next cold start is held."""
    started: str = ""
    draining: bool = False
    """The upstream's own wish to take no new work."""
    report_limit: int | None = None
    report_until: float = 0.0
    line_rate: float = COLD_LINES_PER_SECOND
    line_tokens: float = LINE_BURST
    lines_at: float = 0.0
    """When the line tokens were last counted."""
    lines: int = 0
    """Lines allowed in this window."""


def reset(state: State, *, now: float) -> None:
    """Forget what a warm upstream could bear."""
    state.limit = COLD_LIMIT
    _hold(state, now=now)
    state.baseline_seconds = 0.0
    state.line_rate = COLD_LINES_PER_SECOND
    state.line_tokens = min(state.line_tokens, LINE_BURST)
    _open_window(state, now=now)


def available(state: State) -> bool:
    """Tell whether the upstream is reachable and takes new work."""
    return state.failures < RESTART_FAILURES and not state.draining


def limit(state: State, *, max_running: int, now: float) -> int:
    """Return how many requests may run at once."""
    _advance(state, max_running=max_running, now=now)
    bound = min(int(state.limit), max_running)
    if state.report_limit is not None and now < state.report_until:
        bound = min(bound, state.report_limit)
    return max(bound, 1)


def admits(state: State, *, max_running: int, now: float) -> bool:
    """Tell whether one more request may start."""
    if not available(state):
        return False
    return state.running < limit(state, max_running=max_running, now=now)


def begin(state: State) -> None:
    """Count a request that starts."""
    state.running += 1
    state.peak = max(state.peak, state.running)


def end(
    state: State,
    *,
    signal: Signal,
    latency_seconds: float,
    max_running: int,
    now: float,
) -> None:
    """Count a request that ended and learn from it."""
    _advance(state, max_running=max_running, now=now)
    state.running -= 1
    if signal is Signal.NEUTRAL:
        return
    if signal is Signal.CONNECTION:
        _count_failure(state, now=now)
        return
    if signal is Signal.TIMEOUT:
        _halve(state)
        return
    _note_alive(state, now=now)
    if signal is Signal.OVERLOAD:
        _halve(state)
        return
    state.latency_sum += latency_seconds
    state.samples += 1


def observe_report(state: State, report: Report, *, now: float) -> None:
    """Take a health report; it may lower the limit and never raises it."""
    _note_alive(state, now=now)
    state.draining = report.draining
    observe_start(state, report.started, now=now)
    state.report_limit = report.limit
    state.report_until = now + REPORT_LIFETIME_SECONDS


def observe_start(state: State, started: str, *, now: float) -> None:
    """Compare the start that the upstream names; another one means a restart."""
    if not started or started == state.started:
        return
    if state.started:
        reset(state, now=now)
    state.started = started


def observe_unreachable(state: State, *, now: float) -> None:
    """Take a health poll that found nobody."""
    _count_failure(state, now=now)


def allow_line(
    state: State, *, lines_per_second: float, max_running: int, now: float
) -> bool:
    """Take one token for a new line; tell whether there was one."""
    _advance(state, max_running=max_running, now=now)
    rate = min(state.line_rate, lines_per_second)
    elapsed = max(now - state.lines_at, 0.0)
    state.lines_at = now
    state.line_tokens = min(state.line_tokens + elapsed * rate, LINE_BURST)
    if not available(state) or state.line_tokens < 1.0:
        return False
    state.line_tokens -= 1.0
    state.lines += 1
    return True


def _note_alive(state: State, *, now: float) -> None:
    """Take a sign of life; an upstream that was gone comes back cold."""
    if state.failures >= RESTART_FAILURES:
        state.cold_until = now + state.cold_hold_seconds
    state.failures = 0


def _count_failure(state: State, *, now: float) -> None:
    state.failures += 1
    _halve(state)
    if state.failures == RESTART_FAILURES:
        reset(state, now=now)


def _hold(state: State, *, now: float) -> None:
    """Hold the limit; longer when the last hold proved too short."""
    previous = state.cold_until
    if previous is not None and now < previous + MAX_COLD_HOLD_SECONDS:
        state.cold_hold_seconds *= 2
    else:
        state.cold_hold_seconds = COLD_HOLD_SECONDS
    state.cold_hold_seconds = min(state.cold_hold_seconds, MAX_COLD_HOLD_SECONDS)
    state.cold_until = now + state.cold_hold_seconds


def _halve(state: State) -> None:
    if state.overloaded:
        return
    state.overloaded = True
    state.limit = max(state.limit / 2, 1.0)
    state.line_rate = max(state.line_rate / 2, COLD_LINES_PER_SECOND)


def _open_window(state: State, *, now: float) -> None:
    state.window_ends = now + WINDOW_SECONDS
    state.peak = state.running
    state.latency_sum = 0.0
    state.samples = 0
    state.overloaded = False
    state.lines = 0


def _advance(state: State, *, max_running: int, now: float) -> None:
    if now < state.window_ends:
        return
    if state.cold_until is None:
        state.cold_until = now + state.cold_hold_seconds
    windows = 1 + int((now - state.window_ends) / WINDOW_SECONDS)
    if now >= state.cold_until:
        _learn(state, max_running=max_running)
    _open_window(state, now=now)
    if windows > 1 and not state.running:
        _decay(state, windows=windows - 1)


def _learn(state: State, *, max_running: int) -> None:
    _learn_line_rate(state)
    if state.overloaded:
        return
    if state.peak < state.limit / 2:
        _shrink(state, factor=UNUSED_DECAY)
    if not state.samples:
        return
    ratio = _latency_ratio(state)
    if ratio > LATENCY_OVERLOAD:
        _halve(state)
        return
    if ratio > LATENCY_TOLERANCE:
        state.limit = max(state.limit * LATENCY_TOLERANCE / ratio, 1.0)
        return
    if state.peak >= int(state.limit):
        state.limit = min(state.limit * LIMIT_GROWTH, float(max_running))


def _learn_line_rate(state: State) -> None:
    expected = state.line_rate * WINDOW_SECONDS
    if state.overloaded:
        return
    if state.lines >= expected / 2:
        state.line_rate *= LINE_GROWTH
        return
    state.line_rate = max(state.line_rate * LINE_DECAY, COLD_LINES_PER_SECOND)


def _latency_ratio(state: State) -> float:
    """Fold this window's latency into the baseline; return their ratio."""
    latency = max(state.latency_sum / state.samples, LATENCY_FLOOR_SECONDS)
    if not state.baseline_seconds:
        state.baseline_seconds = latency
    baseline = state.baseline_seconds
    weight = BASELINE_FALL if latency < baseline else BASELINE_RISE
    state.baseline_seconds = baseline + weight * (latency - baseline)
    return latency / baseline


def _shrink(state: State, *, factor: float) -> None:
    if state.limit > COLD_LIMIT:
        state.limit = max(state.limit * factor, COLD_LIMIT)


def _decay(state: State, *, windows: int) -> None:
    _shrink(state, factor=UNUSED_DECAY**windows)
    rate = state.line_rate * LINE_DECAY**windows
    state.line_rate = max(rate, COLD_LINES_PER_SECOND)
