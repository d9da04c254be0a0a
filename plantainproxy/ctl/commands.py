"""The tree of commands. Each command is a closure over the client's settings."""

from collections.abc import Callable, Mapping
import datetime
import tomllib
from typing import Any

from plantainproxy import _types
from plantainproxy.ctl import changes, client, render, spread
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model

Command = Callable[..., render.Result]
DEFAULT_AUDIT_LIMIT = 50


def _listing(settings: model.ClientSettings, table: str) -> render.Result:
    reply = client.show(settings)
    objects = tomllib.loads(reply.toml).get(table, [])
    columns = tuple(dict.fromkeys(key for item in objects for key in item))
    rows = tuple(tuple(item.get(key, "") for key in columns) for item in objects)
    return render.Result(
        columns=columns or ("name",),
        rows=rows,
        fields=(("revision", reply.revision),),
    )


def _configuration_commands(settings: model.ClientSettings) -> Mapping[str, Any]:
    def show() -> render.Result:
        """Show the configuration in force as TOML."""
        reply = client.show(settings)
        return render.Result(
            lines=(f"# revision {reply.revision}", reply.toml),
            fields=(("revision", reply.revision),),
        )

    def apply(
        file: str,
        reason: str = "",
        expect: int = 0,
        wait: bool = False,
        dry_run: bool = False,
    ) -> render.Result:
        """Replace the whole configuration by a TOML file.

        Says what differs. With --expect REVISION it is refused when another change
        came first; with --wait it returns when it is in force everywhere.
        """
        toml = changes.read_file(str(file))
        request = operator_pb2.ChangeRequest(
            expected_revision=expect, replace_all=operator_pb2.ReplaceAll(toml=toml)
        )
        return changes.propose(
            settings, request, reason=str(reason), wait=wait, dry_run=dry_run
        )

    def diff(file: str) -> render.Result:
        """Show how a TOML file differs from the configuration in force."""
        return apply(file, dry_run=True)

    return {"show": show, "apply": apply, "diff": diff, "check": diff}


def _route_commands(settings: model.ClientSettings) -> Mapping[str, Command]:
    def list_routes() -> render.Result:
        """List all routes."""
        return _listing(settings, "routes")

    def set_route(
        name: str,
        address: str,
        pool: str,
        reason: str = "",
        wait: bool = False,
        dry_run: bool = False,
    ) -> render.Result:
        """Add a route, or point an existing one at another address or pool."""
        edit = operator_pb2.SetRoute(
            name=str(name), address=str(address), pool=str(pool)
        )
        return changes.propose(
            settings,
            operator_pb2.ChangeRequest(set_route=edit),
            reason=str(reason),
            wait=wait,
            dry_run=dry_run,
        )

    def remove_route(
        name: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Remove a route: its address gets no service any more."""
        edit = operator_pb2.RemoveRoute(name=str(name))
        return changes.propose(
            settings,
            operator_pb2.ChangeRequest(remove_route=edit),
            reason=str(reason),
            wait=wait,
            dry_run=dry_run,
        )

    return {"list": list_routes, "set": set_route, "remove": remove_route}


def _pool_commands(settings: model.ClientSettings) -> Mapping[str, Command]:
    def list_pools() -> render.Result:
        """List all pools."""
        return _listing(settings, "pools")

    def set_pool(
        name: str,
        max_running: int = 0,
        lines_per_second: float = 0.0,
        reason: str = "",
        wait: bool = False,
        dry_run: bool = False,
    ) -> render.Result:
        """Add a pool or change its limits; 0 keeps a limit as it is."""
        edit = operator_pb2.SetPool(
            name=str(name),
            max_running=max_running,
            lines_per_second=lines_per_second,
        )
        return changes.propose(
            settings,
            operator_pb2.ChangeRequest(set_pool=edit),
            reason=str(reason),
            wait=wait,
            dry_run=dry_run,
        )

    def remove_pool(
        name: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Remove a pool that no route uses."""
        edit = operator_pb2.RemovePool(name=str(name))
        return changes.propose(
            settings,
            operator_pb2.ChangeRequest(remove_pool=edit),
            reason=str(reason),
            wait=wait,
            dry_run=dry_run,
        )

    return {"list": list_pools, "set": set_pool, "remove": remove_pool}


def _domain_commands(settings: model.ClientSettings) -> Mapping[str, Command]:
    def list_domains() -> render.Result:
        """List all failure domains and whether they are in or out."""
        return _listing(settings, "domains")

    def set_state(state: _types.DomainState) -> Command:
        def change(
            name: str, reason: str = "", wait: bool = False, dry_run: bool = False
        ) -> render.Result:
            edit = operator_pb2.SetDomain(name=str(name), state=state)
            return changes.propose(
                settings,
                operator_pb2.ChangeRequest(set_domain=edit),
                reason=str(reason),
                wait=wait,
                dry_run=dry_run,
            )

        return change

    take_out = set_state(_types.DomainState.OUT)
    take_out.__doc__ = "Take a failure domain out: flows that end in it are lost."
    bring_back = set_state(_types.DomainState.IN)
    bring_back.__doc__ = "Bring a failure domain back in."
    return {"list": list_domains, "out": take_out, "in": bring_back}


def _drain_commands(settings: model.ClientSettings) -> Mapping[str, Command]:
    def set_drained(drained: bool) -> Command:
        def change(
            upstream: str, reason: str = "", wait: bool = False, dry_run: bool = False
        ) -> render.Result:
            edit = operator_pb2.SetDrained(upstream=str(upstream), drained=drained)
            return changes.propose(
                settings,
                operator_pb2.ChangeRequest(set_drained=edit),
                reason=str(reason),
                wait=wait,
                dry_run=dry_run,
            )

        return change

    drain = set_drained(True)
    drain.__doc__ = "Give an upstream no new work; what runs there finishes."
    undrain = set_drained(False)
    undrain.__doc__ = "Give a drained upstream new work again."
    return {"drain": drain, "undrain": undrain}


def _status_command(settings: model.ClientSettings) -> Command:
    def status() -> render.Result:
        """Show every process, the revisions in force and who lags."""
        fleet = spread.ask_fleet(settings)
        seen = spread.revisions(fleet)
        newest = max(seen.values(), default=0)
        members = {
            member.rpc_address: member
            for reply in fleet.replies
            for member in reply.members
        }
        rows = tuple(
            (
                member.kind,
                member.rpc_address,
                member.tunnel_address,
                member.domain,
                member.pool,
                "lost" if member.lost else member.state,
                seen.get(member.rpc_address, 0),
            )
            for member in sorted(
                members.values(), key=lambda item: (item.kind, item.rpc_address)
            )
        )
        behind = spread.lagging(fleet, newest)
        store = sorted({reply.store for reply in fleet.replies})
        lines = (
            f"Newest revision {newest}, oldest {min(seen.values(), default=0)}.",
            f"Lagging: {', '.join(behind) or 'none'}.",
            f"Store: {', '.join(store)}.",
        )
        return render.Result(
            lines=lines,
            columns=(
                "kind",
                "rpc",
                "upstream",
                "domain",
                "pool",
                "state",
                "revision",
            ),
            rows=rows,
            fields=(("newest", newest), ("lagging", behind), ("store", store)),
        )

    return status


def _audit_command(settings: model.ClientSettings) -> Command:
    def audit(
        object: str = "",
        since: str = "",
        before: int = 0,
        limit: int = DEFAULT_AUDIT_LIMIT,
    ) -> render.Result:
        """Show who changed what, when and why, newest first.

        --since takes an ISO 8601 time, --object the name of a route, pool, domain
        or upstream, --before a revision for the next page.
        """
        since_ms = 0
        if since:
            moment = datetime.datetime.fromisoformat(str(since))
            since_ms = int(moment.timestamp() * 1000)
        request = operator_pb2.AuditRequest(
            object=str(object), since_ms=since_ms, before_revision=before, limit=limit
        )
        reply = client.call_any(
            settings,
            lambda stub: stub.Audit(request, timeout=settings.call_timeout_seconds),
        )
        rows = tuple(
            (
                entry.revision,
                datetime.datetime.fromtimestamp(
                    entry.time_ms / 1000, datetime.UTC
                ).isoformat(timespec="seconds"),
                entry.operator,
                entry.reason,
                "; ".join(entry.differences),
            )
            for entry in reply.entries
        )
        return render.Result(
            columns=("revision", "time", "operator", "reason", "differences"),
            rows=rows,
        )

    return audit


def _explain_command(settings: model.ClientSettings) -> Command:
    def explain(service: str, flow: str = "") -> render.Result:
        """Tell which upstream a new flow to a service address goes to, and why."""
        request = operator_pb2.ExplainRequest(service=str(service), flow=str(flow))
        reply = client.call_any(
            settings,
            lambda stub: stub.Explain(request, timeout=settings.call_timeout_seconds),
        )
        return render.Result(
            lines=tuple(reply.reasons),
            fields=(
                ("route", reply.route),
                ("pool", reply.pool),
                ("upstream", reply.upstream),
            ),
        )

    return explain


def _key_commands(settings: model.ClientSettings) -> Mapping[str, Command]:
    def rotate(dry_run: bool = False) -> render.Result:
        """Take the next step of a key rotation: add, make current, drop the old."""
        request = operator_pb2.RotateKeysRequest(
            operator=changes.operator_name(settings), dry_run=dry_run
        )
        reply = client.call_any(
            settings,
            lambda stub: stub.RotateKeys(
                request, timeout=settings.call_timeout_seconds
            ),
        )
        return render.Result(
            lines=(reply.step,), fields=(("key_revision", reply.key_revision),)
        )

    return {"rotate": rotate}


def tree(settings: model.ClientSettings) -> Mapping[str, Any]:
    """Return all commands by name."""
    return {
        **_configuration_commands(settings),
        **_drain_commands(settings),
        "route": _route_commands(settings),
        "pool": _pool_commands(settings),
        "domain": _domain_commands(settings),
        "keys": _key_commands(settings),
        "status": _status_command(settings),
        "audit": _audit_command(settings),
        "explain": _explain_command(settings),
    }
