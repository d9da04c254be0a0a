"""Members, counters and revisions of the sidecars, for status replies and metrics."""

from collections import abc
import dataclasses

from plantainproxy import _members, _types
from plantainproxy.balancer import datapath
from plantainproxy.rpc import messages, operator_pb2

REPORT_LIFETIME_SECONDS = 30.0
"""How long the revisions that a sidecar reported are included in a status."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedRevisions:
    """The revisions that one sidecar reported in its last heartbeat."""

    revision: int
    key_revision: int
    received_at: float


class RevisionReports:
    """The revisions that sidecars reported, by RPC address."""

    def __init__(self) -> None:
        """Start without reports."""
        self.by_address: dict[_types.Address, ReportedRevisions] = {}


def record_heartbeat(
    reports: RevisionReports, request: messages.HeartbeatRequest, *, now: float
) -> None:
    """Store the revisions of a heartbeat; remove those of a sidecar that left."""
    address = request.record.rpc
    if request.record.state is _types.MemberState.LEFT:
        reports.by_address.pop(address, None)
        return
    reports.by_address[address] = ReportedRevisions(
        revision=request.configuration_revision,
        key_revision=request.key_revision,
        received_at=now,
    )


def revision_reports(
    reports: RevisionReports, *, now: float
) -> list[operator_pb2.RevisionSeen]:
    """Return the unexpired reports and evict the others."""
    reports.by_address = {
        address: report
        for address, report in reports.by_address.items()
        if now - report.received_at <= REPORT_LIFETIME_SECONDS
    }
    return [
        operator_pb2.RevisionSeen(
            rpc_address=str(address),
            revision=report.revision,
            key_revision=report.key_revision,
            age_seconds=now - report.received_at,
        )
        for address, report in sorted(reports.by_address.items())
    ]


def count_lagging(reports: RevisionReports, revision: int, *, now: float) -> int:
    """Count the sidecars whose unexpired report has an older configuration revision."""
    return sum(
        report.revision < revision
        and now - report.received_at <= REPORT_LIFETIME_SECONDS
        for report in reports.by_address.values()
    )


def render_member(record: _members.MemberRecord) -> operator_pb2.Member:
    """Convert a member record to its message for operators."""
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


def counter_values(counters: datapath.Counters) -> abc.Mapping[str, int]:
    """Return the datapath's counters by their names in status replies and metrics."""
    drops = {f"drops.{reason.value}": count for reason, count in counters.drops.items()}
    return {
        "packets.established": counters.established,
        "packets.opening": counters.opening,
        "resets": counters.resets,
        **drops,
    }
