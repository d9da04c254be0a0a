"""Admission check of a sidecar for opening packets to its upstream."""

import collections

import msgspec

from plantainproxy.flows import messages, packets, policy

COLD_WINDOW_SECONDS = 1.0
"""Sliding window in which the new flows of a cold upstream are limited."""
WINDOW_MARGIN_SECONDS = 0.02
"""Time for which a new flow counts beyond the window: a delay between the sidecar and
the upstream may move the flow into the upstream's next window."""


class Location(msgspec.Struct, frozen=True, kw_only=True):
    """Pool and failure domain of a sidecar; constant while it runs."""

    pool: str
    domain: str


class SlowStartLimiter:
    """Limits the rate of new flows to a cold upstream (slow start)."""

    def __init__(self, *, started_at: float, rate_factor: float, burst: float) -> None:
        """Treat the first window as used up: flows before ``started_at`` are unknown.

        In one window a cold upstream gets at most its rate times ``rate_factor``, plus
        ``burst`` flows.
        """
        self.blocked_until = started_at + COLD_WINDOW_SECONDS
        self.rate_factor = rate_factor
        self.burst = burst
        self.admission_times: collections.deque[float] = collections.deque()

    def record_flow(self, *, now: float) -> None:
        """Count a new flow that is delivered at ``now``."""
        self.admission_times.append(now)
        self._remove_expired(now)

    def wait_seconds(self, limits: policy.PoolLimits, *, now: float) -> float:
        """Return the seconds until the upstream may get one more flow."""
        if limits.cold_flows_per_second is None:
            return 0.0
        self._remove_expired(now)
        allowed = int(limits.cold_flows_per_second * self.rate_factor + self.burst)
        next_allowed_at = self.blocked_until
        excess = len(self.admission_times) - max(allowed, 1)
        if excess >= 0:
            next_allowed_at = max(
                next_allowed_at, self.admission_times[excess] + _RETENTION_SECONDS
            )
        return max(next_allowed_at - now, 0.0)

    def _remove_expired(self, now: float) -> None:
        while (
            self.admission_times and now - self.admission_times[0] >= _RETENTION_SECONDS
        ):
            self.admission_times.popleft()


_RETENTION_SECONDS = COLD_WINDOW_SECONDS + WINDOW_MARGIN_SECONDS


def check_opening(
    packet: packets.Packet,
    *,
    location: Location,
    current: policy.Policy | None,
    state: messages.UpstreamState,
    cold_wait: float,
    is_full: bool,
    may_admit_flows: bool,
) -> messages.Refusal | None:
    """Return the reason to refuse an opening packet; ``None`` if it is admitted.

    ``cold_wait`` is the time in seconds until a cold upstream may get one more flow.
    ``may_admit_flows`` is whether the sidecar process may admit any flow.
    """
    if current is None or not may_admit_flows:
        return messages.Refusal.NOT_READY
    route = current.routes.get(packet.service)
    if route is None or not _routes_to_pool(route, location.pool):
        return messages.Refusal.WRONG_POOL
    if location.domain in current.domains_out:
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


def _routes_to_pool(route: policy.Route, pool: str) -> bool:
    return any(share.pool == pool and share.weight > 0 for share in route.shares)
