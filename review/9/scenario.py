"""Hosts added after a silence of the store: balancers that miss them reset flows."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common2 import ends  # noqa: E402
from review.common2 import site as sites

ADDRESS = ("198.18.0.1", 8443)
SILENT_S = 3.0
RESTART_S = 0.4


async def add_machine(site, zone):
    """Add a machine for a host, as planned work, until the store lists it."""
    node, host = site.add_host("feed", zone)
    node.start()
    key = f"plantainproxy/sidecars/{node.host}/"
    async with asyncio.timeout(10):
        while key not in site.store.items:
            await asyncio.sleep(0.002)
    site.record.write("host listed", host=host.name)
    return host


async def open_flows(clients, host, *, count, seconds):
    """Open flows, each with a request, until a host has some of them.

    The flows at other hosts stay open, so that the added one is the least loaded.
    """
    flows, deadline = {}, time.monotonic() + seconds

    async def open_some(client):
        while time.monotonic() < deadline and len(flows) < count:
            try:
                flow = await client.open(ADDRESS)
                await flow.request(f"first-{flow.label()}", deadline_s=1.0)
            except (ends.NoAnswerError, ends.ResetError):
                continue
            if (flow.source, flow.service) in host.flows:
                flows[flow.label()] = flow

    await asyncio.gather(*(open_some(client) for client in clients))
    return flows


async def start(site):
    """Start all machines and wait until they are ready."""
    for zone in ("z1", "z1", "z1", "z2"):
        site.add_balancer(zone)
    pairs = [site.add_host("feed", zone) for zone in ("z1", "z1", "z2", "z2")]
    site.configure([sites.route("r-1", *ADDRESS, "feed")], [sites.service("feed")])
    for node in (*site.sidecars, *site.balancers):
        node.start()
    # The sidecars run before the hosts, so that they have seen every flow.
    await asyncio.sleep(3)
    for _, host in pairs:
        await host.start()
    await site.wait_until_ready([*site.balancers, *site.sidecars])


async def use_again(site, added, flows):
    """Send a request on each flow at the added host; return the violations."""
    violations = []

    async def use(label, flow):
        try:
            await flow.request(f"second-{label}", deadline_s=3.0)
        except ends.ResetError:
            if (flow.source, flow.service) in added.flows:
                violations.append(
                    f"FLOW: {label}, open at the living host {added.name}, is reset by "
                    f"the system"
                )
        except ends.NoAnswerError:
            site.record.write("no answer", flow=label)

    await asyncio.gather(*(use(label, flow) for label, flow in flows.items()))
    return violations


async def scenario(site, trouble):
    """Play the case; return the violations."""
    await start(site)
    clients = [await site.add_client("z1") for _ in range(6)]
    await asyncio.sleep(7)

    # Planned: a host is added. Then the store is silent.
    new = await add_machine(site, "z2")
    await asyncio.sleep(0.02)
    site.store.silent = trouble
    site.record.write("store silent", silent=trouble)
    await asyncio.sleep(SILENT_S)
    await new.start()
    site.store.silent = False
    site.record.write("store answers again")

    # The store has been without disruption for more than stability_window_ms. Planned:
    # a host is added, and the balancers of z1 are restarted in turn.
    await asyncio.sleep(4.5)
    added = await add_machine(site, "z2")
    await added.start()
    first, second = site.balancers[:2]
    first.signal(signal.SIGTERM)
    await first.wait()
    await asyncio.sleep(RESTART_S)
    first.start()
    await site.wait_until_ready([first])
    await asyncio.sleep(0.6)
    flows = await open_flows(clients, added, count=24, seconds=3.0)
    site.record.write("flows at the added host", count=len(flows))
    if not flows:
        raise RuntimeError("no flow was opened at the added host")
    second.signal(signal.SIGTERM)
    while second.in_rotation:
        await asyncio.sleep(0.05)
    print(f"{len(flows)} flows at the added host")
    return await use_again(site, added, flows)


if __name__ == "__main__":
    sites.run(pathlib.Path(__file__).parent, scenario, number=91, zones=("z1", "z2"))
