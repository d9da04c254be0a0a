"""Measured speed of upstreams, so that slower ones get fewer new flows.

A sidecar measures the service times of its upstream by route and reports their medians.
A balancer compares the upstreams of a pool and derives a speed factor for each. Free of
I/O; all state is in memory and is measured again after a restart.
"""

import collections
from collections import abc
import itertools
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages, policy
from plantainproxy.flows.engine import upstreams

MAX_SAMPLES = 31
"""Service times kept for each route. If they vary by 30 %, the median of fewer differs
by chance by ``INSIGNIFICANT_FACTOR`` on one of some hundred upstreams."""
RECENT_SAMPLES = 9
"""Newest samples that show a change of speed: at 10 requests a second on an upstream,
they do after half a second."""
CHANGE_FACTOR = 1.5
"""If the medians of the newest and of all samples differ by more, the speed has
changed, and the older samples do not count."""
MIN_SAMPLES = 15
"""Fewer samples give no estimate: with 9, chance differences moved flows between equal
upstreams."""
MAX_SAMPLE_AGE_SECONDS = 15.0
"""Older service times are dropped. An upstream that is five times slower than a pool
with 5 requests a second on each upstream still gets ``MIN_SAMPLES`` in this time."""
MAX_REPORTED_ROUTES = 4
"""Routes in a report; each takes up to 17 bytes. Those with the most samples."""
LOST_REQUEST_SECONDS = 5.0
"""A request without a response for this long no longer counts as in progress."""
PAUSE_SECONDS = 0.6
"""If the time between two ticks reaches this, the process was not scheduled, and the
times that it measured include its own pause."""
PRECISE_MILLISECONDS = 20.0
"""Medians below this are reported with a tenth of a millisecond: rounding to whole
numbers changes those above by less than 3 %."""

SERVICE_TIME_GAUGE = "service_milliseconds"
"""Prefix of the gauges with a sidecar's medians; pool and route follow."""

GAUGE_NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789")
MIN_COMPARED_UPSTREAMS = 3
"""Upstreams that must report a route before its times are compared."""
INSIGNIFICANT_FACTOR = 1.25
"""Factors from 1/1.25 to 1.25 count as 1: upstreams of equal speed differ by less."""
SLOW_FACTOR = 2.0
"""Above this factor, an upstream belongs to the bounded share of slow ones."""
MAX_SLOW_SHARE = 1 / 3
"""Largest share of a pool with a factor above ``SLOW_FACTOR``: the others could not
carry the load of more."""
MAX_FACTOR = 10.0
"""Bounds how few flows a slow upstream gets, so that its recovery is detected."""
MIN_FACTOR = 0.5
"""Bounds how many flows a fast upstream gets: one that fails requests at once seems
fast."""
MAX_MEASUREMENT_AGE_SECONDS = 4.5
"""Age from which reported service times are stale: relays pass on complete reports
every 2 s, and one of them may be lost."""
COMPARISON_INTERVAL_SECONDS = 0.1
"""Interval of comparisons, below the shortest usual interval of reports (0.15 s)."""

Key = typing.TypeVar("Key", bound=abc.Hashable)


class Request(msgspec.Struct):
    """A request in progress at the upstream."""

    forwarded_at: float
    started_at: float | None
    """When the upstream started it; ``None`` while it waits there for a slot."""
    is_sampled: bool
    """Whether the time from its start to its response is a sample."""


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """Estimated service time of one route."""

    milliseconds: float
    """Median of the samples."""
    count: int
    age_seconds: float
    """Age of the newest sample."""


class Measurement:
    """Recent service times of one upstream by service address."""

    def __init__(self) -> None:
        """Start without samples."""
        self.in_progress: dict[bytes, Request] = {}
        """Requests that the upstream has received, by flow, oldest first."""
        self.slots = 1
        self.samples: dict[bytes, collections.deque[tuple[float, float]]] = {}
        """Response time and service time in seconds, by service address."""
        self.last_tick_at = float("inf")


def record_forwarded(
    measurement: Measurement, flow: bytes, *, slots: int, is_cold: bool, now: float
) -> None:
    """Record that a request is handed to the upstream.

    It starts at once if fewer requests than slots are running, and otherwise when a
    response frees a slot. Ignores further packets of a request that is in progress.
    """
    if flow in measurement.in_progress:
        return
    _remove_lost(measurement, now=now)
    measurement.slots = slots
    measurement.in_progress[flow] = Request(now, None, is_sampled=not is_cold)
    _start_next(measurement, now=now)


def record_response(
    measurement: Measurement, flow: bytes, service: bytes, *, now: float
) -> None:
    """Record the first byte of a response."""
    _check_pause(measurement, now=now)
    request = measurement.in_progress.pop(flow, None)
    if request is None or request.started_at is None:
        # A response to a request that has not started is a rejection by the upstream.
        return
    _start_next(measurement, now=now)
    if not request.is_sampled:
        return
    samples = measurement.samples.get(service)
    if samples is None:
        samples = measurement.samples[service] = collections.deque(maxlen=MAX_SAMPLES)
    samples.append((now, now - request.started_at))


def discard(measurement: Measurement, flow: bytes, *, now: float) -> None:
    """Remove a request that ended without a response.

    The upstream may still run it. So the start of the next one is not known exactly.
    """
    request = measurement.in_progress.pop(flow, None)
    if request is not None and request.started_at is not None:
        _start_next(measurement, now=now, is_exact=False)


def clear(measurement: Measurement) -> None:
    """Remove everything: the upstream has ended."""
    measurement.in_progress.clear()
    measurement.samples.clear()


def tick(measurement: Measurement, *, is_cold: bool, now: float) -> None:
    """Reset the samples after a pause and while the upstream is cold."""
    _check_pause(measurement, now=now)
    measurement.last_tick_at = now
    if is_cold:
        _reset_samples(measurement)
    for service, samples in list(measurement.samples.items()):
        while samples and now - samples[0][0] >= MAX_SAMPLE_AGE_SECONDS:
            samples.popleft()
        if not samples:
            del measurement.samples[service]


def estimates(measurement: Measurement, *, now: float) -> dict[bytes, Estimate]:
    """Return the estimates of the routes with enough recent samples."""
    found: dict[bytes, Estimate] = {}
    for service, samples in measurement.samples.items():
        recent = [
            seconds for at, seconds in samples if now - at < MAX_SAMPLE_AGE_SECONDS
        ]
        if len(recent) >= MIN_SAMPLES:
            found[service] = Estimate(
                milliseconds=_estimate(recent) * messages.MILLISECONDS_PER_SECOND,
                count=len(recent),
                age_seconds=now - samples[-1][0],
            )
    return found


def _median(values: abc.Iterable[float]) -> float:
    """Return the median of some values.

    The import of ``statistics`` would delay the start of a process.
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _estimate(seconds: abc.Sequence[float]) -> float:
    """Return the median of the samples, or of the newest if the speed has changed."""
    median = _median(seconds)
    newest = _median(seconds[-RECENT_SAMPLES:])
    has_changed = not median / CHANGE_FACTOR <= newest <= median * CHANGE_FACTOR
    return newest if has_changed else median


def service_times(measurement: Measurement, *, now: float) -> dict[bytes, float]:
    """Return the medians for a report, in milliseconds by service address."""
    by_count = sorted(
        estimates(measurement, now=now).items(), key=lambda item: -item[1].count
    )
    return {
        service: _rounded(estimate.milliseconds)
        for service, estimate in by_count[:MAX_REPORTED_ROUTES]
    }


def _rounded(milliseconds: float) -> float:
    """Return a number that the codec encodes in few bytes where precision allows."""
    if milliseconds >= PRECISE_MILLISECONDS:
        return round(milliseconds)
    return round(milliseconds, 1)


def _start_next(measurement: Measurement, *, now: float, is_exact: bool = True) -> None:
    """Start the oldest waiting requests in the free slots.

    The upstream's queue is first in, first out.
    """
    for request in itertools.islice(
        measurement.in_progress.values(), measurement.slots
    ):
        if request.started_at is None:
            request.started_at = now
            request.is_sampled &= is_exact


def _remove_lost(measurement: Measurement, *, now: float) -> None:
    for flow, request in list(measurement.in_progress.items()):
        if now - request.forwarded_at < LOST_REQUEST_SECONDS:
            return
        discard(measurement, flow, now=now)


def _check_pause(measurement: Measurement, *, now: float) -> None:
    """Reset after a pause, also if a packet is handled before the first tick."""
    if now - measurement.last_tick_at >= PAUSE_SECONDS:
        measurement.last_tick_at = now
        _reset_samples(measurement)


def _reset_samples(measurement: Measurement) -> None:
    """Drop all samples; requests in progress still count, but are no samples."""
    measurement.samples.clear()
    for request in measurement.in_progress.values():
        request.is_sampled = False


def sidecar_gauges(
    measurement: Measurement,
    active_policy: policy.Policy | None,
    *,
    pool: str,
    now: float,
) -> dict[str, float]:
    """Return the median, count and age of each estimate by pool and route name."""
    gauges: dict[str, float] = {}
    for service, estimate in estimates(measurement, now=now).items():
        route = active_policy.routes.get(service) if active_policy else None
        name = _gauge_name(f"{pool}_{route.name if route else service.hex()}")
        gauges[f"{SERVICE_TIME_GAUGE}.{name}"] = estimate.milliseconds
        gauges[f"service_samples.{name}"] = float(estimate.count)
        gauges[f"service_sample_age_seconds.{name}"] = estimate.age_seconds
    return gauges


def describe(
    gauges_by_host: abc.Mapping[str, abc.Mapping[str, float]],
) -> dict[str, str]:
    """Return a text about the speed of each host from the gauges of its sidecar.

    The same comparison as in balancers, which also bound how many upstreams of a pool
    and of a failure domain they treat as slow.
    """
    prefix = f"{SERVICE_TIME_GAUGE}_"
    times = {
        host: {
            name.removeprefix(prefix): value
            for name, value in gauges.items()
            if name.startswith(prefix)
        }
        for host, gauges in gauges_by_host.items()
    }
    factors = relative_factors(times)
    texts: dict[str, str] = {}
    for host, routes in times.items():
        shown = ", ".join(f"{name} {value:.3g} ms" for name, value in routes.items())
        factor = factors.get(host, 1.0)
        if not routes:
            texts[host] = "speed not measured"
        elif factor > 1:
            texts[host] = f"speed factor {factor:.2f}, gets fewer flows ({shown})"
        elif factor < 1:
            texts[host] = f"speed factor {factor:.2f}, gets more flows ({shown})"
        else:
            texts[host] = f"speed factor 1 ({shown})"
    return texts


def _gauge_name(text: str) -> str:
    """Return a text as part of a metric's name, whatever names operators chose."""
    return "".join(
        character if character in GAUGE_NAME_CHARACTERS else "_"
        for character in text.lower()
    )


def balancer_gauges(view: upstreams.View) -> dict[str, float]:
    """Return the speed factors other than 1 by the sidecar's host, and their number."""
    members = view.upstreams.values()
    return {
        "slower_upstreams": float(sum(member.speed_factor > 1 for member in members)),
        "faster_upstreams": float(sum(member.speed_factor < 1 for member in members)),
        **{
            f"speed_factor.{member.address.host}": member.speed_factor
            for member in members
            if member.speed_factor != 1
        },
    }


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change between slower, usual and faster than the pool."""

    upstream: upstreams.Upstream
    before: float
    """Speed factor before the change."""


def update_factors(view: upstreams.View, *, now: float) -> list[Change]:
    """Set the speed factor of every upstream; return the changes worth a log line."""
    members: dict[str, list[upstreams.Upstream]] = {}
    for upstream in view.upstreams.values():
        if upstream.report is not None and not upstreams.is_lost(upstream, now=now):
            members.setdefault(upstream.report.pool, []).append(upstream)
    factors: dict[_types.Address, float] = {}
    for pool in members.values():
        factors.update(_pool_factors(pool, now=now))
    changes = []
    for upstream in view.upstreams.values():
        before = upstream.speed_factor
        upstream.speed_factor = factors.get(upstream.address, 1.0)
        if _class(before) != _class(upstream.speed_factor):
            changes.append(Change(upstream=upstream, before=before))
    return changes


def _pool_factors(
    pool: abc.Sequence[upstreams.Upstream], *, now: float
) -> dict[_types.Address, float]:
    times = {
        upstream.address: upstream.report.service_times
        for upstream in pool
        if upstream.report is not None
        and upstream.report.service_times
        and _is_comparable(upstream, now=now)
    }
    if len(times) < MIN_COMPARED_UPSTREAMS:
        return {}
    domains = {
        upstream.address: upstream.domain
        for upstream in pool
        if _is_usable(upstream, now=now)
    }
    return bounded_factors(relative_factors(times), domains)


def relative_factors(
    times: abc.Mapping[Key, abc.Mapping[typing.Any, float]],
) -> dict[Key, float]:
    """Return how many times slower each upstream is than the median of its pool.

    ``times`` has the service times of each upstream by route. A route that fewer than
    ``MIN_COMPARED_UPSTREAMS`` report is left out. The factor of an upstream is the
    median over its routes; insignificant ones are left out, as they stand for 1.
    """
    by_route: dict[typing.Any, list[float]] = {}
    for routes in times.values():
        for route, milliseconds in routes.items():
            by_route.setdefault(route, []).append(milliseconds)
    medians = {
        route: _median(values)
        for route, values in by_route.items()
        if len(values) >= MIN_COMPARED_UPSTREAMS
    }
    factors: dict[Key, float] = {}
    for key, routes in times.items():
        ratios = [
            milliseconds / medians[route]
            for route, milliseconds in routes.items()
            if medians.get(route)
        ]
        factor = _median(ratios) if ratios else 1.0
        if factor > INSIGNIFICANT_FACTOR or factor < 1 / INSIGNIFICANT_FACTOR:
            factors[key] = min(max(factor, MIN_FACTOR), MAX_FACTOR)
    return factors


def bounded_factors(
    factors: abc.Mapping[Key, float], domains: abc.Mapping[Key, str]
) -> dict[Key, float]:
    """Reduce factors above ``SLOW_FACTOR`` to it where too many would exceed it.

    At most ``MAX_SLOW_SHARE`` of the upstreams keep such a factor, the slowest first,
    and at least one usable upstream of each failure domain has none. ``domains`` has
    the failure domains of the usable upstreams.
    """
    bounded = dict(factors)
    remaining = collections.Counter(domains.values())
    slow_count = 0
    for key in sorted(factors, key=lambda key: -factors[key]):
        if factors[key] <= SLOW_FACTOR:
            break
        domain = domains.get(key)
        is_last = domain is not None and remaining[domain] <= 1
        if is_last or slow_count + 1 > MAX_SLOW_SHARE * len(domains):
            bounded[key] = SLOW_FACTOR
            continue
        slow_count += 1
        if domain is not None:
            remaining[domain] -= 1
    return bounded


def _is_comparable(upstream: upstreams.Upstream, *, now: float) -> bool:
    return (
        _is_usable(upstream, now=now)
        and now - upstream.service_times_at < MAX_MEASUREMENT_AGE_SECONDS
    )


def _is_usable(upstream: upstreams.Upstream, *, now: float) -> bool:
    report = upstream.report
    return (
        report is not None
        and report.state is messages.UpstreamState.READY
        and not report.stopping
        and not report.cold
        and not report.suspect
        and upstreams.is_fresh(upstream, now=now)
    )


def _class(factor: float) -> int:
    """Return 0 for the usual speed, 1 and 2 for slower and slow, -1 for faster."""
    if factor > SLOW_FACTOR:
        return 2
    return (factor > 1.0) - (factor < 1.0)
