"""Graceful close of the callers' connections: GOAWAY frames and closing times.

It applies to a planned stop, to a failure domain that is taken out and to services that
leave the pool.
"""

import collections
from collections import abc
import logging

from plantainproxy.config import model
from plantainproxy.quic import endpoint
from plantainproxy.sidecar import connection_state

FINAL_GOAWAY_SECONDS = 1.0
"""Minimum time between the final GOAWAY on a connection and its closing."""
GOAWAY_GRACE_FRACTION = 0.5
"""Fraction of a stop's grace over which the first GOAWAY frames are spread."""
DOMAIN_REMOVAL_GOAWAY_SECONDS = 1.0
"""Time over which GOAWAY frames are spread when the domain is taken out."""
REMOVED_SERVICE_GRACE_SECONDS = 5.0
"""Time to finish requests on connections of a service that left the pool."""
CLOSE_CHECK_INTERVAL_SECONDS = 0.1
"""Interval at which connections of removed services are checked for closing."""

_logger = logging.getLogger("plantain.lines")


def begin_closing_removed_services(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    view: model.PoolView,
    now: float,
) -> None:
    """Begin to close the connections whose service has left the pool."""
    for number, connection in quic_endpoint.connections.items():
        if (
            connection.service not in view.services
            and number not in connections.close_deadlines
        ):
            connections.close_deadlines[number] = now + REMOVED_SERVICE_GRACE_SECONDS
            quic_endpoint.send_goaway(number, final=True)


def begin_stop(
    connections: connection_state.Connections, grace_seconds: float, now: float
) -> None:
    """Begin a planned stop, or shorten the one in progress."""
    if connections.stop_at is not None:
        connections.stop_at = min(connections.stop_at, now + grace_seconds)
        return
    connections.stop_at = now + grace_seconds
    schedule_goaways(connections, GOAWAY_GRACE_FRACTION * grace_seconds, now)
    _logger.info(
        "Planned stop began with %d open connections.", len(connections.goaway_queue)
    )


def schedule_goaways(
    connections: connection_state.Connections, spread_seconds: float, now: float
) -> None:
    """Schedule a GOAWAY for every connection, spread evenly over a time.

    Callers open a new connection after a GOAWAY; the spreading keeps them from doing so
    all at once.
    """
    if connections.endpoint is None:
        return
    connections.goaway_queue = collections.deque(connections.endpoint.connections)
    connections.next_goaway_at = now
    connections.goaway_interval_seconds = spread_seconds / max(
        1, len(connections.goaway_queue)
    )


def send_due_goaways(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    now: float,
) -> None:
    """Send the scheduled GOAWAY frames that are due."""
    while connections.goaway_queue and connections.next_goaway_at <= now:
        quic_endpoint.send_goaway(connections.goaway_queue.popleft())
        connections.next_goaway_at += connections.goaway_interval_seconds


def process_deadlines(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    now: float,
) -> None:
    """Send a stop's final GOAWAY when due; close connections of removed services."""
    if _is_final_goaway_due(connections, now):
        connections.final_goaway_sent = True
        for number in quic_endpoint.connections:
            quic_endpoint.send_goaway(number, final=True)
    if connections.close_deadlines and now >= connections.next_close_check_at:
        connections.next_close_check_at = now + CLOSE_CHECK_INTERVAL_SECONDS
        _close_connections_of_removed_services(connections, quic_endpoint, now)


def _close_connections_of_removed_services(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    now: float,
) -> None:
    for number, close_at in list(connections.close_deadlines.items()):
        earliest_close_at = (
            close_at - REMOVED_SERVICE_GRACE_SECONDS + FINAL_GOAWAY_SECONDS
        )
        is_idle = now >= earliest_close_at and not quic_endpoint.is_busy(number)
        if is_idle or now >= close_at:
            del connections.close_deadlines[number]
            quic_endpoint.close(number)


def _is_final_goaway_due(connections: connection_state.Connections, now: float) -> bool:
    return (
        connections.stop_at is not None
        and not connections.final_goaway_sent
        and now >= connections.stop_at - FINAL_GOAWAY_SECONDS
    )


def next_deadline(connections: connection_state.Connections) -> float:
    """Return the next time at which the connection task has timed work."""
    times: list[float] = []
    if connections.endpoint is not None:
        times += _as_iterable(connections.endpoint.next_timer())
    if connections.goaway_queue:
        times.append(connections.next_goaway_at)
    if connections.stop_at is not None:
        times.append(connections.stop_at)
        if not connections.final_goaway_sent:
            times.append(connections.stop_at - FINAL_GOAWAY_SECONDS)
    if connections.close_deadlines:
        times.append(connections.next_close_check_at)
    return min(times, default=float("inf"))


def _as_iterable(time: float | None) -> abc.Iterable[float]:
    return () if time is None else (time,)


def is_finished(connections: connection_state.Connections, now: float) -> bool:
    """Return whether a planned stop has finished.

    It finishes when its grace is over or no connection is left.
    """
    if connections.stop_at is None:
        return False
    return now >= connections.stop_at or not (
        connections.endpoint and connections.endpoint.connections
    )
