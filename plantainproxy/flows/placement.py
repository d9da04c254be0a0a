"""Choice of the upstream for a new flow, by load among a few candidates."""

from collections import abc

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages, policy, upstreams

CANDIDATES = 8
"""Upstreams of a pool that a flow may be placed on; a lookup asks the same ones."""
LOCAL_ADVANTAGE = 0.12
"""Load, as a share of the slots, that an upstream in the own failure domain may have
more than another."""
COLD_PENALTY = 1.0
"""Load, as a share of the slots, that a cold upstream is taken to have in addition."""
NOISE = 0.02
"""Width of the random part of a load, so that balancers that know the same do not
all choose the same upstream."""
REQUESTS_PER_FLOW = 0.05
"""Requests in progress that one open flow stands for while none is known."""

Draw = abc.Callable[[], float]
"""Returns a random number in [0, 1)."""


class Context(msgspec.Struct, frozen=True, kw_only=True):
    """What a choice depends on beside the upstreams."""

    policy: policy.Policy
    domain: str
    """The balancer's own failure domain."""
    now: float
    draw: Draw


def choose(
    view: upstreams.View,
    route: policy.Route,
    flow: bytes,
    *,
    context: Context,
    excluded: frozenset[_types.Address] = frozenset(),
) -> upstreams.Upstream | None:
    """Return the least loaded candidate of one of the route's pools.

    Pools are tried in a random order by weight; a pool of weight 0 gets no flow.
    """
    for pool in _pools_by_weight(route, context.draw):
        found = _choose_in_pool(view, pool, flow, context=context, excluded=excluded)
        if found is not None:
            return found
    return None


def may_recover(
    view: upstreams.View, route: policy.Route, current: policy.Policy | None
) -> bool:
    """Return whether an upstream of the route may take a flow before long."""
    if current is None:
        return True
    pools = [share.pool for share in route.shares if share.weight > 0]
    return any(
        one.report is None
        or (
            one.report.state in _RECOVERABLE
            and one.report.domain not in current.domains_out
        )
        for one in upstreams.in_pools(view, pools)
    )


_RECOVERABLE = (messages.UpstreamState.READY, messages.UpstreamState.UNKNOWN)


def load(upstream: upstreams.Upstream, *, requests_per_flow: float) -> float:
    """Return the requests that are in progress or expected, as a share of the slots."""
    report = upstream.report
    if report is None:
        return float("inf")
    expected = (report.flows + upstream.placed) * requests_per_flow
    in_progress = report.running + upstream.placed
    return (in_progress + expected) / (2 * max(report.slots, 1))


def _pools_by_weight(route: policy.Route, draw: Draw) -> list[str]:
    keyed = [
        (draw() ** (1.0 / share.weight), share.pool)
        for share in route.shares
        if share.weight > 0
    ]
    return [pool for _, pool in sorted(keyed, reverse=True)]


def _choose_in_pool(
    view: upstreams.View,
    pool: str,
    flow: bytes,
    *,
    context: Context,
    excluded: frozenset[_types.Address],
) -> upstreams.Upstream | None:
    ring = view.rings.get(pool)
    if ring is None:
        return None
    nearby = [view.upstreams[one] for one in ring.candidates(flow, CANDIDATES)]
    willing = _willing(nearby, context, excluded)
    if not willing and ring.size > len(nearby):
        everyone = [view.upstreams[address] for address in set(ring.owners)]
        willing = _willing(everyone, context, excluded)
    if not willing:
        return None
    per_flow = _requests_per_flow(nearby)

    def cost(upstream: upstreams.Upstream) -> float:
        value = load(upstream, requests_per_flow=per_flow) + NOISE * context.draw()
        assert upstream.report is not None
        if upstream.report.cold:
            value += COLD_PENALTY
        if upstream.report.domain != context.domain:
            value += LOCAL_ADVANTAGE
        return value

    return min(willing, key=cost)


def _willing(
    candidates: abc.Sequence[upstreams.Upstream],
    context: Context,
    excluded: frozenset[_types.Address],
) -> list[upstreams.Upstream]:
    """Return the candidates that may take a flow.

    Those that have failed repeatedly are left out if there are others, and so are
    those whose report is late.
    """
    able = [
        upstream
        for upstream in candidates
        if upstream.address not in excluded and _is_able(upstream, context)
    ]
    fresh = [one for one in able if upstreams.is_fresh(one, now=context.now)]
    sound = [one for one in fresh if one.report and not one.report.suspect]
    return sound or fresh or able


def _is_able(upstream: upstreams.Upstream, context: Context) -> bool:
    report = upstream.report
    return (
        report is not None
        and report.state is messages.UpstreamState.READY
        and not report.stopping
        and upstream.placed < report.room
        and report.domain not in context.policy.domains_out
        and context.now >= upstream.held_off_until
        and not upstreams.is_lost(upstream, now=context.now)
    )


def _requests_per_flow(candidates: abc.Sequence[upstreams.Upstream]) -> float:
    """Return the requests in progress that one open flow stands for."""
    reports = [upstream.report for upstream in candidates if upstream.report]
    flows = sum(report.flows for report in reports)
    running = sum(report.running for report in reports)
    return running / flows if flows and running else REQUESTS_PER_FLOW
