"""What a balancer tells operators of itself and of the members it knows."""

from collections.abc import Mapping
import dataclasses

from plantainproxy import _exceptions, _types
from plantainproxy.balancer import datapath
from plantainproxy.config import model
from plantainproxy.core import packets, routing, slots
from plantainproxy.rpc import messages, operator_pb2

SEEN_SECONDS = 30.0
"""How long the revision that a sidecar reported is still told."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """The revision that one sidecar reported, and when."""

    revision: int
    at: float


class Reports:
    """The revisions that sidecars report in their heartbeats."""

    def __init__(self) -> None:
        """Start with no report."""
        self.by_address: dict[_types.Address, Seen] = {}


def note(reports: Reports, request: messages.HeartbeatRequest, *, now: float) -> None:
    """Remember the revision that a heartbeat carries."""
    address = request.record.rpc
    if request.record.state is _types.MemberState.LEFT:
        reports.by_address.pop(address, None)
        return
    reports.by_address[address] = Seen(revision=request.configuration_revision, at=now)


def revisions_seen(reports: Reports, *, now: float) -> list[operator_pb2.RevisionSeen]:
    """Return the fresh reports and forget the others."""
    reports.by_address = {
        address: seen
        for address, seen in reports.by_address.items()
        if now - seen.at <= SEEN_SECONDS
    }
    return [
        operator_pb2.RevisionSeen(
            rpc_address=str(address),
            revision=seen.revision,
            age_seconds=now - seen.at,
        )
        for address, seen in sorted(reports.by_address.items())
    ]


def member(record: _types.MemberRecord) -> operator_pb2.Member:
    """Render one record."""
    return operator_pb2.Member(
        kind=record.kind,
        rpc_address=str(record.rpc),
        tunnel_address=str(record.tunnel),
        domain=record.domain,
        pool=record.pool,
        state=record.state,
        lost=record.lost,
        generation_ms=record.generation,
        sequence=record.sequence,
        weight=record.weight,
    )


def counters(counted: datapath.Counters) -> Mapping[str, int]:
    """Name the datapath's counters for status and metrics."""
    drops = {f"drops.{reason.value}": count for reason, count in counted.drops.items()}
    return {
        "packets.established": counted.established,
        "packets.opening": counted.opening,
        "resets": counted.resets,
        **drops,
    }


def explain(
    state: routing.State, request: operator_pb2.ExplainRequest, *, now: float
) -> operator_pb2.ExplainReply:
    """Tell where a new flow goes and why."""
    configuration = state.configuration
    if configuration is None:
        raise _exceptions.PlantainError(_exceptions.ErrorKind.NOT_READY)
    routes = {str(route.address): route for route in configuration.routes}
    route = routes.get(request.service)
    if route is None:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.NOT_FOUND, f"No route has address {request.service}."
        )
    table = state.tables[route.pool]
    flow_hash = packets.flow_hash(request.flow.encode())
    pick = slots.pick(table, flow_hash, now=now)
    reasons = _reasons(configuration, state, route)
    if pick is None:
        reasons.append("No upstream is eligible, so the packet is dropped.")
        return operator_pb2.ExplainReply(
            route=route.name, pool=route.pool, reasons=reasons
        )
    reasons.append(f"The flow's slot belongs to {pick.tunnel}.")
    reasons.extend(
        f"The slot belonged to {owner} within the last 30 s."
        for owner in pick.earlier_owners
    )
    return operator_pb2.ExplainReply(
        route=route.name, pool=route.pool, upstream=str(pick.tunnel), reasons=reasons
    )


def _reasons(
    configuration: model.Configuration, state: routing.State, route: model.Route
) -> list[str]:
    """Tell which members of the pool are eligible and why the others are not."""
    records = state.records.get(route.pool, ())
    eligible = {member.tunnel for member in routing.eligible(configuration, records)}
    reasons = [
        f"Route {route.name} leads to pool {route.pool}.",
        f"{len(eligible)} of {len(records)} known upstreams are eligible.",
    ]
    out = {
        domain.name
        for domain in configuration.domains
        if domain.state is _types.DomainState.OUT
    }
    for record in records:
        if record.tunnel in eligible:
            continue
        reasons.append(
            f"{record.tunnel} is not: {_obstacle(record, configuration, out)}."
        )
    return reasons


def _obstacle(
    record: _types.MemberRecord, configuration: model.Configuration, out: set[str]
) -> str:
    if record.lost:
        return "it is lost"
    if record.state is not _types.MemberState.SERVING:
        return f"it is {record.state}"
    if record.tunnel in configuration.drained:
        return "operators drain it"
    if record.domain in out:
        return f"failure domain {record.domain} is out"
    return f"failure domain {record.domain} is not configured"
