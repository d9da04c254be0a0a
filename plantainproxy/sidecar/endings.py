"""How lines end on purpose: notices to callers, and when lines are closed."""

import collections
from collections import abc
import logging

from plantainproxy.config import model
from plantainproxy.quic import endpoint
from plantainproxy.sidecar import line_state

FINAL_NOTICE_SECONDS = 1.0
"""How long before a line is closed its caller gets the final GOAWAY."""
NOTICE_SHARE = 0.5
"""Share of a stop's grace over which callers are told to go, one after another."""
DOMAIN_NOTICE_SECONDS = 1.0
"""Time over which callers are told to go when the failure domain is taken out."""
MOVED_SERVICE_GRACE_SECONDS = 5.0
"""How long a line of a service that has left the pool may still finish requests."""
CLOSING_CHECK_SECONDS = 0.1
"""How often the lines of such a service are looked at."""

_logger = logging.getLogger("plantain.lines")


def part_with_services(
    lines: line_state.Lines, held: endpoint.Endpoint, view: model.PoolView, now: float
) -> None:
    """End the lines whose service the pool no longer serves."""
    for number, line in held.connections.items():
        if line.service not in view.services and number not in lines.closing:
            lines.closing[number] = now + MOVED_SERVICE_GRACE_SECONDS
            held.send_goaway(number, final=True)


def begin_stop(lines: line_state.Lines, grace_seconds: float, now: float) -> None:
    """Begin a planned stop, or shorten the one that has begun."""
    if lines.stop_at is not None:
        lines.stop_at = min(lines.stop_at, now + grace_seconds)
        return
    lines.stop_at = now + grace_seconds
    begin_notices(lines, NOTICE_SHARE * grace_seconds, now)
    _logger.info("Stopping with %d lines.", len(lines.notices))


def begin_notices(lines: line_state.Lines, over_seconds: float, now: float) -> None:
    """Tell all callers to go, one after another: they open their next lines then."""
    if lines.endpoint is None:
        return
    lines.notices = collections.deque(lines.endpoint.connections)
    lines.notice_at = now
    lines.notice_interval_seconds = over_seconds / max(1, len(lines.notices))


def give_notices(lines: line_state.Lines, held: endpoint.Endpoint, now: float) -> None:
    """Tell those callers to go whose turn has come."""
    while lines.notices and lines.notice_at <= now:
        held.send_goaway(lines.notices.popleft())
        lines.notice_at += lines.notice_interval_seconds


def close_due(lines: line_state.Lines, held: endpoint.Endpoint, now: float) -> None:
    """Give the final notice before a stop and close lines of moved services."""
    if _final_notice_due(lines, now):
        lines.final_notice_sent = True
        for number in held.connections:
            held.send_goaway(number, final=True)
    if lines.closing and now >= lines.closing_check_at:
        lines.closing_check_at = now + CLOSING_CHECK_SECONDS
        _close_lines_of_moved_services(lines, held, now)


def _close_lines_of_moved_services(
    lines: line_state.Lines, held: endpoint.Endpoint, now: float
) -> None:
    for number, close_at in list(lines.closing.items()):
        notice_ends_at = close_at - MOVED_SERVICE_GRACE_SECONDS + FINAL_NOTICE_SECONDS
        done = now >= notice_ends_at and not held.is_busy(number)
        if done or now >= close_at:
            del lines.closing[number]
            held.close(number)


def _final_notice_due(lines: line_state.Lines, now: float) -> bool:
    return (
        lines.stop_at is not None
        and not lines.final_notice_sent
        and now >= lines.stop_at - FINAL_NOTICE_SECONDS
    )


def next_time(lines: line_state.Lines) -> float:
    """Return when the owner has to act next if nothing arrives."""
    times: list[float] = []
    if lines.endpoint is not None:
        times += _present(lines.endpoint.next_timer())
    if lines.notices:
        times.append(lines.notice_at)
    if lines.stop_at is not None:
        times.append(lines.stop_at)
        if not lines.final_notice_sent:
            times.append(lines.stop_at - FINAL_NOTICE_SECONDS)
    if lines.closing:
        times.append(lines.closing_check_at)
    return min(times, default=float("inf"))


def _present(time: float | None) -> abc.Iterable[float]:
    return () if time is None else (time,)


def finished(lines: line_state.Lines, now: float) -> bool:
    """Return whether a planned stop has ended."""
    if lines.stop_at is None:
        return False
    return now >= lines.stop_at or not (lines.endpoint and lines.endpoint.connections)
