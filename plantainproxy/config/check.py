"""Validation rules of a configuration."""

from collections import abc
import dataclasses
import math

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.wire import connection_id

MAX_NAME_LENGTH = 128
MAX_DOMAIN_NUMBER = 255
MAX_RUNNING_LIMIT = 1_000_000
WILDCARD_HOST = "0.0.0.0"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One violation of a rule by a configuration."""

    location: str
    """The path of the value, such as ``routes[0].pool``."""
    message: str
    """What was expected and what was found."""

    def __str__(self) -> str:
        """Return the location and the message as one line."""
        return f"{self.location}: {self.message}"


def invalid_configuration_error(
    problems: abc.Iterable[Problem], *, source: str
) -> _exceptions.PlantainError:
    """Build an error whose detail lists each problem on a separate line."""
    lines = [f"{source}: {problem}" for problem in problems]
    return _exceptions.PlantainError(
        _exceptions.ErrorKind.INVALID_CONFIGURATION, "\n".join(lines)
    )


def require_valid(configuration: model.Configuration, *, source: str) -> None:
    """Raise ``INVALID_CONFIGURATION`` listing all problems, if there are any."""
    problems = find_problems(configuration)
    if problems:
        raise invalid_configuration_error(problems, source=source)


def find_problems(configuration: model.Configuration) -> tuple[Problem, ...]:
    """Return every rule violation within one configuration."""
    return (
        *_check_routes(configuration),
        *_check_pools(configuration.pools),
        *_check_domains(configuration.domains),
        *_check_drained(configuration),
    )


def find_change_problems(
    base: model.Configuration, proposed: model.Configuration
) -> tuple[Problem, ...]:
    """Return every problem of a change from one valid configuration to another.

    The number of a failure domain cannot change, because the connection IDs of open
    connections contain it.
    """
    numbers = {domain.name: domain.number for domain in base.domains}
    return tuple(
        Problem(
            location=f"domains[{index}].number",
            message=f"expected {numbers[domain.name]}, the number that failure domain"
            f" {domain.name!r} has, got {domain.number}",
        )
        for index, domain in enumerate(proposed.domains)
        if numbers.get(domain.name, domain.number) != domain.number
    )


def _check_routes(configuration: model.Configuration) -> abc.Iterator[Problem]:
    routes = configuration.routes
    pools = {pool.name for pool in configuration.pools}
    yield from _check_names("routes", [route.name for route in routes])
    addresses = [route.address for route in routes]
    yield from _check_addresses("routes[{}].address", addresses)
    yield from _check_service_tags(addresses)
    for index, route in enumerate(routes):
        if route.pool not in pools:
            yield Problem(
                location=f"routes[{index}].pool",
                message=f"expected the name of a pool, got {route.pool!r}",
            )


def _check_service_tags(addresses: list[_types.Address]) -> abc.Iterator[Problem]:
    """Reject addresses with equal service tags.

    Connection IDs identify a service by its tag only.
    """
    by_tag: dict[int, tuple[int, _types.Address]] = {}
    for index, address in enumerate(addresses):
        if not _is_well_formed(address):
            continue
        tag = connection_id.service_tag(address.pack())
        first, other = by_tag.setdefault(tag, (index, address))
        if other != address:
            yield Problem(
                location=f"routes[{index}].address",
                message="expected an address whose service tag differs from that of"
                f" routes[{first}].address, got {address}",
            )


def _check_pools(pools: tuple[model.Pool, ...]) -> abc.Iterator[Problem]:
    yield from _check_names("pools", [pool.name for pool in pools])
    for index, pool in enumerate(pools):
        if not 1 <= pool.max_running <= MAX_RUNNING_LIMIT:
            yield Problem(
                location=f"pools[{index}].max_running",
                message=f"expected 1 to {MAX_RUNNING_LIMIT}, got {pool.max_running}",
            )
        rate = pool.lines_per_second
        if not math.isfinite(rate) or rate <= 0:
            yield Problem(
                location=f"pools[{index}].lines_per_second",
                message=f"expected a number above 0, got {rate}",
            )


def _check_domains(domains: tuple[model.Domain, ...]) -> abc.Iterator[Problem]:
    yield from _check_names("domains", [domain.name for domain in domains])
    numbers = [domain.number for domain in domains]
    yield from _check_unique("domains[{}].number", numbers)
    for index, number in enumerate(numbers):
        if not 0 <= number <= MAX_DOMAIN_NUMBER:
            yield Problem(
                location=f"domains[{index}].number",
                message=f"expected 0 to {MAX_DOMAIN_NUMBER}, got {number}",
            )


def _check_drained(configuration: model.Configuration) -> abc.Iterator[Problem]:
    yield from _check_addresses("drained[{}]", list(configuration.drained))
    services = {route.address: route.name for route in configuration.routes}
    for index, address in enumerate(configuration.drained):
        if address in services:
            yield Problem(
                location=f"drained[{index}]",
                message="expected an upstream's address, got the service address of"
                f" route {services[address]!r}",
            )


def _check_names(table: str, names: list[str]) -> abc.Iterator[Problem]:
    yield from _check_unique(table + "[{}].name", names)
    for index, name in enumerate(names):
        if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable():
            yield Problem(
                location=f"{table}[{index}].name",
                message=f"expected 1 to {MAX_NAME_LENGTH} printable characters,"
                f" got {name!r}",
            )


def _check_addresses(
    location: str, addresses: list[_types.Address]
) -> abc.Iterator[Problem]:
    yield from _check_unique(location, addresses)
    for index, address in enumerate(addresses):
        if not _is_well_formed(address):
            expected = "an IPv4 address and port"
        elif address.host == WILDCARD_HOST or address.port == 0:
            expected = "a specific address, which overlaps no other, and a port above 0"
        else:
            continue
        yield Problem(
            location=location.format(index),
            message=f"expected {expected}, got {address}",
        )


def _is_well_formed(address: _types.Address) -> bool:
    """Return whether an address is valid.

    Decoding a stored document does not check the addresses in it.
    """
    try:
        return _types.Address.parse(str(address)) == address
    except ValueError:
        return False


def _check_unique(
    location: str, values: abc.Iterable[abc.Hashable]
) -> abc.Iterator[Problem]:
    first_index_of: dict[abc.Hashable, int] = {}
    for index, value in enumerate(values):
        first = first_index_of.setdefault(value, index)
        if first != index:
            yield Problem(
                location=location.format(index),
                message=f"expected a value other than that of {location.format(first)},"
                f" got {str(value)!r}",
            )
