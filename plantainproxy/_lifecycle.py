"""Start, reload and planned stop, the same for every daemon."""

from collections.abc import Awaitable, Callable
import logging
import pathlib
import signal
import sys

import trio

from plantainproxy import _exceptions

logger = logging.getLogger("plantain.lifecycle")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
FORCED_STOP_EXIT_CODE = 1


class Lifecycle:
    """What the signals have asked of a process so far."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self.stopping = trio.Event()
        """Set by the first stop signal: hand over, finish and leave."""
        self.forced = False
        """Whether a second stop signal has ended the process at once."""
        self.reload_sender, self.reloads = trio.open_memory_channel[None](1)
        """Receives one item for each SIGHUP; repeats are merged."""


def _ask_reload(lifecycle: Lifecycle) -> None:
    try:
        lifecycle.reload_sender.send_nowait(None)
    except trio.WouldBlock:
        logger.info("A reload is already waiting.")


async def _watch_signals(lifecycle: Lifecycle, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as received:
        async for number in received:
            if number == signal.SIGHUP:
                _ask_reload(lifecycle)
                continue
            if lifecycle.stopping.is_set():
                logger.warning("Second stop signal; leaving at once.")
                lifecycle.forced = True
                scope.cancel()
                return
            logger.info("Stop signal; leaving in order.")
            lifecycle.stopping.set()


async def _run_with_signals(body: Callable[[Lifecycle], Awaitable[None]]) -> bool:
    lifecycle = Lifecycle()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, lifecycle, nursery.cancel_scope)
        await body(lifecycle)
        nursery.cancel_scope.cancel()
    return lifecycle.forced


def run(body: Callable[[Lifecycle], Awaitable[None]]) -> None:
    """Run a daemon until its body returns or a second signal ends it.

    A ``PlantainError`` ends the process with the exit code of its kind.
    """
    try:
        forced = trio.run(_run_with_signals, body)
    except* _exceptions.PlantainError as group:
        error = first_error(group)
        print(error, file=sys.stderr)
        sys.exit(error.answer.exit_code)
    if forced:
        sys.exit(FORCED_STOP_EXIT_CODE)


def first_error(group: BaseExceptionGroup[BaseException]) -> _exceptions.PlantainError:
    """Return the first ``PlantainError`` inside a group of exceptions."""
    for error in group.exceptions:
        if isinstance(error, _exceptions.PlantainError):
            return error
        if isinstance(error, BaseExceptionGroup):
            return first_error(error)
    raise group


def settings_path(text: str) -> pathlib.Path:
    """Turn the command line's settings argument into a path."""
    return pathlib.Path(str(text))
