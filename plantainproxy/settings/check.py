"""Validation of settings beyond their types."""

from collections import abc
import dataclasses
import ipaddress
import logging
import pathlib

from plantainproxy import _types
from plantainproxy.settings import load, model

LOG_FORMATS = ("text", "json")


def is_loopback(address: _types.Address) -> bool:
    """Return whether traffic to the address stays on this instance."""
    return ipaddress.ip_address(address.host).is_loopback


def _check_positive(
    settings: object, *, location: str = ""
) -> abc.Iterator[load.Problem]:
    """Check that every duration and size is above zero."""
    for field in dataclasses.fields(settings):  # type: ignore[arg-type]
        value = getattr(settings, field.name)
        if field.name.endswith(("_seconds", "_bytes")) and value <= 0:
            yield load.Problem(
                location=f"{location}{field.name}",
                message=f"must be above 0, is {value}",
            )


def _check_tls(
    tls: model.Tls, addresses: tuple[_types.Address, ...]
) -> abc.Iterator[load.Problem]:
    files = {
        "tls.certificate_file": tls.certificate_file,
        "tls.private_key_file": tls.private_key_file,
        "tls.authority_file": tls.authority_file,
    }
    configured_keys = [location for location, name in files.items() if name]
    if configured_keys and len(configured_keys) < len(files):
        missing_keys = sorted(set(files) - set(configured_keys))
        yield load.Problem(
            location="tls", message=f"also needs {' and '.join(missing_keys)}"
        )
    for location in configured_keys:
        if not pathlib.Path(files[location]).is_file():
            yield load.Problem(
                location=location, message=f"no such file: {files[location]}"
            )
    if configured_keys or tls.allow_plaintext_beyond_loopback:
        return
    for address in addresses:
        if not is_loopback(address):
            yield load.Problem(
                location="tls",
                message=(
                    f"{address} is not loopback: set the certificate files, or set "
                    "tls.allow_plaintext_beyond_loopback = true"
                ),
            )


def _check_telemetry(telemetry: model.Telemetry) -> abc.Iterator[load.Problem]:
    if telemetry.log_format not in LOG_FORMATS:
        yield load.Problem(
            location="telemetry.log_format",
            message=f"must be one of {', '.join(LOG_FORMATS)}",
        )
    if telemetry.log_level not in logging.getLevelNamesMapping():
        yield load.Problem(
            location="telemetry.log_level",
            message="must be DEBUG, INFO, WARNING or ERROR",
        )
    yield from _check_positive(telemetry, location="telemetry.")


def check_balancer(settings: model.BalancerSettings) -> abc.Iterator[load.Problem]:
    """Yield the problems in the settings of a balancer."""
    if not settings.domain:
        yield load.Problem(location="domain", message="must not be empty")
    yield from _check_positive(settings)
    yield from _check_positive(settings.store, location="store.")
    yield from _check_telemetry(settings.telemetry)
    yield from _check_tls(settings.tls, (settings.rpc_address, *settings.seeds))


def check_sidecar(settings: model.SidecarSettings) -> abc.Iterator[load.Problem]:
    """Yield the problems in the settings of a sidecar."""
    for name in ("domain", "pool"):
        if not getattr(settings, name):
            yield load.Problem(location=name, message="must not be empty")
    for name in ("fabric_addresses", "seeds"):
        if not getattr(settings, name):
            yield load.Problem(location=name, message="needs at least one address")
    for name in ("certificate_file", "private_key_file"):
        if not pathlib.Path(getattr(settings, name)).is_file():
            yield load.Problem(location=name, message="must name a readable file")
    if not 0 < settings.weight <= 1:
        yield load.Problem(location="weight", message="must be above 0 and at most 1")
    yield from _check_positive(settings)
    yield from _check_telemetry(settings.telemetry)
    yield from _check_tls(settings.tls, (settings.rpc_address, *settings.seeds))


def check_client(settings: model.ClientSettings) -> abc.Iterator[load.Problem]:
    """Yield the problems in the settings of ``plantainctl``."""
    if not settings.balancers:
        yield load.Problem(location="balancers", message="needs at least one address")
    yield from _check_positive(settings)
    yield from _check_tls(settings.tls, settings.balancers)
