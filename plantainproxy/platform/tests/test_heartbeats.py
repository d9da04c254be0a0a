"""The calls of upstreams."""

import msgspec
import pytest

from plantainproxy import _http_server, _types
from plantainproxy.flows import upstream
from plantainproxy.platform import heartbeats

ADDRESS = _types.Address("10.128.0.9", 8080)
BEAT = {
    "service": "a",
    "addr": "10.128.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_ms": 1500,
    "seq": 4,
    "born": 1_700_000_000_000,
}


class _Calls:
    def __init__(self, *, wanted: bool = True) -> None:
        self.beats: list[upstream.Heartbeat] = []
        self.left: list[str] = []
        self.wanted = wanted
        self.handle = heartbeats.make_handler(
            address=ADDRESS, on_heartbeat=self.take, on_leave=self.left.append
        )

    def take(self, beat: upstream.Heartbeat) -> bool:
        self.beats.append(beat)
        return self.wanted

    def post(self, path: str, body: object = None) -> int:
        encoded = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return self.handle(_http_server.Request("POST", path, encoded)).status


def test_decodes_a_heartbeat() -> None:
    """Its fields come with their units."""
    calls = _Calls()
    assert calls.post("/v1/instances/i-1/heartbeat", BEAT) == 200
    assert calls.beats == [
        upstream.Heartbeat(
            instance="i-1",
            pool="a",
            draining=False,
            cold_seconds=1.5,
            slots=3,
            born=1_700_000_000_000,
            number=4,
        )
    ]


def test_takes_a_leave() -> None:
    """The name stands in the path."""
    calls = _Calls()
    assert calls.post("/v1/instances/i-1/deregister") == 200
    assert calls.left == ["i-1"]


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "three"},
        {"cold_left_ms": None},
        {"seq": 1.5},
        {"addr": "10.128.0.10:8080"},
        {"born": "yesterday"},
        {"service": 5},
    ],
)
def test_a_heartbeat_of_another_writer_names_no_upstream(
    change: dict[str, object],
) -> None:
    """It is refused and changes nothing."""
    calls = _Calls()
    assert calls.post("/v1/instances/i-1/heartbeat", BEAT | change) == 400
    assert calls.beats == []


@pytest.mark.parametrize("field", ["service", "addr", "state", "slots", "seq"])
def test_a_heartbeat_without_a_field_names_no_upstream(field: str) -> None:
    """Nothing is guessed."""
    calls = _Calls()
    beat = {key: value for key, value in BEAT.items() if key != field}
    assert calls.post("/v1/instances/i-1/heartbeat", beat) == 400


def test_unreadable_bytes_are_refused() -> None:
    """Whatever they are."""
    assert _Calls().post("/v1/instances/i-1/heartbeat", b"\xff{") == 400


def test_a_heartbeat_for_another_pool_is_not_acknowledged() -> None:
    """The sidecar says so."""
    calls = _Calls(wanted=False)
    assert calls.post("/v1/instances/i-1/heartbeat", BEAT) == 400


def test_other_paths_do_not_exist() -> None:
    """Only two calls are known."""
    assert _Calls().post("/v1/instances/i-1/dance") == 404
    assert _Calls().post("/v2/instances/i-1/heartbeat") == 404
