"""What operators have asked for: the routing table and domains out of service."""

from collections import abc
import enum

import msgspec
import xxhash


class RouteKind(enum.StrEnum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    """A request may run more than once."""
    NON_IDEMPOTENT = "non-idempotent"
    """A request may run at most once."""
    DOWNLOAD = "download"
    """Like idempotent, with large answers."""


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """A pool's share of a route's new flows."""

    pool: str
    weight: float
    """Relative to the other shares of the route; at least 0."""


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where new flows to one service address go."""

    name: str
    service: bytes
    """The packed service address that callers use."""
    kind: RouteKind
    shares: tuple[Share, ...]
    priority: int = 0
    """Which flows go first when not all can be served; 0 is the highest."""
    objective_seconds: float = 1.0
    """The time in which callers want their answers."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT

    @property
    def pools(self) -> frozenset[str]:
        """The pools that may get the route's flows."""
        return frozenset(share.pool for share in self.shares)


class PoolLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What the upstreams of one pool can bear."""

    cold_seconds: float = 0.0
    """How long an upstream is cold after its start under traffic."""
    cold_flows_per_second: float | None = None
    """New flows a second that a cold upstream bears; absent where it is not stated."""
    health_path: str = ""
    """Path of the health check."""


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """One state of everything that operators decide."""

    revision: int
    """The store's revision that this state was read at; it only ever rises."""
    version: int = 0
    """The operators' own number of the configuration."""
    routes: abc.Mapping[bytes, Route] = msgspec.field(default_factory=dict)
    """By packed service address."""
    pools: abc.Mapping[str, PoolLimits] = msgspec.field(default_factory=dict)
    idle_seconds: float = 60.0
    """A flow without packets for this long may be forgotten."""
    domains_out: frozenset[str] = frozenset()
    """Failure domains whose upstreams get no new flows."""


NO_POLICY_DIGEST = 0
"""Stands for the digest of a process that has no policy."""


def digest(policy: Policy) -> int:
    """Return a number that two policies share when only their revisions differ."""
    content = (
        policy.version,
        policy.idle_seconds,
        sorted(policy.routes.items()),
        sorted(policy.pools.items()),
        sorted(policy.domains_out),
    )
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(content))


class ActivePolicy:
    """The policy in force in one process; it never goes back."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.current: Policy | None = None
        self.digest = NO_POLICY_DIGEST
        self.pools_seen: dict[bytes, frozenset[str]] = {}
        """Pools that each service address has led to; open flows stay there."""

    @property
    def revision(self) -> int:
        """The revision in force; 0 while nothing is known."""
        return self.current.revision if self.current else 0

    def apply_if_newer(self, policy: Policy) -> bool:
        """Put a policy in force unless it is as old as the present one or older."""
        if policy.revision <= self.revision:
            return False
        self.current = policy
        self.digest = digest(policy)
        for service, route in policy.routes.items():
            earlier_pools = self.pools_seen.get(service, frozenset())
            self.pools_seen[service] = earlier_pools | route.pools
        return True

    def advance_revision(self, revision: int) -> None:
        """Note that the policy in force stood unchanged at a later revision."""
        if self.current is not None and revision > self.revision:
            self.current = msgspec.structs.replace(self.current, revision=revision)
