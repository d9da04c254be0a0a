"""Tests the log lines about an event loop that ran late."""

from collections import abc
import re
import time

import pytest
import trio

from plantainproxy.telemetry import loop_lag

BLOCKED_SECONDS = 0.6
LINE = re.compile(r"ran ([\d.]+) s late; the process used ([\d.]+) s")


def _run_blocked_by(
    block: abc.Callable[[], None], caplog: pytest.LogCaptureFixture
) -> list[float]:
    """Block the loop once; return lateness and processor time of the only line."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loop_lag.monitor)
            await trio.sleep(0.05)
            block()
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(run)
    (line,) = caplog.messages
    found = LINE.search(line)
    assert found is not None
    return [float(value) for value in found.groups()]


def _compute() -> None:
    end = time.process_time() + BLOCKED_SECONDS
    while time.process_time() < end:
        pass


def test_a_process_that_stood_still_used_no_processor_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Otherwise a machine that did not run the process looks like slow code."""
    late, used = _run_blocked_by(lambda: time.sleep(BLOCKED_SECONDS), caplog)
    assert late >= loop_lag.LATE_SECONDS
    assert used < BLOCKED_SECONDS / 2


def test_a_busy_loop_used_as_much_processor_time_as_it_was_late(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Otherwise slow code looks like a machine that did not run the process."""
    late, used = _run_blocked_by(_compute, caplog)
    assert late >= loop_lag.LATE_SECONDS
    assert used >= BLOCKED_SECONDS * 0.9


def test_a_loop_on_time_logs_nothing(caplog: pytest.LogCaptureFixture) -> None:
    """Lines of usual delays would hide the ones that matter."""

    async def run() -> None:
        with trio.move_on_after(2 * loop_lag.CHECK_INTERVAL_SECONDS):
            await loop_lag.monitor()

    trio.run(run)
    assert caplog.messages == []
