"""How lines end on purpose: notices to callers, and when lines are closed."""

import collections
from collections import abc
import logging

from plantainproxy.config import model
from plantainproxy.quic import endpoint
from plantainproxy.sidecar import connection_state

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
    connections: connection_state.Connections,
    held: endpoint.Endpoint,
    view: model.PoolView,
    now: float,
) -> None:
    """End the lines whose service the pool no longer serves."""
    for number, line in held.connections.items():
        if (
            line.service not in view.services
            and number not in connections.close_deadlines
        ):
            connections.close_deadlines[number] = now + MOVED_SERVICE_GRACE_SECONDS
            held.send_goaway(number, final=True)


def begin_stop(
    connections: connection_state.Connections, grace_seconds: float, now: float
) -> None:
    """Begin a planned stop, or shorten the one that has begun."""
    if connections.stop_at is not None:
        connections.stop_at = min(connections.stop_at, now + grace_seconds)
        return
    connections.stop_at = now + grace_seconds
    begin_notices(connections, NOTICE_SHARE * grace_seconds, now)
    _logger.info("Stopping with %d lines.", len(connections.goaway_queue))


def begin_notices(
    connections: connection_state.Connections, over_seconds: float, now: float
) -> None:
    """Tell all callers to go, one after another: they open their next lines then."""
    if connections.endpoint is None:
        return
    connections.goaway_queue = collections.deque(connections.endpoint.connections)
    connections.next_goaway_at = now
    connections.goaway_interval_seconds = over_seconds / max(
        1, len(connections.goaway_queue)
    )


def give_notices(
    connections: connection_state.Connections, held: endpoint.Endpoint, now: float
) -> None:
    """Tell those callers to go whose turn has come."""
    while connections.goaway_queue and connections.next_goaway_at <= now:
        held.send_goaway(connections.goaway_queue.popleft())
        connections.next_goaway_at += connections.goaway_interval_seconds


def close_due(
    connections: connection_state.Connections, held: endpoint.Endpoint, now: float
) -> None:
    """Give the final notice before a stop and close lines of moved services."""
    if _final_notice_due(connections, now):
        connections.final_goaway_sent = True
        for number in held.connections:
            held.send_goaway(number, final=True)
    if connections.close_deadlines and now >= connections.next_close_check_at:
        connections.next_close_check_at = now + CLOSING_CHECK_SECONDS
        _close_lines_of_moved_services(connections, held, now)


def _close_lines_of_moved_services(
    connections: connection_state.Connections, held: endpoint.Endpoint, now: float
) -> None:
    for number, close_at in list(connections.close_deadlines.items()):
        notice_ends_at = close_at - MOVED_SERVICE_GRACE_SECONDS + FINAL_NOTICE_SECONDS
        done = now >= notice_ends_at and not held.is_busy(number)
        if done or now >= close_at:
            del connections.close_deadlines[number]
            held.close(number)


def _final_notice_due(connections: connection_state.Connections, now: float) -> bool:
    return (
        connections.stop_at is not None
        and not connections.final_goaway_sent
        and now >= connections.stop_at - FINAL_NOTICE_SECONDS
    )


def next_time(connections: connection_state.Connections) -> float:
    """Return when the owner has to act next if nothing arrives."""
    times: list[float] = []
    if connections.endpoint is not None:
        times += _present(connections.endpoint.next_timer())
    if connections.goaway_queue:
        times.append(connections.next_goaway_at)
    if connections.stop_at is not None:
        times.append(connections.stop_at)
        if not connections.final_goaway_sent:
            times.append(connections.stop_at - FINAL_NOTICE_SECONDS)
    if connections.close_deadlines:
        times.append(connections.next_close_check_at)
    return min(times, default=float("inf"))


def _present(time: float | None) -> abc.Iterable[float]:
    return () if time is None else (time,)


def finished(connections: connection_state.Connections, now: float) -> bool:
    """Return whether a planned stop has ended."""
    if connections.stop_at is None:
        return False
    return now >= connections.stop_at or not (
        connections.endpoint and connections.endpoint.connections
    )
