"""Tests the HTTP API for heartbeats of upstreams."""

import msgspec
import pytest

from plantainproxy import _http_server, _types
from plantainproxy.flows.engine import upstream
from plantainproxy.platform import heartbeats

ADDRESS = _types.Address("10.128.0.9", 8080)
HEARTBEAT = {
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


class _Harness:
    """A handler whose callbacks record the heartbeats and deregistrations."""

    def __init__(self, *, accept: bool = True) -> None:
        self.received: list[upstream.Heartbeat] = []
        self.deregistered: list[tuple[str, int | None]] = []
        self.malformed: list[str] = []
        self.accept = accept
        self.handle = heartbeats.make_handler(
            address=ADDRESS,
            on_heartbeat=self.handle_heartbeat,
            on_deregister=lambda *fields: self.deregistered.append(fields),
            on_malformed=lambda instance, error: self.malformed.append(instance),
        )

    def handle_heartbeat(self, heartbeat: upstream.Heartbeat) -> bool:
        self.received.append(heartbeat)
        return self.accept

    def post(self, path: str, body: object = None) -> int:
        encoded = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return self.handle(_http_server.Request("POST", path, encoded)).status


def test_decodes_a_heartbeat() -> None:
    """Fields are converted to the units of the ``Heartbeat`` type."""
    harness = _Harness()
    assert harness.post("/v1/instances/i-1/heartbeat", HEARTBEAT) == 200
    assert harness.received == [
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


def test_reports_a_deregistration() -> None:
    """The path contains the name of the instance; the body may state its start."""
    harness = _Harness()
    path = "/v1/instances/i-1/deregister"
    for body in (None, b"", {}, {"zone": 3}):
        assert harness.post(path, body) == 200
        assert harness.deregistered.pop() == ("i-1", None)
    assert harness.post(path, {"born": 1_700_000_000_000}) == 200
    assert harness.deregistered == [("i-1", 1_700_000_000_000)]


@pytest.mark.parametrize(
    "body",
    [{"born": "yesterday"}, {"born": -1}, {"born": 2**63}, {"born": 1.5}, [], b"\xff{"],
)
def test_a_deregistration_of_another_writer_is_refused(body: object) -> None:
    """Guards against a running upstream that gets no new flows."""
    harness = _Harness()
    assert harness.post("/v1/instances/i-1/deregister", body) == 400
    assert harness.deregistered == []
    assert harness.malformed == ["i-1"]


def test_a_deeply_nested_deregistration_is_refused() -> None:
    """Guards against an end of the sidecar by a ``RecursionError``."""
    body = b'{"more":' + b"[" * 10_000 + b"]" * 10_000 + b"}"
    assert _Harness().post("/v1/instances/i-1/deregister", body) == 400


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "three"},
        {"cold_left_ms": None},
        {"seq": 1.5},
        {"addr": "10.128.0.10:8080"},
        {"born": "yesterday"},
        {"born": None},
        {"born": True},
        {"born": 1_700_000_000_000.5},
        {"zone": 3},
        {"version": None},
        {"service": 5},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_refused(
    change: dict[str, object],
) -> None:
    """It gets status 400 and is reported as malformed only."""
    harness = _Harness()
    assert harness.post("/v1/instances/i-1/heartbeat", HEARTBEAT | change) == 400
    assert harness.received == []
    assert harness.malformed == ["i-1"]


@pytest.mark.parametrize("field", ["slots", "seq", "born"])
@pytest.mark.parametrize("number", [-1, 2**63, 2**64 - 1, 2**64, 10**30])
def test_a_number_out_of_range_is_refused(field: str, number: int) -> None:
    """Guards against an end of the sidecar when it encodes the number."""
    harness = _Harness()
    body = HEARTBEAT | {field: number}
    assert harness.post("/v1/instances/i-1/heartbeat", body) == 400
    assert harness.received == []


def test_slots_whose_double_cannot_be_encoded_are_refused() -> None:
    """Guards against a report with room for two requests a slot beyond 64 bits."""
    harness = _Harness()
    body = HEARTBEAT | {"slots": heartbeats.MAX_SLOTS + 1}
    assert harness.post("/v1/instances/i-1/heartbeat", body) == 400


def test_a_deeply_nested_field_is_refused() -> None:
    """Guards against an end of the sidecar by a ``RecursionError``."""
    nested = b"[" * 10_000 + b"]" * 10_000
    body = msgspec.json.encode(HEARTBEAT)[:-1] + b',"more":' + nested + b"}"
    assert _Harness().post("/v1/instances/i-1/heartbeat", body) == 400


@pytest.mark.parametrize("field", HEARTBEAT)
def test_a_heartbeat_without_a_required_field_is_refused(field: str) -> None:
    """Guards against resets of all flows after a heartbeat without a start time.

    The upstream's own next heartbeat would state a later start than another writer's.
    """
    harness = _Harness()
    heartbeat = {key: value for key, value in HEARTBEAT.items() if key != field}
    assert harness.post("/v1/instances/i-1/heartbeat", heartbeat) == 400


def test_unreadable_bytes_are_refused() -> None:
    """A body that is not JSON gets status 400."""
    assert _Harness().post("/v1/instances/i-1/heartbeat", b"\xff{") == 400


def test_a_heartbeat_for_another_pool_is_not_acknowledged() -> None:
    """A heartbeat that the sidecar does not accept gets status 400."""
    harness = _Harness(accept=False)
    assert harness.post("/v1/instances/i-1/heartbeat", HEARTBEAT) == 400


def test_other_paths_do_not_exist() -> None:
    """Unknown actions and API versions get status 404."""
    assert _Harness().post("/v1/instances/i-1/dance") == 404
    assert _Harness().post("/v2/instances/i-1/heartbeat") == 404
