"""Runs many short proofs on one running site, and keeps how each of them ended."""

from collections import abc
import contextlib
import typing

from _pytest import mark
import pytest
import trio

from testbed import cluster as cluster_module
from testbed import commands, controls, invariants, processes, site

STEP_HANG_SECONDS = 40
SEED = 7

Step = abc.Callable[[commands.Bench], abc.Awaitable[None]]
Result = BaseException | None
"""What a step raised; ``None`` when it went through."""


def run(
    plan: site.Site,
    steps: abc.Sequence[Step],
    *,
    upstream_options: abc.Sequence[str] = (),
) -> abc.Mapping[str, Result]:
    """Run the steps one after another; return their results by name."""
    return trio.run(_run, plan, steps, tuple(upstream_options))


def proof(promise: int, step: Step, fault: str, at: str) -> mark.ParameterSet:
    """Make the test parameter of a step, with its mark for the page of proofs."""
    proof_mark = pytest.mark.proof(promise=promise, fault=fault, step=at)
    return pytest.param(step, id=step.__name__.strip("_"), marks=proof_mark)


def steps_of(parameters: abc.Iterable[mark.ParameterSet]) -> list[Step]:
    """Return the steps that are the first values of a test's parameters."""
    return [typing.cast("Step", parameter.values[0]) for parameter in parameters]


def conclude(results: abc.Mapping[str, Result], step: Step) -> None:
    """Raise what a step raised."""
    raised = results[step.__name__]
    if raised is not None:
        raise raised


async def _run(
    plan: site.Site, steps: abc.Sequence[Step], upstream_options: tuple[str, ...]
) -> abc.Mapping[str, Result]:
    results: dict[str, Result] = {}
    async with cluster_module.open_cluster(plan) as cluster:
        for host in cluster.hosts:
            host.upstream.arguments += upstream_options
        await cluster_module.start(cluster)
        log = invariants.Log()
        known: set[str] = set()
        for number, step in enumerate(steps):
            bench = commands.Bench(cluster, seed=SEED + number, log=log)
            results[step.__name__] = await _run_step(step, bench, known)
            await _restore(cluster)
    return results


async def _run_step(step: Step, bench: commands.Bench, known: set[str]) -> Result:
    """Run one step and judge it; violations of earlier steps are known already."""
    try:
        with trio.fail_after(STEP_HANG_SECONDS):
            await step(bench)
            await commands.read_log(bench)
    except Exception as raised:
        return raised
    found = set(
        invariants.violations(bench.log, bench.running, log_is_whole=bench.log_is_whole)
    )
    fresh = sorted(found - known)
    known |= found
    return AssertionError("; ".join(fresh)) if fresh else None


async def _restore(cluster: cluster_module.Cluster) -> None:
    """Let every process serve again, as a step that failed may leave them."""
    await controls.fabric(cluster, to_balancers={}, to_callers={})
    for process in cluster.all:
        processes.wake(process)
    for host in cluster.hosts:
        for process in (host.upstream, host.sidecar):
            if not processes.is_running(process):
                await processes.start(process)
        with contextlib.suppress(OSError):
            await controls.set_upstream(host, **commands.WELL)
    await cluster_module.wait_until_serving(cluster)
