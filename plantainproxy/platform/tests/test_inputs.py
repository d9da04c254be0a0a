"""What the store, an upstream or a settings file sends never ends a process."""

from collections import abc
import pathlib
import socket
import typing

import pytest

from plantainproxy import _exceptions, _http_server, _types
from plantainproxy.eventloop import loop, runtime
from plantainproxy.platform import heartbeats, metadata_store
from plantainproxy.platform import settings as platform_settings
from plantainproxy.store import port, revisioned

NESTED = b"[" * 100_000 + b"]" * 100_000
EMPTY_RANGE = b'{"items": [], "has_more": false, "store_revision": 1}'
REVISION = revisioned.Revision(0, 1)
TIMEOUT_SECONDS = 10.0


class _Answer(typing.NamedTuple):
    """Response of the store, with the expected counter."""

    body: bytes
    counter: str = "refused.store_response.value"
    headers: tuple[tuple[str, str], ...] = ()
    status: int = 200


def _call(
    answer: _Answer,
    call: abc.Callable[
        [metadata_store.MetadataStore], abc.Coroutine[typing.Any, typing.Any, object]
    ],
) -> tuple[object, list[str]]:
    """Return the result of a call, or its error, and the counters of the client."""
    counted: list[str] = []
    results: list[object] = []

    async def check() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = _types.Address(*probe.getsockname())
        response = _http_server.Response(
            answer.status, answer.body, headers=answer.headers
        )
        with runtime.fail_after(TIMEOUT_SECONDS):
            async with runtime.open_task_group() as group:
                group.start_soon(_http_server.serve, address, lambda _: response)
                await runtime.sleep(0.01)
                store = metadata_store.MetadataStore(address, count=counted.append)
                try:
                    results.append(await call(store))
                except _exceptions.PlantainError as error:
                    results.append(error.kind)
                group.cancel_scope.cancel()

    loop.run(check)
    return results[0], [name for name in counted if name.startswith("refused")]


@pytest.mark.parametrize(
    "answer",
    [
        _Answer(EMPTY_RANGE[:-1] + b', "new": ' + NESTED + b"}", "nesting"),
        _Answer(b'{"items": [], "has_more": false, "store_revision": -1}'),
        _Answer(
            b'{"items": [], "has_more": false, "store_revision": 9223372036854775808}'
        ),
        _Answer(b'{"items": [], "has_more": false, "store_revision": 1e400}'),
        _Answer(EMPTY_RANGE, "era", (("store-era", "9" * 5_000),)),
        _Answer(EMPTY_RANGE, "era", (("store-era", "-1"),)),
        _Answer(EMPTY_RANGE, "era", (("store-era", "\u00b2"),)),
        _Answer(b"", "syntax"),
    ],
)
def test_a_response_that_does_not_fit_is_one_failed_call(answer: _Answer) -> None:
    """Guards against an end of each process that reads such a response.

    A nested field that this build does not know raised ``RecursionError``, an era of
    5,000 digits ``ValueError``, and a larger revision was encoded into a message.
    """
    counter = f"refused.store_response.{answer.counter.rpartition('.')[2]}"
    result, counted = _call(answer, lambda store: store.read_all("a/"))
    assert result is _exceptions.ErrorKind.STORE_UNAVAILABLE
    assert counted == [counter]


def test_a_store_that_repeats_its_pages_does_not_occupy_the_process() -> None:
    """Guards against a read without end, whose entries fill the memory."""
    page = b'{"items": [{"key": "a/1"}], "has_more": true, "store_revision": 1}'
    result, _ = _call(_Answer(page), lambda store: store.read_all("a/"))
    assert result is _exceptions.ErrorKind.STORE_UNAVAILABLE


def test_an_entry_whose_value_is_not_encoded_is_counted() -> None:
    """Its value is empty, which no decoder accepts; the other entries are read."""
    page = (
        b'{"items": [{"key": "a/1", "value": "\xc3\xa9"}, '
        b'{"key": "a/2", "value": "YQ=="}], "has_more": false, "store_revision": 1}'
    )
    result, counted = _call(_Answer(page), lambda store: store.read_all("a/"))
    assert isinstance(result, revisioned.Snapshot)
    assert [entry.value for entry in result.entries] == [b"", b"a"]
    assert counted == ["refused.store_entry.base64"]


@pytest.mark.parametrize("status", [200, 404, 410, 412])
@pytest.mark.parametrize("body", [b"", b"[]", NESTED, b'{"items": [{}]}'])
def test_any_response_to_a_write_is_an_error_or_a_conflict(
    status: int, body: bytes
) -> None:
    """Guards against an end of a relay or a sidecar that writes an entry."""
    put = port.Put(key="a/1", value=b"", lease=1)

    async def write(store: metadata_store.MetadataStore) -> object:
        try:
            return await store.write(port.Transaction(compares=(), puts=(put,)))
        except revisioned.LeaseEndedError:
            return _exceptions.ErrorKind.STORE_UNAVAILABLE

    result, _ = _call(_Answer(body, status=status), write)
    assert result is _exceptions.ErrorKind.STORE_UNAVAILABLE


SETTINGS = (
    '{"node": "n", "ip": "10.0.0.1", "zone": "a", "internal_port_range": [7700, 7799],'
    ' "listen": {"data_addr": "10.0.0.1:1", "ready": "10.0.0.1:2"},'
    ' "platform": {"addr": "10.0.0.9:8169"}}'
)


@pytest.mark.parametrize(
    "text",
    [
        "",
        SETTINGS[:100],
        SETTINGS.replace('10.0.0.1"', '10.0.0.1\\u0000"'),
        SETTINGS.replace('10.0.0.1"', 'not-an-address"'),
        SETTINGS.replace("7700", "-1"),
        SETTINGS.replace("7700", "65536"),
        SETTINGS.replace("[7700, 7799]", "[]"),
        SETTINGS.replace("10.0.0.1:1", f"10.0.0.1:{'1' * 5_000}"),
        SETTINGS.replace('8169"', '8169", "history_s": -1'),
        SETTINGS[:-1] + ', "new": ' + NESTED.decode() + "}",
        "a = " + NESTED.decode(),
        "a = inf",
    ],
)
def test_a_settings_file_that_does_not_fit_is_an_error_of_the_settings(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    """Guards against an end of the process at a reload, which keeps the old settings.

    ``_lifecycle.reload`` expects a ``PlantainError``; a nested value raised
    ``RecursionError``, and a host was used as it is.
    """
    path = tmp_path / "settings"
    path.write_text(text)
    monkeypatch.setenv(platform_settings.PATH_VARIABLE, str(path))
    with pytest.raises(_exceptions.PlantainError) as caught:
        platform_settings.load_balancer()
    assert caught.value.kind is _exceptions.ErrorKind.INVALID_SETTINGS


def test_the_settings_of_these_tests_are_valid_otherwise(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The settings from which the invalid ones are made can be read."""
    path = tmp_path / "settings"
    path.write_text(SETTINGS)
    monkeypatch.setenv(platform_settings.PATH_VARIABLE, str(path))
    assert platform_settings.load_balancer().host == "10.0.0.1"


def test_a_long_name_of_an_upstream_is_not_found() -> None:
    """Guards against log lines of the size of a request, eight in a second."""
    handle = heartbeats.make_handler(
        address=_types.Address("10.0.0.1", 1),
        on_heartbeat=lambda heartbeat: True,
        on_deregister=lambda instance, born: pytest.fail("deregistered"),
        on_malformed=lambda instance, error: pytest.fail("decoded"),
    )
    path = f"{heartbeats.PREFIX}{'i' * 2_000}/deregister"
    assert handle(_http_server.Request("POST", path, b"")).status == 404
