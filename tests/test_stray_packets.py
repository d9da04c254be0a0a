"""Packets of open flows reach their own upstreams, with real processes."""

from collections import abc
import pathlib
import random
import signal

import trio

from standins import flow_ends
from testbed import flow_site, stray_packets

DEADLINE_SECONDS = 55.0
NETWORK = 57
SEED = 1
FLOWS = 100
STOPS = 3
REQUEST_INTERVAL_SECONDS = 0.4
REQUEST_TIMEOUT_SECONDS = 8.0
SETTLE_SECONDS = 2.5
"""Time after the openings and after each start; longer than a window of the check."""


async def _keep_flow(site: flow_site.Site, index: int) -> None:
    """Send requests on one flow, through the balancers that have a process."""
    caller = site.caller(index)
    number = 0
    async with flow_ends.open_flow(caller, flow_site.SERVICE) as flow:
        while True:
            number += 1
            caller.balancers = site.caller(index).balancers
            payload = b"request %d" % number
            await flow.request(payload, timeout_seconds=REQUEST_TIMEOUT_SECONDS)
            await trio.sleep(REQUEST_INTERVAL_SECONDS)


async def _stop_at_once(
    site: flow_site.Site, nodes: abc.Iterable[flow_site.Node], away_seconds: float
) -> None:
    """Stop processes as planned and start them when all have ended for a time."""
    stopped = list(nodes)
    for node in stopped:
        node.signal(signal.SIGTERM)
    for node in stopped:
        assert await node.wait() == 0
    await trio.sleep(away_seconds)
    for node in stopped:
        site.start(node)
    await site.wait_until_ready(stopped)


def test_packets_of_open_flows_reach_no_other_upstreams_during_planned_work(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lookups that deliver packets to upstreams without the flow.

    A balancer that has just started has no cached flows, and while a sidecar is away,
    its flows are held by no upstream that a lookup reaches.
    """
    draw = random.Random(SEED)

    async def main() -> list[stray_packets.OpenFlow]:
        async with flow_site.running(
            tmp_path, number=NETWORK, balancers=4, upstreams=9, domains=3
        ) as site:
            async with trio.open_nursery() as nursery:
                for index in range(FLOWS):
                    nursery.start_soon(_keep_flow, site, index)
                await trio.sleep(SETTLE_SECONDS)
                for _ in range(STOPS):
                    nodes = [
                        draw.choice(site.balancers),
                        *draw.sample(site.sidecars, 2),
                    ]
                    await _stop_at_once(site, nodes, draw.uniform(1.5, 2.5))
                    await trio.sleep(SETTLE_SECONDS)
                nursery.cancel_scope.cancel()
            return stray_packets.open_flows(site.upstreams, end=trio.current_time())

    async def main_with_deadline() -> list[stray_packets.OpenFlow]:
        with trio.fail_after(DEADLINE_SECONDS):
            return await main()

    flows = trio.run(main_with_deadline)
    assert len(flows) == FLOWS
    violations = list(stray_packets.find_violations(flows))
    figures = stray_packets.measure(flows)
    assert violations == [], f"{len(violations)} violations; {figures}"
