"""Planned work: a node beside a host that leaves is restarted just before the end."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common3 import ends, site as sites

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
LEAVE_AFTER_START_SECONDS = 0.4
"""Time from the start of the node's next process until its host deregisters."""
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


async def case(site: sites.Site, is_disrupted: bool) -> int:
    """Play the case; return the number of flows that were reset."""
    await start_site(site)
    broken: list[ends.ClientFlow] = []

    def check_reset(flow: ends.ClientFlow) -> None:
        for host in site.hosts.values():
            held = host.flows.get(flow.key)
            if host.is_alive and held is not None and held.is_open:
                site.record.write("FLOW broken", flow=flow.key, host=host.name)
                broken.append(flow)

    clients = [
        await site.add_client(number + 1, zone) for number, zone in enumerate(ZONES)
    ]
    for client in clients:
        client.on_reset = check_reset
    flows = [clients[number % len(clients)].new_flow(ROUTE) for number in range(FLOWS)]
    opened = 0
    for flow in flows:
        opened += await flow.open()
        await asyncio.sleep(0.02)
    if opened < FLOWS:
        raise sites.CannotRunError(f"only {opened} flows could be opened")
    await asyncio.sleep(3.0)
    leaving = site.hosts["side-0"]
    on_leaving = [flow for flow in flows if flow.key in leaving.flows]
    leaving.state = "draining"
    while not await leaving.send_heartbeat():
        await asyncio.sleep(0.1)
    acknowledged_at = time.monotonic()
    await asyncio.sleep(RESTART_AFTER_SECONDS)
    due_in = leaving.next_heartbeat_at - time.monotonic()
    if due_in < RESTART_BEFORE_HEARTBEAT_SECONDS:
        due_in += leaving.heartbeat_seconds
    await asyncio.sleep(due_in - RESTART_BEFORE_HEARTBEAT_SECONDS)
    if is_disrupted:
        await site.stop_and_start(site.nodes["side-0"])
    await asyncio.sleep(LEAVE_AFTER_START_SECONDS - 0.1)
    requests = [
        asyncio.create_task(flow.request(f"push-{number}", deadline=DEADLINE_SECONDS))
        for number, flow in enumerate(on_leaving[:FLOWS_IN_USE])
    ]
    await asyncio.sleep(0.1)
    served = time.monotonic() - acknowledged_at
    site.record.write("leaves", host=leaving.name, seconds_after_ack=round(served, 3))
    running = leaving.running
    await leaving.leave()
    outcomes = await asyncio.gather(*requests)
    print(
        f"{running} requests ran when the port was closed; outcomes: "
        f"{sorted(outcomes)}; {len(broken)} flows reset while their host held them"
    )
    if running < 1:
        raise sites.CannotRunError("no request reached the host before it left")
    return len(broken)


if __name__ == "__main__":
    sys.exit(sites.main(pathlib.Path(__file__).resolve().parent, case))
