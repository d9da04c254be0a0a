"""Promise 8: a draining upstream receives no new requests after a few seconds.

Requests that run when the drain begins must complete, and connections at its sidecar
must stay open.
"""

from collections import abc

import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, invariants, load, packets, site, steps

TEST_TIMEOUT_SECONDS = 120
SITE = site.Site(
    domains=("a", "b", "c"),
    pools=(
        site.PoolPlan(name="fleet-control", hosts=3, slots=8, service_seconds=0.1),
        site.PoolPlan(name="firmware", hosts=3, slots=8, service_seconds=0.1),
    ),
    balancers=2,
)
LOAD_PLAN = load.LoadPlan(lines=6, seed=8)
CONVERGENCE_SECONDS = 5.0
"""Requests may still start on an upstream for this time after its drain begins."""
OBSERVATION_SECONDS = 1.5
"""Length of the interval in which no request may start there."""


async def _count_executions(hosts: abc.Sequence[cluster_module.Host]) -> list[int]:
    return [len(await controls.upstream_executions(host)) for host in hosts]


async def _check_no_new_work(
    cluster: cluster_module.Cluster,
    datagram_counts: packets.DatagramCounts,
    draining_hosts: abc.Sequence[cluster_module.Host],
) -> None:
    """Check that no request starts on the hosts and that earlier ones completed.

    Connections at the hosts' own sidecars still send requests during the check.
    """
    await trio.sleep(CONVERGENCE_SECONDS)
    executions_before = await _count_executions(draining_hosts)
    requests_before = [
        packets.count(datagram_counts, host, "requests") for host in draining_hosts
    ]
    await trio.sleep(OBSERVATION_SECONDS)
    requests_after = [
        packets.count(datagram_counts, host, "requests") for host in draining_hosts
    ]
    executions_after = await _count_executions(draining_hosts)
    print(
        f"requests {requests_before} to {requests_after}, "
        f"executions {executions_before} to {executions_after}"
    )
    assert executions_after == executions_before
    assert all(
        later > earlier
        for later, earlier in zip(requests_after, requests_before, strict=True)
    )
    for host in draining_hosts:
        for execution in await controls.upstream_executions(host):
            assert execution["end"] is not None
            assert not execution["cancelled"]


async def _wait_for_new_work(hosts: abc.Sequence[cluster_module.Host]) -> None:
    executions_before = await _count_executions(hosts)
    while any(
        after <= before
        for after, before in zip(
            await _count_executions(hosts), executions_before, strict=True
        )
    ):
        await trio.sleep(cluster_module.POLL_SECONDS)


async def _host_with_most_requests(
    cluster: cluster_module.Cluster, datagram_counts: packets.DatagramCounts, pool: str
) -> cluster_module.Host:
    """Wait for requests; return the host whose sidecar received most of them."""
    hosts = [host for host in cluster.hosts if host.pool == pool]

    def request_count(host: cluster_module.Host) -> int:
        return packets.count(datagram_counts, host, "requests")

    await steps.wait_until(lambda: any(request_count(host) for host in hosts))
    return max(hosts, key=request_count)


async def _drain_and_undrain(
    cluster: cluster_module.Cluster, datagram_counts: packets.DatagramCounts
) -> None:
    """Drain one upstream by operator command; another reports itself as draining."""
    drained = await _host_with_most_requests(cluster, datagram_counts, "fleet-control")
    self_draining = await _host_with_most_requests(cluster, datagram_counts, "firmware")
    draining_hosts = [drained, self_draining]
    await _wait_for_new_work(draining_hosts)
    await steps.set_drained(cluster, drained, drained=True)
    await controls.set_upstream(self_draining, draining=True)
    await _check_no_new_work(cluster, datagram_counts, draining_hosts)
    await steps.set_drained(cluster, drained, drained=False)
    await controls.set_upstream(self_draining, draining=False)
    await _wait_for_new_work(draining_hosts)


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(SITE) as cluster,
        packets.receive_metrics(cluster) as datagram_counts,
    ):
        await cluster_module.start(cluster)
        async with load.steady_load(cluster, LOAD_PLAN) as running_load:
            await _drain_and_undrain(cluster, datagram_counts)
        unanswered_count = len(invariants.unanswered_requests(running_load))
        print(
            f"refusals {load.refusals(running_load)}, "
            f"{unanswered_count} requests never completed"
        )
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, running_load, log_is_complete=True) == []
        assert load.total(running_load, "broken_flows") == 0
        assert load.total(running_load, "go_aways") == 0
        assert invariants.interrupted_requests(running_load) == []


@pytest.mark.proof(promise=8, fault="upstream drained by operators", step="draining")
@pytest.mark.proof(promise=8, fault="upstream drains by itself", step="draining")
def test_a_leaving_upstream_gets_no_new_work_and_finishes_what_it_has() -> None:
    """Connections at its sidecar stay open; siblings run their new requests."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
