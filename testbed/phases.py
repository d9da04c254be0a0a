"""Measures each phase of a run: latency, counters and concurrent requests."""

from collections import abc
import contextlib
import dataclasses

from hdrh import histogram
import trio

from standins import caller
from testbed import cluster as cluster_module
from testbed import controls, load, processes

QUANTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_MILLISECOND = 1_000
LAG_INTERVAL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimedExecution:
    """One execution on an upstream, with times on the clock of this process."""

    upstream: str
    pool: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """The measurements of one phase that has ended."""

    name: str
    start: float
    end: float
    serving: abc.Mapping[str, tuple[str, ...]]
    """By pool, the upstreams that were in service during the whole phase."""
    latency: abc.Mapping[str, histogram.HdrHistogram]
    """By pool, for the responses received in this phase."""
    counts: abc.Mapping[str, int]
    """Increase of the callers' counters in this phase, over all pools."""
    lag: histogram.HdrHistogram
    """Scheduling delay of this process, which is part of every measured latency."""


class Recorder:
    """Splits the measurements of callers that run all the time into phases."""

    def __init__(
        self,
        cluster: cluster_module.Cluster,
        active_load: load.Load,
        removable_domain: str,
    ) -> None:
        """Create a recorder without phases.

        ``removable_domain`` names the failure domain that is taken out in some phases.
        """
        self.cluster = cluster
        self.load = active_load
        self.removable_domain = removable_domain
        self.phases: list[Phase] = []
        self.lag = _new_histogram()


def _counts(active_load: load.Load) -> dict[str, int]:
    names = next(iter(active_load.reports.values())).counts
    counts = {name: load.total(active_load, name) for name in names}
    counts["refusals"] = sum(load.refusals(active_load).values())
    return counts


def _serving(recorder: Recorder, *, is_out: bool) -> dict[str, tuple[str, ...]]:
    """Return the upstreams in service by pool; ``is_out`` omits a removed domain."""
    return {
        pool.name: tuple(
            str(host.upstream_address)
            for host in recorder.cluster.hosts
            if host.pool == pool.name
            and processes.is_running(host.sidecar)
            and not (is_out and host.domain == recorder.removable_domain)
        )
        for pool in recorder.cluster.plan.pools
    }


def _intersection(
    at_start: abc.Mapping[str, tuple[str, ...]],
    at_end: abc.Mapping[str, tuple[str, ...]],
) -> dict[str, tuple[str, ...]]:
    return {
        pool: tuple(upstream for upstream in upstreams if upstream in at_end[pool])
        for pool, upstreams in at_start.items()
    }


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        1, caller.MAX_LATENCY_MICROSECONDS, caller.LATENCY_DIGITS
    )


@contextlib.contextmanager
def phase(recorder: Recorder, name: str, *, is_out: bool = False) -> abc.Iterator[None]:
    """Record the block as a phase, with new histograms in the callers' reports."""
    reports = recorder.load.reports
    latency = {pool: _new_histogram() for pool in reports}
    for pool, report in reports.items():
        report.latency = latency[pool]
    recorder.lag = _new_histogram()
    before = _counts(recorder.load)
    serving = _serving(recorder, is_out=is_out)
    start = trio.current_time()
    yield
    after = _counts(recorder.load)
    recorder.phases.append(
        Phase(
            name=name,
            start=start,
            end=trio.current_time(),
            serving=_intersection(serving, _serving(recorder, is_out=is_out)),
            latency=latency,
            counts={key: after[key] - before[key] for key in after},
            lag=recorder.lag,
        )
    )


async def measure_lag(recorder: Recorder) -> None:
    """Record the scheduling delay of this process until cancelled."""
    while True:
        due = trio.current_time() + LAG_INTERVAL_SECONDS
        await trio.sleep_until(due)
        delay_seconds = trio.current_time() - due
        recorder.lag.record_value(max(1, int(delay_seconds * 1e6)))


async def read_executions(host: cluster_module.Host) -> list[TimedExecution]:
    """Return the completed executions of an upstream since its start."""
    counters = await controls.upstream_counters(host)
    offset = trio.current_time() - float(counters["now"])
    logged = await controls.upstream_executions(host)
    return [
        TimedExecution(
            upstream=str(host.upstream_address),
            pool=host.pool,
            start=float(entry["start"]) + offset,
            end=float(entry["end"]) + offset,
        )
        for entry in logged
        if entry["end"] is not None
    ]


def running_requests(
    phase: Phase, pool: str, executions: abc.Iterable[TimedExecution]
) -> abc.Mapping[str, float]:
    """Return the mean number of concurrent requests on each serving upstream."""
    seconds = dict.fromkeys(phase.serving[pool], 0.0)
    for execution in executions:
        if execution.upstream in seconds:
            overlap = min(execution.end, phase.end) - max(execution.start, phase.start)
            seconds[execution.upstream] += max(overlap, 0.0)
    length = phase.end - phase.start
    return {
        upstream: busy_seconds / length for upstream, busy_seconds in seconds.items()
    }


def imbalance(averages: abc.Mapping[str, float]) -> float:
    """Return the largest average divided by the mean of all; 0 when nothing ran."""
    mean = sum(averages.values()) / max(1, len(averages))
    return max(averages.values(), default=0.0) / mean if mean else 0.0


def quantiles(measured: histogram.HdrHistogram) -> abc.Mapping[str, float]:
    """Return the quantiles of a histogram in milliseconds."""
    return {
        f"p{quantile:g}": measured.get_value_at_percentile(quantile)
        / MICROSECONDS_PER_MILLISECOND
        for quantile in QUANTILES
    }


def merge_histograms(
    histograms: abc.Sequence[histogram.HdrHistogram],
) -> histogram.HdrHistogram:
    """Return one histogram with the values of all given histograms."""
    total = _new_histogram()
    for measured in histograms:
        total.add(measured)
    return total
