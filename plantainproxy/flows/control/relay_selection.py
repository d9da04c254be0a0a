"""Choice of the sidecars that relay control traffic for a failure domain.

Every balancer chooses by itself, by rendezvous hashing over the sidecars that it knows
to be alive. Nothing is agreed: balancers with different views name different relays for
a moment, which only costs some messages.
"""

import xxhash

from plantainproxy import _types
from plantainproxy.flows import messages, upstreams

RELAYS_PER_DOMAIN = 2
"""Each relay has a separate path to every other domain, so the loss of one delays no
report."""


def choose_relays(
    view: upstreams.View, domain: str, *, now: float
) -> tuple[_types.Address, ...]:
    """Return the relays of a domain, best first; empty if it has no live sidecar.

    Sidecars with a recent report come first. Without one, a listed sidecar may be
    chosen: after a start no report has arrived yet.
    """
    candidates = [
        upstream
        for upstream in view.upstreams.values()
        if upstream.domain == domain and _may_relay(upstream, now=now)
    ]
    candidates.sort(
        key=lambda upstream: (
            not upstreams.is_fresh(upstream, now=now),
            _rank(upstream.address, domain),
        )
    )
    return tuple(upstream.address for upstream in candidates[:RELAYS_PER_DOMAIN])


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
