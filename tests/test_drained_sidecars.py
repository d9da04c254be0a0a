"""A sidecar that operators drain reports its state to all balancers.

The test runs real processes.
"""

import pytest
import trio

from plantainproxy import _types
from plantainproxy.ctl import fleet_status
from plantainproxy.rpc import operator_pb2
from testbed import cluster as cluster_module
from testbed import site

TEST_TIMEOUT_SECONDS = 60
PLAN = site.Site(
    domains=("a",),
    pools=(site.PoolPlan(name="fleet-control", hosts=2, slots=5),),
    balancers=2,
)


async def _wait_until_state_reported(
    cluster: cluster_module.Cluster,
    host: cluster_module.Host,
    state: _types.MemberState,
) -> None:
    def is_reported(fleet: fleet_status.FleetStatus) -> bool:
        return len(fleet.replies) == len(cluster.balancers) and all(
            member.state == state
            for reply in fleet.replies
            for member in reply.members
            if member.rpc_address == str(host.rpc)
        )

    await cluster_module.wait_for(is_reported, cluster)


async def _scenario() -> None:
    async with cluster_module.running_cluster(PLAN) as cluster:
        host = cluster.hosts[0]
        for drained, state in (
            (True, _types.MemberState.DRAINING),
            (False, _types.MemberState.SERVING),
        ):
            change = operator_pb2.SetDrained(upstream=str(host.tunnel), drained=drained)
            await cluster_module.propose(
                cluster, operator_pb2.ChangeRequest(set_drained=change)
            )
            await _wait_until_state_reported(cluster, host, state)


@pytest.mark.proof(promise=8, fault="upstream drained by operators", step="announcing")
def test_a_drained_sidecar_announces_that_it_drains() -> None:
    """All balancers report the sidecar as draining, and as serving after the drain."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
