"""Loading of settings files reports all problems with file and location."""

import pathlib

import pytest

from plantainproxy import _exceptions, _types
from plantainproxy.settings import check, load, model

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
BALANCER = """
domain = "rimouski"
datagram_address = "127.0.0.1:7000"
rpc_address = "127.0.0.1:7001"
health_address = "127.0.0.1:7002"
seeds = ["127.0.0.1:7011"]
[store]
address = "127.0.0.1:2379"
"""


def parse(text: str) -> model.BalancerSettings:
    """Parse and check the settings of a balancer."""
    return load.parse(
        text, model.BalancerSettings, source="b.toml", check=check.check_balancer
    )


def test_a_complete_file_is_decoded() -> None:
    """Addresses and nested tables are decoded to typed values."""
    settings = parse(BALANCER)
    assert settings.store.address == _types.Address("127.0.0.1", 2379)
    assert settings.seeds == (_types.Address("127.0.0.1", 7011),)


@pytest.mark.parametrize(
    ("line", "location", "message"),
    [
        ("surprise = 1", "surprise", "unknown key"),
        ("grace_seconds = 'soon'", "grace_seconds", "Expected `float`"),
        ("grace_seconds = 0", "grace_seconds", "must be above 0"),
        ("[tls]\ncertificate_file = 'x'", "tls", "also needs"),
        ("[tls]\nauthority = 'x'", "tls.authority", "unknown key"),
        ("[telemetry]\nlog_format = 'xml'", "telemetry.log_format", "one of"),
        ("[telemetry]\nstatsd_address = 'x'", "telemetry.statsd_address", "IPv4"),
    ],
)
def test_a_problem_names_file_place_and_expectation(
    line: str, location: str, message: str
) -> None:
    """Each problem is reported with the file, the location and the cause."""
    text = BALANCER + line if line.startswith("[") else line + BALANCER
    with pytest.raises(_exceptions.PlantainError) as caught:
        parse(text)
    assert caught.value.kind is _exceptions.ErrorKind.INVALID_SETTINGS
    assert f"b.toml: {location}: " in caught.value.detail
    assert message in caught.value.detail


def test_all_problems_are_reported_at_once() -> None:
    """One attempt to load a file reports all problems in it."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        parse("domain = 5\nrpc_address = 'nowhere'\nextra = 1\n")
    detail = caught.value.detail
    for location in ("domain", "rpc_address", "extra", "store", "health_address"):
        assert f"b.toml: {location}: " in detail


def test_plaintext_beyond_loopback_must_be_allowed_explicitly() -> None:
    """Missing certificates do not enable plaintext unless it is allowed."""
    text = BALANCER.replace("127.0.0.1:7001", "192.0.2.1:7001")
    with pytest.raises(_exceptions.PlantainError, match="is not loopback"):
        parse(text)
    allowed = text + "[tls]\nallow_plaintext_beyond_loopback = true\n"
    assert parse(allowed).tls.allow_plaintext_beyond_loopback


@pytest.mark.parametrize(
    ("name", "settings_type"),
    [
        ("balancer", model.BalancerSettings),
        ("sidecar", model.SidecarSettings),
        ("plantainctl", model.ClientSettings),
    ],
)
def test_every_documented_example_is_valid(name: str, settings_type: type) -> None:
    """The example files contain only valid keys and all required ones."""
    settings: object = load.load(EXAMPLES / f"{name}.toml", settings_type)
    assert isinstance(settings, settings_type)
