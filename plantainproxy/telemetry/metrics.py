"""Periodic export of counters and gauges to a statsd server."""

from collections import abc
import contextlib
import logging
import socket

import statsd
import trio

from plantainproxy import _types
from plantainproxy.settings import model
from plantainproxy.telemetry import names

PREFIX = "plantain"

logger = logging.getLogger("plantain.metrics")

Snapshot = abc.Callable[[], abc.Mapping[str, float]]
"""Returns the current value of each metric by name."""


def send_once(
    client: statsd.StatsClient,
    *,
    counters: abc.Mapping[str, float],
    gauges: abc.Mapping[str, float],
    previous: dict[str, float],
) -> None:
    """Send the increment of each counter and the value of each gauge in one batch."""
    with client.pipeline() as pipeline:
        for name, value in counters.items():
            increment = value - previous.get(name, 0)
            if increment:
                pipeline.incr(name, increment)
            previous[name] = value
        for name, value in gauges.items():
            pipeline.gauge(name, value)


def instance_prefix(part: names.Part, instance: _types.Address) -> str:
    """Return the prefix of the metric names of one process."""
    dotless = str(instance).translate({ord("."): "_", ord(":"): "_"})
    return f"{PREFIX}.{part}.{dotless}"


async def report(
    telemetry: model.Telemetry,
    *,
    part: names.Part,
    instance: _types.Address,
    counters: Snapshot,
    gauges: Snapshot,
) -> None:
    """Send metrics periodically; return at once if no statsd server is configured.

    ``instance`` becomes part of the metric names, so that the gauges of several
    processes do not overwrite one another.
    """
    if telemetry.statsd_address is None:
        return
    host, port = telemetry.statsd_address
    prefix = instance_prefix(part, instance)
    client = statsd.StatsClient(host=host, port=port, prefix=prefix)
    previous: dict[str, float] = {}
    with contextlib.closing(client):
        while True:
            await trio.sleep(telemetry.statsd_interval_seconds)
            with contextlib.suppress(OSError, socket.gaierror):
                send_once(
                    client, counters=counters(), gauges=gauges(), previous=previous
                )
