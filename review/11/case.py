"""Planned work: a node beside a host that leaves is restarted just before the end."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common3 import ends
from review.common3 import site as sites

ZONES = ("rimouski", "matane", "riviere-du-loup")
EDGE_ZONES = ("rimouski", "rimouski", "matane", "riviere-du-loup")
ROUTE: ends.End = ("198.18.0.1", 8080)
SERVICE = "flotte"
HOSTS = 7
FLOWS = 140
WORK_SECONDS = 0.3
"""The site's longest plan push takes 0.43 s."""
DEADLINE_SECONDS = 5.0
RESTART_AFTER_SECONDS = 2.3
RESTART_BEFORE_HEARTBEAT_SECONDS = 0.3
"""The node's process is away when the next heartbeat is due."""
AWAY_SECONDS = 0.3
"""Time from the end of the node's process to the start of the next one."""
REQUESTS_BEFORE_END_SECONDS = 0.1
FLOWS_IN_USE = 5
"""Requests in progress when the host deregisters: one for each of its slots."""


def route() -> dict[str, object]:
    """Return the only route."""
    return {
        "name": "r-plan-push",
        "host": ROUTE[0],
        "prefix": f"/{ROUTE[1]}/",
        "type": "non_idempotent",
        "timeout_ms": 5000,
        "slo_ms": 326,
        "priority": 1,
        "service": SERVICE,
        "attempts": 2,
    }


async def start_site(site: sites.Site) -> None:
    """Start all instances and wait until they serve."""
    site.configure([route()], (SERVICE,))
    for number, zone in enumerate(EDGE_ZONES):
        ip = site.ip(1, number + 1)
        site.run(site.add_node("balancer", f"edge-{number}", ip, zone, ""))
    for number in range(HOSTS):
        zone = ZONES[number % len(ZONES)]
        node = site.add_node(
            "sidecar", f"side-{number}", site.ip(10, number + 1), zone, SERVICE
        )
        await site.add_host(node, SERVICE, work_seconds=WORK_SECONDS)
        site.run(node)
    prefix = "plantainproxy/sidecars/"
    await site.wait_until(
        "all sidecars", 20.0, lambda: len(site.store.keys(prefix)) >= HOSTS
    )
    await site.wait_until(
        "all balancers",
        20.0,
        lambda: len(site.router.in_rotation()) == len(EDGE_ZONES),
    )


async def open_flows(site: sites.Site) -> list[ends.ClientFlow]:
    """Open flows from one client in each zone."""
    clients = [
        await site.add_client(number + 1, zone) for number, zone in enumerate(ZONES)
    ]
    flows = [clients[number % len(clients)].new_flow(ROUTE) for number in range(FLOWS)]
    opened = 0
    for flow in flows:
        opened += await flow.open()
        await asyncio.sleep(0.02)
    if opened < FLOWS:
        raise sites.CannotRunError(f"only {opened} flows could be opened")
    return flows


def count_resets(
    site: sites.Site, flows: list[ends.ClientFlow]
) -> list[ends.ClientFlow]:
    """Return a list that gets each flow that is reset while its host holds it."""
    broken: list[ends.ClientFlow] = []

    def check_reset(flow: ends.ClientFlow) -> None:
        for host in site.hosts.values():
            held = host.flows.get(flow.key)
            if host.is_alive and held is not None and held.is_open:
                site.record.write("FLOW broken", flow=flow.key, host=host.name)
                broken.append(flow)

    for flow in flows:
        flow.client.on_reset = check_reset
    return broken


async def announce_end(host: ends.Host) -> float:
    """Report that a host is draining; return when this was acknowledged."""
    host.state = "draining"
    while not await host.send_heartbeat():
        await asyncio.sleep(0.1)
    return time.monotonic()


async def wait_for_restart(host: ends.Host) -> None:
    """Wait until the host's next heartbeat will find no process of its node."""
    await asyncio.sleep(RESTART_AFTER_SECONDS)
    due_in = host.next_heartbeat_at - time.monotonic()
    if due_in < RESTART_BEFORE_HEARTBEAT_SECONDS:
        due_in += host.heartbeat_seconds
    await asyncio.sleep(due_in - RESTART_BEFORE_HEARTBEAT_SECONDS)


async def case(site: sites.Site, is_disrupted: bool) -> int:
    """Play the case; return the number of flows that were reset."""
    await start_site(site)
    flows = await open_flows(site)
    broken = count_resets(site, flows)
    await asyncio.sleep(3.0)
    leaving = site.hosts["side-0"]
    on_leaving = [flow for flow in flows if flow.key in leaving.flows]
    acknowledged_at = await announce_end(leaving)
    await wait_for_restart(leaving)
    if is_disrupted:
        node = site.nodes["side-0"]
        await site.stop_and_start(node, away_seconds=AWAY_SECONDS)
        await site.wait_until_ready(node, 3.0)
    requests = [
        asyncio.create_task(flow.request(f"push-{number}", deadline=DEADLINE_SECONDS))
        for number, flow in enumerate(on_leaving[:FLOWS_IN_USE])
    ]
    await asyncio.sleep(REQUESTS_BEFORE_END_SECONDS)
    served = time.monotonic() - acknowledged_at
    site.record.write("leaves", host=leaving.name, seconds_after_ack=round(served, 3))
    running = leaving.running
    await leaving.leave()
    outcomes = await asyncio.gather(*requests)
    print(
        f"{running} requests ran when the port was closed; outcomes: "
        f"{sorted(outcomes)}; {len(broken)} flows reset while their host held them"
    )
    if not running:
        raise sites.CannotRunError("no request reached the host before it left")
    return len(broken)


if __name__ == "__main__":
    # TROUBLE=0 plays the case without its disruption.
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(sites.main(folder, case, is_disrupted=is_disrupted))
