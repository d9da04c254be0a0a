"""The configuration documents: routes, pools, failure domains, drains and keys."""

import dataclasses

from plantainproxy import _types


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Binds one service address to one pool by name."""

    name: str
    address: _types.Address
    """The service address that callers use; unique over all routes."""
    pool: str
    """The name of the pool that serves the address."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A named group of upstreams; its members announce themselves."""

    name: str
    max_running: int = 64
    """Most requests that may run at once on one upstream."""
    lines_per_second: float = 50.0
    """Most new connections that one warm upstream takes a second."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Domain:
    """A failure domain."""

    name: str
    number: int
    """Identifies the domain inside connection IDs, 0 to 255; unique."""
    state: _types.DomainState = _types.DomainState.IN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One complete, checked configuration. Its revision only ever rises."""

    revision: int
    """One more than that of the configuration it replaced."""
    change_id: str = ""
    """Identifies the change that made it."""
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    domains: tuple[Domain, ...] = ()
    drained: tuple[_types.Address, ...] = ()
    """Tunnel addresses of the upstreams that operators drain."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """One shared secret from which the working keys are derived."""

    number: int
    """Identifies the key inside connection IDs, 0 to 255."""
    secret: bytes
    """Thirty-two random bytes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySet:
    """All keys in force. New connection IDs use the current one."""

    revision: int
    current: int
    """The number of the key for new connection IDs."""
    keys: tuple[Key, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolView:
    """The part of a configuration that one sidecar needs."""

    revision: int
    """The revision of the configuration it was taken from."""
    pool: Pool | None
    """The sidecar's pool; absent when the configuration has none of that name."""
    services: tuple[_types.Address, ...]
    """The service addresses whose routes lead to the pool."""
    domain_number: int
    """The number of the sidecar's failure domain; -1 when it is not configured."""
    domain_in: bool
    """Whether the sidecar's failure domain may receive traffic."""
    drained: bool
    """Whether operators drain this upstream."""
    domains_out: tuple[str, ...] = ()
    """The failure domains that may not receive traffic."""


def build_pool_view(configuration: Configuration, *, record: _types.MemberRecord) -> PoolView:
    """Take from a configuration what the sidecar of a record needs."""
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
