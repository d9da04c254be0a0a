"""Edit functions that return a changed copy of a configuration."""

import dataclasses
import typing

from plantainproxy import _exceptions, _types
from plantainproxy.config import model

_Item = typing.TypeVar("_Item", bound=model.Route | model.Pool | model.Domain)


def set_route(
    configuration: model.Configuration, route: model.Route
) -> model.Configuration:
    """Add a route, or replace the one with the same name.

    Raises ``NOT_FOUND`` if its pool does not exist.
    """
    if all(pool.name != route.pool for pool in configuration.pools):
        raise _not_found("pool", route.pool)
    routes = _add_or_replace(configuration.routes, route)
    return dataclasses.replace(configuration, routes=routes)


def remove_route(configuration: model.Configuration, name: str) -> model.Configuration:
    """Remove a route; raise ``NOT_FOUND`` if it does not exist."""
    routes = _remove("route", configuration.routes, name)
    return dataclasses.replace(configuration, routes=routes)


def set_pool(
    configuration: model.Configuration, pool: model.Pool
) -> model.Configuration:
    """Add a pool, or replace the one with the same name."""
    pools = _add_or_replace(configuration.pools, pool)
    return dataclasses.replace(configuration, pools=pools)


def remove_pool(configuration: model.Configuration, name: str) -> model.Configuration:
    """Remove a pool.

    Raises ``NOT_FOUND`` if it does not exist, and ``INVALID_CONFIGURATION`` if a route
    uses it.
    """
    pools = _remove("pool", configuration.pools, name)
    route_names = [route.name for route in configuration.routes if route.pool == name]
    if route_names:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_CONFIGURATION,
            f"pool {name!r}: expected no route to use it, got {', '.join(route_names)}",
        )
    return dataclasses.replace(configuration, pools=pools)


def set_domain(
    configuration: model.Configuration, domain: model.Domain
) -> model.Configuration:
    """Add a failure domain, or replace the one with the same name."""
    domains = _add_or_replace(configuration.domains, domain)
    return dataclasses.replace(configuration, domains=domains)


def remove_domain(configuration: model.Configuration, name: str) -> model.Configuration:
    """Remove a failure domain; raise ``NOT_FOUND`` if it does not exist."""
    domains = _remove("failure domain", configuration.domains, name)
    return dataclasses.replace(configuration, domains=domains)


def set_domain_state(
    configuration: model.Configuration, name: str, state: _types.DomainState
) -> model.Configuration:
    """Take a failure domain out of service or back in.

    Raises ``NOT_FOUND`` if it does not exist.
    """
    for domain in configuration.domains:
        if domain.name == name:
            updated = dataclasses.replace(domain, state=state)
            return set_domain(configuration, updated)
    raise _not_found("failure domain", name)


def drain(
    configuration: model.Configuration, upstream: _types.Address
) -> model.Configuration:
    """Drain an upstream, so that it gets no new work; idempotent."""
    if upstream in configuration.drained:
        return configuration
    return dataclasses.replace(
        configuration, drained=(*configuration.drained, upstream)
    )


def undrain(
    configuration: model.Configuration, upstream: _types.Address
) -> model.Configuration:
    """Stop draining an upstream; raise ``NOT_FOUND`` if it is not drained."""
    if upstream not in configuration.drained:
        raise _not_found("drained upstream", str(upstream))
    drained = tuple(address for address in configuration.drained if address != upstream)
    return dataclasses.replace(configuration, drained=drained)


def _not_found(kind: str, name: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(
        _exceptions.ErrorKind.NOT_FOUND, f"{kind} {name!r}"
    )


def _add_or_replace(items: tuple[_Item, ...], item: _Item) -> tuple[_Item, ...]:
    """Replace the item with the same name, keeping its position, or append."""
    if all(other.name != item.name for other in items):
        return (*items, item)
    return tuple(item if other.name == item.name else other for other in items)


def _remove(kind: str, items: tuple[_Item, ...], name: str) -> tuple[_Item, ...]:
    remaining = tuple(item for item in items if item.name != name)
    if len(remaining) == len(items):
        raise _not_found(kind, name)
    return remaining
