"""Parsing of configurations from TOML, with all errors in one report, and rendering."""

from collections import abc
import dataclasses
import json
import tomllib
import typing

from plantainproxy import _types
from plantainproxy.config import check, model

T = typing.TypeVar("T")

_PLACEHOLDER_ADDRESS = _types.Address(check.WILDCARD_HOST, 0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Field:
    """How one key of a TOML table is read."""

    expected: str
    """Describes a valid value in error messages."""
    read: abc.Callable[[typing.Any], typing.Any]
    """Converts the TOML value; raises ``ValueError`` if it is invalid."""
    placeholder: typing.Any
    """Replaces an invalid value in later checks; also invalid if the type allows it."""
    required: bool = True


def _read_text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError
    return value


def _read_integer(value: typing.Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError
    return value


def _read_number(value: typing.Any) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError
    return float(value)


def _read_address(value: typing.Any) -> _types.Address:
    return _types.Address.parse(_read_text(value))


_TEXT = _Field(expected="a string", read=_read_text, placeholder="")
_INTEGER = _Field(expected="an integer", read=_read_integer, placeholder=-1)
_ADDRESS = _Field(
    expected='an IPv4 address and port such as "127.0.0.1:443"',
    read=_read_address,
    placeholder=_PLACEHOLDER_ADDRESS,
)
_NUMBER = _Field(
    expected="a number", read=_read_number, placeholder=-1.0, required=False
)
_STATE = _Field(
    expected='"in" or "out"',
    read=_types.DomainState,
    placeholder=_types.DomainState.IN,
    required=False,
)

_ROUTE = {"name": _TEXT, "address": _ADDRESS, "pool": _TEXT}
_POOL = {
    "name": _TEXT,
    "max_running": dataclasses.replace(_INTEGER, required=False),
    "lines_per_second": _NUMBER,
}
_DOMAIN = {"name": _TEXT, "number": _INTEGER, "state": _STATE}
_TABLES = ("routes", "pools", "domains", "drained")


class _ProblemCollector:
    """Collects the problems of one document."""

    def __init__(self) -> None:
        self.problems: list[check.Problem] = []


def parse(text: str, *, source: str) -> model.Configuration:
    """Parse a configuration from TOML text. Its revision is 0.

    Raises ``INVALID_CONFIGURATION`` with one line for each problem: ``source``, the
    location and what was expected there.
    """
    collector = _ProblemCollector()
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        problem = check.Problem(location="TOML", message=str(error))
        raise check.invalid_configuration_error([problem], source=source) from None
    _report_unknown_keys(collector, "", document, _TABLES)
    configuration = model.Configuration(
        revision=0,
        routes=_read_tables(collector, document, "routes", _ROUTE, model.Route),
        pools=_read_tables(collector, document, "pools", _POOL, model.Pool),
        domains=_read_tables(collector, document, "domains", _DOMAIN, model.Domain),
        drained=_read_drained(collector, document),
    )
    _report_rule_violations(collector, configuration)
    if collector.problems:
        raise check.invalid_configuration_error(collector.problems, source=source)
    return configuration


def _report_rule_violations(
    collector: _ProblemCollector, configuration: model.Configuration
) -> None:
    """Check the rules of a configuration, except at locations already reported."""
    reported_locations = {problem.location for problem in collector.problems}
    collector.problems += [
        problem
        for problem in check.find_problems(configuration)
        if problem.location not in reported_locations
    ]


def _report_mismatch(
    collector: _ProblemCollector, location: str, expected: str, actual: typing.Any
) -> None:
    collector.problems.append(
        check.Problem(location=location, message=f"expected {expected}, got {actual!r}")
    )


def _report_unknown_keys(
    collector: _ProblemCollector,
    location: str,
    table: dict[str, typing.Any],
    known_keys: tuple[str, ...],
) -> None:
    for name in table:
        if name not in known_keys:
            message = f"expected one of {', '.join(known_keys)}; this key is unknown"
            collector.problems.append(
                check.Problem(location=f"{location}{name}", message=message)
            )


def _read_list(
    collector: _ProblemCollector, document: dict[str, typing.Any], name: str
) -> list[typing.Any]:
    value = document.get(name, [])
    if isinstance(value, list):
        return value
    _report_mismatch(collector, name, "a list", value)
    return []


def _read_tables(
    collector: _ProblemCollector,
    document: dict[str, typing.Any],
    name: str,
    fields: dict[str, _Field],
    table_type: abc.Callable[..., T],
) -> tuple[T, ...]:
    return tuple(
        table_type(**_read_fields(collector, f"{name}[{index}]", table, fields))
        for index, table in enumerate(_read_list(collector, document, name))
    )


def _read_fields(
    collector: _ProblemCollector,
    location: str,
    table: typing.Any,
    fields: dict[str, _Field],
) -> dict[str, typing.Any]:
    if not isinstance(table, dict):
        _report_mismatch(collector, location, "a table", table)
        table = {}
    else:
        _report_unknown_keys(collector, f"{location}.", table, tuple(fields))
    values = {}
    for name, field in fields.items():
        if name in table:
            values[name] = _read_value(
                collector, f"{location}.{name}", table[name], field
            )
        elif field.required:
            values[name] = field.placeholder
            collector.problems.append(
                check.Problem(
                    location=f"{location}.{name}",
                    message=f"expected {field.expected}, but the key is missing",
                )
            )
    return values


def _read_value(
    collector: _ProblemCollector, location: str, value: typing.Any, field: _Field
) -> typing.Any:
    try:
        return field.read(value)
    except (ValueError, OverflowError):
        _report_mismatch(collector, location, field.expected, value)
        return field.placeholder


def _read_drained(
    collector: _ProblemCollector, document: dict[str, typing.Any]
) -> tuple[_types.Address, ...]:
    return tuple(
        _read_value(collector, f"drained[{index}]", value, _ADDRESS)
        for index, value in enumerate(_read_list(collector, document, "drained"))
    )


def render(configuration: model.Configuration) -> str:
    """Render a configuration as TOML text that :func:`parse` accepts."""
    lines = [f"# revision {configuration.revision}"]
    drained = ", ".join(_render_value(address) for address in configuration.drained)
    lines.append(f"drained = [{drained}]")
    for name, items in (
        ("routes", configuration.routes),
        ("pools", configuration.pools),
        ("domains", configuration.domains),
    ):
        for item in items:
            lines += ["", f"[[{name}]]", *_render_fields(item)]
    return "\n".join(lines) + "\n"


def _render_fields(item: model.Route | model.Pool | model.Domain) -> list[str]:
    return [
        f"{field.name} = {_render_value(getattr(item, field.name))}"
        for field in dataclasses.fields(item)
    ]


def _render_value(value: typing.Any) -> str:
    if isinstance(value, int | float):
        return repr(value)
    # JSON string escapes are valid in TOML basic strings. JSON leaves the delete
    # character unescaped, but TOML requires an escape.
    return json.dumps(str(value), ensure_ascii=False).replace("\x7f", "\\u007f")
