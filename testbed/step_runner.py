"""Runs many short test steps on one running site and records their results."""

from collections import abc
import contextlib
import typing

from _pytest import mark
import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, invariants, processes, single_requests, site

STEP_TIMEOUT_SECONDS = 40
SEED = 7

Step = abc.Callable[[single_requests.Harness], abc.Awaitable[None]]
Result = BaseException | None
"""The exception that a step raised; ``None`` if the step passed."""


def run(
    plan: site.Site,
    steps: abc.Sequence[Step],
    *,
    upstream_options: abc.Sequence[str] = (),
) -> abc.Mapping[str, Result]:
    """Start a site, run the steps in order and return their results by name."""
    return trio.run(_run, plan, steps, tuple(upstream_options))


def proof(promise: int, step: Step, fault: str, at: str) -> mark.ParameterSet:
    """Return a test parameter for a step, with its ``proof`` mark for PROOFS.md."""
    proof_mark = pytest.mark.proof(promise=promise, fault=fault, step=at)
    return pytest.param(step, id=step.__name__.strip("_"), marks=proof_mark)


def steps_of(parameters: abc.Iterable[mark.ParameterSet]) -> list[Step]:
    """Return the step of each test parameter, which is its first value."""
    return [typing.cast("Step", parameter.values[0]) for parameter in parameters]


def raise_failure(results: abc.Mapping[str, Result], step: Step) -> None:
    """Raise the exception that was recorded for a step, if any."""
    error = results[step.__name__]
    if error is not None:
        raise error


async def _run(
    plan: site.Site, steps: abc.Sequence[Step], upstream_options: tuple[str, ...]
) -> abc.Mapping[str, Result]:
    results: dict[str, Result] = {}
    async with cluster_module.open_cluster(plan) as cluster:
        for host in cluster.hosts:
            host.upstream.arguments += upstream_options
        await cluster_module.start(cluster)
        log = invariants.ExecutionLog()
        reported: set[str] = set()
        for number, step in enumerate(steps):
            harness = single_requests.Harness(cluster, seed=SEED + number, log=log)
            results[step.__name__] = await _run_step(step, harness, reported)
            await _restore(cluster)
    return results


async def _run_step(
    step: Step, harness: single_requests.Harness, reported: set[str]
) -> Result:
    """Run one step and check the invariants.

    The execution log covers all steps, so violations that an earlier step has
    reported do not count again.
    """
    try:
        with trio.fail_after(STEP_TIMEOUT_SECONDS):
            await step(harness)
            await single_requests.read_execution_log(harness)
    except Exception as error:
        return error
    violations = set(
        invariants.violations(
            harness.log, harness.load, log_is_complete=harness.log_is_complete
        )
    )
    unreported = sorted(violations - reported)
    reported |= violations
    return AssertionError("; ".join(unreported)) if unreported else None


async def _restore(cluster: cluster_module.Cluster) -> None:
    """Clear faults and restart or resume processes that a failed step left stopped."""
    await controls.send_fabric_command(cluster, to_balancers={}, to_callers={})
    for process in cluster.processes:
        processes.resume(process)
    for host in cluster.hosts:
        for process in (host.upstream, host.sidecar):
            if not processes.is_running(process):
                await processes.start(process)
        with contextlib.suppress(OSError):
            await controls.set_upstream(host, **single_requests.HEALTHY_SETTINGS)
    await cluster_module.wait_until_serving(cluster)
