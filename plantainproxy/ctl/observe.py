"""The commands that only look: status, audit and explain."""

from collections import abc
import datetime
import typing

from plantainproxy import _exceptions, _types
from plantainproxy.ctl import client, render, spread
from plantainproxy.rpc import operator_pb2

Command = abc.Callable[..., render.Result]
DEFAULT_AUDIT_LIMIT = 50
MILLISECONDS = 1000


def _condition(
    member: operator_pb2.Member,
    balancers: abc.Mapping[str, operator_pb2.StatusReply],
    drained: frozenset[str],
) -> str:
    """Name what an operator needs to know of one member first."""
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
    fleet: spread.Fleet, drained: frozenset[str]
) -> list[tuple[typing.Any, ...]]:
    balancers = {reply.rpc_address: reply for reply in fleet.replies}
    seen = spread.revisions(fleet)
    keys = spread.key_revisions(fleet)
    return [
        (
            member.kind,
            member.rpc_address,
            "" if member.rpc_address in balancers else member.tunnel_address,
            member.domain,
            member.pool,
            _condition(member, balancers, drained),
            seen.get(member.rpc_address, 0),
            keys.get(member.rpc_address, 0),
        )
        for member in spread.members(fleet)
        if member.state != _types.MemberState.LEFT
    ]


def _joined(names: list[str]) -> str:
    return ", ".join(names) or "none"


def status_command(read: client.ReadSettings) -> Command:
    """Return the command that tells what runs and what is in force where."""

    def status() -> render.Result:
        """Show every process, its state, the revisions in force and the store."""
        settings = read()
        fleet = spread.ask_fleet(settings)
        drained = frozenset(spread.drained(client.show(settings)))
        seen = spread.revisions(fleet)
        newest = max(seen.values(), default=0)
        oldest = min(seen.values(), default=0)
        behind = spread.lagging(fleet, newest)
        key_newest = max(spread.key_revisions(fleet).values(), default=0)
        key_behind = spread.lagging(fleet, key_newest, of=spread.key_revisions)
        store = {reply.rpc_address: reply.store for reply in fleet.replies}
        without = sorted(name for name, told in store.items() if told != "reachable")
        holders = sorted(one.rpc_address for one in fleet.replies if one.seat_holder)
        told = "reachable from every balancer that was asked"
        if without:
            told = f"unreachable from {_joined(without)}"
        return render.Result(
            lines=(
                f"Revisions in force: newest {newest}, oldest {oldest}.",
                f"Lagging: {_joined(behind)}.",
                f"Keys: revision {key_newest}, lagging: {_joined(key_behind)}.",
                f"Store: {told}.",
                f"Seat holders: {_joined(holders)}.",
                f"Balancers without an answer: {_joined(list(fleet.silent))}.",
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
                ("newest", newest),
                ("oldest", oldest),
                ("lagging", behind),
                ("key_newest", key_newest),
                ("key_lagging", key_behind),
                ("store", store),
                ("seat_holders", holders),
                ("silent", list(fleet.silent)),
            ),
        )

    return status


def _since_milliseconds(text: str) -> int:
    if not text:
        return 0
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.USAGE,
            f"--since needs an ISO 8601 time such as 2030-01-31T18:00, got {text!r}.",
        ) from None
    return int(moment.timestamp() * MILLISECONDS)


def _audit_row(entry: operator_pb2.AuditEntry) -> tuple[typing.Any, ...]:
    moment = datetime.datetime.fromtimestamp(entry.time_ms / MILLISECONDS, datetime.UTC)
    return (
        entry.revision,
        moment.isoformat(timespec="seconds"),
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
        domain or upstream, --before a revision for the next page. --keys reads the
        trail of key rotations instead.
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
            detail = f"{client.WORKS_WITHOUT_STORE} ({error.detail})"
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
    """Return the command that tells where lines go."""

    def explain(service: str, flow: str = "") -> render.Result:
        """Tell which upstream the lines to a service address go to, and why.

        Without --flow: the share of new lines that each upstream gets. With --flow,
        the destination connection ID of a caller's packet in hexadecimal: the one
        upstream that the packet goes to.
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
            rows=tuple((one.upstream, round(one.share, 4)) for one in reply.shares),
            fields=(
                ("route", reply.route),
                ("pool", reply.pool),
                ("upstream", reply.upstream),
            ),
        )

    return explain
