"""A store that stays silent for 3 s just after a change: later changes go unseen."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common2 import ends  # noqa: E402
from review.common2 import site as sites

ADDRESS = ("198.18.0.1", 8443)
ROUTE_BOUND_S = 3.0  # config_apply_ms
EVAC_BOUND_S = 5.0  # evac_ms
SILENT_S = 3.0


async def keep_sending(client, requests):
    """Open a flow for each request, one after the other."""
    for number in range(100_000):
        text = f"{client.address[0]}-{number}"
        sent_at = time.monotonic()
        try:
            flow = await client.open(ADDRESS)
            requests[text] = sent_at
            await flow.request(text)
            flow.close()
        except (ends.NoAnswerError, ends.ResetError):
            pass
        await asyncio.sleep(0.1)


async def start(site):
    """Start all machines and wait until they are ready."""
    for zone in site.zones:
        site.add_balancer(zone)
    hosts = [
        site.add_host(service, zone)
        for service in ("old", "new")
        for zone in site.zones
    ]
    for node, host in hosts:
        node.start()
        await host.start()
    for node in site.balancers:
        node.start()
    await site.wait_until_ready([*site.balancers, *site.sidecars])


def late_runs(site, requests, changed_at):
    """Return the requests that the old service runs after the bound of CONFIG."""
    violations = []
    for _, event, fields in site.record.lines:
        sent_at = requests.get(fields.get("request"))
        if event != "run" or sent_at is None or fields["service"] != "old":
            continue
        if sent_at > changed_at + ROUTE_BOUND_S:
            violations.append(
                f"CONFIG: {fields['request']}, sent {sent_at - changed_at:.1f} s after "
                f"the acknowledgement, is run by a host of the old service"
            )
    return violations


def late_openings(site, zone, evacuated_at):
    """Return the openings at hosts of an evacuated zone after the bound of EVAC."""
    names = {host.name for host in site.hosts if host.zone == zone}
    return [
        f"EVAC: flow {fields['flow']} reaches a host of the evacuated zone "
        f"{at - evacuated_at:.1f} s after the acknowledgement"
        for at, event, fields in site.record.lines
        if event == "opening at host"
        and fields["host"] in names
        and at > evacuated_at + EVAC_BOUND_S
    ]


async def scenario(site, trouble):
    """Play the case; return the violations."""
    services = [sites.service("old"), sites.service("new")]
    routes = [sites.route("r-1", *ADDRESS, "old")]
    site.configure(routes, services)
    await start(site)
    requests = {}
    clients = [await site.add_client(zone) for zone in site.zones for _ in range(2)]
    senders = [asyncio.create_task(keep_sending(c, requests)) for c in clients]
    await asyncio.sleep(8)

    # A change that all processes apply, and at once the disruption.
    site.configure([*routes, sites.route("r-2", "198.18.0.2", 8443, "new")], services)
    await asyncio.sleep(0.1)
    site.store.silent = trouble
    site.record.write("store silent", silent=trouble)
    await asyncio.sleep(SILENT_S)
    site.store.silent = False
    site.record.write("store answers again")

    # The store has been without disruption for more than stability_window_ms.
    await asyncio.sleep(5)
    changed_at = site.configure([sites.route("r-1", *ADDRESS, "new")], services)
    evacuated_at = site.evacuate(site.zones[0])
    await asyncio.sleep(9)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)

    later = [at for at in requests.values() if at > changed_at + ROUTE_BOUND_S]
    print(f"{len(requests)} requests, {len(later)} of them after the bound")
    if len(later) < 20:
        raise RuntimeError("too few requests to judge")
    return [
        *late_runs(site, requests, changed_at),
        *late_openings(site, site.zones[0], evacuated_at),
    ]


if __name__ == "__main__":
    sites.run(
        pathlib.Path(__file__).parent, scenario, number=61, zones=("z1", "z2", "z3")
    )
