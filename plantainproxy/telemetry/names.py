"""The closed list of metrics and their meanings.

``docs/METRICS.md`` contains the table that ``python -m plantainproxy.telemetry.names``
prints.
"""

from collections import abc
import dataclasses
import enum

from plantainproxy import _exceptions
from plantainproxy.core import routing


class Kind(enum.StrEnum):
    """The type of a metric, which determines what is sent."""

    COUNTER = "counter"
    """The increment since the last report is sent."""
    GAUGE = "gauge"
    """The current value is sent."""


class Part(enum.StrEnum):
    """The process that sends a metric."""

    BALANCER = "balancer"
    SIDECAR = "sidecar"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Metric:
    """The description of a metric."""

    part: Part
    name: str
    kind: Kind
    meaning: str


DROPS: abc.Mapping[routing.DropReason, str] = {
    routing.DropReason.NOT_READY: "no configuration or key set received yet",
    routing.DropReason.BAD_HEADER: "no valid PROXY header",
    routing.DropReason.TOO_LARGE: "larger than the limit",
    routing.DropReason.INVALID_PACKET: "belongs to no flow and cannot start one",
    routing.DropReason.UNKNOWN_SERVICE: "no route has the service address",
    routing.DropReason.FOREIGN_SERVICE: "destination is for another service address",
    routing.DropReason.UNKNOWN_DOMAIN: "the encoded failure domain is not configured",
    routing.DropReason.NO_UPSTREAM: "the pool has no eligible upstream",
    routing.DropReason.RESET_LIMIT: "a reset was needed but exceeded the rate limit",
    routing.DropReason.RESET_IMPOSSIBLE: "a reset was needed; the packet allows none",
    routing.DropReason.SEND_FAILED: "the socket refused the datagram",
}
"""The meaning of each reason for which a balancer drops a datagram."""

_BALANCER_COUNTERS = {
    "packets.established": "packets forwarded to the destination that they encode",
    "packets.opening": "packets forwarded that may start a flow",
    "resets": "stateless resets sent to callers",
    **{f"drops.{reason}": f"dropped: {why}" for reason, why in DROPS.items()},
}
_BALANCER_GAUGES = {
    "revision": "revision of the active configuration",
    "key_revision": "revision of the active key set",
    "lagging_sidecars": "sidecars that recently reported an older configuration",
    "members": "balancers and sidecars in the member table",
    "in_service": "1 while the fabric may send datagrams to this balancer",
    "isolated": "1 while there are peers but no recent message from any",
    "blind": "1 while most monitored sidecars are silent and none is marked lost",
    "seat_holder": "1 while this balancer holds a seat and watches the store",
    "store_failures": "consecutive failed store calls for a seat",
}
_SIDECAR_COUNTERS = {
    "before_keys": "datagrams dropped before key set and configuration were received",
    "strangers": "datagrams without a valid tunnel prefix or PROXY header",
    "unknown_service": "datagrams for a service address that the pool does not serve",
    "invalid": "datagrams that belong to no connection and cannot open one",
    "received": "datagrams received through the tunnel",
    "sent": "datagrams sent to callers",
    "send_failures": "datagrams that the socket refused",
    "forwarded": "opening packets forwarded to another sidecar",
    "dropped_openings": "opening packets that no sidecar could accept",
    "resets": "stateless resets sent to callers",
    "resets_withheld": "stateless resets not sent because of the rate limit",
    "lines_opened": "connections opened",
    "lines_closed": "connections closed",
    "requests": "requests started",
    "requests_refused": "requests refused before they started",
    "requests_cancelled": "requests cancelled by their callers",
    **{
        f"refusals.{kind}": f"responses to callers: {_exceptions.ANSWERS[kind].title}"
        for kind in _exceptions.ErrorKind
    },
}
_SIDECAR_GAUGES = {
    "lines": "open connections",
    "running": "requests running on the local upstream",
    "admission_limit": "current limit of concurrent requests on the local upstream",
    "available": "1 while the local upstream is reachable and not draining",
    "claims": "stored claims of idempotency keys",
    "connected": "1 while a home balancer replies to heartbeats",
    "revision": "revision of the active configuration",
    "key_revision": "revision of the active key set",
}


def _metrics(
    part: Part, kind: Kind, meanings: abc.Mapping[str, str]
) -> tuple[Metric, ...]:
    return tuple(
        Metric(part=part, name=name, kind=kind, meaning=meaning)
        for name, meaning in meanings.items()
    )


METRICS: tuple[Metric, ...] = (
    *_metrics(Part.BALANCER, Kind.COUNTER, _BALANCER_COUNTERS),
    *_metrics(Part.BALANCER, Kind.GAUGE, _BALANCER_GAUGES),
    *_metrics(Part.SIDECAR, Kind.COUNTER, _SIDECAR_COUNTERS),
    *_metrics(Part.SIDECAR, Kind.GAUGE, _SIDECAR_GAUGES),
)
"""Every metric that the daemons send."""


def metric_names(part: Part, kind: Kind) -> frozenset[str]:
    """Return the names of the metrics of one kind that a part sends."""
    return frozenset(
        metric.name for metric in METRICS if metric.part is part and metric.kind is kind
    )


def render(metrics: abc.Iterable[Metric] = METRICS) -> str:
    """Render metrics as a Markdown table."""
    lines = ["| part | name | kind | meaning |", "|---|---|---|---|"]
    lines += [
        f"| {metric.part} | `{metric.name}` | {metric.kind} | {metric.meaning} |"
        for metric in metrics
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    print(render())
