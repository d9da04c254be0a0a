"""Promise 2: a packet meant for one service never reaches another."""

from collections import abc
import contextlib
import dataclasses
import functools
import math
import random

import pytest
import trio

from plantainproxy.wire import connection_id
from standins import caller
from testbed import cluster as cluster_module
from testbed import controls, invariants, load, packets, processes, replay, site, steps

TEST_TIMEOUT_SECONDS = 120
PLAN = load.LoadPlan(lines=6, seed=2, timeout_seconds=3.0)
CONTROL = "fleet-control"
FIRMWARE = "firmware"
CONNECTIONS_PER_SERVICE = 8
RANDOM_ID_COUNT = 200
STEP_SECONDS = 1.0
MOVE_DEADLINE_SECONDS = 3.5
"""Requests may start in the previous pool for this time after an address moves."""
OBSERVATION_SECONDS = 1.0
MOVED_LABEL = "moved."
SEED = 2


def _received_by_pool(
    cluster: cluster_module.Cluster, datagram_counts: packets.DatagramCounts, pool: str
) -> int:
    return sum(
        packets.received_datagrams(datagram_counts, host)
        for host in cluster.hosts
        if host.pool == pool
    )


async def _send_and_count_received(
    cluster: cluster_module.Cluster,
    datagram_counts: packets.DatagramCounts,
    packets_by_pool: dict[str, abc.Sequence[bytes]],
) -> dict[str, int]:
    """Send packets for ``OBSERVATION_SECONDS``; return how many reached each pool."""
    before = {
        pool: _received_by_pool(cluster, datagram_counts, pool)
        for pool in cluster.services
    }
    async with replay.sending(cluster, packets_by_pool):
        await trio.sleep(OBSERVATION_SECONDS)
    await trio.sleep(packets.SETTLE_SECONDS)
    return {
        pool: _received_by_pool(cluster, datagram_counts, pool) - n
        for pool, n in before.items()
    }


def _forge_ids(ids: abc.Sequence[bytes]) -> list[bytes]:
    """Return random IDs and valid IDs with one flipped bit.

    All have the size and key number of valid IDs, so the key lookup accepts them.
    """
    generator = random.Random(SEED)
    number = ids[0][:1]
    size = connection_id.BYTES - 1
    forged_ids = [number + generator.randbytes(size) for _ in range(RANDOM_ID_COUNT)]
    for valid_id in ids:
        altered_id = bytearray(valid_id)
        altered_id[1 + generator.randrange(size)] ^= 1 << generator.randrange(8)
        forged_ids.append(bytes(altered_id))
    return forged_ids


async def _forge_and_replay(
    cluster: cluster_module.Cluster, datagram_counts: packets.DatagramCounts
) -> None:
    """Send IDs of each service to the other's address, and forged IDs to both."""
    control_ids = await replay.collect_connection_ids(
        cluster.services[CONTROL], connections=CONNECTIONS_PER_SERVICE
    )
    firmware_ids = await replay.collect_connection_ids(
        cluster.services[FIRMWARE], connections=CONNECTIONS_PER_SERVICE
    )
    await trio.sleep(STEP_SECONDS)
    control_packets = [replay.build_packet(id_bytes) for id_bytes in control_ids]
    firmware_packets = [replay.build_packet(id_bytes) for id_bytes in firmware_ids]
    matching_counts = await _send_and_count_received(
        cluster, datagram_counts, {CONTROL: control_packets}
    )
    crossed_counts = await _send_and_count_received(
        cluster, datagram_counts, {CONTROL: firmware_packets, FIRMWARE: control_packets}
    )
    forged_packets = [
        replay.build_packet(id_bytes)
        for id_bytes in _forge_ids([*control_ids, *firmware_ids])
    ]
    forged_counts = await _send_and_count_received(
        cluster, datagram_counts, {CONTROL: forged_packets, FIRMWARE: forged_packets}
    )
    print(
        f"datagrams received: matching {matching_counts}, crossed {crossed_counts}, "
        f"forged {forged_counts}"
    )
    assert matching_counts[CONTROL] > 0
    assert matching_counts[FIRMWARE] == 0
    assert crossed_counts == {CONTROL: 0, FIRMWARE: 0}
    assert forged_counts == {CONTROL: 0, FIRMWARE: 0}


async def _reuse_address(
    cluster: cluster_module.Cluster, log: invariants.ExecutionLog
) -> None:
    """Reassign an instance from one pool to the other under load."""
    index = next(i for i, host in enumerate(cluster.hosts) if host.pool == FIRMWARE)
    previous_host = cluster.hosts[index]
    await processes.kill(previous_host.sidecar)
    await trio.sleep(STEP_SECONDS)
    await invariants.read_upstream(log, previous_host)
    await processes.kill(previous_host.upstream)
    new_host = dataclasses.replace(previous_host, pool=CONTROL)
    cluster.hosts[index] = new_host
    await cluster_module.start_host(cluster, new_host)
    await cluster_module.wait_until_serving(cluster)
    await trio.sleep(STEP_SECONDS)


@contextlib.asynccontextmanager
async def _connections_to(
    cluster: cluster_module.Cluster, pool: str
) -> abc.AsyncIterator[caller.Report]:
    """Keep connections open to the original address of a pool, under load."""
    report = caller.Report()
    stop = trio.Event()
    plan = caller.Plan(
        service=cluster.services[pool],
        lines=PLAN.lines,
        seconds=math.inf,
        gets_per_second=PLAN.gets_per_second,
        posts_per_second=PLAN.posts_per_second,
        timeout_seconds=PLAN.timeout_seconds,
        seed=SEED,
        label=MOVED_LABEL,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(functools.partial(caller.run_plan, plan, report, stop=stop))
        yield report
        stop.set()


async def _count_executions(cluster: cluster_module.Cluster, pool: str) -> int:
    """Return how many requests to the moved address ran in a pool."""
    count = 0
    for host in cluster.hosts:
        if host.pool == pool:
            executions = await controls.upstream_executions(host)
            count += sum(
                str(execution["token"]).startswith(MOVED_LABEL)
                for execution in executions
            )
    return count


async def _check_requests_moved(
    cluster: cluster_module.Cluster, *, previous_pool: str, new_pool: str
) -> None:
    await trio.sleep(MOVE_DEADLINE_SECONDS)
    previous_pool_count = await _count_executions(cluster, previous_pool)
    new_pool_count = await _count_executions(cluster, new_pool)
    await trio.sleep(OBSERVATION_SECONDS)
    assert await _count_executions(cluster, previous_pool) == previous_pool_count
    assert await _count_executions(cluster, new_pool) > new_pool_count


async def _move_address(cluster: cluster_module.Cluster) -> None:
    """Route one pool's address to the other pool and back, under load."""
    address = cluster.services[FIRMWARE]
    async with _connections_to(cluster, FIRMWARE) as report:
        await trio.sleep(STEP_SECONDS)
        assert await _count_executions(cluster, CONTROL) == 0
        assert await _count_executions(cluster, FIRMWARE) > 0
        await steps.set_route(cluster, FIRMWARE, address, CONTROL)
        await _check_requests_moved(cluster, previous_pool=FIRMWARE, new_pool=CONTROL)
        await steps.set_route(cluster, FIRMWARE, address, FIRMWARE)
        await _check_requests_moved(cluster, previous_pool=CONTROL, new_pool=FIRMWARE)
    print(f"moved address: {report.counts}")
    for record in report.request_records.values():
        if "matches" not in record.answers:
            print(f"no complete response: {record}")
    log = await invariants.read_all(cluster)
    assert list(invariants.false_refusals(log, {FIRMWARE: report})) == []
    assert report.counts["broken_flows"] == 0
    assert report.counts["mismatched"] == 0
    assert report.counts["truncated"] == 0


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(site.SMALL) as cluster,
        packets.receive_metrics(cluster) as datagram_counts,
    ):
        await cluster_module.start(cluster)
        await _forge_and_replay(cluster, datagram_counts)
        await _move_address(cluster)
        earlier_log = invariants.ExecutionLog()
        async with load.steady_load(cluster, PLAN) as running_load:
            await trio.sleep(STEP_SECONDS)
            await _reuse_address(cluster, earlier_log)
        log = await invariants.read_all(cluster)
        log.by_upstream.update(earlier_log.by_upstream)
        print(f"reused instance: {running_load.reports[FIRMWARE].counts}")
        assert list(invariants.duplicate_executions(log)) == []
        unmoved_log = invariants.without_label(log, MOVED_LABEL)
        assert (
            invariants.violations(unmoved_log, running_load, log_is_complete=True) == []
        )
        assert load.total(running_load, "matches") > 0


@pytest.mark.proof(promise=2, fault="connection IDs forged or replayed", step="idle")
@pytest.mark.proof(promise=2, fault="address moved between pools", step="running")
@pytest.mark.proof(promise=2, fault="instance reused by another pool", step="running")
def test_no_packet_reaches_another_service() -> None:
    """Holds for forged and replayed IDs, moved addresses and reused instances."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
