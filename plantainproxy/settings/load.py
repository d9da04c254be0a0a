"""Reading of settings files, with every error at once."""

from collections import abc
import dataclasses
import pathlib
import tomllib
import typing

import msgspec

from plantainproxy import _exceptions, _types

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One thing that is wrong in a settings file."""

    place: str
    """The dotted name of the key; empty for the file as a whole."""
    expected: str
    """What should stand there."""

    def __str__(self) -> str:
        """Render the place and the expectation."""
        if not self.place:
            return self.expected
        return f"{self.place}: {self.expected}"


def decode_hook(wanted: type, value: typing.Any) -> typing.Any:
    """Decode the project's own value types for ``msgspec``."""
    if wanted is _types.Address and isinstance(value, str):
        return _types.Address.parse(value)
    raise NotImplementedError(f"cannot decode {wanted.__name__}")


def _convert(
    value: typing.Any, wanted: typing.Any, place: str, problems: list[Problem]
) -> typing.Any:
    if wanted is _types.Address:
        return _convert_address(value, place, problems)
    if wanted == _types.Address | None:
        return _convert_address(value, place, problems)
    if wanted == tuple[_types.Address, ...]:
        return _convert_addresses(value, place, problems)
    if dataclasses.is_dataclass(wanted) and isinstance(wanted, type):
        return _convert_table(value, wanted, place, problems)
    try:
        return msgspec.convert(value, type=wanted)
    except msgspec.ValidationError as error:
        problems.append(Problem(place=place, expected=str(error)))
        return None


def _convert_address(
    value: typing.Any, place: str, problems: list[Problem]
) -> typing.Any:
    if not isinstance(value, str):
        problems.append(Problem(place=place, expected='expected "host:port"'))
        return None
    try:
        return _types.Address.parse(value)
    except ValueError as error:
        problems.append(Problem(place=place, expected=str(error)))
        return None


def _convert_addresses(
    value: typing.Any, place: str, problems: list[Problem]
) -> typing.Any:
    if not isinstance(value, list):
        expected = 'expected a list of "host:port"'
        problems.append(Problem(place=place, expected=expected))
        return None
    return tuple(
        _convert_address(item, f"{place}[{index}]", problems)
        for index, item in enumerate(value)
    )


def _convert_table(
    table: typing.Any, wanted: type, place: str, problems: list[Problem]
) -> typing.Any:
    if not isinstance(table, abc.Mapping):
        problems.append(Problem(place=place, expected="expected a table"))
        return None
    before = len(problems)
    prefix = f"{place}." if place else ""
    hints = typing.get_type_hints(wanted)
    known = {field.name: field for field in dataclasses.fields(wanted)}
    for name in table:
        if name not in known:
            expected = f"unknown key; known are {', '.join(sorted(known))}"
            problems.append(Problem(place=f"{prefix}{name}", expected=expected))
    values = {}
    for name, field in known.items():
        if name in table:
            values[name] = _convert(
                table[name], hints[name], f"{prefix}{name}", problems
            )
        elif field.default is dataclasses.MISSING:
            problems.append(
                Problem(place=f"{prefix}{name}", expected="required key is missing")
            )
    if len(problems) > before:
        return None
    return wanted(**values)


def parse(
    text: str,
    settings_type: type[T],
    *,
    source: str,
    check: typing.Callable[[T], abc.Iterator[Problem]] = lambda settings: iter(()),
) -> T:
    """Decode TOML text and run ``check`` on the result.

    Raise ``PlantainError`` of kind ``INVALID_SETTINGS`` whose detail lists every
    problem on a line of its own; ``source`` names the file.
    """
    problems: list[Problem] = []
    settings: typing.Any = None
    try:
        settings = _convert_table(tomllib.loads(text), settings_type, "", problems)
    except tomllib.TOMLDecodeError as error:
        problems.append(Problem(place="", expected=str(error)))
    if settings is not None:
        problems.extend(check(settings))
    if problems:
        lines = "\n".join(f"{source}: {problem}" for problem in problems)
        raise _exceptions.PlantainError(_exceptions.ErrorKind.INVALID_SETTINGS, lines)
    return typing.cast(T, settings)


def load(
    path: pathlib.Path,
    settings_type: type[T],
    *,
    check: typing.Callable[[T], abc.Iterator[Problem]] = lambda settings: iter(()),
) -> T:
    """Read, decode and check one settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, f"{path}: {error}"
        ) from None
    return parse(text, settings_type, source=str(path), check=check)
