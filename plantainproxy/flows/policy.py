"""The policy set by operators: routes, pool limits, domains out of service."""

from collections import abc
import enum
import typing

import msgspec
import xxhash

from plantainproxy import _decoding
from plantainproxy.store import revisioned

EVACUATION_HOLD_SECONDS = 5.0
"""How long a domain stays out after the store was restored from a copy in which it is
not. The operators write what was lost again within seconds."""


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

    pool: _decoding.Name
    weight: _decoding.Number
    """Relative to the other shares of the route; without flows if not positive."""


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Destination pools and request properties of one service address."""

    name: _decoding.Name
    service: _decoding.Service
    """The packed service address that callers use."""
    kind: RouteKind
    shares: typing.Annotated[
        tuple[Share, ...], msgspec.Meta(max_length=_decoding.MAX_ELEMENTS)
    ]
    priority: _decoding.Integer = 0
    """Order in which flows are served under overload; 0 is the highest priority."""
    objective_seconds: _decoding.Number = 1.0
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

    cold_seconds: _decoding.Number = 0.0
    """How long an upstream stays cold after it starts under traffic."""
    cold_flows_per_second: _decoding.Number | None = None
    """New flows per second that a cold upstream can handle; ``None`` if not set."""
    health_path: _decoding.HttpPath = ""
    """HTTP path of the health check."""


class Order(typing.NamedTuple):
    """Order of policies: by the operators' version first, then by store revision.

    Operators' versions only increase, so a lower version at a later revision is from a
    copy of the store that is older than the higher version.
    """

    version: _decoding.Integer = 0
    revision: revisioned.Revision = revisioned.NO_REVISION


NO_ORDER = Order()
"""Precedes all policies; the order of a process without a policy."""


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """One revision of the complete policy."""

    revision: _decoding.Count
    """Number of the store's revision at which the policy was read."""
    version: _decoding.Integer = 0
    """Version number that operators assigned to the configuration."""
    routes: typing.Annotated[
        abc.Mapping[_decoding.Service, Route],
        msgspec.Meta(max_length=_decoding.MAX_ELEMENTS),
    ] = msgspec.field(default_factory=dict)
    """Routes by packed service address."""
    pools: typing.Annotated[
        abc.Mapping[_decoding.Name, PoolLimits],
        msgspec.Meta(max_length=_decoding.MAX_ELEMENTS),
    ] = msgspec.field(default_factory=dict)
    idle_seconds: _decoding.Number = 60.0
    """Idle time after which a flow may be evicted."""
    domains_out: typing.Annotated[
        frozenset[_decoding.Name], msgspec.Meta(max_length=_decoding.MAX_ELEMENTS)
    ] = frozenset()
    """Failure domains whose upstreams receive no new flows."""
    era: _decoding.Count = 0
    """Era of the store's revision at which the policy was read."""

    @property
    def order(self) -> Order:
        """Position among all policies."""
        return Order(self.version, revisioned.Revision(self.era, self.revision))


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration in the store that cannot be applied."""

    version: int | None
    """Version number that operators assigned to it; ``None`` if it cannot be read."""
    revision: revisioned.Revision
    """Revision at which it was read."""
    reason: str
    digest: int
    """Hash of the document."""
    domains_out: frozenset[str]
    """Evacuations at the same revision, which apply nevertheless."""

    def __str__(self) -> str:
        """Return a message with the version, the revision and the reason."""
        version = "unreadable" if self.version is None else self.version
        return f"version {version} at revision {self.revision.number}: {self.reason}"


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


def merge(current: Policy, offered: Policy) -> Policy:
    """Return the newer configuration of two policies with the newer evacuations.

    Evacuations have no version of the operators, so those of the later store revision
    apply even if the configuration there is an older one from a copy of the store.
    """
    later = max(current, offered, key=lambda candidate: candidate.order.revision)
    newest = max(current, offered, key=lambda candidate: candidate.order)
    return msgspec.structs.replace(
        newest,
        revision=later.revision,
        era=later.era,
        domains_out=later.domains_out,
    )


def renew(current: Policy, refused: Refused) -> Policy:
    """Return a policy with the evacuations from beside a refused configuration."""
    return msgspec.structs.replace(
        current,
        revision=refused.revision.number,
        era=refused.revision.era,
        domains_out=refused.domains_out,
    )


class ActivePolicy:
    """The active policy of a process; its order never decreases."""

    def __init__(self) -> None:
        """Start without a policy."""
        self.stored: Policy | None = None
        """The policy according to the store."""
        self.current: Policy | None = None
        """The policy in force: the stored one with the domains that are held out."""
        self.digest = NO_POLICY_DIGEST
        """Digest of the stored policy."""
        self.held_domains: frozenset[str] = frozenset()
        """Domains that were out before the store was restored, and may have been lost
        from it."""
        self.hold_seconds_left = 0.0
        """Time with a responding store after which the held domains are released."""
        self.era = 0
        """Latest era that a response of the store or an applied document had."""
        self.pools_seen: dict[bytes, frozenset[str]] = {}
        """All pools that each service address has been routed to.

        Open flows stay in their pool after a route changes.
        """

    @property
    def order(self) -> Order:
        """Order of the stored policy; ``NO_ORDER`` without one."""
        return self.stored.order if self.stored else NO_ORDER

    @property
    def revision(self) -> int:
        """Number of the store revision of the policy; 0 without a policy."""
        return self.order.revision.number

    def apply_if_newer(self, offered: Policy) -> bool:
        """Activate what is newer in a policy; return whether anything was."""
        previous = self.stored
        merged = merge(previous, offered) if previous else offered
        if previous and merged.order <= previous.order:
            return False
        merged_digest = digest(merged)
        self._update_held_domains(merged)
        self._set_stored(merged)
        self.digest = merged_digest
        for service, route in merged.routes.items():
            earlier_pools = self.pools_seen.get(service, frozenset())
            self.pools_seen[service] = earlier_pools | route.pools
        return True

    def advance_order(self, order: Order) -> None:
        """Raise the revision if the policy is unchanged at a later one."""
        if self.stored is not None and order > self.order:
            self._set_stored(
                msgspec.structs.replace(
                    self.stored, revision=order.revision.number, era=order.revision.era
                )
            )

    def elapse_hold(self, seconds: float) -> bool:
        """Let time pass in which the store responded.

        Returns whether domains that were held out were released.
        """
        self.hold_seconds_left = max(0.0, self.hold_seconds_left - seconds)
        if self.stored is None or not self.held_domains or self.hold_seconds_left:
            return False
        self.held_domains = frozenset()
        self._set_stored(self.stored)
        return True

    def _update_held_domains(self, merged: Policy) -> None:
        """Hold the domains that were out out if the store was restored."""
        if self.current is None:
            return
        if merged.era > self.current.era:
            self.held_domains = self.current.domains_out
            self.hold_seconds_left = EVACUATION_HOLD_SECONDS
        self.held_domains -= merged.domains_out

    def _set_stored(self, stored: Policy) -> None:
        self.stored = stored
        self.era = max(self.era, stored.era)
        self.current = (
            msgspec.structs.replace(
                stored, domains_out=stored.domains_out | self.held_domains
            )
            if self.held_domains
            else stored
        )
