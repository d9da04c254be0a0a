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
    routing.DropReason.NOT_READY: "no configuration or no keys known yet",
    routing.DropReason.BAD_HEADER: "no valid PROXY header",
    routing.DropReason.TOO_LARGE: "larger than the limit",
    routing.DropReason.INVALID_PACKET: "belongs to no flow and cannot start one",
    routing.DropReason.UNKNOWN_SERVICE: "no route has the service address",
    routing.DropReason.FOREIGN_SERVICE: "destination made for another service address",
    routing.DropReason.UNKNOWN_DOMAIN: "names a failure domain not configured",
    routing.DropReason.NO_UPSTREAM: "the pool has no eligible upstream",
    routing.DropReason.RESET_LIMIT: "a reset was due and exceeded the rate limit",
    routing.DropReason.RESET_IMPOSSIBLE: "a reset was due and the packet allows none",
    routing.DropReason.SEND_FAILED: "the socket refused the datagram",
}
"""The meaning of each reason for which a balancer drops a datagram."""

_BALANCER_COUNTERS = {
    "packets.established": "packets forwarded to the destination that they name",
    "packets.opening": "packets forwarded that may start a flow",
    "resets": "stateless resets sent to callers",
    **{f"drops.{reason}": f"dropped: {why}" for reason, why in DROPS.items()},
}
_BALANCER_GAUGES = {
    "revision": "revision of the configuration in force",
    "key_revision": "revision of the key set in force",
    "lagging_sidecars": "sidecars that lately reported an older configuration",
    "members": "known balancers and sidecars",
    "in_service": "1 while the fabric may send datagrams here",
    "isolated": "1 while peers are known and none is heard",
    "blind": "1 while most sidecars went silent at once and none is marked lost",
    "seat_holder": "1 while it watches the store",
    "store_failures": "calls for a seat that failed in a row",
}
_SIDECAR_COUNTERS = {
    "before_keys": "datagrams dropped before keys and configuration were known",
    "strangers": "datagrams without a valid tunnel prefix or PROXY header",
    "unknown_service": "datagrams for a service address that the pool does not serve",
    "invalid": "datagrams that belong to no line and cannot start one",
    "received": "datagrams taken from the tunnel",
    "sent": "datagrams sent to callers",
    "send_failures": "datagrams that the socket refused",
    "forwarded": "opening packets handed to another sidecar",
    "dropped_openings": "opening packets that nobody could take",
    "resets": "stateless resets sent to callers",
    "resets_withheld": "stateless resets due that exceeded the rate limit",
    "lines_opened": "lines opened",
    "lines_closed": "lines closed",
    "requests": "requests begun",
    "requests_refused": "requests refused before they began",
    "requests_cancelled": "requests that their caller gave up",
    **{
        f"refusals.{kind}": f"answers to callers: {_exceptions.ANSWERS[kind].title}"
        for kind in _exceptions.ErrorKind
    },
}
_SIDECAR_GAUGES = {
    "lines": "open lines",
    "running": "requests running on the own upstream",
    "admission_limit": "most requests at once that the own upstream is given now",
    "available": "1 while the own upstream answers",
    "claims": "idempotency keys held",
    "connected": "1 while a home balancer answers",
    "revision": "revision of the configuration in force",
    "key_revision": "revision of the key set in force",
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
