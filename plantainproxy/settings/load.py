"""Reading of settings files, with every error at once."""

import pathlib
import tomllib
from typing import Any, TypeVar

import msgspec

from plantainproxy import _exceptions, _types

T = TypeVar("T")


def _decode_hook(wanted: type, value: Any) -> Any:
    if wanted is _types.Address and isinstance(value, str):
        return _types.Address.parse(value)
    raise NotImplementedError(f"cannot decode {wanted.__name__}")


def parse(text: str, settings_type: type[T], *, source: str) -> T:
    """Decode TOML text; ``source`` names its origin in errors."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, f"{source}: {error}"
        ) from None
    try:
        return msgspec.convert(table, type=settings_type, dec_hook=_decode_hook)
    except msgspec.ValidationError as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, f"{source}: {error}"
        ) from None


def load(path: pathlib.Path, settings_type: type[T]) -> T:
    """Read and decode one settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, f"{path}: {error.strerror}"
        ) from None
    return parse(text, settings_type, source=str(path))
