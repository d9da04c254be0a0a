"""What a balancer tells operators of itself and of the members it knows."""

from collections import abc
import dataclasses

from plantainproxy import _types
from plantainproxy.balancer import datapath
from plantainproxy.rpc import messages, operator_pb2

SEEN_SECONDS = 30.0
"""How long the revision that a sidecar reported is still told."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """The revisions that one sidecar reported, and when."""

    revision: int
    key_revision: int
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
    reports.by_address[address] = Seen(
        revision=request.configuration_revision,
        key_revision=request.key_revision,
        at=now,
    )


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
            key_revision=seen.key_revision,
            age_seconds=now - seen.at,
        )
        for address, seen in sorted(reports.by_address.items())
    ]


def lagging(reports: Reports, revision: int, *, now: float) -> int:
    """Count the sidecars whose fresh report tells an older configuration."""
    return sum(
        seen.revision < revision and now - seen.at <= SEEN_SECONDS
        for seen in reports.by_address.values()
    )


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


def counters(counted: datapath.Counters) -> abc.Mapping[str, int]:
    """Name the datapath's counters for status and metrics."""
    drops = {f"drops.{reason.value}": count for reason, count in counted.drops.items()}
    return {
        "packets.established": counted.established,
        "packets.opening": counted.opening,
        "resets": counted.resets,
        **drops,
    }
