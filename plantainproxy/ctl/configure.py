"""Commands that show, check and change the configuration."""

from collections import abc
import tomllib

from plantainproxy import _exceptions, _types
from plantainproxy.config import parse
from plantainproxy.ctl import changes, client, fleet_status, render
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model

Command = abc.Callable[..., render.Result]


def _read_table(reply: operator_pb2.ShowReply, table: str) -> list[dict[str, object]]:
    entries: list[dict[str, object]] = tomllib.loads(reply.toml).get(table, [])
    return entries


def _list_table(settings: model.ClientSettings, table: str) -> render.Result:
    reply = client.show(settings)
    entries = _read_table(reply, table)
    columns = tuple(dict.fromkeys(key for entry in entries for key in entry))
    rows = tuple(tuple(entry.get(key, "") for key in columns) for entry in entries)
    return render.Result(
        columns=columns or ("name",),
        rows=rows,
        fields=(("revision", reply.revision),),
    )


def _show_entry(settings: model.ClientSettings, table: str, name: str) -> render.Result:
    reply = client.show(settings)
    for entry in _read_table(reply, table):
        if entry["name"] == name:
            lines = tuple(f"{key}: {value}" for key, value in entry.items())
            return render.Result(
                lines=lines, fields=(("revision", reply.revision), *entry.items())
            )
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.NOT_FOUND, f"No entry of {table} is named {name!r}."
    )


def configuration_commands(read: client.ReadSettings) -> abc.Mapping[str, Command]:
    """Return the commands that act on the full configuration."""

    def show() -> render.Result:
        """Show the active configuration as TOML."""
        reply = client.show(read())
        return render.Result(
            lines=(reply.toml.rstrip() or "# revision 0: nothing is configured yet",),
            fields=(
                ("revision", reply.revision),
                ("change_id", reply.change_id),
                ("configuration", tomllib.loads(reply.toml)),
            ),
        )

    def check(file: str) -> render.Result:
        """Validate a TOML file locally, without calling a balancer."""
        configuration = parse.parse(changes.read_file(str(file)), source=str(file))
        counts = (
            ("routes", len(configuration.routes)),
            ("pools", len(configuration.pools)),
            ("domains", len(configuration.domains)),
            ("drained", len(configuration.drained)),
        )
        summary = ", ".join(f"{count} {name}" for name, count in counts)
        return render.Result(lines=(f"{file} is valid: {summary}.",), fields=counts)

    def diff(file: str) -> render.Result:
        """Show how a TOML file differs from the active configuration."""
        request = changes.replace_all_request(str(file), expect=0)
        return changes.propose(read(), request, changes.Options(dry_run=True))

    def apply(
        file: str,
        reason: str = "",
        expect: int = 0,
        wait: bool = False,
        dry_run: bool = False,
    ) -> render.Result:
        """Replace the whole configuration with a TOML file.

        The differences are printed before the write. If another change is accepted in
        between, the command fails with a conflict and applies nothing. --expect
        REVISION detects every change since that revision instead.
        """
        settings = read()
        request = changes.replace_all_request(str(file), expect=expect)
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        if dry_run:
            return changes.propose(settings, request, options)
        dry_run_reply = changes.preview(settings, request)
        changes.print_notices(
            [f"Will change: {line}" for line in dry_run_reply.differences]
        )
        request.expected_revision = expect or dry_run_reply.revision
        return changes.propose(settings, request, options)

    return {"show": show, "check": check, "diff": diff, "apply": apply}


def _route_move_notices(
    settings: model.ClientSettings, edit: operator_pb2.SetRoute
) -> list[str]:
    """Return a notice if the change moves a route, which closes its connections."""
    for route in _read_table(client.show(settings), "routes"):
        if route["name"] != edit.name:
            continue
        if (route["address"], route["pool"]) != (edit.address, edit.pool):
            return [
                f"Route {edit.name} currently maps {route['address']} to pool "
                f"{route['pool']}; connections of callers to it are closed."
            ]
    return []


def route_commands(read: client.ReadSettings) -> abc.Mapping[str, Command]:
    """Return the commands that list, show and change routes."""

    def list_all() -> render.Result:
        """List all routes."""
        return _list_table(read(), "routes")

    def show(name: str) -> render.Result:
        """Show one route."""
        return _show_entry(read(), "routes", str(name))

    def set_one(
        name: str,
        address: str,
        pool: str,
        reason: str = "",
        wait: bool = False,
        dry_run: bool = False,
    ) -> render.Result:
        """Add a route, or change the address or pool of an existing one."""
        edit = operator_pb2.SetRoute(
            name=str(name), address=str(address), pool=str(pool)
        )
        settings = read()
        changes.print_notices(_route_move_notices(settings, edit))
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(set_route=edit)
        return changes.propose(settings, request, options)

    def remove(
        name: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Remove a route; its address is not served and its connections are closed."""
        changes.print_notices(
            [
                f"Removing route {name}: its service address gets no answers any more, "
                "and connections that callers hold to it are closed."
            ]
        )
        edit = operator_pb2.RemoveRoute(name=str(name))
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(remove_route=edit)
        return changes.propose(read(), request, options)

    return {"list": list_all, "show": show, "set": set_one, "remove": remove}


def pool_commands(read: client.ReadSettings) -> abc.Mapping[str, Command]:
    """Return the commands that list, show and change pools."""

    def list_all() -> render.Result:
        """List all pools."""
        return _list_table(read(), "pools")

    def show(name: str) -> render.Result:
        """Show one pool."""
        return _show_entry(read(), "pools", str(name))

    def set_one(
        name: str,
        max_running: int = 0,
        lines_per_second: float = 0.0,
        reason: str = "",
        wait: bool = False,
        dry_run: bool = False,
    ) -> render.Result:
        """Add a pool or change its limits; 0 leaves a limit unchanged."""
        edit = operator_pb2.SetPool(
            name=str(name),
            max_running=max_running,
            lines_per_second=lines_per_second,
        )
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(set_pool=edit)
        return changes.propose(read(), request, options)

    def remove(
        name: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Remove a pool that no route uses; its upstreams get no more requests."""
        changes.print_notices(
            [f"Removing pool {name}: its upstreams get no more work."]
        )
        edit = operator_pb2.RemovePool(name=str(name))
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(remove_pool=edit)
        return changes.propose(read(), request, options)

    return {"list": list_all, "show": show, "set": set_one, "remove": remove}


def _domain_out_notice(settings: model.ClientSettings, name: str) -> str:
    """Return a notice of what stops when a failure domain leaves service."""
    running_members = [
        member
        for member in fleet_status.members(fleet_status.query_fleet(settings))
        if member.domain == name and fleet_status.is_running(member)
    ]
    balancers = [
        running_member
        for running_member in running_members
        if running_member.kind == _types.MemberKind.BALANCER
    ]
    upstreams = len(running_members) - len(balancers)
    return (
        f"Failure domain {name}: {len(balancers)} balancers leave service, "
        f"{upstreams} upstreams get no more packets, and their flows are lost."
    )


def domain_commands(read: client.ReadSettings) -> abc.Mapping[str, Command]:
    """Return the commands that list, show and change failure domains."""

    def list_all() -> render.Result:
        """List all failure domains and whether they are in or out."""
        return _list_table(read(), "domains")

    def show(name: str) -> render.Result:
        """Show one failure domain."""
        return _show_entry(read(), "domains", str(name))

    def set_one(
        name: str,
        number: int,
        reason: str = "",
        wait: bool = False,
        dry_run: bool = False,
    ) -> render.Result:
        """Add a failure domain; its number cannot be changed later."""
        edit = operator_pb2.AddDomain(name=str(name), number=number)
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(add_domain=edit)
        return changes.propose(read(), request, options)

    def take_out(
        name: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Take a failure domain out of service; flows to its upstreams are lost."""
        settings = read()
        changes.print_notices([_domain_out_notice(settings, str(name))])
        edit = operator_pb2.SetDomain(name=str(name), state=_types.DomainState.OUT)
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(set_domain=edit)
        return changes.propose(settings, request, options)

    def bring_in(
        name: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Bring a failure domain back in."""
        edit = operator_pb2.SetDomain(name=str(name), state=_types.DomainState.IN)
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(set_domain=edit)
        return changes.propose(read(), request, options)

    def remove(
        name: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Remove a failure domain; flows to its upstreams are lost."""
        settings = read()
        changes.print_notices([_domain_out_notice(settings, str(name))])
        edit = operator_pb2.RemoveDomain(name=str(name))
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(remove_domain=edit)
        return changes.propose(settings, request, options)

    return {
        "list": list_all,
        "show": show,
        "set": set_one,
        "remove": remove,
        "out": take_out,
        "in": bring_in,
    }


def _drain_notice(settings: model.ClientSettings, upstream: str) -> str:
    running_upstreams = {
        member.tunnel_address
        for member in fleet_status.members(fleet_status.query_fleet(settings))
        if fleet_status.is_running(member)
    }
    if upstream not in running_upstreams:
        return f"No running upstream has address {upstream} now."
    return (
        f"Upstream {upstream} gets no new connections and no new requests; "
        "work in progress finishes."
    )


def drain_commands(read: client.ReadSettings) -> abc.Mapping[str, Command]:
    """Return the commands that stop and resume new work on one upstream."""

    def drain(
        upstream: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Stop new work on an upstream; work in progress finishes."""
        settings = read()
        changes.print_notices([_drain_notice(settings, str(upstream))])
        edit = operator_pb2.SetDrained(upstream=str(upstream), drained=True)
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(set_drained=edit)
        return changes.propose(settings, request, options)

    def undrain(
        upstream: str, reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Resume new work on a drained upstream."""
        edit = operator_pb2.SetDrained(upstream=str(upstream), drained=False)
        options = changes.Options(reason=str(reason), wait=wait, dry_run=dry_run)
        request = operator_pb2.ChangeRequest(set_drained=edit)
        return changes.propose(read(), request, options)

    return {"drain": drain, "undrain": undrain}
