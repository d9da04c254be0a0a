"""Order in which a lookup searches the upstreams.

The candidates on the hash rings of the route's pools in the balancer's failure domain
come first, then the other candidates, then the other upstreams of these pools, then all
others.
"""

from collections import abc

from plantainproxy import _types
from plantainproxy.flows.engine import placement, upstreams

MAX_LAST_WAVE_UPSTREAMS = 256
"""The last wave, which queries all upstreams, is skipped if there are more."""


def searched(
    pools: frozenset[str], view: upstreams.View
) -> abc.Iterable[upstreams.Upstream]:
    """Return the upstreams of all waves: the pools' only if there are too many."""
    if len(view.upstreams) > MAX_LAST_WAVE_UPSTREAMS:
        return upstreams.in_pools(view, pools)
    return view.upstreams.values()


def _domain_candidates(
    flow: bytes, pools: frozenset[str], view: upstreams.View
) -> list[_types.Address]:
    """Return the ring candidates in the balancer's failure domain.

    Most flows are there, as placement prefers it.
    """
    return [
        address
        for address in _ring_candidates(flow, pools, view)
        if view.upstreams[address].domain == view.domain
    ]


def _ring_candidates(
    flow: bytes, pools: frozenset[str], view: upstreams.View
) -> list[_types.Address]:
    """Return the ring candidates, which every balancer tries first for the flow."""
    return [
        address
        for pool in sorted(pools)
        for address in upstreams.candidates(
            view, pool, flow, placement.CANDIDATES_PER_POOL
        )
    ]


def _pool_members(
    flow: bytes, pools: frozenset[str], view: upstreams.View
) -> list[_types.Address]:
    return [upstream.address for upstream in upstreams.in_pools(view, pools)]


def _searched_upstreams(
    flow: bytes, pools: frozenset[str], view: upstreams.View
) -> list[_types.Address]:
    """Return all upstreams, unless there are too many.

    The flow may be in a pool that the route had only in a policy older than those
    applied here.
    """
    return [upstream.address for upstream in searched(pools, view)]


def in_order_of_suspicion(
    flow: bytes, pools: frozenset[str], view: upstreams.View
) -> list[_types.Address]:
    """Return the upstreams of all waves in an order that is the same for all balancers.

    The ring candidates come first, whatever their failure domain.
    """
    ring = _ring_candidates(flow, pools, view)
    members = sorted(_pool_members(flow, pools, view))
    return list(
        dict.fromkeys(
            [*ring, *members, *sorted(_searched_upstreams(flow, pools, view))]
        )
    )


WAVES: tuple[
    abc.Callable[[bytes, frozenset[str], upstreams.View], list[_types.Address]], ...
] = (_domain_candidates, _ring_candidates, _pool_members, _searched_upstreams)
