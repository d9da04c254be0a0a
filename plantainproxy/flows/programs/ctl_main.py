"""Command-line tool ``plantain-flow-ctl``: status and routing of transparent flows.

It reads the policy and the list of sidecars from the store, and metrics of each listed
sidecar and of each balancer that a sidecar reports to.
"""

from collections import abc
import sys

import fire
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.flows import policy
from plantainproxy.flows.control import documents
from plantainproxy.flows.engine import upstream_speed
from plantainproxy.flows.programs import balancer_status
from plantainproxy.flows.stored import registry
from plantainproxy.platform import configuration, metadata_store, packet_format
from plantainproxy.platform import settings as platform_settings
from plantainproxy.store import http
from plantainproxy.telemetry import exposition

SCRAPE_TIMEOUT_SECONDS = 1.0
"""A sidecar whose metrics do not arrive in this time is shown as silent."""
SHOWN_GAUGES = (
    "ready",
    "revision",
    "configuration_version",
    "store_era",
    "flows",
    "running_requests",
    "balancers",
    "relay",
)
"""Sidecar gauges that ``status`` prints."""
NO_ANSWER = "silent"


def status(store: str, *, metrics_port: int = platform_settings.METRICS_PORT) -> None:
    """Show the policy in the store, the sidecars, their balancers and relays.

    Args:
        store: Address of the platform's store, such as 10.200.1.7:8169.
        metrics_port: Port of the metrics on every instance.

    """

    async def show(client: metadata_store.MetadataStore) -> None:
        current = await _read_policy(client)
        summary = (
            f"configuration refused, {current}"
            if isinstance(current, policy.Refused)
            else f"version {current.version}, {len(current.routes)} routes"
        )
        domains_out = ", ".join(sorted(current.domains_out)) or "none"
        print(f"{summary}, domains out: {domains_out}")
        snapshot = await client.read_all(registry.PREFIX)
        registered = registry.decode(
            {entry.key: entry.value for entry in snapshot.entries}
        )
        relays: dict[str, list[str]] = {}
        balancers: set[str] = set()
        scraped = {
            address.host: await _scrape(_types.Address(address.host, metrics_port))
            for address in sorted(registered)
        }
        speeds = upstream_speed.describe(
            {host: gauges for host, gauges in scraped.items() if gauges is not None}
        )
        for address, listed in sorted(registered.items()):
            gauges = scraped[address.host]
            summary = (
                NO_ANSWER
                if gauges is None
                else f"{_render_gauges(gauges)}, {speeds[address.host]}"
            )
            print(f"{address.host}: {summary}")
            in_domain = relays.setdefault(listed.domain, [])
            if gauges is not None and gauges.get("relay"):
                in_domain.append(address.host)
            balancers.update(balancer_status.subscriber_hosts(gauges or {}))
        for host in sorted(balancers):
            gauges = await _scrape(_types.Address(host, metrics_port))
            summary = (
                NO_ANSWER
                if gauges is None
                else ", ".join(
                    (
                        balancer_status.render_placements(gauges),
                        *documents.render_refusal(gauges),
                    )
                )
            )
            print(f"balancer {host}: {summary}")
        for domain, hosts in sorted(relays.items()):
            print(f"domain {domain}: relays {', '.join(hosts) or 'none'}")
        _raise_if_refused(current)

    _run(store, show)


def explain(service: str, *, store: str) -> None:
    """Show the route of a service address and its pools' shares of new flows.

    Args:
        service: The service address, such as 198.18.0.1:8443.
        store: Address of the platform's store, such as 10.200.1.7:8169.

    """

    async def show(client: metadata_store.MetadataStore) -> None:
        current = _raise_if_refused(await _read_policy(client))
        route = current.routes.get(packet_format.pack_service(_parse(service)))
        if route is None:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.NOT_FOUND, f"no route has the address {service}"
            )
        print(
            f"route {route.name}: {route.kind}, priority {route.priority}, "
            f"objective {route.objective_seconds:g} s"
        )
        total = sum(share.weight for share in route.shares) or 1.0
        for share in route.shares:
            print(f"pool {share.pool}: {share.weight / total:.0%} of new flows")
        for domain in sorted(current.domains_out):
            print(f"domain {domain} is out: its upstreams get no new flow")

    _run(store, show)


def _run(
    store: str, show: abc.Callable[[metadata_store.MetadataStore], abc.Awaitable[None]]
) -> None:
    try:
        client = metadata_store.MetadataStore(_parse(store))
        trio.run(show, client)
    except _exceptions.PlantainError as error:
        print(error, file=sys.stderr)
        raise SystemExit(error.answer.exit_code) from error


def _parse(text: str) -> _types.Address:
    try:
        return _types.Address.parse(text)
    except ValueError as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.USAGE, str(error)
        ) from error


def _raise_if_refused(current: policy.Policy | policy.Refused) -> policy.Policy:
    if isinstance(current, policy.Refused):
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_CONFIGURATION, str(current)
        )
    return current


async def _read_policy(
    client: metadata_store.MetadataStore,
) -> policy.Policy | policy.Refused:
    snapshot = await client.read_all(configuration.PREFIX)
    items = {entry.key: entry.value for entry in snapshot.entries}
    decoded = configuration.decode_policy(items, revision=snapshot.revision)
    if decoded is None:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.NOT_FOUND, "the store holds no configuration"
        )
    return decoded


async def _scrape(address: _types.Address) -> dict[str, float] | None:
    """Return the metrics of a process by name; ``None`` if it does not answer."""
    pool = http.Pool(address)
    try:
        reply = await http.call(
            pool, "GET", "/metrics", timeout_seconds=SCRAPE_TIMEOUT_SECONDS
        )
    except (http.UnsentError, http.UnansweredError):
        return None
    finally:
        http.close_idle(pool)
    return exposition.parse(reply.body)


def _render_gauges(gauges: dict[str, float]) -> str:
    shown = [
        f"{name.replace('_', ' ')} {gauges.get(name, float('nan')):.15g}"
        for name in SHOWN_GAUGES
    ]
    return ", ".join((*shown, *documents.render_refusal(gauges)))


def main() -> None:
    """Run the command named on the command line."""
    fire.Fire({"status": status, "explain": explain})


if __name__ == "__main__":
    main()
