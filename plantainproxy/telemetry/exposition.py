"""Rendering and parsing of metrics in the Prometheus text format.

The Prometheus library is imported at the first scrape, so that it does not delay the
start of a process.
"""

import bisect
from collections import abc

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "plantainproxy"
BUCKET_SECONDS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0)
"""Upper bounds of a histogram's buckets, around the latency objectives of requests."""

Gauges = abc.Callable[[], abc.Mapping[str, float]]
"""Returns the current value of each gauge."""


class Histogram:
    """Counts of durations in seconds, by bucket."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self.counts = [0] * (len(BUCKET_SECONDS) + 1)
        self.sum = 0.0

    def observe(self, seconds: float) -> None:
        """Record one duration."""
        self.counts[bisect.bisect_left(BUCKET_SECONDS, seconds)] += 1
        self.sum += seconds


def render(
    counters: abc.Mapping[str, int],
    gauges: abc.Mapping[str, float],
    histograms: abc.Mapping[str, Histogram],
) -> bytes:
    """Return all metrics in the Prometheus text format."""
    import prometheus_client
    from prometheus_client import core

    class Collector:
        def collect(self) -> list[core.Metric]:
            return [
                *(
                    core.CounterMetricFamily(_metric_name(name), name, value=value)
                    for name, value in sorted(counters.items())
                ),
                *(
                    core.GaugeMetricFamily(_metric_name(name), name, value=value)
                    for name, value in sorted(gauges.items())
                ),
                *(
                    core.HistogramMetricFamily(
                        _metric_name(name),
                        name,
                        buckets=_cumulative_buckets(histogram),
                        sum_value=histogram.sum,
                    )
                    for name, histogram in sorted(histograms.items())
                ),
            ]

    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(Collector())
    return prometheus_client.generate_latest(registry)


def parse(text: bytes) -> dict[str, float]:
    """Return the samples without labels, by metric name without ``PREFIX``."""
    from prometheus_client import parser

    return {
        sample.name.removeprefix(f"{PREFIX}_"): sample.value
        for family in parser.text_string_to_metric_families(text.decode())
        for sample in family.samples
        if not sample.labels
    }


def _metric_name(dotted: str) -> str:
    return f"{PREFIX}_{dotted}".replace(".", "_").replace("-", "_").lower()


def _cumulative_buckets(histogram: Histogram) -> list[tuple[str, float]]:
    bounds = [*(str(bound) for bound in BUCKET_SECONDS), "+Inf"]
    total = 0
    cumulative: list[tuple[str, float]] = []
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        cumulative.append((bound, float(total)))
    return cumulative
