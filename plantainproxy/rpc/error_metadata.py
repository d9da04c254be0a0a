"""How an error kind travels with a failed gRPC call."""

import typing

from plantainproxy import _exceptions

METADATA_NAME = "plantain-kind"
"""Trailing metadata that names the error kind."""


def encode(kind: _exceptions.ErrorKind) -> tuple[tuple[str, str], ...]:
    """Return the trailing metadata for a kind."""
    return ((METADATA_NAME, kind.value),)


def error_from_call(call: typing.Any) -> _exceptions.PlantainError | None:
    """Return the error that the peer answered; ``None`` when no peer answered one."""
    for name, value in call.trailing_metadata() or ():
        if name == METADATA_NAME and value in set(_exceptions.ErrorKind):
            detail = call.details() or ""
            return _exceptions.PlantainError(_exceptions.ErrorKind(value), detail)
    return None
