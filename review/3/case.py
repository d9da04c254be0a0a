"""A heartbeat of another writer with a number out of range ends the sidecar."""

import asyncio
import json
import pathlib

from common import http1, site

MACHINES = 2
TIMES = 3
MAX_HEARTBEATS = 15
SLOTS_OUT_OF_RANGE = 2**64 - 1
"""What a writer in another language sends for -1 as an unsigned number."""
RESTART_SECONDS = 1.0
WATCHED_SECONDS = 1.0
HOST_BEAT_SECONDS = 1.5


async def _send(deployment: site.Site, node: site.Node, *, slots: int) -> None:
    """Send a heartbeat as another writer would, for the address of this host."""
    host = deployment.hosts[node.name]
    beat = host.heartbeat() | {"slots": slots}
    status = await http1.call(
        host.control,
        "POST",
        "/v1/instances/i-another-writer/heartbeat",
        json.dumps(beat).encode(),
        source=node.ip,
    )
    deployment.note("foreign heartbeat", node=node.name, slots=slots, status=status)


async def _has_ended(deployment: site.Site, node: site.Node) -> bool:
    try:
        async with asyncio.timeout(WATCHED_SECONDS):
            code = await deployment.wait_for_end(node)
    except TimeoutError:
        return False
    errors = [
        line for line in deployment.log_text(node).splitlines() if "Error:" in line
    ]
    deployment.note("process ended by itself", code=code, error=errors[-1:])
    return True


async def case(deployment: site.Site, with_trouble: bool) -> bool:
    """Send heartbeats of another writer beside those of the hosts."""
    for zone in ("rimouski", "matane", "riviere-du-loup"):
        deployment.add_node("balancer", zone=zone)
        deployment.add_node("sidecar", zone=zone, service="svc-a")
        deployment.add_node("sidecar", zone=zone, service="svc-a")
    deployment.configure({"feed": "svc-a"})
    await deployment.start_all()
    sidecars = [node for node in deployment.nodes if node.role == "sidecar"]
    often = []
    for node in sidecars[:MACHINES]:
        slots = SLOTS_OUT_OF_RANGE if with_trouble else 4
        ended = 0
        for _ in range(MAX_HEARTBEATS):
            await _send(deployment, node, slots=slots)
            if await _has_ended(deployment, node):
                ended += 1
                if ended == TIMES:
                    often.append(node.name)
                    break
                await asyncio.sleep(RESTART_SECONDS)
                deployment.start(node)
                await asyncio.sleep(HOST_BEAT_SECONDS)
    needed = max(2, len(deployment.nodes) / 10)
    deployment.note("machines whose process ended three times", machines=often)
    return len(often) < needed


if __name__ == "__main__":
    site.main(case, pathlib.Path(__file__).parent)
