"""Start, reload and planned stop of the daemons."""

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
    """The stop and reload requests that a process has received by signals."""

    def __init__(self) -> None:
        """Create a lifecycle without any request."""
        self.stopping = trio.Event()
        """Set by the first stop signal; the daemon then drains and exits."""
        self.stop_requested_at = 0.0
        """Time of the first stop signal on the trio clock."""
        self.is_forced = False
        """Whether a second stop signal cancelled the planned stop."""
        self.reload_sender, self.reloads = trio.open_memory_channel[None](1)
        """Receives an item for each SIGHUP that arrives without a pending reload."""


def _request_reload(lifecycle: Lifecycle) -> None:
    try:
        lifecycle.reload_sender.send_nowait(None)
    except trio.WouldBlock:
        logger.info("SIGHUP received; merged into the pending reload.")


async def _handle_signals(lifecycle: Lifecycle, scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as received:
        async for signal_number in received:
            if signal_number == signal.SIGHUP:
                _request_reload(lifecycle)
                continue
            if lifecycle.stopping.is_set():
                logger.warning("Second stop signal received; exiting immediately.")
                lifecycle.is_forced = True
                scope.cancel()
                return
            logger.info("Stop signal received; starting a planned stop.")
            lifecycle.stop_requested_at = trio.current_time()
            lifecycle.stopping.set()


async def _run_with_signals(
    body: abc.Callable[[Lifecycle], abc.Awaitable[None]],
) -> bool:
    lifecycle = Lifecycle()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, lifecycle, nursery.cancel_scope)
        await body(lifecycle)
        nursery.cancel_scope.cancel()
    return lifecycle.is_forced


def run_daemon(
    *,
    read: abc.Callable[[], T],
    check_only: bool,
    configure: abc.Callable[[T], None],
    body: abc.Callable[[Lifecycle], abc.Awaitable[None]],
) -> None:
    """Validate the settings, then run ``body`` until it returns.

    A second stop signal cancels ``body``; the process then exits with
    ``FORCED_STOP_EXIT_CODE``.

    A ``PlantainError`` ends the process with the exit code of its kind.
    """
    is_forced = False
    try:
        configure(read())
        if check_only:
            print("The settings are valid.")
            return
        is_forced = trio.run(_run_with_signals, body)
    except _exceptions.PlantainError as error:
        exit_with_error(error)
    except BaseExceptionGroup as group:
        exit_with_error(first_error(group))
    if is_forced:
        sys.exit(FORCED_STOP_EXIT_CODE)


def exit_with_error(error: _exceptions.PlantainError) -> typing.NoReturn:
    """Print the error and end the process with the exit code of its kind."""
    print(error, file=sys.stderr)
    sys.exit(error.answer.exit_code)


def first_error(group: BaseExceptionGroup) -> _exceptions.PlantainError:
    """Return the first ``PlantainError`` of a group; raise a group that has none."""
    matching, _ = group.split(_exceptions.PlantainError)
    if matching is None:
        raise group
    nested_error: BaseException = matching
    while isinstance(nested_error, BaseExceptionGroup):
        nested_error = nested_error.exceptions[0]
    assert isinstance(nested_error, _exceptions.PlantainError)
    return nested_error


def reload(
    active_settings: T, read: abc.Callable[[], T], configure: abc.Callable[[T], None]
) -> T:
    """Read the settings again and apply those that may change at run time.

    ``configure`` applies ``RELOADABLE_FIELDS``. Any other change needs a restart: it
    is logged at each reload, and the active value stays in place. Invalid settings
    are logged and change nothing. Returns the active settings.
    """
    try:
        new_settings = read()
    except _exceptions.PlantainError as error:
        logger.error("The settings are not reloaded. %s", error)
        return active_settings
    configure(new_settings)
    for name in changed_fields(active_settings, new_settings):
        if name not in RELOADABLE_FIELDS:
            logger.warning("A change of %s needs a restart.", name)
    logger.info("The settings are reloaded.")
    return active_settings


def changed_fields(
    active_settings: typing.Any, new_settings: typing.Any, *, prefix: str = ""
) -> list[str]:
    """Return the dotted names of the settings that differ."""
    changed = []
    for field in dataclasses.fields(active_settings):
        before, after = (
            getattr(active_settings, field.name),
            getattr(new_settings, field.name),
        )
        if before == after:
            continue
        name = f"{prefix}{field.name}"
        if dataclasses.is_dataclass(before) and dataclasses.is_dataclass(after):
            changed += changed_fields(before, after, prefix=f"{name}.")
        else:
            changed.append(name)
    return changed
