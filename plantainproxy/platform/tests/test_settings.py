"""Tests of the settings that a process reads at its start."""

import pathlib
import tomllib

import msgspec
import pytest

from plantainproxy import _exceptions
from plantainproxy.flows import settings
from plantainproxy.platform import settings as platform_settings

FILE = """
node = "n"
ip = "10.0.0.1"
zone = "hall-a"
internal_port_range = [7700, 7799]
[listen]
data_addr = "10.0.0.1:7800"
ready = "10.0.0.1:7801"
[platform]
addr = "10.0.0.9:8169"
"""


def _load(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, hedge_percent: str | None
) -> settings.BalancerSettings:
    path = tmp_path / "settings.toml"
    path.write_text(FILE)
    monkeypatch.setenv(platform_settings.PATH_VARIABLE, str(path))
    monkeypatch.delenv(platform_settings.HEDGE_PERCENT_VARIABLE, raising=False)
    if hedge_percent is not None:
        monkeypatch.setenv(platform_settings.HEDGE_PERCENT_VARIABLE, hedge_percent)
    return platform_settings.load_balancer()


@pytest.mark.parametrize(
    ("text", "percent"), [(None, 0.0), ("0", 0.0), ("2.5", 2.5), ("20", 20.0)]
)
def test_the_hedge_limit_is_read_and_off_by_default(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    text: str | None,
    percent: float,
) -> None:
    """Without the variable, operators have not agreed to any extra work."""
    assert _load(tmp_path, monkeypatch, text).hedge_percent == percent


@pytest.mark.parametrize("text", ["", "21", "-1", "nan", "inf", "5%", "on"])
def test_an_invalid_hedge_limit_is_an_error_that_names_it(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    """A limit that is silently ignored or cut would surprise operators."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        _load(tmp_path, monkeypatch, text)
    assert caught.value.answer.exit_code == 22
    expected = f"HEDGE_PERCENT: {text!r}: expected a number from 0 to 20"
    assert expected in str(caught.value)


def test_settings_that_the_template_makes_are_those_of_the_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The platform writes JSON with the deploy file's template, and TOML without."""
    from_toml = _load(tmp_path, monkeypatch, None)
    path = tmp_path / "settings.json"
    path.write_bytes(msgspec.json.encode(tomllib.loads(FILE)))
    monkeypatch.setenv(platform_settings.PATH_VARIABLE, str(path))
    assert platform_settings.load_balancer() == from_toml


def test_damaged_json_is_an_error_that_names_the_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A file that is cut must not look like one without the missing settings."""
    path = tmp_path / "settings.json"
    path.write_text('{"node": "n", "ip"')
    monkeypatch.setenv(platform_settings.PATH_VARIABLE, str(path))
    with pytest.raises(_exceptions.PlantainError, match="settings.json") as caught:
        platform_settings.load_balancer()
    assert caught.value.answer.exit_code == 22
