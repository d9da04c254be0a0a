"""Set-up of ``logging`` for the daemons, as text or JSON lines."""

from collections import abc
import logging
import os
import sys
import time
import typing

import msgspec

if typing.TYPE_CHECKING:
    # An import at run time would slow down the start of every process.
    from plantainproxy.settings import model

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
ATOMIC_WRITE_BYTES = 4_095
"""Longest line, without its newline, that a pipe writes atomically (POSIX PIPE_BUF)."""
REPEAT_INTERVAL_SECONDS = 1.0
"""Minimum time between two rate-limited log lines of the same format string."""


class JsonFormatter(logging.Formatter):
    """Formats each record as one line with a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its newline."""
        fields: dict[str, object] = {
            "time": record.created,
            "level": record.levelname,
            "part": record.name,
            "message": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


class NonBlockingLineHandler(logging.Handler):
    """Writes lines to a descriptor and drops those that would block."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        self.descriptor = descriptor
        self.dropped_lines = 0
        """Lines that were dropped since the last one that was written."""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if self.dropped_lines:
            fields = getattr(record, "fields", {})
            record.fields = {**fields, "lines_lost": self.dropped_lines}
        line = self.format(record).encode()[:ATOMIC_WRITE_BYTES] + b"\n"
        try:
            os.write(self.descriptor, line)
        except OSError:
            self.dropped_lines += 1
        else:
            self.dropped_lines = 0


def configure_json_lines(descriptor: int = 1) -> None:
    """Send all logs of the process as JSON lines to a descriptor.

    The default descriptor is standard output.
    """
    handler = NonBlockingLineHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)


def configure(telemetry: "model.Telemetry") -> None:
    """Send all logs of the process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    if telemetry.log_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(telemetry.log_level)


def rate_limited(
    logger: logging.Logger,
    *,
    clock: abc.Callable[[], float] = time.monotonic,
    repeat_interval_seconds: float = REPEAT_INTERVAL_SECONDS,
) -> abc.Callable[..., None]:
    """Return a rate-limited warning function for hot paths.

    Each format string is logged at most once in ``repeat_interval_seconds``; the next
    line of the same format states how many were suppressed.
    """
    next_allowed_at: dict[str, float] = {}
    suppressed_counts: dict[str, int] = {}

    def warn(message: str, *arguments: object) -> None:
        now = clock()
        if now < next_allowed_at.get(message, now):
            suppressed_counts[message] = suppressed_counts.get(message, 0) + 1
            return
        next_allowed_at[message] = now + repeat_interval_seconds
        suffix = (
            f" ({suppressed_counts.pop(message)} more)"
            if message in suppressed_counts
            else ""
        )
        logger.warning(message + suffix, *arguments)

    return warn
