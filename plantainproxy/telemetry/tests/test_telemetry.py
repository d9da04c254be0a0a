"""Format of logs and metrics as operators receive them."""

import json
import logging
import socket

import pytest
import statsd

from plantainproxy.telemetry import logs, metrics


def test_a_json_line_holds_part_and_message() -> None:
    """A record is formatted as one JSON object."""
    record = logging.LogRecord("plantain.x", 20, "f", 1, "Took %d.", (3,), None)
    line = json.loads(logs.JsonFormatter().format(record))
    assert line["part"] == "plantain.x"
    assert line["message"] == "Took 3."


def test_a_frequent_message_is_logged_once_a_second(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Repeated messages are counted, and the next line states their number."""
    now = [0.0]
    warn = logs.rate_limited(logging.getLogger("plantain.t"), clock=lambda: now[0])
    for timestamp in (0.0, 0.1, 0.2, 1.5):
        now[0] = timestamp
        warn("Dropped %s.", "x")
    assert caplog.messages == ["Dropped x.", "Dropped x. (2 more)"]


def test_counters_are_sent_as_growth_in_one_datagram() -> None:
    """Counters are sent as increments, because the statsd server adds them up."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        client = statsd.StatsClient("127.0.0.1", server.getsockname()[1])
        previous: dict[str, float] = {"drops": 3}
        metrics.send_once(
            client, counters={"drops": 5}, gauges={"lines": 7}, previous=previous
        )
        assert server.recv(1024) == b"drops:2|c\nlines:7|g"
    assert previous == {"drops": 5}
