"""Placement of new flows: the least loaded of a few upstreams on the hash rings.

One ring has the upstreams of the balancer's failure domain, where traffic costs
nothing, and one those of the whole pool.
"""

from collections import abc

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages, policy
from plantainproxy.flows.engine import upstreams

CANDIDATES_PER_POOL = 8
"""Candidates for a flow on each ring of a pool. A lookup queries the same ones."""
CROSS_DOMAIN_PENALTY = 0.12
"""Load, as a share of the slots, added for an upstream outside the balancer's failure
domain."""
COLD_PENALTY = 1.0
"""Load, as a share of the slots, added for a cold upstream."""
LOAD_JITTER = 0.02
"""Width of the random part of a load, so that balancers with the same reports do not
all choose the same upstream."""
OWN_WORK_SHARE = 0.25
"""Share of a flow's own work in the comparison of upstreams of unequal speed. With the
whole of it, slow upstreams are left idle at low load, and the others are busier than
the mean by more than 1.15 (docs/design/upstream-speed.md)."""
DEFAULT_REQUESTS_PER_FLOW = 0.05
"""Assumed requests in progress per open flow if the reports give no ratio."""

Draw = abc.Callable[[], float]
"""Returns a random number in [0, 1)."""


class Context(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs of a placement other than the upstreams."""

    policy: policy.Policy
    domain: str
    """The balancer's failure domain."""
    now: float
    draw: Draw
    is_deferrable: bool = False
    """Whether the opening gets only free slots, because it will be answered late."""


def choose(
    view: upstreams.View,
    route: policy.Route,
    flow: bytes,
    *,
    context: Context,
    excluded: frozenset[_types.Address] = frozenset(),
) -> upstreams.Upstream | None:
    """Return the least loaded candidate of one of the route's pools.

    Pools are tried in a weighted random order; a pool of weight 0 gets no flow. Returns
    None if no pool has an eligible upstream.
    """
    for pool in _pools_by_weight(route, context.draw):
        chosen = _choose_in_pool(view, pool, flow, context=context, excluded=excluded)
        if chosen is not None:
            return chosen
    return None


def may_recover(
    view: upstreams.View, route: policy.Route, active_policy: policy.Policy | None
) -> bool:
    """Return whether an upstream of the route may accept new flows again soon."""
    if active_policy is None:
        return True
    pools = [share.pool for share in route.shares if share.weight > 0]
    return any(
        candidate.report is None
        or (
            candidate.report.state in _RECOVERABLE
            and candidate.report.domain not in active_policy.domains_out
        )
        for candidate in upstreams.in_pools(view, pools)
    )


_RECOVERABLE = (messages.UpstreamState.READY, messages.UpstreamState.UNKNOWN)


def load(upstream: upstreams.Upstream, *, requests_per_flow: float) -> float:
    """Return the mean of running and expected requests, as a share of the slots.

    If the upstream differs in speed from its pool, the load together with that of the
    new flow is multiplied by the speed factor, so that the values compare expected
    response times. An upstream without a report has infinite load.
    """
    report = upstream.report
    if report is None:
        return float("inf")
    expected = (report.flows + upstream.placed_flows) * requests_per_flow
    in_progress = report.running + upstream.placed_flows
    value = (in_progress + expected) / (2 * max(report.slots, 1))
    if upstream.speed_factor == 1.0:
        return value
    own_work = OWN_WORK_SHARE * (1 + requests_per_flow) / (2 * max(report.slots, 1))
    return upstream.speed_factor * (value + own_work) - own_work


def _pools_by_weight(route: policy.Route, draw: Draw) -> list[str]:
    weighted_keys = [
        (draw() ** (1.0 / share.weight), share.pool)
        for share in route.shares
        if share.weight > 0
    ]
    return [pool for _, pool in sorted(weighted_keys, reverse=True)]


def _choose_in_pool(
    view: upstreams.View,
    pool: str,
    flow: bytes,
    *,
    context: Context,
    excluded: frozenset[_types.Address],
) -> upstreams.Upstream | None:
    ring_candidates = [
        view.upstreams[candidate]
        for candidate in upstreams.candidates(view, pool, flow, CANDIDATES_PER_POOL)
    ]
    preferred = _preferred_candidates(ring_candidates, context, excluded)
    if not preferred and len(ring_candidates) >= CANDIDATES_PER_POOL:
        pool_upstreams = upstreams.pool_members(view, pool)
        preferred = _preferred_candidates(pool_upstreams, context, excluded)
    if not preferred:
        return None
    requests_per_flow = _requests_per_flow(ring_candidates)

    def cost(upstream: upstreams.Upstream) -> float:
        value = (
            load(upstream, requests_per_flow=requests_per_flow)
            + LOAD_JITTER * context.draw()
        )
        assert upstream.report is not None
        if upstream.report.cold:
            value += COLD_PENALTY
        if upstream.report.domain != context.domain:
            value += CROSS_DOMAIN_PENALTY
        return value

    return min(preferred, key=cost)


def _preferred_candidates(
    candidates: abc.Sequence[upstreams.Upstream],
    context: Context,
    excluded: frozenset[_types.Address],
) -> list[upstreams.Upstream]:
    """Return the eligible candidates, filtered by preference.

    Candidates with a stale report or with repeated failures are left out if there are
    others.
    """
    eligible = [
        upstream
        for upstream in candidates
        if upstream.address not in excluded and _is_eligible(upstream, context)
    ]
    fresh = [
        candidate
        for candidate in eligible
        if upstreams.is_fresh(candidate, now=context.now)
    ]
    healthy = [
        candidate
        for candidate in fresh
        if candidate.report and not candidate.report.suspect
    ]
    return healthy or fresh or eligible


def _is_eligible(upstream: upstreams.Upstream, context: Context) -> bool:
    report = upstream.report
    return (
        report is not None
        and report.state is messages.UpstreamState.READY
        and not report.stopping
        and upstream.placed_flows < _room(report, context)
        and report.domain not in context.policy.domains_out
        and context.now >= upstream.backoff_until
        and not upstreams.is_lost(upstream, now=context.now)
    )


def _room(report: messages.Report, context: Context) -> int:
    """Return how many flows the balancer may place until the next report."""
    if context.is_deferrable:
        return min(report.room, report.slots - report.running)
    return report.room


def _requests_per_flow(candidates: abc.Sequence[upstreams.Upstream]) -> float:
    """Return the mean number of requests in progress per open flow."""
    reports = [upstream.report for upstream in candidates if upstream.report]
    flows = sum(report.flows for report in reports)
    running = sum(report.running for report in reports)
    return running / flows if flows and running else DEFAULT_REQUESTS_PER_FLOW
