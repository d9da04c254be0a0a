"""Set-up of ``logging`` for the binaries, as text or JSON lines."""

from collections import abc
import logging
import os
import sys
import time
import typing

import msgspec

if typing.TYPE_CHECKING:
    # At run time this would lengthen the start of every process.
    from plantainproxy.settings import model

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
ATOMIC_WRITE_BYTES = 4_095
"""A pipe takes a line and its end of this length whole or not at all (POSIX)."""
REPEAT_INTERVAL_SECONDS = 1.0
"""A rate-limited sentence is logged at most once in this time."""


class JsonFormatter(logging.Formatter):
    """Renders each record as one JSON object on a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its end."""
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
    """Writes lines to a descriptor and leaves out those that would block."""

    def __init__(self, descriptor: int) -> None:
        """Write without blocking."""
        super().__init__()
        self.descriptor = descriptor
        self.dropped_lines = 0
        """Lines that found no room since the last one that was written."""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it."""
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
    """Send all logs of the process as JSON lines to standard output."""
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
    """Make a warning function for hot paths.

    Each format string is logged at most once in ``repeat_seconds``; the next line
    tells how many were left out.
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
