"""Promise 1: established flows survive planned changes and the loss of balancers."""

from collections import abc
import dataclasses

import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, invariants, load, processes, site, steps

TEST_TIMEOUT_SECONDS = 150
PLAN = load.LoadPlan(lines=8, seed=11)
STEP_SECONDS = 0.5
"""The load continues for this time after each step."""
FAULT_SECONDS = 1.5
FABRIC_FAULTS = {
    "loss": 0.05,
    "duplicate": 0.1,
    "reorder": 0.1,
    "delay_seconds": 0.005,
    "jitter_seconds": 0.005,
}
ROTATION_STEPS = 3
ROTATIONS = 2


async def _kill_and_replace_balancer(cluster: cluster_module.Cluster) -> None:
    """Kill a balancer and later start another process at its addresses."""
    balancer = cluster.balancers[1]
    await processes.kill(balancer.process)
    await steps.wait_until_healthy(
        cluster, [cluster.balancers[0], cluster.balancers[2]]
    )
    await trio.sleep(STEP_SECONDS)
    await cluster_module.start_balancer(cluster, balancer)
    await steps.wait_until_healthy(cluster, cluster.balancers)


async def _freeze_and_resume_balancer(cluster: cluster_module.Cluster) -> None:
    """Freeze a balancer while the fabric keeps sending to it, then resume it."""
    balancer = cluster.balancers[2]
    processes.freeze(balancer.process)
    await trio.sleep(FAULT_SECONDS)
    processes.resume(balancer.process)


async def _add_balancer(cluster: cluster_module.Cluster) -> None:
    """Start one more balancer and route packets to it."""
    balancer = cluster.add_balancer(cluster.plan.domains[0])
    await cluster_module.start_balancer(cluster, balancer)
    await steps.set_fabric_balancers(cluster, cluster.balancers)


async def _stop_balancer(cluster: cluster_module.Cluster) -> None:
    """Stop a balancer gracefully and remove it for good."""
    balancer = cluster.balancers.pop(0)
    assert await processes.stop(balancer.process) == 0
    await steps.set_fabric_balancers(cluster, cluster.balancers)


async def _inject_fabric_faults(cluster: cluster_module.Cluster) -> None:
    """Lose, duplicate, reorder and delay datagrams, and partition a balancer.

    Health checks of the partitioned balancer still pass, so the fabric keeps sending
    datagrams to it.
    """
    await controls.send_fabric_command(
        cluster,
        to_balancers=FABRIC_FAULTS,
        to_callers=FABRIC_FAULTS,
        cut=[str(cluster.balancers[0].datagrams)],
    )
    await trio.sleep(FAULT_SECONDS)
    await controls.send_fabric_command(cluster, to_balancers={}, to_callers={}, cut=[])


async def _edit_pool_and_route(cluster: cluster_module.Cluster) -> None:
    """Edit a pool, add a route, move it to another pool and remove it again."""
    await steps.set_pool(cluster, "firmware", max_running=4)
    address = cluster.services["firmware"]
    extra_address = address._replace(port=address.port + 1)
    await steps.set_route(cluster, "extra", extra_address, "fleet-control")
    await steps.set_route(cluster, "extra", extra_address, "firmware")
    revision = await steps.remove_route(cluster, "extra")
    await steps.wait_until_revision(cluster, revision)


async def _drain_upstreams(cluster: cluster_module.Cluster) -> None:
    """Drain one upstream of each pool for a while."""
    drained = [cluster.hosts[0], cluster.hosts[3]]
    for host in drained:
        await steps.set_drained(cluster, host, drained=True)
    await trio.sleep(3 * STEP_SECONDS)
    for host in drained:
        await steps.set_drained(cluster, host, drained=False)


async def _rotate_keys_twice(cluster: cluster_module.Cluster) -> None:
    """Run every step of two key rotations; each is active before the next."""
    for _ in range(ROTATIONS * ROTATION_STEPS):
        await steps.rotate_keys(cluster)
        await trio.sleep(STEP_SECONDS)


STEPS: tuple[abc.Callable[[cluster_module.Cluster], abc.Awaitable[None]], ...] = (
    _kill_and_replace_balancer,
    _freeze_and_resume_balancer,
    _add_balancer,
    _stop_balancer,
    _inject_fabric_faults,
    _edit_pool_and_route,
    _drain_upstreams,
    _rotate_keys_twice,
)


async def _check_invariants(
    cluster: cluster_module.Cluster, running_load: load.Load
) -> None:
    log = await invariants.read_all(cluster)
    assert invariants.violations(log, running_load, log_is_complete=True) == []
    assert load.total(running_load, "matches") > 0
    assert invariants.unanswered_requests(running_load) == []


async def _run_step(
    cluster: cluster_module.Cluster,
    running_load: load.Load,
    step: abc.Callable[[cluster_module.Cluster], abc.Awaitable[None]],
) -> None:
    answers_before = load.total(running_load, "matches")
    await step(cluster)
    await trio.sleep(STEP_SECONDS)
    name = step.__name__.strip("_")
    broken_flows = load.total(running_load, "broken_flows")
    answers = load.total(running_load, "matches") - answers_before
    print(f"{name}: {answers} answers, {broken_flows} broken flows")
    assert broken_flows == 0, f"{name}: {broken_flows} broken flows, expected none"
    assert answers > 0, f"{name}: no complete answer during the step"


async def _planned_changes(cluster: cluster_module.Cluster) -> None:
    async with load.steady_load(cluster, PLAN) as running_load:
        for step in STEPS:
            await _run_step(cluster, running_load, step)
    assert load.total(running_load, "lines_opened") == 2 * PLAN.lines
    assert load.total(running_load, "go_aways") == 0
    await _check_invariants(cluster, running_load)


async def _stop_sidecar(cluster: cluster_module.Cluster) -> None:
    """Stop a sidecar that was not drained before and so has open connections."""
    plan = dataclasses.replace(PLAN, lines=2 * PLAN.lines, seed=12)
    async with load.steady_load(cluster, plan) as running_load:
        await trio.sleep(STEP_SECONDS)
        assert await processes.stop(cluster.hosts[1].sidecar) == 0
        await trio.sleep(STEP_SECONDS)
    goaways = load.total(running_load, "go_aways")
    print(f"{goaways} connections received GOAWAY; {load.refusals(running_load)}")
    assert load.total(running_load, "broken_flows") == 0
    assert load.total(running_load, "open_failures") == 0
    assert goaways > 0
    assert load.total(running_load, "lines_opened") == 2 * plan.lines + goaways
    await _check_invariants(cluster, running_load)


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
def test_connections_survive_changes_and_get_goaway_before_a_stop() -> None:
    """No flow breaks, no request is lost, and every response is complete."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
