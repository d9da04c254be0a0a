"""Reads the settings file that the platform provides to each process."""

from collections import abc
import os
import typing

import msgspec

from plantainproxy import _decoding, _exceptions, _types
from plantainproxy.flows import settings
from plantainproxy.platform import metadata_store

T = typing.TypeVar("T")

PATH_VARIABLE = "PLANTAINPROXY_BOOT"
HEDGE_PERCENT_VARIABLE = "HEDGE_PERCENT"
MILLISECONDS_PER_SECOND = 1_000
MESSAGE_PORT_OFFSET = 0
"""Offset of the message port in the port range for traffic between machines."""
METRICS_PORT = 9180
"""The port that the deploy file names; the same on all machines and at all times."""
COLD_MARGIN_FLOWS = 1
"""A cold upstream gets this many new flows per second fewer than it can handle."""


class _Listen(msgspec.Struct):
    data_addr: _decoding.Name
    ready: _decoding.Name
    # HTTP address for heartbeats of the upstream. On other machine classes, upstreams
    # on other machines may call it.
    control: _decoding.Name = ""
    # UDP address to which the upstream sends its packets.
    outbound: _decoding.Name = ""


class _Bounds(msgspec.Struct):
    grace_s: _decoding.Amount = 5.0
    # Time after a disruption of the store in which a change need not be in force yet.
    stability_window_ms: _decoding.Amount = (
        metadata_store.DEFAULT_RECOVERY_SECONDS * MILLISECONDS_PER_SECOND
    )
    # A cold upstream can handle its cold rate times ``cold_over`` plus ``cold_slack``
    # requests in one second.
    cold_over: _decoding.Amount = 1.0
    cold_slack: _decoding.Amount = 1.0


class _Platform(msgspec.Struct):
    addr: _decoding.Name
    writes_per_s: _decoding.Amount = 100.0
    history_s: _decoding.Amount = 20.0


class Node(msgspec.Struct):
    """The settings file."""

    node: _decoding.Name
    ip: _decoding.Host
    zone: _decoding.Name
    internal_port_range: tuple[_decoding.Port, _decoding.Port]
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # Address of the upstream; set only on machines that run a sidecar.
    app: _decoding.Name = ""
    service: _decoding.Name = ""


def load_balancer() -> settings.BalancerSettings:
    """Read the settings of a balancer.

    They come from the file named by ``PLANTAINPROXY_BOOT`` and from ``HEDGE_PERCENT``.
    """
    hedge_percent = _hedge_percent()
    return _convert_errors(
        lambda: settings.BalancerSettings(
            **_common_fields(_read_file()), hedge_percent=hedge_percent
        )
    )


def load_sidecar() -> settings.SidecarSettings:
    """Read the settings of a sidecar from the file named by ``PLANTAINPROXY_BOOT``."""

    def build() -> settings.SidecarSettings:
        node = _read_file()
        return settings.SidecarSettings(
            **_common_fields(node),
            pool=node.service,
            upstream_address=_types.Address.parse(node.app),
            outbound_address=_types.Address.parse(node.listen.outbound),
            heartbeat_address=_types.Address.parse(node.listen.control),
            cold_rate_factor=node.bounds.cold_over,
            cold_spare_flows=node.bounds.cold_slack - COLD_MARGIN_FLOWS,
        )

    return _convert_errors(build)


def _hedge_percent() -> float:
    text = os.environ.get(HEDGE_PERCENT_VARIABLE, "0")
    try:
        percent = float(text)
    except ValueError:
        percent = float("nan")
    if not 0 <= percent <= settings.MAX_HEDGE_PERCENT:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS,
            f"{HEDGE_PERCENT_VARIABLE}: {text!r}: expected a number from 0 to "
            f"{settings.MAX_HEDGE_PERCENT:g}",
        )
    return percent


def _convert_errors(build: abc.Callable[[], T]) -> T:
    try:
        return build()
    except (OSError, ValueError, KeyError, *_decoding.ERRORS) as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS,
            f"{os.environ.get(PATH_VARIABLE, PATH_VARIABLE)}: {error}",
        ) from error


def _read_file() -> Node:
    """Read the file, which is JSON if the deploy file's template made it, or TOML.

    The import of the parser of TOML would delay the start of each process.
    """
    with open(os.environ[PATH_VARIABLE], "rb") as file:
        content = file.read()
    if content.startswith(b"{"):
        return msgspec.json.decode(content, type=Node)
    return msgspec.toml.decode(content, type=Node)


def _common_fields(node: Node) -> dict[str, typing.Any]:
    first, last = node.internal_port_range
    if first + MESSAGE_PORT_OFFSET > last:
        raise ValueError(f"internal_port_range: no port in the range {first} to {last}")
    return {
        "name": node.node,
        "host": node.ip,
        "domain": node.zone,
        "data_address": _types.Address.parse(node.listen.data_addr),
        "ready_address": _types.Address.parse(node.listen.ready),
        "message_port": first + MESSAGE_PORT_OFFSET,
        "metrics_port": METRICS_PORT,
        "store_address": _types.Address.parse(node.platform.addr),
        "store_writes_per_second": node.platform.writes_per_s,
        "store_history_seconds": node.platform.history_s,
        "store_recovery_seconds": node.bounds.stability_window_ms
        / MILLISECONDS_PER_SECOND,
        "grace_seconds": node.bounds.grace_s,
    }
