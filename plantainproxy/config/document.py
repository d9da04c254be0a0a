"""Encoding of stored documents as JSON, with a format version and a size limit."""

import dataclasses
import typing

import msgspec

from plantainproxy import _decoding, _exceptions
from plantainproxy.config import model

MAX_VALUE_BYTES = 1_000_000
"""The store accepts values of up to one megabyte."""
FORMAT = 1
"""The version of the stored format. Documents of other versions are rejected."""

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _FormatHeader:
    format: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ConfigurationDocument:
    format: int
    configuration: model.Configuration


def key(prefix: str) -> str:
    """Return the store key of the configuration."""
    return f"{prefix}config/document"


def encode(configuration: model.Configuration) -> bytes:
    """Encode a configuration.

    Raises ``INVALID_CONFIGURATION`` if it exceeds the size limit of the store.
    """
    return encode_value(
        _ConfigurationDocument(format=FORMAT, configuration=configuration),
        "the configuration",
    )


def decode(encoded: bytes) -> model.Configuration:
    """Decode a stored configuration without checking its rules.

    Raises ``INVALID_CONFIGURATION`` if the bytes are malformed.
    """
    return decode_value(
        encoded, _ConfigurationDocument, "the stored configuration"
    ).configuration


def encode_value(value: object, name: str) -> bytes:
    """Encode a value as JSON.

    Raises ``INVALID_CONFIGURATION`` if it exceeds the size limit of the store.
    """
    encoded = msgspec.json.encode(value)
    if len(encoded) > MAX_VALUE_BYTES:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_CONFIGURATION,
            f"{name}: expected at most {MAX_VALUE_BYTES} bytes, got {len(encoded)}",
        )
    return encoded


def decode_value(encoded: bytes, value_type: type[T], name: str) -> T:
    """Decode a stored value.

    The format version is checked before the rest is decoded. Raises
    ``INVALID_CONFIGURATION`` if the format is unsupported or the bytes are malformed.
    """
    try:
        header = msgspec.json.decode(encoded, type=_FormatHeader)
        if header.format == FORMAT:
            return msgspec.json.decode(encoded, type=value_type)
        problem = f"expected format {FORMAT}, got {header.format}"
    except _decoding.ERRORS as error:
        problem = str(error)
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.INVALID_CONFIGURATION, f"{name}: {problem}"
    )
