"""Structured log of events with a rate limit, and counters and histograms."""

import collections
from collections import abc
import logging
import time
import traceback
import typing

from plantainproxy import _decoding
from plantainproxy.flows import policy
from plantainproxy.telemetry import exposition

MAX_DETAIL_CHARACTERS = 300
"""Start of a decoder's error in a log line; it may quote the refused value."""
MAX_TRACE_CHARACTERS = 2_000
"""End of a trace in a log line, which a pipe writes atomically."""
MAX_LINES_PER_SECOND = 8
"""Limit per event. The field ``left_out`` of the event's next line gives the number of
lines that were not written."""


class EventLog:
    """Logs and counts the events of one process and holds its metrics."""

    def __init__(
        self,
        component: str,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
        render_flow: abc.Callable[[bytes], str] = bytes.hex,
    ) -> None:
        """Write to the logger of one component.

        ``render_flow`` formats the flow key in the field ``flow`` of a line.
        """
        self.logger = logging.getLogger(f"plantain.{component}")
        self.clock = clock
        self.render_flow = render_flow
        self.counters: collections.Counter[str] = collections.Counter()
        self.histograms: dict[str, exposition.Histogram] = {}
        self.window_start: dict[str, float] = {}
        self.lines_in_window: collections.Counter[str] = collections.Counter()
        self.suppressed: collections.Counter[str] = collections.Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self.counters[name] += amount

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = exposition.Histogram()
        histogram.observe(seconds)

    def write(self, event: str, **fields: typing.Any) -> None:
        """Count an event and write it as one log line."""
        self.counters[f"events.{event.replace(' ', '_')}"] += 1
        if "flow" in fields:
            fields["flow"] = self.render_flow(fields["flow"])
        self.logger.info(event, extra={"fields": fields})

    def write_policy(self, current: policy.Policy) -> None:
        """Log the activation of a policy."""
        self.write(
            "policy in force",
            revision=current.revision,
            era=current.era,
            version=current.version,
            routes=len(current.routes),
            domains_out=sorted(current.domains_out),
        )

    def write_refused(self, kind: str, error: Exception, **fields: typing.Any) -> None:
        """Count an input that was refused by its kind and reason, and log it."""
        reason = _decoding.reason(error)
        self.count(f"refused.{kind.replace(' ', '_')}.{reason}")
        self.write_limited(
            "input refused",
            kind=kind,
            reason=reason,
            detail=str(error)[:MAX_DETAIL_CHARACTERS],
            **fields,
        )

    def write_failed(self, kind: str, error: Exception) -> None:
        """Count an input whose handler raised an unforeseen error, and log its trace.

        The input is lost, and the process continues (docs/design/inputs.md).
        """
        trace = "".join(traceback.format_exception(error))
        self.count(f"failed.{kind.replace(' ', '_')}")
        self.write_limited(
            "input failed",
            kind=kind,
            error=repr(error)[:MAX_DETAIL_CHARACTERS],
            trace=trace[-MAX_TRACE_CHARACTERS:],
        )

    def write_limited(self, event: str, **fields: typing.Any) -> None:
        """Write one line unless the event exceeds ``MAX_LINES_PER_SECOND``."""
        now = self.clock()
        if now - self.window_start.get(event, float("-inf")) >= 1.0:
            self.window_start[event] = now
            self.lines_in_window[event] = 0
        self.lines_in_window[event] += 1
        if self.lines_in_window[event] > MAX_LINES_PER_SECOND:
            self.counters[f"events.{event.replace(' ', '_')}"] += 1
            self.suppressed[event] += 1
            return
        suppressed = self.suppressed.pop(event, 0)
        if suppressed:
            fields["left_out"] = suppressed
        self.write(event, **fields)
