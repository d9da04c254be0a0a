"""Log lines about an event loop that ran late.

The processor time that the process used meanwhile tells two causes apart: a loop that
was busy used about as much as it was late; a process that the machine did not run, or
that waited in a blocking call, used little.
"""

import logging
import time

import trio

CHECK_INTERVAL_SECONDS = 0.1
LATE_SECONDS = 0.3
"""Lateness from which a line is logged; above that of a loop under usual load."""

logger = logging.getLogger("plantain.loop")


async def monitor() -> None:
    """Log each time that the loop ran late, until cancelled."""
    while True:
        expected_at = trio.current_time() + CHECK_INTERVAL_SECONDS
        processor_seconds = time.process_time()
        await trio.sleep_until(expected_at)
        late_seconds = trio.current_time() - expected_at
        if late_seconds >= LATE_SECONDS:
            logger.warning(
                "Event loop ran %.2f s late; the process used %.2f s of CPU time.",
                late_seconds,
                time.process_time() - processor_seconds,
            )
