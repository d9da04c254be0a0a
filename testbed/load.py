"""Runs callers against the services of a site and summarises their results."""

from collections import abc
import contextlib
import dataclasses
import functools
import math

import trio

from standins import caller
from testbed import cluster as cluster_module
from testbed import controls

DRAIN_SECONDS = 8.0
"""Limit on the time that the last requests take after the load has ended."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """The load that the callers of one service generate."""

    lines: int = 12
    gets_per_second: float = 2.0
    """Idempotent requests on each connection."""
    posts_per_second: float = 1.0
    """Requests on each connection that are not idempotent."""
    open_per_second: float = 50.0
    timeout_seconds: float = 6.0
    seed: int = 1


class Load:
    """The reports of the callers of each pool and the signal that stops them."""

    def __init__(self) -> None:
        """Create a load without callers."""
        self.reports: dict[str, caller.Report] = {}
        """By the name of the pool."""
        self.stop_requested = trio.Event()
        """Stops the callers before their planned time is over."""


def _caller_plan(
    cluster: cluster_module.Cluster, pool: str, plan: LoadPlan, seconds: float
) -> caller.Plan:
    return caller.Plan(
        service=cluster.services[pool],
        lines=plan.lines,
        seconds=seconds,
        gets_per_second=plan.gets_per_second,
        posts_per_second=plan.posts_per_second,
        open_per_second=plan.open_per_second,
        timeout_seconds=plan.timeout_seconds,
        seed=plan.seed,
        label=f"{pool}.",
    )


@contextlib.asynccontextmanager
async def run_load(
    cluster: cluster_module.Cluster, plan: LoadPlan, *, seconds: float
) -> abc.AsyncIterator[Load]:
    """Run the same load on every service; on exit, wait until the callers end."""
    plans = dict.fromkeys(cluster.services, plan)
    async with run_load_by_pool(cluster, plans, seconds=seconds) as load:
        yield load


@contextlib.asynccontextmanager
async def run_load_by_pool(
    cluster: cluster_module.Cluster,
    plans: abc.Mapping[str, LoadPlan],
    *,
    seconds: float,
) -> abc.AsyncIterator[Load]:
    """Run the load of each pool on its service; on exit, wait until callers end."""
    load = Load()
    async with trio.open_nursery() as nursery:
        for pool, plan in plans.items():
            report = load.reports[pool] = caller.Report()
            run_callers = functools.partial(
                caller.run_plan,
                _caller_plan(cluster, pool, plan, seconds),
                report,
                stop=load.stop_requested,
            )
            nursery.start_soon(run_callers)
        yield load


@contextlib.asynccontextmanager
async def steady_load(
    cluster: cluster_module.Cluster, plan: LoadPlan
) -> abc.AsyncIterator[Load]:
    """Run a load during the block, which starts when all connections are open."""
    async with run_load(cluster, plan, seconds=math.inf) as load:
        expected_connections = plan.lines * len(cluster.services)
        while total(load, "lines_opened") < expected_connections:
            await trio.sleep(cluster_module.POLL_SECONDS)
        yield load
        load.stop_requested.set()


def total(load: Load, name: str) -> int:
    """Return the sum of one counter over all services."""
    return sum(report.counts[name] for report in load.reports.values())


def refusals(load: Load) -> abc.Mapping[str, int]:
    """Return the number of refusals of each kind over all services."""
    totals: dict[str, int] = {}
    for report in load.reports.values():
        for kind, count in report.refusals.items():
            totals[kind] = totals.get(kind, 0) + count
    return totals


async def executions_by_upstream(
    cluster: cluster_module.Cluster,
) -> dict[str, int]:
    """Return the number of executions on each upstream that can be reached."""
    counts = {}
    for host in cluster.hosts:
        with contextlib.suppress(OSError):
            counters = await controls.upstream_counters(host)
            counts[counters["name"]] = int(counters["executions"])
    return counts


def imbalance(counts: abc.Mapping[str, int]) -> float:
    """Return the largest count divided by the mean; 0 when all counts are 0."""
    mean = sum(counts.values()) / max(1, len(counts))
    return max(counts.values(), default=0) / mean if mean else 0.0
