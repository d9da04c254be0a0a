"""Configuration changes under load, from caller to upstream, with real processes."""

import pytest
import trio

from plantainproxy.rpc import operator_pb2
from testbed import cluster as cluster_module
from testbed import invariants, load, site

TEST_TIMEOUT_SECONDS = 120
LOAD_SECONDS = 8.0


async def _scenario() -> None:
    async with cluster_module.running_cluster(site.SMALL) as cluster:
        plan = load.LoadPlan(lines=6, seed=3)
        async with load.run_load(cluster, plan, seconds=LOAD_SECONDS) as running_load:
            await trio.sleep(LOAD_SECONDS / 4)
            pool = operator_pb2.SetPool(name="firmware", max_running=4)
            await cluster_module.propose(
                cluster, operator_pb2.ChangeRequest(set_pool=pool), wait=True
            )
            route = operator_pb2.SetRoute(
                name="fleet-control-2",
                address=f"{cluster.allocate_host()}:{cluster_module.SERVICE_PORT}",
                pool="fleet-control",
            )
            await cluster_module.propose(
                cluster, operator_pb2.ChangeRequest(set_route=route), wait=True
            )
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, running_load, log_is_complete=True) == []
        assert load.total(running_load, "broken_flows") == 0
        assert load.total(running_load, "matches") > 0
        for report in running_load.reports.values():
            assert report.counts["lines_opened"] == plan.lines


@pytest.mark.proof(promise=1, fault="pool edited, route added", step="running")
def test_a_pool_and_a_route_change_under_traffic_without_disruption() -> None:
    """Every connection stays open and every response is complete and matches."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
