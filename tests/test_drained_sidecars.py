"""An operator's drain, with real processes: the sidecar itself tells its siblings."""

import pytest
import trio

from plantainproxy import _types
from plantainproxy.ctl import fleet_status
from plantainproxy.rpc import operator_pb2
from testbed import cluster as cluster_module
from testbed import site

HANG_SECONDS = 60
PLAN = site.Site(
    domains=("a",),
    pools=(site.PoolPlan(name="fleet-control", hosts=2, slots=5),),
    balancers=2,
)


async def _until_told(
    cluster: cluster_module.Cluster,
    host: cluster_module.Host,
    state: _types.MemberState,
) -> None:
    def is_told(fleet: fleet_status.FleetStatus) -> bool:
        return len(fleet.replies) == len(cluster.balancers) and all(
            member.state == state
            for reply in fleet.replies
            for member in reply.members
            if member.rpc_address == str(host.rpc)
        )

    await cluster_module.wait_for(is_told, cluster)


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
            await _until_told(cluster, host, state)


@pytest.mark.proof(promise=8, fault="upstream drained by operators", step="announcing")
def test_a_drained_sidecar_announces_that_it_drains() -> None:
    """Its record says so everywhere, and that it serves once the drain is over."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _scenario()

    trio.run(guarded)
