"""The stored form of documents, and the limit on their size."""

import dataclasses
import typing

import msgspec

from plantainproxy import _exceptions
from plantainproxy.config import model

MAX_VALUE_BYTES = 1_000_000
"""The store holds values up to a megabyte."""
FORMAT = 1
"""The version of the stored form; another one is refused."""

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _FormatHeader:
    format: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ConfigurationDocument:
    format: int
    configuration: model.Configuration


def key(prefix: str) -> str:
    """Return the store's key of the configuration."""
    return f"{prefix}config/document"


def encode(configuration: model.Configuration) -> bytes:
    """Encode a configuration; refuse one that the store cannot hold."""
    return encode_value(
        _ConfigurationDocument(format=FORMAT, configuration=configuration),
        "the configuration",
    )


def decode(encoded: bytes) -> model.Configuration:
    """Decode a stored configuration."""
    return decode_value(
        encoded, _ConfigurationDocument, "the stored configuration"
    ).configuration


def encode_value(value: object, name: str) -> bytes:
    """Encode one value as JSON; refuse one that the store cannot hold."""
    encoded = msgspec.json.encode(value)
    if len(encoded) > MAX_VALUE_BYTES:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_CONFIGURATION,
            f"{name}: expected at most {MAX_VALUE_BYTES} bytes, got {len(encoded)}",
        )
    return encoded


def decode_value(encoded: bytes, value_type: type[T], name: str) -> T:
    """Decode one stored value; refuse another format before its content."""
    try:
        header = msgspec.json.decode(encoded, type=_FormatHeader)
        if header.format == FORMAT:
            return msgspec.json.decode(encoded, type=value_type)
        problem = f"expected format {FORMAT}, got {header.format}"
    except msgspec.DecodeError as error:
        problem = str(error)
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.INVALID_CONFIGURATION, f"{name}: {problem}"
    )
