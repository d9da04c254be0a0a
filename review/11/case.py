"""Planned work at 260 hosts: a route is moved, then the balancers are restarted."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common3 import ends, site as sites

ZONES = ("rimouski", "matane", "riviere-du-loup")
EDGE_ZONES = ("rimouski", "rimouski", "matane", "riviere-du-loup")
ROUTE: ends.End = ("198.18.0.1", 8443)
EARLIER, LATER = "flotte", "flotte-2"
EARLIER_HOSTS, LATER_HOSTS = 6, 254
STARTS_AT_ONCE = 24
FLOWS, LATE_FLOWS = 240, 6
REQUEST_SECONDS = 3.0
DEADLINE_SECONDS = 4.0
IDLE_SECONDS, TTL_SECONDS = 15.0, 60.0


class OpenFlow:
    """A client's flow, and when it was opened and last used."""

    def __init__(self, flow: ends.ClientFlow) -> None:
        """Record a flow that was just opened."""
        self.flow = flow
        self.opened_at = self.used_at = time.monotonic()


def route(service: str) -> dict[str, object]:
    """Return the route to a service."""
    return {
        "name": "r-telemetry",
        "host": ROUTE[0],
        "prefix": f"/{ROUTE[1]}/",
        "type": "idempotent",
        "timeout_ms": 4000,
        "slo_ms": 270,
        "priority": 2,
        "service": service,
        "attempts": 2,
    }


async def start_site(site: sites.Site) -> None:
    """Start all instances and wait until they serve."""
    site.configure([route(EARLIER)], (EARLIER, LATER))
    for number, zone in enumerate(EDGE_ZONES):
        ip = site.ip(1, number + 1)
        site.run(site.add_node("balancer", f"edge-{number}", ip, zone, ""))
    for number in range(EARLIER_HOSTS + LATER_HOSTS):
        service = EARLIER if number < EARLIER_HOSTS else LATER
        ip = site.ip(10 + number // 200, number % 200 + 1)
        zone = ZONES[number % len(ZONES)]
        node = site.add_node("sidecar", f"side-{number}", ip, zone, service)
        await site.add_host(node, service)
        site.run(node)
        if number % STARTS_AT_ONCE == 0:
            await asyncio.sleep(0.3)
    count = EARLIER_HOSTS + LATER_HOSTS
    prefix = "plantainproxy/sidecars/"
    await site.wait_until(
        "all sidecars", 40.0, lambda: len(site.store.keys(prefix)) >= count
    )
    await site.wait_until(
        "all balancers",
        20.0,
        lambda: len(site.router.in_rotation()) == len(EDGE_ZONES),
    )


async def use(open_flow: OpenFlow, name: str, until: asyncio.Event) -> None:
    """Send a request on a flow in regular intervals."""
    number = 0
    while not until.is_set() and not open_flow.flow.is_reset:
        number += 1
        await open_flow.flow.request(f"{name}-{number}", deadline=DEADLINE_SECONDS)
        open_flow.used_at = time.monotonic()
        await asyncio.sleep(REQUEST_SECONDS)


def is_violation(site: sites.Site, open_flow: OpenFlow) -> bool:
    """Return whether a reset of the system met a flow that its host holds."""
    now = time.monotonic()
    key = open_flow.flow.key
    is_held = any(
        key in host.flows and host.flows[key].is_open for host in site.hosts.values()
    )
    is_young = now - open_flow.opened_at < TTL_SECONDS
    is_in_use = now - open_flow.used_at < IDLE_SECONDS
    return open_flow.flow.is_reset and is_held and is_young and is_in_use


async def case(site: sites.Site, is_disrupted: bool) -> int:
    """Play the case; return the number of flows that were reset."""
    await start_site(site)
    clients = [
        await site.add_client(number + 1, zone) for number, zone in enumerate(ZONES)
    ]
    finished = asyncio.Event()
    flows: list[OpenFlow] = []
    users: list[asyncio.Task[None]] = []

    async def open_flows(count: int, gap_seconds: float) -> None:
        for number in range(count):
            flow = clients[number % len(clients)].new_flow(ROUTE)
            if await flow.open():
                flows.append(OpenFlow(flow))
                name = f"q{len(flows)}"
                users.append(asyncio.create_task(use(flows[-1], name, finished)))
            await asyncio.sleep(gap_seconds)

    await open_flows(FLOWS, 0.02)
    await asyncio.sleep(6.0)
    await open_flows(LATE_FLOWS, 0.05)
    await asyncio.sleep(1.0)
    if is_disrupted:
        site.configure([route(LATER)], (EARLIER, LATER))
    await asyncio.sleep(4.0)
    for node in [node for node in site.nodes.values() if node.role == "balancer"]:
        if is_disrupted:
            await site.stop_and_start(node)
            await asyncio.sleep(1.0)
            await site.wait_until(
                f"{node.name} in rotation",
                10.0,
                lambda: len(site.router.in_rotation()) == len(EDGE_ZONES),
            )
        await asyncio.sleep(1.0)
    await asyncio.sleep(REQUEST_SECONDS + 2.0)
    finished.set()
    await asyncio.gather(*users)
    broken = [open_flow for open_flow in flows if is_violation(site, open_flow)]
    for open_flow in broken:
        site.record.write("FLOW broken", flow=open_flow.flow.key)
    resets = sum(open_flow.flow.is_reset for open_flow in flows)
    print(f"{len(flows)} flows opened, {resets} reset, {len(broken)} held by hosts")
    if len(flows) < FLOWS:
        raise sites.CannotRunError(f"only {len(flows)} flows could be opened")
    return len(broken)


if __name__ == "__main__":
    sys.exit(sites.main(pathlib.Path(__file__).resolve().parent, case))
