"""A heartbeat without a start time, after a planned restart, resets open flows."""

import asyncio
import json
import pathlib
import random
import signal
import time

from common import ends, http1, site

RESTART_SECONDS = 0.5
GAP_SECONDS = 2.0
FLOWS_PER_CLIENT = 60
MAX_PAUSE_SECONDS = 3.0
FLOW_TTL_SECONDS = 60.0


class Users:
    """Clients that keep flows open, and the resets that they get."""

    def __init__(self, deployment: site.Site) -> None:
        """Start without a reset."""
        self.deployment = deployment
        self.answers = 0
        self.resets = 0
        """Resets of flows that count: open at a host that lives."""

    async def keep_flow(self, client: ends.Client) -> None:
        """Keep a flow open and send a request after each pause."""
        while True:
            flow = client.new_flow(self.deployment.service_end("feed"))
            if await flow.open():
                await self._send_requests(flow)
            flow.close()
            await asyncio.sleep(0.2)

    async def _send_requests(self, flow: ends.Flow) -> None:
        opened_at = time.monotonic()
        while await flow.request("/feed", seconds=4.0) is not None:
            self.answers += 1
            await asyncio.sleep(random.random() * MAX_PAUSE_SECONDS)
        holders = [
            host.name
            for host in self.deployment.hosts.values()
            if flow.end in host.flows and host.flows[flow.end].is_open
        ]
        age = time.monotonic() - opened_at
        if flow.state == "reset" and holders and age < FLOW_TTL_SECONDS:
            self.resets += 1
            self.deployment.note(
                "reset of an open flow",
                flow=flow.end[1],
                held_by=holders[0],
                age=round(age, 1),
            )


async def _write_heartbeats(deployment: site.Site, node: site.Node) -> None:
    """Send heartbeats as another writer, which leaves out the field ``born``."""
    host = deployment.hosts[node.name]
    interval = node.settings["heartbeat_ms"] / 1_000
    await asyncio.sleep(random.random() * interval)
    number = 0
    while True:
        number += 1
        beat = {
            "service": node.settings["service"],
            "addr": node.settings["app"],
            "state": "ready",
            "slots": host.slot_count,
            "cold_left_ms": 0,
            "seq": number,
        }
        await http1.call(
            host.control,
            "POST",
            "/v1/instances/i-another-writer/heartbeat",
            json.dumps(beat).encode(),
            source=node.ip,
        )
        await asyncio.sleep(interval)


async def case(deployment: site.Site, with_trouble: bool) -> bool:
    """Stop the nodes beside hosts in turn, and start them again."""
    zones = ("rimouski", "matane", "riviere-du-loup")
    for zone in zones:
        deployment.add_node("balancer", zone=zone)
        deployment.add_node("sidecar", zone=zone, service="svc-a")
        deployment.add_node("sidecar", zone=zone, service="svc-a")
    deployment.configure({"feed": "svc-a"})
    await deployment.start_all()
    users = Users(deployment)
    tasks = []
    for number, zone in enumerate(zones):
        client = deployment.client(number, zone=zone)
        await client.start()
        tasks += [
            asyncio.create_task(users.keep_flow(client))
            for _ in range(FLOWS_PER_CLIENT)
        ]
    await asyncio.sleep(3.0)
    if not users.answers:
        raise site.NotRunError("no request was answered before the disruption")
    sidecars = [node for node in deployment.nodes if node.role == "sidecar"]
    if with_trouble:
        tasks += [
            asyncio.create_task(_write_heartbeats(deployment, node))
            for node in sidecars
        ]
    await asyncio.sleep(2.0)
    deployment.note("other writer begins, so far no restart", resets=users.resets)
    for node in sidecars:
        if with_trouble:
            assert node.process is not None
            deployment.note("SIGTERM", node=node.name)
            node.process.send_signal(signal.SIGTERM)
            await deployment.wait_for_end(node)
        await asyncio.sleep(RESTART_SECONDS)
        if with_trouble:
            deployment.start(node)
        await asyncio.sleep(GAP_SECONDS)
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    deployment.note("resets of open flows that count", count=users.resets)
    return not users.resets


if __name__ == "__main__":
    site.main(case, pathlib.Path(__file__).parent)
