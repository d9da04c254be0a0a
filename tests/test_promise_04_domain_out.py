"""Promise 4: a failure domain taken out receives no packets after a few seconds.

Callers keep sending packets with connection IDs that name upstreams in the domain.
Balancers must no longer forward them there once the change is active.
"""

from collections import abc

import pytest
import trio

from plantainproxy import _exceptions
from plantainproxy.rpc import operator_pb2
from standins import fault_proxy
from testbed import cluster as cluster_module
from testbed import controls, invariants, load, packets, replay, site, steps

TEST_TIMEOUT_SECONDS = 150
LOAD_PLAN = load.LoadPlan(lines=6, seed=4)
CONVERGENCE_SECONDS = 2.5
"""Datagrams may still reach the domain for this time after the change is active."""
OBSERVATION_SECONDS = 1.5
"""Length of the interval in which no datagram may reach the domain."""
CONNECTIONS_PER_SERVICE = 12
"""Minimum number of connections per service whose IDs are replayed."""
OUT_DOMAIN = "c"


async def _collect_packets(
    cluster: cluster_module.Cluster, datagram_counts: packets.DatagramCounts
) -> dict[str, abc.Sequence[bytes]]:
    """Return packets with the IDs of real connections, by pool.

    At least one connection of each pool was opened in ``OUT_DOMAIN``.
    """
    packets_by_pool: dict[str, abc.Sequence[bytes]] = {}
    for pool, service in cluster.services.items():
        connection_ids: list[bytes] = []
        while len(
            connection_ids
        ) < CONNECTIONS_PER_SERVICE or not _count_connections_in_out_domain(
            cluster, datagram_counts, pool
        ):
            connection_ids.extend(
                await replay.collect_connection_ids(
                    service, connections=CONNECTIONS_PER_SERVICE
                )
            )
            await trio.sleep(packets.SETTLE_SECONDS)
        packets_by_pool[pool] = [
            replay.build_packet(connection_id) for connection_id in connection_ids
        ]
    return packets_by_pool


def _count_connections_in_out_domain(
    cluster: cluster_module.Cluster, datagram_counts: packets.DatagramCounts, pool: str
) -> int:
    return sum(
        packets.count(datagram_counts, host, "lines_opened")
        for host in cluster.hosts
        if host.pool == pool and host.domain == OUT_DOMAIN
    )


async def _fabric_counts_by_domain(cluster: cluster_module.Cluster) -> dict[str, int]:
    """Return how many datagrams the fabric sent to the balancers of each domain."""
    by_balancer = (await controls.send_fabric_command(cluster))["by_balancer"]
    counts: dict[str, int] = {}
    for balancer in cluster.balancers:
        sent = by_balancer.get(str(balancer.datagrams), 0)
        counts[balancer.domain] = counts.get(balancer.domain, 0) + sent
    return counts


async def _check_no_datagrams_received(
    cluster: cluster_module.Cluster,
    datagram_counts: packets.DatagramCounts,
    domain: str,
) -> None:
    """Check that datagrams reach every other domain but not ``domain``.

    Counts datagrams at sidecars and those the fabric sends to the domain's balancers.
    """
    await trio.sleep(CONVERGENCE_SECONDS)
    before = packets.received_by_domain(datagram_counts, cluster)
    fabric_before = await _fabric_counts_by_domain(cluster)
    await trio.sleep(OBSERVATION_SECONDS)
    fabric_after = await _fabric_counts_by_domain(cluster)
    await trio.sleep(packets.SETTLE_SECONDS)
    increase = packets.received_by_domain(datagram_counts, cluster) - before
    print(f"datagrams in the interval by domain: {dict(increase)}")
    assert increase[domain] == 0
    assert all(increase[other] > 0 for other in cluster.plan.domains if other != domain)
    assert fabric_after[domain] == fabric_before[domain]


async def _put_domain_in(
    cluster: cluster_module.Cluster,
    datagram_counts: packets.DatagramCounts,
    domain: str,
) -> None:
    """Put the domain in; wait until its balancers and sidecars receive packets."""
    revision = await steps.set_domain(cluster, domain, out=False)
    await steps.wait_until_revision(cluster, revision)
    await steps.wait_until_healthy(cluster, cluster.balancers)
    before = packets.received_by_domain(datagram_counts, cluster)[domain]
    await steps.wait_until(
        lambda: packets.received_by_domain(datagram_counts, cluster)[domain] > before
    )


async def _take_domain_out(
    cluster: cluster_module.Cluster, datagram_counts: packets.DatagramCounts
) -> None:
    revision = await steps.set_domain(cluster, OUT_DOMAIN, out=True)
    seconds = await steps.wait_until_revision(cluster, revision)
    print(f"domain out on all balancers after {seconds:.2f} s")
    await _check_no_datagrams_received(cluster, datagram_counts, OUT_DOMAIN)


async def _take_domain_out_concurrently(
    cluster: cluster_module.Cluster,
    datagram_counts: packets.DatagramCounts,
    link: fault_proxy.Link,
) -> None:
    """Take the domain out while another operator changes a pool.

    Both changes expect the same revision, so one is rejected and proposed again. One
    balancer is partitioned from the store and can get the changes only from its peers.
    """
    link.disconnect()
    partitioned = cluster.balancers[1]
    await steps.wait_until_store_is(cluster, partitioned, state="unreachable")
    base_revision = await steps.newest_revision(cluster)
    domain_edit = operator_pb2.SetDomain(name=OUT_DOMAIN, state="out")
    pool_edit = operator_pb2.SetPool(name="firmware", max_running=3)
    requests = [
        operator_pb2.ChangeRequest(
            set_domain=domain_edit, expected_revision=base_revision
        ),
        operator_pb2.ChangeRequest(set_pool=pool_edit, expected_revision=base_revision),
    ]
    through = [cluster.balancers[0], cluster.balancers[2]]
    outcomes = await steps.propose_concurrently(cluster, requests, through=through)
    assert outcomes.count(_exceptions.ErrorKind.CONFLICT) == 1
    rejected = outcomes.index(_exceptions.ErrorKind.CONFLICT)
    requests[rejected].expected_revision = base_revision + 1
    revision = await cluster_module.propose(
        cluster, requests[rejected], through=through[rejected]
    )
    assert revision == base_revision + 2
    seconds = await steps.wait_until_revision(cluster, revision)
    print(f"domain out on all balancers after {seconds:.2f} s, one without the store")
    await _check_no_datagrams_received(cluster, datagram_counts, OUT_DOMAIN)
    reply = await steps.status(cluster, partitioned)
    assert reply is not None
    assert reply.store == "unreachable"
    link.restore()


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(site.SMALL) as cluster,
        packets.receive_metrics(cluster) as datagram_counts,
        fault_proxy.open_tcp_link(cluster.store_address) as link,
    ):
        cluster.store_endpoints[cluster.balancers[1].host] = link.address
        await cluster_module.start(cluster)
        recorded_packets = await _collect_packets(cluster, datagram_counts)
        async with (
            load.steady_load(cluster, LOAD_PLAN) as running_load,
            invariants.sample_revisions(cluster) as samples,
            replay.sending(cluster, recorded_packets),
        ):
            await _take_domain_out(cluster, datagram_counts)
            await _put_domain_in(cluster, datagram_counts, OUT_DOMAIN)
            await _take_domain_out_concurrently(cluster, datagram_counts, link)
            await _put_domain_in(cluster, datagram_counts, OUT_DOMAIN)
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, running_load, log_is_complete=True) == []
        assert invariants.revision_regressions(samples) == []
        assert load.total(running_load, "matches") > 0
        print(f"broken flows {load.total(running_load, 'broken_flows')}")


@pytest.mark.proof(promise=4, fault="domain out and in", step="running")
@pytest.mark.proof(promise=4, fault="balancer cut from the store", step="running")
@pytest.mark.proof(promise=4, fault="two operators at once", step="running")
def test_no_packets_reach_a_failure_domain_that_is_out() -> None:
    """No packet reaches the domain, although earlier connection IDs are replayed."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
