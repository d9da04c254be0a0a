"""Encoding of the messages between the system's processes.

A frozen data class travels as a MessagePack array of its fields in order, without
their names. A reader takes a missing last field as its default and skips unknown
last fields, so that fields may be added at the end.
"""

from collections import abc
import dataclasses
import functools
import types
import typing

import msgspec

T = typing.TypeVar("T")


def _array_type(annotation: typing.Any) -> typing.Any:
    """Replace each data class inside a type by its array form."""
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
    """Make the array form of one data class."""
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
    """Encode one frozen message."""
    message_type: typing.Any = type(message)
    struct_type = _array_struct(message_type)
    return msgspec.msgpack.encode(
        msgspec.convert(message, struct_type, from_attributes=True)
    )


def decode(encoded: bytes, message_type: type[T]) -> T:
    """Decode one message; raise ``msgspec.DecodeError`` when it does not fit."""
    target_type: typing.Any = message_type
    struct = msgspec.msgpack.decode(encoded, type=_array_struct(target_type))
    return msgspec.convert(struct, message_type, from_attributes=True)
