"""The policy set by operators: routes, pool limits, domains out of service."""

from collections import abc
import enum

import msgspec
import xxhash


class RouteKind(enum.StrEnum):
    """Kind of a route's requests, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    """A request may run more than once."""
    NON_IDEMPOTENT = "non-idempotent"
    """A request may run at most once."""
    DOWNLOAD = "download"
    """Like idempotent, with large responses."""


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """Share of a route's new flows that is sent to one pool."""

    pool: str
    weight: float
    """Relative to the other shares of the route; at least 0."""


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Destination pools and request properties of one service address."""

    name: str
    service: bytes
    """The packed service address that callers use."""
    kind: RouteKind
    shares: tuple[Share, ...]
    priority: int = 0
    """Order in which flows are served under overload; 0 is the highest priority."""
    objective_seconds: float = 1.0
    """Target response time for callers."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT

    @property
    def pools(self) -> frozenset[str]:
        """Pools that may receive flows of this route."""
        return frozenset(share.pool for share in self.shares)


class PoolLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Slow-start limits and health check of the upstreams of one pool."""

    cold_seconds: float = 0.0
    """How long an upstream stays cold after it starts under traffic."""
    cold_flows_per_second: float | None = None
    """New flows per second that a cold upstream can handle; ``None`` if not set."""
    health_path: str = ""
    """HTTP path of the health check."""


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """One revision of the complete policy."""

    revision: int
    """Revision of the store at which the policy was read; it never decreases."""
    version: int = 0
    """Version number that operators assigned to the configuration."""
    routes: abc.Mapping[bytes, Route] = msgspec.field(default_factory=dict)
    """Routes by packed service address."""
    pools: abc.Mapping[str, PoolLimits] = msgspec.field(default_factory=dict)
    idle_seconds: float = 60.0
    """Idle time after which a flow may be evicted."""
    domains_out: frozenset[str] = frozenset()
    """Failure domains whose upstreams receive no new flows."""


NO_POLICY_DIGEST = 0
"""Digest of a process that has no policy."""


def digest(policy: Policy) -> int:
    """Return a hash of the policy's content, which leaves out the revision."""
    content = (
        policy.version,
        policy.idle_seconds,
        sorted(policy.routes.items()),
        sorted(policy.pools.items()),
        sorted(policy.domains_out),
    )
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(content))


class ActivePolicy:
    """The active policy of a process; its revision never decreases."""

    def __init__(self) -> None:
        """Start without a policy."""
        self.current: Policy | None = None
        self.digest = NO_POLICY_DIGEST
        self.pools_seen: dict[bytes, frozenset[str]] = {}
        """All pools that each service address has been routed to.

        Open flows stay in their pool after a route changes.
        """

    @property
    def revision(self) -> int:
        """Revision of the active policy; 0 without a policy."""
        return self.current.revision if self.current else 0

    def apply_if_newer(self, policy: Policy) -> bool:
        """Activate a policy of a higher revision; return whether it was activated."""
        if policy.revision <= self.revision:
            return False
        self.current = policy
        self.digest = digest(policy)
        for service, route in policy.routes.items():
            earlier_pools = self.pools_seen.get(service, frozenset())
            self.pools_seen[service] = earlier_pools | route.pools
        return True

    def advance_revision(self, revision: int) -> None:
        """Raise the revision if the policy is unchanged at a later store revision."""
        if self.current is not None and revision > self.revision:
            self.current = msgspec.structs.replace(self.current, revision=revision)
