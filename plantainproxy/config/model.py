"""Data model of the configuration and of the shared key set."""

import dataclasses

from plantainproxy import _members, _types


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps one service address to one pool."""

    name: str
    address: _types.Address
    """The service address that callers connect to; unique among the routes."""
    pool: str
    """The name of the pool that serves the address."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A named group of upstreams; each is announced by its sidecar."""

    name: str
    max_running: int = 64
    """Maximum number of concurrent requests on one upstream."""
    lines_per_second: float = 50.0
    """Maximum rate of new connections to one warm upstream."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Domain:
    """A failure domain and whether it receives traffic."""

    name: str
    number: int
    """Identifies the domain in connection IDs; unique, 0 to 255."""
    state: _types.DomainState = _types.DomainState.IN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One complete configuration. Each accepted change raises the revision."""

    revision: int
    """One more than the revision of the configuration that it replaced."""
    change_id: str = ""
    """Identifies the change that created this revision."""
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    domains: tuple[Domain, ...] = ()
    drained: tuple[_types.Address, ...] = ()
    """Tunnel addresses of the upstreams that operators have drained."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """One shared secret from which the working keys are derived."""

    number: int
    """Identifies the key in connection IDs, 0 to 255."""
    secret: bytes
    """32 random bytes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySet:
    """All accepted keys. New connection IDs use the current one."""

    revision: int
    current: int
    """The number of the key that new connection IDs use."""
    keys: tuple[Key, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolView:
    """The part of a configuration that one sidecar needs."""

    revision: int
    """The revision of the configuration that the view was built from."""
    pool: Pool | None
    """The sidecar's pool, or ``None`` if it is not configured."""
    services: tuple[_types.Address, ...]
    """The service addresses that are routed to the pool."""
    domain_number: int
    """The number of the sidecar's failure domain, or -1 if it is not configured."""
    domain_in: bool
    """Whether the sidecar's failure domain may receive traffic."""
    drained: bool
    """Whether operators have drained this upstream."""
    domains_out: tuple[str, ...] = ()
    """The failure domains that may not receive traffic."""


def build_pool_view(
    configuration: Configuration, *, record: _members.MemberRecord
) -> PoolView:
    """Build the view for the sidecar that ``record`` describes."""
    domains = {domain.name: domain for domain in configuration.domains}
    pools = {pool.name: pool for pool in configuration.pools}
    domain = domains.get(record.domain)
    return PoolView(
        revision=configuration.revision,
        pool=pools.get(record.pool),
        services=tuple(
            route.address for route in configuration.routes if route.pool == record.pool
        ),
        domain_number=-1 if domain is None else domain.number,
        domain_in=domain is not None and domain.state is _types.DomainState.IN,
        drained=record.tunnel in configuration.drained,
        domains_out=tuple(
            domain.name
            for domain in configuration.domains
            if domain.state is _types.DomainState.OUT
        ),
    )
