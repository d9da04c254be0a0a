"""Encoding of the messages between the system's processes."""

from typing import TypeVar

import msgspec

T = TypeVar("T")


def encode(message: object) -> bytes:
    """Encode one frozen message."""
    return msgspec.msgpack.encode(message)


def decode(encoded: bytes, message_type: type[T]) -> T:
    """Decode one message; raise ``msgspec.DecodeError`` when it does not fit."""
    return msgspec.msgpack.decode(encoded, type=message_type)
