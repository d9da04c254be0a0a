"""The sidecar's last check before its upstream gets an opening packet."""

import collections

import msgspec

from plantainproxy.flows import messages, packets, policy

COLD_WINDOW_SECONDS = 1.0
"""The span over which a cold upstream's new flows are limited."""
WINDOW_MARGIN_SECONDS = 0.02
"""How much longer a new flow is counted, as the upstream may get it late."""


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """What never changes while a sidecar runs."""

    pool: str
    domain: str


class ColdLimit:
    """Counts the new flows of a cold upstream."""

    def __init__(self, *, started_at: float, rate_factor: float, spare: float) -> None:
        """Take the first window as used: what went before is not known.

        In one window a cold upstream bears its rate times a factor and some spare
        flows.
        """
        self.closed_until = started_at + COLD_WINDOW_SECONDS
        self.rate_factor = rate_factor
        self.spare = spare
        self.taken: collections.deque[float] = collections.deque()

    def note(self, *, now: float) -> None:
        """Count one new flow."""
        self.taken.append(now)
        self._forget(now)

    def wait(self, limits: policy.PoolLimits, *, now: float) -> float:
        """Return the seconds until the upstream bears one more flow."""
        if limits.cold_flows_per_second is None:
            return 0.0
        self._forget(now)
        allowed = int(limits.cold_flows_per_second * self.rate_factor + self.spare)
        until = self.closed_until
        excess = len(self.taken) - max(allowed, 1)
        if excess >= 0:
            until = max(until, self.taken[excess] + _COUNTED_SECONDS)
        return max(until - now, 0.0)

    def _forget(self, now: float) -> None:
        while self.taken and now - self.taken[0] >= _COUNTED_SECONDS:
            self.taken.popleft()


_COUNTED_SECONDS = COLD_WINDOW_SECONDS + WINDOW_MARGIN_SECONDS


def check(
    packet: packets.Packet,
    *,
    place: Place,
    current: policy.Policy | None,
    state: messages.UpstreamState,
    cold_wait: float,
    is_full: bool,
) -> messages.Refusal | None:
    """Return why the upstream must not get an opening packet; ``None`` if it may.

    ``cold_wait`` is the time in seconds until a cold upstream bears one more flow.
    """
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
    if cold_wait > 0:
        return messages.Refusal.COLD
    if is_full:
        return messages.Refusal.FULL
    return None


def _sends_to(route: policy.Route, pool: str) -> bool:
    return any(share.pool == pool and share.weight > 0 for share in route.shares)
