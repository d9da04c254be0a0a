"""What happened in each phase of a run: latency, counts and running requests."""

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
class Run:
    """One execution on an upstream, in the clock of this process."""

    upstream: str
    pool: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """One phase that has ended."""

    name: str
    start: float
    end: float
    serving: abc.Mapping[str, tuple[str, ...]]
    """By pool, the upstreams that were to run requests all the while."""
    latency: abc.Mapping[str, histogram.HdrHistogram]
    """By pool, of the answers that came in this phase."""
    counts: abc.Mapping[str, int]
    """What the callers counted in this phase, over all pools."""
    lag: histogram.HdrHistogram
    """How late this process itself was, which adds to every latency."""


class Recorder:
    """The phases of a run, cut from callers that run through all of them."""

    def __init__(
        self, cluster: cluster_module.Cluster, running: load.Load, out: str
    ) -> None:
        """Start without phases; ``out`` names the failure domain that may leave."""
        self.cluster = cluster
        self.running = running
        self.out = out
        self.phases: list[Phase] = []
        self.lag = _new_histogram()


def _counts(running: load.Load) -> dict[str, int]:
    names = next(iter(running.reports.values())).counts
    counts = {name: load.total(running, name) for name in names}
    counts["refusals"] = sum(load.refusals(running).values())
    return counts


def _serving(recorder: Recorder, *, is_out: bool) -> dict[str, tuple[str, ...]]:
    """Return the upstreams of each pool, without those of a domain that is out."""
    return {
        pool.name: tuple(
            str(host.upstream_address)
            for host in recorder.cluster.hosts
            if host.pool == pool.name
            and processes.is_running(host.sidecar)
            and not (is_out and host.domain == recorder.out)
        )
        for pool in recorder.cluster.plan.pools
    }


def _in_both(
    first: abc.Mapping[str, tuple[str, ...]], last: abc.Mapping[str, tuple[str, ...]]
) -> dict[str, tuple[str, ...]]:
    return {
        pool: tuple(upstream for upstream in upstreams if upstream in last[pool])
        for pool, upstreams in first.items()
    }


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        1, caller.MAX_LATENCY_MICROSECONDS, caller.LATENCY_DIGITS
    )


@contextlib.contextmanager
def phase(recorder: Recorder, name: str, *, is_out: bool = False) -> abc.Iterator[None]:
    """Give the callers' reports fresh histograms for the time of the block."""
    reports = recorder.running.reports
    latency = {pool: _new_histogram() for pool in reports}
    for pool, report in reports.items():
        report.latency = latency[pool]
    recorder.lag = _new_histogram()
    before = _counts(recorder.running)
    serving = _serving(recorder, is_out=is_out)
    start = trio.current_time()
    yield
    after = _counts(recorder.running)
    recorder.phases.append(
        Phase(
            name=name,
            start=start,
            end=trio.current_time(),
            serving=_in_both(serving, _serving(recorder, is_out=is_out)),
            latency=latency,
            counts={key: after[key] - before[key] for key in after},
            lag=recorder.lag,
        )
    )


async def watch_lag(recorder: Recorder) -> None:
    """Measure until cancelled how late this process wakes."""
    while True:
        due = trio.current_time() + LAG_INTERVAL_SECONDS
        await trio.sleep_until(due)
        late = trio.current_time() - due
        recorder.lag.record_value(max(1, int(late * 1e6)))


async def read_runs(host: cluster_module.Host) -> list[Run]:
    """Read what one upstream ran since its start."""
    counters = await controls.upstream_counters(host)
    offset = trio.current_time() - float(counters["now"])
    logged = await controls.upstream_executions(host)
    return [
        Run(
            upstream=str(host.upstream_address),
            pool=host.pool,
            start=float(entry["start"]) + offset,
            end=float(entry["end"]) + offset,
        )
        for entry in logged
        if entry["end"] is not None
    ]


def running_requests(
    phase: Phase, pool: str, runs: abc.Iterable[Run]
) -> abc.Mapping[str, float]:
    """Return how many requests ran on each serving upstream, averaged over time."""
    seconds = dict.fromkeys(phase.serving[pool], 0.0)
    for run in runs:
        if run.upstream in seconds:
            overlap = min(run.end, phase.end) - max(run.start, phase.start)
            seconds[run.upstream] += max(overlap, 0.0)
    length = phase.end - phase.start
    return {upstream: spent / length for upstream, spent in seconds.items()}


def imbalance(averages: abc.Mapping[str, float]) -> float:
    """Return the largest average over the mean of all; 0 when nothing ran."""
    mean = sum(averages.values()) / max(1, len(averages))
    return max(averages.values(), default=0.0) / mean if mean else 0.0


def quantiles(measured: histogram.HdrHistogram) -> abc.Mapping[str, float]:
    """Return the quantiles of a histogram in milliseconds."""
    return {
        f"p{quantile:g}": measured.get_value_at_percentile(quantile)
        / MICROSECONDS_PER_MILLISECOND
        for quantile in QUANTILES
    }


def merged(histograms: abc.Sequence[histogram.HdrHistogram]) -> histogram.HdrHistogram:
    """Add up histograms."""
    added = _new_histogram()
    for one in histograms:
        added.add(one)
    return added
