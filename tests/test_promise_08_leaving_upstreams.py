"""Promise 8: a leaving upstream receives no new work after a few seconds."""

from collections import abc

import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, invariants, load, packets, site, steps

HANG_SECONDS = 120
SITE = site.Site(
    domains=("a", "b", "c"),
    pools=(
        site.PoolPlan(name="fleet-control", hosts=3, slots=8, service_seconds=0.1),
        site.PoolPlan(name="firmware", hosts=3, slots=8, service_seconds=0.1),
    ),
    balancers=2,
)
PLAN = load.LoadPlan(lines=6, seed=8)
NOTICE_SECONDS = 5.0
"""After this time no new work may come any more."""
WINDOW_SECONDS = 1.5
"""How long no new work may come."""


async def _ran(hosts: abc.Sequence[cluster_module.Host]) -> list[int]:
    return [len(await controls.upstream_executions(host)) for host in hosts]


async def _check_no_new_work(
    cluster: cluster_module.Cluster,
    taps: packets.DatagramCounts,
    leaving: abc.Sequence[cluster_module.Host],
) -> None:
    """Check a whole window; lines beside the upstreams go on sending requests."""
    await trio.sleep(NOTICE_SECONDS)
    ran = await _ran(leaving)
    asked = [packets.count(taps, host, "requests") for host in leaving]
    await trio.sleep(WINDOW_SECONDS)
    asked_after = [packets.count(taps, host, "requests") for host in leaving]
    ran_after = await _ran(leaving)
    print(f"requests {asked} to {asked_after}, executions {ran} to {ran_after}")
    assert ran_after == ran
    assert all(later > sooner for later, sooner in zip(asked_after, asked, strict=True))
    for host in leaving:
        for execution in await controls.upstream_executions(host):
            assert execution["end"] is not None
            assert not execution["cancelled"]


async def _until_new_work(hosts: abc.Sequence[cluster_module.Host]) -> None:
    ran = await _ran(hosts)
    while any(
        after <= before for after, before in zip(await _ran(hosts), ran, strict=True)
    ):
        await trio.sleep(cluster_module.POLL_SECONDS)


async def _most_asked(
    cluster: cluster_module.Cluster, taps: packets.DatagramCounts, pool: str
) -> cluster_module.Host:
    """Wait for the first requests; return the host whose lines sent most of them."""
    hosts = [host for host in cluster.hosts if host.pool == pool]

    def asked(host: cluster_module.Host) -> int:
        return packets.count(taps, host, "requests")

    await steps.wait_until(lambda: any(asked(host) for host in hosts))
    return max(hosts, key=asked)


async def _leave_and_return(
    cluster: cluster_module.Cluster, taps: packets.DatagramCounts
) -> None:
    """Drain one upstream as an operator; let another say by itself that it leaves."""
    drained = await _most_asked(cluster, taps, "fleet-control")
    by_itself = await _most_asked(cluster, taps, "firmware")
    leaving = [drained, by_itself]
    await _until_new_work(leaving)
    await steps.set_drained(cluster, drained, drained=True)
    await controls.set_upstream(by_itself, draining=True)
    await _check_no_new_work(cluster, taps, leaving)
    await steps.set_drained(cluster, drained, drained=False)
    await controls.set_upstream(by_itself, draining=False)
    await _until_new_work(leaving)


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(SITE) as cluster,
        packets.receive_metrics(cluster) as taps,
    ):
        await cluster_module.start(cluster)
        async with load.steady_load(cluster, PLAN) as running:
            await _leave_and_return(cluster, taps)
        refused = len(invariants.unanswered_requests(running))
        print(f"refusals {load.refusals(running)}, {refused} requests to the end")
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, running, log_is_complete=True) == []
        assert load.total(running, "broken_flows") == 0
        assert load.total(running, "go_aways") == 0
        assert invariants.interrupted_requests(running) == []


@pytest.mark.proof(promise=8, fault="upstream drained by operators", step="draining")
@pytest.mark.proof(promise=8, fault="upstream drains by itself", step="draining")
def test_a_leaving_upstream_gets_no_new_work_and_finishes_what_it_has() -> None:
    """Lines beside it stay and are answered by its siblings."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _scenario()

    trio.run(guarded)
