"""Start, reload and planned stop of the daemons."""

from collections import abc
import logging
import signal
import sys
import typing

from plantainproxy import _exceptions
from plantainproxy.eventloop import runtime

logger = logging.getLogger("plantain.lifecycle")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
FORCED_STOP_EXIT_CODE = 1
MAX_ERROR_CHARACTERS = 500
"""Limit on the description of an error in the log, which may quote an input."""
RELOADABLE_FIELDS = frozenset({"telemetry.log_level", "telemetry.log_format"})

T = typing.TypeVar("T")


class Lifecycle:
    """The stop and reload requests that a process has received by signals."""

    def __init__(self) -> None:
        """Create a lifecycle without any request."""
        self.stopping = runtime.Event()
        """Set by the first stop signal; the daemon then drains and exits."""
        self.stop_requested_at = 0.0
        """Time of the first stop signal on the clock of the loop."""
        self.is_forced = False
        """Whether a second stop signal cancelled the planned stop."""
        self.reload_requested = runtime.Event()
        """Set by a SIGHUP until the reload that it requests has started."""


def _request_reload(lifecycle: Lifecycle) -> None:
    if lifecycle.reload_requested.is_set():
        logger.info("SIGHUP received; merged into the pending reload.")
    lifecycle.reload_requested.set()


async def wait_for_reload(lifecycle: Lifecycle) -> None:
    """Wait until a reload is requested; the request is then no longer pending."""
    await lifecycle.reload_requested.wait()
    lifecycle.reload_requested = runtime.Event()


async def _handle_signals(lifecycle: Lifecycle, scope: runtime.CancelScope) -> None:
    with runtime.receive_signals(*STOP_SIGNALS, signal.SIGHUP) as received:
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
            lifecycle.stop_requested_at = runtime.current_time()
            lifecycle.stopping.set()


async def _run_with_signals(
    body: abc.Callable[[Lifecycle], abc.Awaitable[None]],
) -> bool:
    lifecycle = Lifecycle()
    async with runtime.open_task_group() as group:
        group.start_soon(_handle_signals, lifecycle, group.cancel_scope)
        await body(lifecycle)
        group.cancel_scope.cancel()
    return lifecycle.is_forced


def run_daemon(
    *,
    run: abc.Callable[..., bool],
    read: abc.Callable[[], T],
    check_only: bool,
    configure: abc.Callable[[T], None],
    body: abc.Callable[[Lifecycle], abc.Awaitable[None]],
) -> None:
    """Validate the settings, then run ``body`` until it returns.

    ``run`` runs an async function with its arguments, like ``trio.run``.
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
        is_forced = run(_run_with_signals, body)
    except _exceptions.PlantainError as error:
        exit_with_error(error)
    except BaseExceptionGroup as group:
        for leaf in _leaves(group):
            _log_failure(leaf)
        exit_with_error(first_error(group))
    if is_forced:
        sys.exit(FORCED_STOP_EXIT_CODE)


def _leaves(group: BaseExceptionGroup) -> abc.Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error


def _log_failure(error: BaseException) -> None:
    """Log an error that ends the process, in one line with the place of its origin."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    fields = {"error": repr(error)[:MAX_ERROR_CHARACTERS]}
    if traceback is not None:
        name = traceback.tb_frame.f_globals.get("__name__", "")
        fields["at"] = f"{name}:{traceback.tb_lineno}"
    logger.critical("the process ends", extra={"fields": fields})


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
    for field_name in field_names(active_settings):
        before, after = (
            getattr(active_settings, field_name),
            getattr(new_settings, field_name),
        )
        if before == after:
            continue
        name = f"{prefix}{field_name}"
        if field_names(before) and field_names(after):
            changed += changed_fields(before, after, prefix=f"{name}.")
        else:
            changed.append(name)
    return changed


def field_names(value: object) -> tuple[str, ...]:
    """Return the fields of a data class or struct; empty for any other value."""
    for attribute in ("__struct_fields__", "__dataclass_fields__"):
        if hasattr(value, attribute):
            return tuple(getattr(value, attribute))
    return ()
