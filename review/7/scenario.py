"""Two restarts of a sidecar around a store outage: the second denies open flows."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common2 import ends  # noqa: E402
from review.common2 import site as sites

ADDRESS = ("198.18.0.1", 8443)
SILENT_S = 4.0
RESTART_S = 0.4
SECOND_STOP = getattr(signal, os.environ.get("SECOND_STOP", "SIGTERM"))


def held_flows(site, host):
    """Return the labels of the flows that a host has open."""
    return {f"{source[0]}:{source[1]}" for source, _ in host.flows}


async def restart(site, node, number):
    """Stop a process and start it again, as the platform does."""
    node.signal(number)
    await node.wait()
    return asyncio.get_running_loop().call_later(RESTART_S, node.start)


async def open_flows(clients, host, site, *, count, deadline_s):
    """Open flows, each with one request, until a host has some of them."""
    flows, deadline = {}, time.monotonic() + deadline_s
    while time.monotonic() < deadline:
        for client in clients:
            try:
                flow = await client.open(ADDRESS)
                await flow.request(f"first-{flow.label()}", deadline_s=1.0)
            except (ends.NoAnswerError, ends.ResetError):
                continue
            if flow.label() in held_flows(site, host):
                flows[flow.label()] = flow
        if len(flows) >= count:
            break
    return flows


async def start(site):
    """Start all machines; return the clients and a sidecar with its host."""
    for zone in site.zones:
        site.add_balancer(zone)
    pairs = [site.add_host("feed", zone) for zone in (*site.zones, *site.zones)]
    site.configure([sites.route("r-1", *ADDRESS, "feed")], [sites.service("feed")])
    for node in (*site.sidecars, *site.balancers):
        node.start()
    # The sidecars run before the hosts, so that they have seen every flow.
    await asyncio.sleep(3)
    for _, host in pairs:
        await host.start()
    await site.wait_until_ready([*site.balancers, *site.sidecars])
    return [await site.add_client(zone) for zone in site.zones], *pairs[0]


async def use_again(site, host, flows):
    """Send a request on each flow that the host holds; return the violations."""
    violations = []
    still_open = held_flows(site, host)
    for label, flow in flows.items():
        idle_s = time.monotonic() - flow.last_packet_at
        if label not in still_open:
            continue
        try:
            await flow.request(f"second-{label}", deadline_s=3.0)
        except ends.ResetError:
            violations.append(
                f"FLOW: {label}, idle for {idle_s:.1f} s and open at the living host "
                f"{host.name}, is reset by the system"
            )
        except ends.NoAnswerError:
            site.record.write("no answer", flow=label)
    return violations


async def scenario(site, trouble):
    """Play the case; return the violations."""
    clients, node, host = await start(site)
    await asyncio.sleep(2)
    early = await open_flows(clients, host, site, count=4, deadline_s=3)
    site.record.write("flows before the restart", count=len(early))
    await asyncio.sleep(3)

    # Planned: the process beside the host is restarted. The store is down from the
    # moment at which the old process has ended.
    await restart(site, node, signal.SIGTERM)
    site.store.silent = trouble
    site.record.write("store silent", silent=trouble)
    silent_since = time.monotonic()
    await site.wait_until_ready([node])
    flows = await open_flows(clients, host, site, count=4, deadline_s=2.2)
    site.record.write("flows opened beside the new process", count=len(flows))
    if not flows:
        raise RuntimeError("no flow was opened at the host")
    if trouble:
        # The process is stopped once more while the store is still down.
        await restart(site, node, SECOND_STOP)
    await asyncio.sleep(max(silent_since + SILENT_S - time.monotonic(), 0))
    site.store.silent = False
    site.record.write("store answers again")
    await site.wait_until_ready([node])

    # Longer than stability_window_ms after the end of all disruptions.
    await asyncio.sleep(5.5)
    return await use_again(site, host, flows)


if __name__ == "__main__":
    sites.run(pathlib.Path(__file__).parent, scenario, number=71, zones=("z1", "z2"))
