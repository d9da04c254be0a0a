"""Promise 4: a failure domain taken out receives no packets after a few seconds."""

from collections import abc

import pytest
import trio

from plantainproxy import _exceptions
from plantainproxy.rpc import operator_pb2
from standins import fault_proxy
from testbed import cluster as cluster_module
from testbed import controls, invariants, load, packets, replay, site, steps

HANG_SECONDS = 150
PLAN = load.LoadPlan(lines=6, seed=4)
NOTICE_SECONDS = 2.5
"""After this time nothing may arrive any more."""
WINDOW_SECONDS = 1.5
"""How long nothing may arrive."""
OLD_LINES = 12
"""Lines of each service whose connection IDs are sent to the end."""
OUT = "c"


async def _old_packets(
    cluster: cluster_module.Cluster, taps: packets.DatagramCounts
) -> dict[str, abc.Sequence[bytes]]:
    """Return packets of lines of which some were opened in the domain to be out."""
    found: dict[str, abc.Sequence[bytes]] = {}
    for pool, service in cluster.services.items():
        ids: list[bytes] = []
        while len(ids) < OLD_LINES or not _opened_in_domain(cluster, taps, pool):
            ids.extend(
                await replay.collect_connection_ids(service, connections=OLD_LINES)
            )
            await trio.sleep(packets.SETTLE_SECONDS)
        found[pool] = [replay.build_packet(connection_id) for connection_id in ids]
    return found


def _opened_in_domain(
    cluster: cluster_module.Cluster, taps: packets.DatagramCounts, pool: str
) -> int:
    return sum(
        packets.count(taps, host, "lines_opened")
        for host in cluster.hosts
        if host.pool == pool and host.domain == OUT
    )


async def _fabric_counts(cluster: cluster_module.Cluster) -> dict[str, int]:
    """Return how many datagrams each balancer's failure domain was sent."""
    by_balancer = (await controls.send_fabric_command(cluster))["by_balancer"]
    counts: dict[str, int] = {}
    for balancer in cluster.balancers:
        sent = by_balancer.get(str(balancer.datagrams), 0)
        counts[balancer.domain] = counts.get(balancer.domain, 0) + sent
    return counts


async def _check_silent(
    cluster: cluster_module.Cluster, taps: packets.DatagramCounts, domain: str
) -> None:
    """Nothing arrives in the domain in a whole window; elsewhere packets do."""
    await trio.sleep(NOTICE_SECONDS)
    before = packets.received_by_domain(taps, cluster)
    fabric_before = await _fabric_counts(cluster)
    await trio.sleep(WINDOW_SECONDS)
    fabric_after = await _fabric_counts(cluster)
    await trio.sleep(packets.SETTLE_SECONDS)
    grown = packets.received_by_domain(taps, cluster) - before
    print(f"datagrams in the window by domain: {dict(grown)}")
    assert grown[domain] == 0
    assert all(grown[other] > 0 for other in cluster.plan.domains if other != domain)
    assert fabric_after[domain] == fabric_before[domain]


async def _bring_back(
    cluster: cluster_module.Cluster, taps: packets.DatagramCounts, domain: str
) -> None:
    """Packets come again, to both sidecars and balancers of the domain."""
    revision = await steps.set_domain(cluster, domain, out=False)
    await steps.wait_until_revision(cluster, revision)
    await steps.wait_until_healthy(cluster, cluster.balancers)
    before = packets.received_by_domain(taps, cluster)[domain]
    await steps.wait_until(
        lambda: packets.received_by_domain(taps, cluster)[domain] > before
    )


async def _take_out(
    cluster: cluster_module.Cluster, taps: packets.DatagramCounts
) -> None:
    revision = await steps.set_domain(cluster, OUT, out=True)
    seconds = await steps.wait_until_revision(cluster, revision)
    print(f"out on all balancers after {seconds:.2f} s")
    await _check_silent(cluster, taps, OUT)


async def _take_out_in_a_race(
    cluster: cluster_module.Cluster,
    taps: packets.DatagramCounts,
    link: fault_proxy.Link,
) -> None:
    """Let two operators build on one revision, with a balancer cut from the store.

    The loser proposes again. The cut balancer has only its peers to hear it from.
    """
    link.disconnect()
    cut = cluster.balancers[1]
    await steps.wait_until_store_is(cluster, cut, state="unreachable")
    base = await steps.newest_revision(cluster)
    domain = operator_pb2.SetDomain(name=OUT, state="out")
    pool = operator_pb2.SetPool(name="firmware", max_running=3)
    requests = [
        operator_pb2.ChangeRequest(set_domain=domain, expected_revision=base),
        operator_pb2.ChangeRequest(set_pool=pool, expected_revision=base),
    ]
    through = [cluster.balancers[0], cluster.balancers[2]]
    outcomes = await steps.propose_concurrently(cluster, requests, through=through)
    assert outcomes.count(_exceptions.ErrorKind.CONFLICT) == 1
    loser = outcomes.index(_exceptions.ErrorKind.CONFLICT)
    requests[loser].expected_revision = base + 1
    revision = await cluster_module.propose(
        cluster, requests[loser], through=through[loser]
    )
    assert revision == base + 2
    seconds = await steps.wait_until_revision(cluster, revision)
    print(f"out on all balancers, one cut from the store, after {seconds:.2f} s")
    await _check_silent(cluster, taps, OUT)
    reply = await steps.status(cluster, cut)
    assert reply is not None
    assert reply.store == "unreachable"
    link.restore()


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(site.SMALL) as cluster,
        packets.receive_metrics(cluster) as taps,
        fault_proxy.open_tcp_link(cluster.store_address) as link,
    ):
        cluster.store_endpoints[cluster.balancers[1].host] = link.address
        await cluster_module.start(cluster)
        old = await _old_packets(cluster, taps)
        async with (
            load.steady_load(cluster, PLAN) as running,
            invariants.sample_revisions(cluster) as samples,
            replay.sending(cluster, old),
        ):
            await _take_out(cluster, taps)
            await _bring_back(cluster, taps, OUT)
            await _take_out_in_a_race(cluster, taps, link)
            await _bring_back(cluster, taps, OUT)
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, running, log_is_complete=True) == []
        assert invariants.revision_regressions(samples) == []
        assert load.total(running, "matches") > 0
        print(f"broken flows {load.total(running, 'broken_flows')}")


@pytest.mark.proof(promise=4, fault="domain out and in", step="running")
@pytest.mark.proof(promise=4, fault="balancer cut from the store", step="running")
@pytest.mark.proof(promise=4, fault="two operators at once", step="running")
def test_no_packets_reach_a_failure_domain_that_is_out() -> None:
    """Old connection IDs go on being sent; none of them gets there."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _scenario()

    trio.run(guarded)
