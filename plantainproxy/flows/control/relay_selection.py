"""Choice of the sidecars that relay control traffic for a failure domain.

Every balancer chooses by itself, by rendezvous hashing over the sidecars that it knows
to be alive. Nothing is agreed: balancers with different views name different relays for
a moment, which only costs some messages.
"""

import heapq

import xxhash

from plantainproxy import _types
from plantainproxy.flows import messages
from plantainproxy.flows.engine import upstreams

RELAYS_PER_DOMAIN = 2
"""Each relay has a separate path to every other domain, so the loss of one delays no
report."""


def relays_by_domain(
    view: upstreams.View, *, now: float
) -> dict[str, tuple[_types.Address, ...]]:
    """Return the relays of each domain that has a live sidecar, best first.

    Sidecars with a recent report come first. Without one, a listed sidecar may be
    chosen: after a start no report has arrived yet.
    """
    ranked: dict[str, list[tuple[bool, int, _types.Address]]] = {}
    for upstream in view.upstreams.values():
        domain = upstream.domain
        if domain and _may_relay(upstream, now=now):
            is_stale = not upstreams.is_fresh(upstream, now=now)
            rank = _rank(upstream.address, domain)
            ranked.setdefault(domain, []).append((is_stale, rank, upstream.address))
    return {
        domain: tuple(
            address for _, _, address in heapq.nsmallest(RELAYS_PER_DOMAIN, candidates)
        )
        for domain, candidates in ranked.items()
    }


def _may_relay(upstream: upstreams.Upstream, *, now: float) -> bool:
    report = upstream.report
    if report is None:
        return upstream.registered
    return (
        not report.stopping
        and report.state not in _LEAVING
        and not upstreams.is_lost(upstream, now=now)
    )


_LEAVING = (messages.UpstreamState.DRAINING, messages.UpstreamState.GONE)
"""The sidecar of such an upstream is about to stop."""


def _rank(address: _types.Address, domain: str) -> int:
    return xxhash.xxh3_64_intdigest(address.pack() + domain.encode())
