"""Callers on every service of a running site, and what they and the upstreams saw."""

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
"""How long the last requests may take after the load has ended."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """The load on each service."""

    lines: int = 12
    gets_per_second: float = 2.0
    """Repeatable requests of one line."""
    posts_per_second: float = 1.0
    """Requests of one line that must not be repeated."""
    open_per_second: float = 50.0
    timeout_seconds: float = 6.0
    seed: int = 1


class Load:
    """The callers of each service while they run."""

    def __init__(self) -> None:
        """Start without callers."""
        self.reports: dict[str, caller.Report] = {}
        """By pool."""
        self.stop_requested = trio.Event()
        """Ends the load before its time."""


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
    """Run the same callers on every service meanwhile; wait for their end."""
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
    """Run callers on the service of each pool meanwhile; wait for their end."""
    load = Load()
    async with trio.open_nursery() as nursery:
        for pool, plan in plans.items():
            report = load.reports[pool] = caller.Report()
            run_callers = functools.partial(
                caller.hold_lines,
                _caller_plan(cluster, pool, plan, seconds),
                report,
                over=load.stop_requested,
            )
            nursery.start_soon(run_callers)
        yield load


@contextlib.asynccontextmanager
async def steady_load(
    cluster: cluster_module.Cluster, plan: LoadPlan
) -> abc.AsyncIterator[Load]:
    """Run callers on every service until the block is left, from when all are up."""
    async with run_load(cluster, plan, seconds=math.inf) as load:
        wanted = plan.lines * len(cluster.services)
        while total(load, "lines_opened") < wanted:
            await trio.sleep(cluster_module.POLL_SECONDS)
        yield load
        load.stop_requested.set()


def total(load: Load, name: str) -> int:
    """Add up one count over all services."""
    return sum(report.counts[name] for report in load.reports.values())


def refusals(load: Load) -> abc.Mapping[str, int]:
    """Add up the refusals by kind over all services."""
    totals: dict[str, int] = {}
    for report in load.reports.values():
        for kind, count in report.refusals.items():
            totals[kind] = totals.get(kind, 0) + count
    return totals


async def executions_by_upstream(
    cluster: cluster_module.Cluster,
) -> dict[str, int]:
    """Return how many requests each running upstream ran."""
    counts = {}
    for host in cluster.hosts:
        with contextlib.suppress(OSError):
            answer = await controls.upstream_counters(host)
            counts[answer["name"]] = int(answer["executions"])
    return counts


def imbalance(counts: abc.Mapping[str, int]) -> float:
    """Return the largest count over the mean."""
    mean = sum(counts.values()) / max(1, len(counts))
    return max(counts.values(), default=0) / mean if mean else 0.0
