"""Start, reload and planned stop, the same for every daemon."""

from collections import abc
import dataclasses
import logging
import signal
import sys
import typing

import trio

from plantainproxy import _exceptions

logger = logging.getLogger("plantain.lifecycle")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
FORCED_STOP_EXIT_CODE = 1
RELOADABLE_FIELDS = frozenset({"telemetry.log_level", "telemetry.log_format"})

T = typing.TypeVar("T")


class Lifecycle:
    """What the signals have asked of a process so far."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self.stopping = trio.Event()
        """Set by the first stop signal: hand over, finish and leave."""
        self.stop_asked_at = 0.0
        """When the first stop signal came, in trio's time."""
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
            lifecycle.stop_asked_at = trio.current_time()
            lifecycle.stopping.set()


async def _run_with_signals(
    body: abc.Callable[[Lifecycle], abc.Awaitable[None]],
) -> bool:
    lifecycle = Lifecycle()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, lifecycle, nursery.cancel_scope)
        await body(lifecycle)
        nursery.cancel_scope.cancel()
    return lifecycle.forced


def run_daemon(
    *,
    read: abc.Callable[[], T],
    check_only: bool,
    configure: abc.Callable[[T], None],
    body: abc.Callable[[Lifecycle], abc.Awaitable[None]],
) -> None:
    """Check the settings, then run until the body returns or a signal forces it.

    A ``PlantainError`` ends the process with the exit code of its kind.
    """
    forced = False
    try:
        configure(read())
        if check_only:
            print("The settings are valid.")
            return
        forced = trio.run(_run_with_signals, body)
    except _exceptions.PlantainError as error:
        leave_with(error)
    except BaseExceptionGroup as group:
        leave_with(first_error(group))
    if forced:
        sys.exit(FORCED_STOP_EXIT_CODE)


def leave_with(error: _exceptions.PlantainError) -> typing.NoReturn:
    """Tell the error and end the process with the exit code of its kind."""
    print(error, file=sys.stderr)
    sys.exit(error.answer.exit_code)


def first_error(group: BaseExceptionGroup) -> _exceptions.PlantainError:
    """Return the first ``PlantainError`` of a group; raise the group without one."""
    matching, _ = group.split(_exceptions.PlantainError)
    if matching is None:
        raise group
    found: BaseException = matching
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    assert isinstance(found, _exceptions.PlantainError)
    return found


def reload(
    running: T, read: abc.Callable[[], T], configure: abc.Callable[[T], None]
) -> T:
    """Read the settings again and take over what may change while running.

    ``configure`` takes over ``RELOADABLE_FIELDS``. Every other difference is told at
    each reload, needs a restart, and leaves the running value in place.
    """
    try:
        fresh = read()
    except _exceptions.PlantainError as error:
        logger.error("The settings are not reloaded. %s", error)
        return running
    configure(fresh)
    for name in changed_fields(running, fresh):
        if name not in RELOADABLE_FIELDS:
            logger.warning("A change of %s needs a restart.", name)
    logger.info("The settings are reloaded.")
    return running


def changed_fields(
    running: typing.Any, fresh: typing.Any, *, prefix: str = ""
) -> list[str]:
    """Return the dotted names of the settings that differ."""
    changed = []
    for field in dataclasses.fields(running):
        before, after = getattr(running, field.name), getattr(fresh, field.name)
        if before == after:
            continue
        name = f"{prefix}{field.name}"
        if dataclasses.is_dataclass(before) and dataclasses.is_dataclass(after):
            changed += changed_fields(before, after, prefix=f"{name}.")
        else:
            changed.append(name)
    return changed
