"""Encoding of an error kind in the trailing metadata of a failed gRPC call."""

import typing

from plantainproxy import _exceptions

METADATA_NAME = "plantain-kind"
"""Key of the trailing metadata whose value is the error kind."""


def encode(kind: _exceptions.ErrorKind) -> tuple[tuple[str, str], ...]:
    """Return the trailing metadata that carries an error kind."""
    return ((METADATA_NAME, kind.value),)


def error_from_call(call: typing.Any) -> _exceptions.PlantainError | None:
    """Return the error that the peer reported; ``None`` if it reported none."""
    for name, value in call.trailing_metadata() or ():
        if name == METADATA_NAME and value in set(_exceptions.ErrorKind):
            detail = call.details() or ""
            return _exceptions.PlantainError(_exceptions.ErrorKind(value), detail)
    return None
