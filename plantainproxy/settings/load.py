"""Loading of settings files, with all errors in one report."""

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
    """One error in a settings file."""

    location: str
    """The dotted name of the key; empty if the error is not about one key."""
    message: str
    """What is wrong or what was expected."""

    def __str__(self) -> str:
        """Return the location, if there is one, and the message."""
        if not self.location:
            return self.message
        return f"{self.location}: {self.message}"


def decode_hook(target_type: type, value: typing.Any) -> typing.Any:
    """Decode ``Address`` values for ``msgspec``."""
    if target_type is _types.Address and isinstance(value, str):
        return _types.Address.parse(value)
    raise NotImplementedError(f"cannot decode {target_type.__name__}")


def _convert(
    value: typing.Any, target_type: typing.Any, location: str, problems: list[Problem]
) -> typing.Any:
    if target_type is _types.Address:
        return _convert_address(value, location, problems)
    if target_type == _types.Address | None:
        return _convert_address(value, location, problems)
    if target_type == tuple[_types.Address, ...]:
        return _convert_addresses(value, location, problems)
    if dataclasses.is_dataclass(target_type) and isinstance(target_type, type):
        return _convert_table(value, target_type, location, problems)
    try:
        return msgspec.convert(value, type=target_type)
    except msgspec.ValidationError as error:
        problems.append(Problem(location=location, message=str(error)))
        return None


def _convert_address(
    value: typing.Any, location: str, problems: list[Problem]
) -> typing.Any:
    if not isinstance(value, str):
        problems.append(Problem(location=location, message='expected "host:port"'))
        return None
    try:
        return _types.Address.parse(value)
    except ValueError as error:
        problems.append(Problem(location=location, message=str(error)))
        return None


def _convert_addresses(
    value: typing.Any, location: str, problems: list[Problem]
) -> typing.Any:
    if not isinstance(value, list):
        message = 'expected a list of "host:port"'
        problems.append(Problem(location=location, message=message))
        return None
    return tuple(
        _convert_address(item, f"{location}[{index}]", problems)
        for index, item in enumerate(value)
    )


def _convert_table(
    table: typing.Any, target_type: type, location: str, problems: list[Problem]
) -> typing.Any:
    if not isinstance(table, abc.Mapping):
        problems.append(Problem(location=location, message="expected a table"))
        return None
    problem_count = len(problems)
    prefix = f"{location}." if location else ""
    hints = typing.get_type_hints(target_type)
    fields_by_name = {field.name: field for field in dataclasses.fields(target_type)}
    for name in table:
        if name not in fields_by_name:
            message = f"unknown key; known are {', '.join(sorted(fields_by_name))}"
            problems.append(Problem(location=f"{prefix}{name}", message=message))
    values = {}
    for name, field in fields_by_name.items():
        if name in table:
            values[name] = _convert(
                table[name], hints[name], f"{prefix}{name}", problems
            )
        elif field.default is dataclasses.MISSING:
            problems.append(
                Problem(location=f"{prefix}{name}", message="required key is missing")
            )
    if len(problems) > problem_count:
        return None
    return target_type(**values)


def parse(
    text: str,
    settings_type: type[T],
    *,
    source: str,
    check: typing.Callable[[T], abc.Iterator[Problem]] = lambda settings: iter(()),
) -> T:
    """Decode TOML text and run ``check`` on the result.

    Raises ``PlantainError`` of kind ``INVALID_SETTINGS``, whose detail lists each
    problem on a separate line, prefixed with ``source``, the name of the file.
    """
    problems: list[Problem] = []
    settings: typing.Any = None
    try:
        settings = _convert_table(tomllib.loads(text), settings_type, "", problems)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        problems.append(Problem(location="", message=str(error)))
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
    """Read, decode and check one settings file; raise as :func:`parse` does."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, f"{path}: {error}"
        ) from None
    return parse(text, settings_type, source=str(path), check=check)
