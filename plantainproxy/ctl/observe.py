"""Read-only commands: status, audit and explain."""

from collections import abc
import datetime
import typing

from plantainproxy import _exceptions, _types
from plantainproxy.ctl import client, fleet_status, render
from plantainproxy.rpc import operator_pb2

Command = abc.Callable[..., render.Result]
DEFAULT_AUDIT_LIMIT = 50
MILLISECONDS_PER_SECOND = 1000


def _displayed_state(
    member: operator_pb2.Member,
    balancers: abc.Mapping[str, operator_pb2.StatusReply],
    drained: frozenset[str],
) -> str:
    """Return the state to show for a member; the most important condition wins."""
    if member.lost:
        return "lost"
    if member.tunnel_address in drained:
        return "drained"
    if member.rpc_address not in balancers:
        return member.state
    reply = balancers[member.rpc_address]
    if reply.isolated:
        return "isolated"
    if member.state == _types.MemberState.SERVING and not reply.in_service:
        return "out of service"
    return member.state


def _member_rows(
    fleet: fleet_status.FleetStatus, drained: frozenset[str]
) -> list[tuple[typing.Any, ...]]:
    balancers = {reply.rpc_address: reply for reply in fleet.replies}
    revision_by_address = fleet_status.revisions(fleet)
    key_revision_by_address = fleet_status.key_revisions(fleet)
    return [
        (
            member.kind,
            member.rpc_address,
            "" if member.rpc_address in balancers else member.tunnel_address,
            member.domain,
            member.pool,
            _displayed_state(member, balancers, drained),
            revision_by_address.get(member.rpc_address, 0),
            key_revision_by_address.get(member.rpc_address, 0),
        )
        for member in fleet_status.members(fleet)
        if member.state != _types.MemberState.LEFT
    ]


def _join_or_none(names: list[str]) -> str:
    return ", ".join(names) or "none"


def status_command(read: client.ReadSettings) -> Command:
    """Return the command that shows all processes and their active revisions."""

    def status() -> render.Result:
        """Show every process, its state, the active revisions and the store."""
        settings = read()
        fleet = fleet_status.query_fleet(settings)
        drained = frozenset(fleet_status.drained(client.show(settings)))
        revision_by_address = fleet_status.revisions(fleet)
        newest_revision = max(revision_by_address.values(), default=0)
        oldest_revision = min(revision_by_address.values(), default=0)
        lagging_addresses = fleet_status.lagging(fleet, newest_revision)
        newest_key_revision = max(fleet_status.key_revisions(fleet).values(), default=0)
        key_lagging_addresses = fleet_status.lagging(
            fleet, newest_key_revision, revisions_of=fleet_status.key_revisions
        )
        store_state_by_address = {
            reply.rpc_address: reply.store for reply in fleet.replies
        }
        without_store = sorted(
            address
            for address, store_state in store_state_by_address.items()
            if store_state != "reachable"
        )
        seat_holders = sorted(
            status_reply.rpc_address
            for status_reply in fleet.replies
            if status_reply.seat_holder
        )
        store_summary = "reachable from every balancer that answered"
        if without_store:
            store_summary = f"unreachable from {_join_or_none(without_store)}"
        return render.Result(
            lines=(
                f"Active revisions: newest {newest_revision}, "
                f"oldest {oldest_revision}.",
                f"Lagging: {_join_or_none(lagging_addresses)}.",
                f"Keys: revision {newest_key_revision}, "
                f"lagging: {_join_or_none(key_lagging_addresses)}.",
                f"Store: {store_summary}.",
                f"Seat holders: {_join_or_none(seat_holders)}.",
                "Balancers that did not answer: "
                f"{_join_or_none(list(fleet.unresponsive))}.",
            ),
            columns=(
                "kind",
                "rpc",
                "upstream",
                "domain",
                "pool",
                "state",
                "revision",
                "keys",
            ),
            rows=tuple(_member_rows(fleet, drained)),
            fields=(
                ("newest", newest_revision),
                ("oldest", oldest_revision),
                ("lagging", lagging_addresses),
                ("key_newest", newest_key_revision),
                ("key_lagging", key_lagging_addresses),
                ("store", store_state_by_address),
                ("seat_holders", seat_holders),
                ("silent", list(fleet.unresponsive)),
            ),
        )

    return status


def _since_milliseconds(text: str) -> int:
    if not text:
        return 0
    try:
        timestamp = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.USAGE,
            f"--since needs an ISO 8601 time such as 2030-01-31T18:00, got {text!r}.",
        ) from None
    return int(timestamp.timestamp() * MILLISECONDS_PER_SECOND)


def _audit_row(entry: operator_pb2.AuditEntry) -> tuple[typing.Any, ...]:
    timestamp = datetime.datetime.fromtimestamp(
        entry.time_ms / MILLISECONDS_PER_SECOND, datetime.UTC
    )
    return (
        entry.revision,
        timestamp.isoformat(timespec="seconds"),
        entry.operator,
        entry.reason,
        "; ".join(entry.differences),
    )


def audit_command(read: client.ReadSettings) -> Command:
    """Return the command that reads the audit trail."""

    def audit(
        object: str = "",
        since: str = "",
        before: int = 0,
        limit: int = DEFAULT_AUDIT_LIMIT,
        keys: bool = False,
    ) -> render.Result:
        """Show who changed what, when and why, newest first.

        --since takes an ISO 8601 time, --object the name of a route, pool, failure
        domain or upstream, --before the revision below which the next page starts.
        --keys shows the audit trail of key rotations instead.
        """
        settings = read()
        request = operator_pb2.AuditRequest(
            object=str(object),
            since_ms=_since_milliseconds(str(since)),
            before_revision=before,
            limit=limit,
            keys=keys,
        )
        try:
            reply = client.call_any(
                settings,
                lambda stub: stub.Audit(request, timeout=settings.call_timeout_seconds),
            )
        except _exceptions.PlantainError as error:
            if error.kind is not _exceptions.ErrorKind.STORE_UNAVAILABLE:
                raise
            detail = f"{client.STORE_OUTAGE_NOTE} ({error.detail})"
            raise _exceptions.PlantainError(error.kind, detail) from None
        lines: tuple[str, ...] = ()
        if reply.next_before:
            lines = (f"Next page: --before {reply.next_before}",)
        return render.Result(
            lines=lines,
            columns=("revision", "time", "operator", "reason", "differences"),
            rows=tuple(_audit_row(entry) for entry in reply.entries),
            fields=(("next_before", reply.next_before),),
        )

    return audit


def explain_command(read: client.ReadSettings) -> Command:
    """Return the command that explains the routing of a service address."""

    def explain(service: str, flow: str = "") -> render.Result:
        """Show which upstreams serve the connections to an address, and why.

        Without --flow, show the share of new connections that each upstream gets. With
        --flow, which takes the destination connection ID of a caller's packet in
        hexadecimal, show the one upstream that receives the packet.
        """
        settings = read()
        request = operator_pb2.ExplainRequest(service=str(service), flow=str(flow))
        reply = client.call_any(
            settings,
            lambda stub: stub.Explain(request, timeout=settings.call_timeout_seconds),
        )
        return render.Result(
            lines=tuple(reply.reasons),
            columns=("upstream", "share") if reply.shares else (),
            rows=tuple(
                (share.upstream, round(share.share, 4)) for share in reply.shares
            ),
            fields=(
                ("route", reply.route),
                ("pool", reply.pool),
                ("upstream", reply.upstream),
            ),
        )

    return explain
