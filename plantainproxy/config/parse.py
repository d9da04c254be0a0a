"""Configuration as TOML text, read with every error at once and written."""

from collections import abc
import dataclasses
import json
import tomllib
import typing

from plantainproxy import _types
from plantainproxy.config import check, model

T = typing.TypeVar("T")

_UNREADABLE_ADDRESS = _types.Address(check.WILDCARD_HOST, 0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Field:
    """How one key of a table is read."""

    expected: str
    read: abc.Callable[[typing.Any], typing.Any]
    """Raises ``ValueError`` for a value that does not fit."""
    unreadable: typing.Any
    """Stands in for a value that does not fit, and is invalid itself."""
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


_TEXT = _Field(expected="a string", read=_read_text, unreadable="")
_INTEGER = _Field(expected="an integer", read=_read_integer, unreadable=-1)
_ADDRESS = _Field(
    expected='an IPv4 address and port such as "127.0.0.1:443"',
    read=_read_address,
    unreadable=_UNREADABLE_ADDRESS,
)
_NUMBER = _Field(
    expected="a number", read=_read_number, unreadable=-1.0, required=False
)
_STATE = _Field(
    expected='"in" or "out"',
    read=_types.DomainState,
    unreadable=_types.DomainState.IN,
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


class _Reader:
    """The problems found so far."""

    def __init__(self) -> None:
        self.problems: list[check.Problem] = []


def parse(text: str, *, source: str) -> model.Configuration:
    """Read the body of a configuration; its revision is 0.

    Raises ``INVALID_CONFIGURATION`` that names ``source``, each place and what was
    expected there.
    """
    reader = _Reader()
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = check.Problem(place="TOML", expected=str(error))
        raise check.refusal([problem], source=source) from None
    _refuse_unknown(reader, "", document, _TABLES)
    configuration = model.Configuration(
        revision=0,
        routes=_read_tables(reader, document, "routes", _ROUTE, model.Route),
        pools=_read_tables(reader, document, "pools", _POOL, model.Pool),
        domains=_read_tables(reader, document, "domains", _DOMAIN, model.Domain),
        drained=_read_drained(reader, document),
    )
    _add_whole_problems(reader, configuration)
    if reader.problems:
        raise check.refusal(reader.problems, source=source)
    return configuration


def _add_whole_problems(reader: _Reader, configuration: model.Configuration) -> None:
    """Add the problems of the whole, but for places already told."""
    told = {problem.place for problem in reader.problems}
    reader.problems += [
        problem
        for problem in check.find_problems(configuration)
        if problem.place not in told
    ]


def _expect(reader: _Reader, place: str, expected: str, found: typing.Any) -> None:
    reader.problems.append(
        check.Problem(place=place, expected=f"expected {expected}, got {found!r}")
    )


def _refuse_unknown(
    reader: _Reader, place: str, table: dict[str, typing.Any], known: tuple[str, ...]
) -> None:
    for name in table:
        if name not in known:
            expected = f"expected one of {', '.join(known)}; this key is unknown"
            reader.problems.append(
                check.Problem(place=f"{place}{name}", expected=expected)
            )


def _read_list(
    reader: _Reader, document: dict[str, typing.Any], name: str
) -> list[typing.Any]:
    value = document.get(name, [])
    if isinstance(value, list):
        return value
    _expect(reader, name, "a list", value)
    return []


def _read_tables(
    reader: _Reader,
    document: dict[str, typing.Any],
    name: str,
    fields: dict[str, _Field],
    table_type: abc.Callable[..., T],
) -> tuple[T, ...]:
    return tuple(
        table_type(**_read_fields(reader, f"{name}[{index}]", table, fields))
        for index, table in enumerate(_read_list(reader, document, name))
    )


def _read_fields(
    reader: _Reader, place: str, table: typing.Any, fields: dict[str, _Field]
) -> dict[str, typing.Any]:
    if not isinstance(table, dict):
        _expect(reader, place, "a table", table)
        table = {}
    else:
        _refuse_unknown(reader, f"{place}.", table, tuple(fields))
    values = {}
    for name, field in fields.items():
        if name in table:
            values[name] = _read_value(reader, f"{place}.{name}", table[name], field)
        elif field.required:
            values[name] = field.unreadable
            reader.problems.append(
                check.Problem(
                    place=f"{place}.{name}",
                    expected=f"expected {field.expected}, but the key is missing",
                )
            )
    return values


def _read_value(
    reader: _Reader, place: str, value: typing.Any, field: _Field
) -> typing.Any:
    try:
        return field.read(value)
    except (ValueError, OverflowError):
        _expect(reader, place, field.expected, value)
        return field.unreadable


def _read_drained(
    reader: _Reader, document: dict[str, typing.Any]
) -> tuple[_types.Address, ...]:
    return tuple(
        _read_value(reader, f"drained[{index}]", value, _ADDRESS)
        for index, value in enumerate(_read_list(reader, document, "drained"))
    )


def render(configuration: model.Configuration) -> str:
    """Write the body of a configuration as TOML text that :func:`parse` reads."""
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
    # TOML's basic strings take JSON's escapes, but for the delete character.
    return json.dumps(str(value), ensure_ascii=False).replace("\x7f", "\\u007f")
