"""Promise 1: an established flow survives any planned change, and lost balancers."""

from collections import abc
import dataclasses

import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, invariants, load, processes, site, steps

HANG_SECONDS = 150
PLAN = load.LoadPlan(lines=8, seed=11)
STEP_SECONDS = 0.5
"""How long the callers go on after each step."""
FROZEN_SECONDS = 1.5
DISTURBED = {
    "loss": 0.05,
    "duplicate": 0.1,
    "reorder": 0.1,
    "delay_seconds": 0.005,
    "jitter_seconds": 0.005,
}
ROTATION_STEPS = 3
ROTATIONS = 2


async def _kill_and_replace(cluster: cluster_module.Cluster) -> None:
    """Kill a balancer; later another process takes its place."""
    balancer = cluster.balancers[1]
    await processes.kill(balancer.process)
    await steps.wait_until_healthy(
        cluster, [cluster.balancers[0], cluster.balancers[2]]
    )
    await trio.sleep(STEP_SECONDS)
    await cluster_module.start_balancer(cluster, balancer)
    await steps.wait_until_healthy(cluster, cluster.balancers)


async def _freeze_and_wake(cluster: cluster_module.Cluster) -> None:
    """Freeze a balancer while the fabric goes on sending to it."""
    balancer = cluster.balancers[2]
    processes.freeze(balancer.process)
    await trio.sleep(FROZEN_SECONDS)
    processes.resume(balancer.process)


async def _join(cluster: cluster_module.Cluster) -> None:
    """Let one more balancer join."""
    balancer = cluster.add_balancer(cluster.plan.domains[0])
    await cluster_module.start_balancer(cluster, balancer)
    await steps.set_fabric_balancers(cluster, cluster.balancers)


async def _stop_one(cluster: cluster_module.Cluster) -> None:
    """Let a balancer leave in order and for good."""
    balancer = cluster.balancers.pop(0)
    assert await processes.stop(balancer.process) == 0
    await steps.set_fabric_balancers(cluster, cluster.balancers)


async def _disturb_fabric(cluster: cluster_module.Cluster) -> None:
    """Lose, repeat, reorder and delay datagrams; cut a balancer off unnoticed."""
    await controls.send_fabric_command(
        cluster,
        to_balancers=DISTURBED,
        to_callers=DISTURBED,
        cut=[str(cluster.balancers[0].datagrams)],
    )
    await trio.sleep(FROZEN_SECONDS)
    await controls.send_fabric_command(cluster, to_balancers={}, to_callers={}, cut=[])


async def _edit(cluster: cluster_module.Cluster) -> None:
    """Edit a pool and a route, and remove the route again."""
    await steps.set_pool(cluster, "firmware", max_running=4)
    address = cluster.services["firmware"]
    extra = address._replace(port=address.port + 1)
    await steps.set_route(cluster, "extra", extra, "fleet-control")
    await steps.set_route(cluster, "extra", extra, "firmware")
    revision = await steps.remove_route(cluster, "extra")
    await steps.wait_until_revision(cluster, revision)


async def _drain(cluster: cluster_module.Cluster) -> None:
    """Drain one upstream of each pool for a while."""
    drained = [cluster.hosts[0], cluster.hosts[3]]
    for host in drained:
        await steps.set_drained(cluster, host, drained=True)
    await trio.sleep(3 * STEP_SECONDS)
    for host in drained:
        await steps.set_drained(cluster, host, drained=False)


async def _rotate_twice(cluster: cluster_module.Cluster) -> None:
    """Take every step of two key rotations, each in force before the next."""
    for _ in range(ROTATIONS * ROTATION_STEPS):
        await steps.rotate_keys(cluster)
        await trio.sleep(STEP_SECONDS)


STEPS: tuple[abc.Callable[[cluster_module.Cluster], abc.Awaitable[None]], ...] = (
    _kill_and_replace,
    _freeze_and_wake,
    _join,
    _stop_one,
    _disturb_fabric,
    _edit,
    _drain,
    _rotate_twice,
)


async def _check_whole(cluster: cluster_module.Cluster, running: load.Load) -> None:
    log = await invariants.read_all(cluster)
    assert invariants.violations(log, running, log_is_complete=True) == []
    assert load.total(running, "matches") > 0
    assert invariants.unanswered_requests(running) == []


async def _take_step(
    cluster: cluster_module.Cluster,
    running: load.Load,
    step: abc.Callable[[cluster_module.Cluster], abc.Awaitable[None]],
) -> None:
    before = load.total(running, "matches")
    await step(cluster)
    await trio.sleep(STEP_SECONDS)
    name = step.__name__.strip("_")
    broken = load.total(running, "broken_flows")
    answers = load.total(running, "matches") - before
    print(f"{name}: {answers} answers, {broken} broken flows")
    assert broken == 0, name
    assert answers > 0, name


async def _planned_changes(cluster: cluster_module.Cluster) -> None:
    async with load.steady_load(cluster, PLAN) as running:
        for step in STEPS:
            await _take_step(cluster, running, step)
    assert load.total(running, "lines_opened") == 2 * PLAN.lines
    assert load.total(running, "go_aways") == 0
    await _check_whole(cluster, running)


async def _stop_sidecar(cluster: cluster_module.Cluster) -> None:
    """Stop a sidecar that was not drained before and so holds lines."""
    plan = dataclasses.replace(PLAN, lines=2 * PLAN.lines, seed=12)
    async with load.steady_load(cluster, plan) as running:
        await trio.sleep(STEP_SECONDS)
        assert await processes.stop(cluster.hosts[1].sidecar) == 0
        await trio.sleep(STEP_SECONDS)
    go_aways = load.total(running, "go_aways")
    print(f"{go_aways} lines were told to go; {load.refusals(running)}")
    assert load.total(running, "broken_flows") == 0
    assert load.total(running, "open_failures") == 0
    assert go_aways > 0
    assert load.total(running, "lines_opened") == 2 * plan.lines + go_aways
    await _check_whole(cluster, running)


async def _scenario() -> None:
    async with cluster_module.running_cluster(site.SMALL) as cluster:
        await _planned_changes(cluster)
        await _stop_sidecar(cluster)


@pytest.mark.proof(promise=1, fault="balancer killed and replaced", step="running")
@pytest.mark.proof(promise=1, fault="balancer frozen and woken", step="running")
@pytest.mark.proof(promise=1, fault="balancer joins", step="running")
@pytest.mark.proof(promise=1, fault="planned stop of a balancer", step="running")
@pytest.mark.proof(
    promise=1, fault="datagrams lost, doubled, reordered, delayed", step="running"
)
@pytest.mark.proof(promise=1, fault="fabric cut off from a balancer", step="running")
@pytest.mark.proof(promise=1, fault="pool and route edited", step="running")
@pytest.mark.proof(promise=1, fault="upstream drained", step="draining")
@pytest.mark.proof(promise=1, fault="keys rotated twice", step="running")
@pytest.mark.proof(promise=1, fault="planned stop of a sidecar", step="draining")
def test_lines_survive_changes_and_are_told_before_their_sidecar_stops() -> None:
    """No line breaks, no request is lost, and every answer is whole."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _scenario()

    trio.run(guarded)
