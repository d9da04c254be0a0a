"""Encoding of the messages between balancers and sidecars.

A frozen data class is encoded as a MessagePack array of its fields in order, without
their names. The decoder uses the default for a missing trailing field and ignores
unknown trailing fields, so that fields can be added at the end.
"""

from collections import abc
import dataclasses
import functools
import types
import typing

import msgspec

T = typing.TypeVar("T")


def _array_type(annotation: typing.Any) -> typing.Any:
    """Return a type with each data class replaced by its array struct."""
    if isinstance(annotation, type) and dataclasses.is_dataclass(annotation):
        return _array_struct(annotation)
    arguments = typing.get_args(annotation)
    if not arguments:
        return annotation
    mapped = tuple(_array_type(argument) for argument in arguments)
    if typing.get_origin(annotation) is types.UnionType:
        return functools.reduce(lambda left, right: left | right, mapped)
    return typing.get_origin(annotation)[mapped]


@functools.cache
def _array_struct(message_type: abc.Hashable) -> typing.Any:
    """Return the msgspec struct that encodes a data class as an array."""
    data_class: typing.Any = message_type
    hints = typing.get_type_hints(data_class)
    fields: list[typing.Any] = []
    for field in dataclasses.fields(data_class):
        wire_type = _array_type(hints[field.name])
        if field.default is dataclasses.MISSING:
            fields.append((field.name, wire_type))
        else:
            default = msgspec.convert(field.default, wire_type, from_attributes=True)
            fields.append((field.name, wire_type, default))
    return msgspec.defstruct(data_class.__name__, fields, array_like=True, frozen=True)


def encode(message: object) -> bytes:
    """Encode a message, which must be a frozen data class."""
    message_type: typing.Any = type(message)
    struct_type = _array_struct(message_type)
    return msgspec.msgpack.encode(
        msgspec.convert(message, struct_type, from_attributes=True)
    )


def decode(encoded: bytes, message_type: type[T]) -> T:
    """Decode a message; raise ``msgspec.DecodeError`` if it does not match the type."""
    target_type: typing.Any = message_type
    try:
        struct = msgspec.msgpack.decode(encoded, type=_array_struct(target_type))
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from None
    return msgspec.convert(struct, message_type, from_attributes=True)
