"""The sidecar's last check before its upstream gets an opening packet."""

import collections
import dataclasses

from plantainproxy.flows import messages, packets, policy

COLD_WINDOW_SECONDS = 1.0
"""The span over which a cold upstream's new flows are limited."""
COLD_SPARE_FLOWS = 2
"""New flows in the window that a cold upstream takes beside its rate, so that one
whose rate is nearly 0 is used at all."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """What never changes while a sidecar runs."""

    pool: str
    domain: str


class ColdLimit:
    """Counts the new flows of a cold upstream."""

    def __init__(self, *, started_at: float) -> None:
        """Take the first window as used: what went before is not known."""
        self.closed_until = started_at + COLD_WINDOW_SECONDS
        self.taken: collections.deque[float] = collections.deque()

    def note(self, *, now: float) -> None:
        """Count one new flow."""
        self.taken.append(now)
        while now - self.taken[0] > COLD_WINDOW_SECONDS:
            self.taken.popleft()

    def admits(self, limits: policy.PoolLimits, *, now: float) -> bool:
        """Return whether the upstream bears one more flow."""
        if now < self.closed_until:
            return False
        recent = sum(now - at <= COLD_WINDOW_SECONDS for at in self.taken)
        return recent < int(limits.cold_flows_per_second) + COLD_SPARE_FLOWS


def check(
    packet: packets.Packet,
    *,
    place: Place,
    current: policy.Policy | None,
    state: messages.UpstreamState,
    cold: bool,
    limit: ColdLimit,
    now: float,
) -> messages.Refusal | None:
    """Return why the upstream must not get an opening packet; ``None`` if it may."""
    if current is None:
        return messages.Refusal.NOT_READY
    route = current.routes.get(packet.service)
    if route is None or not _sends_to(route, place.pool):
        return messages.Refusal.WRONG_POOL
    if place.domain in current.domains_out:
        return messages.Refusal.DOMAIN_OUT
    if state is messages.UpstreamState.UNKNOWN:
        return messages.Refusal.NOT_READY
    if state is not messages.UpstreamState.READY:
        return messages.Refusal.DRAINING
    limits = current.pools.get(place.pool, policy.PoolLimits())
    if cold and not limit.admits(limits, now=now):
        return messages.Refusal.COLD
    return None


def _sends_to(route: policy.Route, pool: str) -> bool:
    return any(share.pool == pool and share.weight > 0 for share in route.shares)
