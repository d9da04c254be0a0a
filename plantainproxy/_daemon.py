"""Command-line entry point shared by the balancer and the sidecar daemon."""

from collections import abc
import pathlib
import typing

import trio

from plantainproxy import _lifecycle
from plantainproxy.settings import load, model
from plantainproxy.telemetry import logs


class Settings(typing.Protocol):
    """The fields that the settings of every daemon have."""

    @property
    def telemetry(self) -> model.Telemetry:
        """Format and destination of logs and metrics."""


T = typing.TypeVar("T", bound=Settings)


def configure(settings: Settings) -> None:
    """Apply the settings that a reload may change."""
    logs.configure(settings.telemetry)


async def reload_forever(
    lifecycle: _lifecycle.Lifecycle, active_settings: T, read: abc.Callable[[], T]
) -> None:
    """Reload the settings on each SIGHUP."""
    while True:
        await _lifecycle.wait_for_reload(lifecycle)
        active_settings = _lifecycle.reload(active_settings, read, configure)


def run(
    settings_file: str,
    *,
    check_only: bool,
    settings_type: type[T],
    check: abc.Callable[[T], abc.Iterator[load.Problem]],
    body: abc.Callable[
        [_lifecycle.Lifecycle, abc.Callable[[], T]], abc.Awaitable[None]
    ],
) -> None:
    """Validate the settings and, unless ``check_only`` is set, run ``body``.

    ``body`` receives a function that reads the settings file again.
    """
    path = pathlib.Path(str(settings_file))

    def read() -> T:
        return load.load(path, settings_type, check=check)

    _lifecycle.run_daemon(
        run=trio.run,
        read=read,
        check_only=check_only,
        configure=configure,
        body=lambda lifecycle: body(lifecycle, read),
    )
