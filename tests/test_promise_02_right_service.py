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

HANG_SECONDS = 120
PLAN = load.LoadPlan(lines=6, seed=2, timeout_seconds=3.0)
CONTROL = "fleet-control"
FIRMWARE = "firmware"
HARVESTED = 8
FORGED = 200
STEP_SECONDS = 1.0
NOTICE_SECONDS = 3.5
"""After this time no request of a moved address may run in its earlier pool."""
WINDOW_SECONDS = 1.0
MOVED_LABEL = "moved."
SEED = 2


def _arrived(cluster: cluster_module.Cluster, taps: packets.Taps, pool: str) -> int:
    return sum(
        packets.arrived(taps, host) for host in cluster.hosts if host.pool == pool
    )


async def _arrivals_of(
    cluster: cluster_module.Cluster,
    taps: packets.Taps,
    sent: dict[str, abc.Sequence[bytes]],
) -> dict[str, int]:
    """Send packets for a whole window; return how many reached each pool."""
    before = {pool: _arrived(cluster, taps, pool) for pool in cluster.services}
    async with replay.sending(cluster, sent):
        await trio.sleep(WINDOW_SECONDS)
    await trio.sleep(packets.SETTLE_SECONDS)
    return {pool: _arrived(cluster, taps, pool) - n for pool, n in before.items()}


def _forged(ids: abc.Sequence[bytes]) -> list[bytes]:
    """Make IDs of the right size and key number: random ones, and one bit changed."""
    generator = random.Random(SEED)
    number = ids[0][:1]
    size = connection_id.BYTES - 1
    made = [number + generator.randbytes(size) for _ in range(FORGED)]
    for known in ids:
        changed = bytearray(known)
        changed[1 + generator.randrange(size)] ^= 1 << generator.randrange(8)
        made.append(bytes(changed))
    return made


async def _forge_and_replay(
    cluster: cluster_module.Cluster, taps: packets.Taps
) -> None:
    """Send IDs of one service to the address of the other, and IDs of neither."""
    control = await replay.collect_connection_ids(
        cluster.services[CONTROL], connections=HARVESTED
    )
    firmware = await replay.collect_connection_ids(
        cluster.services[FIRMWARE], connections=HARVESTED
    )
    await trio.sleep(STEP_SECONDS)
    control_packets = [replay.build_packet(one) for one in control]
    firmware_packets = [replay.build_packet(one) for one in firmware]
    own = await _arrivals_of(cluster, taps, {CONTROL: control_packets})
    crossed = await _arrivals_of(
        cluster, taps, {CONTROL: firmware_packets, FIRMWARE: control_packets}
    )
    forged = [replay.build_packet(one) for one in _forged([*control, *firmware])]
    unknown = await _arrivals_of(cluster, taps, {CONTROL: forged, FIRMWARE: forged})
    print(f"arrivals: own {own}, crossed {crossed}, forged {unknown}")
    assert own[CONTROL] > 0
    assert own[FIRMWARE] == 0
    assert crossed == {CONTROL: 0, FIRMWARE: 0}
    assert unknown == {CONTROL: 0, FIRMWARE: 0}


async def _reuse_address(cluster: cluster_module.Cluster, log: invariants.Log) -> None:
    """Give the instance of one pool's sidecar to the other pool, under traffic."""
    index = next(i for i, host in enumerate(cluster.hosts) if host.pool == FIRMWARE)
    left = cluster.hosts[index]
    await processes.kill(left.sidecar)
    await trio.sleep(STEP_SECONDS)
    await invariants.read_upstream(log, left)
    await processes.kill(left.upstream)
    taken = dataclasses.replace(left, pool=CONTROL)
    cluster.hosts[index] = taken
    await cluster_module.start_host(cluster, taken)
    await cluster_module.wait_until_serving(cluster)
    await trio.sleep(STEP_SECONDS)


@contextlib.asynccontextmanager
async def _lines_to(
    cluster: cluster_module.Cluster, pool: str
) -> abc.AsyncIterator[caller.Report]:
    """Hold lines to the address that a pool had at first."""
    report = caller.Report()
    over = trio.Event()
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
        nursery.start_soon(
            functools.partial(caller.hold_lines, plan, report, over=over)
        )
        yield report
        over.set()


async def _ran_in(cluster: cluster_module.Cluster, pool: str) -> int:
    """Count the requests to the moved address that ran in one pool."""
    count = 0
    for host in cluster.hosts:
        if host.pool == pool:
            logged = await controls.upstream_executions(host)
            count += sum(str(one["token"]).startswith(MOVED_LABEL) for one in logged)
    return count


async def _check_moved(
    cluster: cluster_module.Cluster, *, left: str, taken: str
) -> None:
    await trio.sleep(NOTICE_SECONDS)
    left_before = await _ran_in(cluster, left)
    taken_before = await _ran_in(cluster, taken)
    await trio.sleep(WINDOW_SECONDS)
    assert await _ran_in(cluster, left) == left_before
    assert await _ran_in(cluster, taken) > taken_before


async def _move_address(cluster: cluster_module.Cluster) -> None:
    """Point one pool's address at the other pool, and back, under traffic."""
    address = cluster.services[FIRMWARE]
    async with _lines_to(cluster, FIRMWARE) as report:
        await trio.sleep(STEP_SECONDS)
        assert await _ran_in(cluster, CONTROL) == 0
        assert await _ran_in(cluster, FIRMWARE) > 0
        await steps.set_route(cluster, FIRMWARE, address, CONTROL)
        await _check_moved(cluster, left=FIRMWARE, taken=CONTROL)
        await steps.set_route(cluster, FIRMWARE, address, FIRMWARE)
        await _check_moved(cluster, left=CONTROL, taken=FIRMWARE)
    print(f"moved: {report.counts}")
    for told in report.told.values():
        if "matches" not in told.answers:
            print(f"not answered: {told}")
    log = await invariants.read_all(cluster)
    assert list(invariants.untrue_refusals(log, {FIRMWARE: report})) == []
    assert report.counts["broken_flows"] == 0
    assert report.counts["mismatched"] == 0
    assert report.counts["truncated"] == 0


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(site.SMALL) as cluster,
        packets.opened(cluster) as taps,
    ):
        await cluster_module.start(cluster)
        await _forge_and_replay(cluster, taps)
        await _move_address(cluster)
        kept = invariants.Log()
        async with load.held(cluster, PLAN) as running:
            await trio.sleep(STEP_SECONDS)
            await _reuse_address(cluster, kept)
        log = await invariants.read_all(cluster)
        log.by_upstream.update(kept.by_upstream)
        print(f"reused: {running.reports[FIRMWARE].counts}")
        assert list(invariants.doubled(log)) == []
        judged = invariants.without_label(log, MOVED_LABEL)
        assert invariants.violations(judged, running, log_is_whole=True) == []
        assert load.total(running, "matches") > 0


@pytest.mark.proof(promise=2, fault="connection IDs forged or replayed", step="idle")
@pytest.mark.proof(promise=2, fault="address moved between pools", step="running")
@pytest.mark.proof(promise=2, fault="instance reused by another pool", step="running")
def test_no_packet_reaches_another_service() -> None:
    """Forged, replayed, moved and reused: each service sees only its own."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _scenario()

    trio.run(guarded)
