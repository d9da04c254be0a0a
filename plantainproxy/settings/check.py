"""Checks of settings that go beyond types."""

from collections import abc
import dataclasses
import ipaddress
import logging
import pathlib

from plantainproxy import _types
from plantainproxy.settings import load, model

LOG_FORMATS = ("text", "json")


def is_loopback(address: _types.Address) -> bool:
    """Tell whether traffic to the address stays on this instance."""
    return ipaddress.ip_address(address.host).is_loopback


def _check_positive(settings: object, *, place: str = "") -> abc.Iterator[load.Problem]:
    """Every duration, rate and size must be above zero."""
    for field in dataclasses.fields(settings):  # type: ignore[arg-type]
        value = getattr(settings, field.name)
        if field.name.endswith(("_seconds", "_bytes")) and value <= 0:
            yield load.Problem(
                place=f"{place}{field.name}", expected=f"must be above 0, is {value}"
            )


def _check_tls(
    tls: model.Tls, addresses: tuple[_types.Address, ...]
) -> abc.Iterator[load.Problem]:
    files = {
        "tls.certificate_file": tls.certificate_file,
        "tls.private_key_file": tls.private_key_file,
        "tls.authority_file": tls.authority_file,
    }
    named = [place for place, name in files.items() if name]
    if named and len(named) < len(files):
        missing = sorted(set(files) - set(named))
        yield load.Problem(place="tls", expected=f"also needs {' and '.join(missing)}")
    for place in named:
        if not pathlib.Path(files[place]).is_file():
            yield load.Problem(place=place, expected=f"no such file: {files[place]}")
    if named or tls.allow_plaintext_beyond_loopback:
        return
    for address in addresses:
        if not is_loopback(address):
            yield load.Problem(
                place="tls",
                expected=(
                    f"{address} is not loopback: name the certificate files, or set "
                    "tls.allow_plaintext_beyond_loopback = true"
                ),
            )


def _check_telemetry(telemetry: model.Telemetry) -> abc.Iterator[load.Problem]:
    if telemetry.log_format not in LOG_FORMATS:
        yield load.Problem(
            place="telemetry.log_format",
            expected=f"must be one of {', '.join(LOG_FORMATS)}",
        )
    if telemetry.log_level not in logging.getLevelNamesMapping():
        yield load.Problem(
            place="telemetry.log_level",
            expected="must be DEBUG, INFO, WARNING or ERROR",
        )
    yield from _check_positive(telemetry, place="telemetry.")


def check_balancer(settings: model.BalancerSettings) -> abc.Iterator[load.Problem]:
    """Yield what is wrong with a balancer's settings."""
    if not settings.domain:
        yield load.Problem(place="domain", expected="must not be empty")
    yield from _check_positive(settings)
    yield from _check_positive(settings.store, place="store.")
    yield from _check_telemetry(settings.telemetry)
    yield from _check_tls(settings.tls, (settings.rpc_address, *settings.seeds))


def check_sidecar(settings: model.SidecarSettings) -> abc.Iterator[load.Problem]:
    """Yield what is wrong with a sidecar's settings."""
    for name in ("domain", "pool"):
        if not getattr(settings, name):
            yield load.Problem(place=name, expected="must not be empty")
    for name in ("fabric_addresses", "seeds"):
        if not getattr(settings, name):
            yield load.Problem(place=name, expected="needs at least one address")
    for name in ("certificate_file", "private_key_file"):
        if not pathlib.Path(getattr(settings, name)).is_file():
            yield load.Problem(place=name, expected="must name a readable file")
    if not 0 < settings.weight <= 1:
        yield load.Problem(place="weight", expected="must be above 0 and at most 1")
    yield from _check_positive(settings)
    yield from _check_telemetry(settings.telemetry)
    yield from _check_tls(settings.tls, (settings.rpc_address, *settings.seeds))


def check_client(settings: model.ClientSettings) -> abc.Iterator[load.Problem]:
    """Yield what is wrong with the command line's settings."""
    if not settings.balancers:
        yield load.Problem(place="balancers", expected="needs at least one address")
    yield from _check_positive(settings)
    yield from _check_tls(settings.tls, settings.balancers)
