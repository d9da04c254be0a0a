"""Tests of the simulated network between a QUIC endpoint and its callers."""

import typing

from plantainproxy.quic import endpoint, events
from standins import quic_pair


class _LateTimerEndpoint:
    """An endpoint whose timer, because of rounding, fires too early for its purpose.

    aioquic declares a packet lost once ``now - delay`` reaches the time at which the
    packet was sent, and sets its timer to the sum of both. The sum may be rounded to a
    time at which the difference is still too small.
    """

    def __init__(self, due_at: float) -> None:
        self.due_at: float | None = due_at

    def next_timer(self) -> float | None:
        return self.due_at

    def handle_timer(self, now: float) -> None:
        if self.due_at is not None and now > self.due_at:
            self.due_at = None

    def take_datagrams(self, now: float) -> list[endpoint.OutgoingDatagram]:
        return []

    def take_events(self) -> list[events.Event]:
        return []


def test_the_clock_advances_past_a_timer_that_stays_due() -> None:
    """A run of the network ends although the timer is set for the same instant."""
    server = _LateTimerEndpoint(due_at=100.5)
    network = quic_pair.Network(typing.cast(endpoint.Endpoint, server))
    network.run(1.0)
    assert server.due_at is None
    assert network.now == 101.0
