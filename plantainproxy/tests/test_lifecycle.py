"""A reload applies the reloadable settings and logs all other changes."""

import dataclasses
import typing

import pytest

from plantainproxy import _exceptions, _lifecycle, _types
from plantainproxy.eventloop import loop, runtime
from plantainproxy.settings import model

ACTIVE_SETTINGS = model.BalancerSettings(
    domain="a",
    datagram_address=_types.Address("127.0.0.1", 1),
    rpc_address=_types.Address("127.0.0.1", 2),
    health_address=_types.Address("127.0.0.1", 3),
    store=model.StoreSettings(address=_types.Address("127.0.0.1", 4)),
)


def test_a_reload_names_each_change_that_needs_a_restart(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The log level is applied; other changes are logged by their dotted name."""
    new_settings = dataclasses.replace(
        ACTIVE_SETTINGS,
        domain="b",
        store=dataclasses.replace(ACTIVE_SETTINGS.store, prefix="other/"),
        telemetry=model.Telemetry(log_level="ERROR", statsd_interval_seconds=9.0),
    )
    applied: list[model.BalancerSettings] = []
    with caplog.at_level("INFO"):
        returned = _lifecycle.reload(
            ACTIVE_SETTINGS, lambda: new_settings, applied.append
        )
    assert applied == [new_settings]
    assert returned == ACTIVE_SETTINGS
    assert caplog.messages == [
        "A change of domain needs a restart.",
        "A change of store.prefix needs a restart.",
        "A change of telemetry.statsd_interval_seconds needs a restart.",
        "The settings are reloaded.",
    ]


def test_a_wrong_file_changes_nothing(caplog: pytest.LogCaptureFixture) -> None:
    """The active settings stay in place, and the error is logged."""

    def read() -> model.BalancerSettings:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, "b.toml: domain: must not be empty"
        )

    applied: list[model.BalancerSettings] = []
    assert _lifecycle.reload(ACTIVE_SETTINGS, read, applied.append) == ACTIVE_SETTINGS
    assert applied == []
    assert "b.toml: domain: must not be empty" in caplog.text


@pytest.mark.parametrize(
    ("error", "raised", "code"),
    [
        (ValueError("one input"), BaseExceptionGroup, None),
        (
            _exceptions.PlantainError(
                _exceptions.ErrorKind.INVALID_SETTINGS, "127.0.0.1:1 is in use"
            ),
            SystemExit,
            22,
        ),
    ],
)
def test_the_error_that_ends_a_process_is_in_its_log(
    caplog: pytest.LogCaptureFixture,
    error: Exception,
    raised: type[BaseException],
    code: int | None,
) -> None:
    """Guards against ends that leave no trace where only the log is kept.

    The interpreter writes the traceback to standard error, as lines of text.
    """

    async def fail() -> None:
        raise error

    async def body(_: _lifecycle.Lifecycle) -> None:
        async with runtime.open_task_group() as group:
            group.start_soon(fail)
            await runtime.sleep(60.0)

    def configure(_: object) -> None:
        return None

    with pytest.raises(raised) as ended:
        _lifecycle.run_daemon(
            run=loop.run,
            read=lambda: None,
            check_only=False,
            configure=configure,
            body=body,
        )
    assert getattr(ended.value, "code", None) == code
    (record,) = [entry for entry in caplog.records if entry.levelname == "CRITICAL"]
    fields: dict[str, typing.Any] = record.__dict__["fields"]
    assert fields["error"] == repr(error)
    assert fields["at"].startswith(f"{__name__}:")
