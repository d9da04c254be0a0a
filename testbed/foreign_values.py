"""Inputs that another program may send, derived from the types that decoders declare.

An input is a valid encoding, one with values outside their bounds, one with fields that
a later build may add, or one with changed bytes.
"""

from collections import abc
import random
import typing

import msgspec
from msgspec import inspect

INTEGERS = (
    0,
    1,
    -1,
    2**31,
    2**32,
    2**53,
    2**63 - 1,
    2**63,
    2**64 - 1,
    -(2**63),
)
FLOATS = (0.0, -0.0, 5e-324, 1.0, -1.0, 1e15, 1e308, float("inf"), float("-inf"))
NOT_A_NUMBER = float("nan")
TEXTS = ("", "\0", "feed", "10.0.0.1", "10.0.3.1\0", "10.0.3.1\n", "é", "a" * 65_536)
HOSTS = ("10.0.3.1", "10.0.3.2", "255.255.255.255", "0.0.0.0", "127.0.0.1")
NAMES = ("", "hall-a", "hall-b", "pool-x", "pool-y", "é\0\n", "n" * 1_024)
BYTES = (b"", b"\0", b"\x01\x00\x12\xc6\xbb\x01", bytes(12), bytes(65_536))
ARRAY_16 = 0xDC
"""First byte of a msgpack array whose length takes two bytes."""
NESTING_LEVELS = (10, 100_000)
MAX_ELEMENTS = 4
WILD_SHARE = 0.15
"""Share of the values outside their bounds in an input that has such values."""

Builtin = typing.Any
"""Value that encoders accept: numbers, texts, bytes, lists and mappings."""


class Context(typing.NamedTuple):
    """How the values of one input are drawn."""

    draw: random.Random
    wild_share: float
    """Share of the values outside their bounds."""
    is_binary: bool
    """Whether the encoding has bytes and non-finite floats, unlike JSON."""


def build(info: inspect.Type, context: Context) -> Builtin:
    """Return a value of a type, in the form in which it is encoded."""
    if context.draw.random() < context.wild_share:
        return _wild(context)
    return _BUILDERS[type(info)](info, context)


def _wild(context: Context) -> Builtin:
    draw = context.draw
    values: list[Builtin] = [*INTEGERS, *FLOATS, *TEXTS, None, True, [], {}]
    if context.is_binary:
        values += [*BYTES, NOT_A_NUMBER]
    return draw.choice(values)


def _build_integer(info: inspect.IntType, context: Context) -> int:
    low = info.ge if info.ge is not None else -(2**63)
    high = info.le if info.le is not None else 2**64 - 1
    fitting = [number for number in (*INTEGERS, low, high) if low <= number <= high]
    small = min(high, low + 100) if low >= 0 else min(high, 100)
    return context.draw.choice([*fitting, context.draw.randint(max(low, 0), small)])


def _build_float(info: inspect.FloatType, context: Context) -> float:
    low = info.ge if info.ge is not None else -1e308
    high = info.le if info.le is not None else 1e308
    fitting = [number for number in (*FLOATS, low, high) if low <= number <= high]
    return context.draw.choice([*fitting, context.draw.uniform(0.0, 100.0)])


def _build_text(info: inspect.StrType, context: Context) -> str:
    if info.pattern is not None:
        return context.draw.choice(HOSTS if "25[0-5]" in info.pattern else ("", "/h"))
    if info.max_length is None:
        # A struct checks the text itself, as that of a host.
        if not context.wild_share or context.draw.random() < 0.9:
            return context.draw.choice(HOSTS)
        return context.draw.choice((*HOSTS, *NAMES, *TEXTS))
    return context.draw.choice((*HOSTS, *NAMES))


def _build_bytes(info: inspect.BytesType, context: Context) -> bytes:
    shortest, longest = info.min_length or 0, info.max_length or 2_000
    lengths = (shortest, longest, context.draw.randint(shortest, min(longest, 2_000)))
    return context.draw.randbytes(context.draw.choice(lengths))


def _build_list(
    info: inspect.ListType | inspect.VarTupleType | inspect.FrozenSetType,
    context: Context,
) -> list[Builtin]:
    count = context.draw.randint(0, MAX_ELEMENTS)
    return [build(info.item_type, context) for _ in range(count)]


def _build_tuple(info: inspect.TupleType, context: Context) -> list[Builtin]:
    return [build(item, context) for item in info.item_types]


def _build_mapping(info: inspect.DictType, context: Context) -> dict[Builtin, Builtin]:
    entries = {}
    for _ in range(context.draw.randint(0, MAX_ELEMENTS)):
        key = _BUILDERS[type(info.key_type)](info.key_type, context)
        entries[key] = build(info.value_type, context)
    return entries


def _build_named_tuple(info: inspect.NamedTupleType, context: Context) -> list[Builtin]:
    return [build(field.type, context) for field in info.fields]


def _build_struct(info: inspect.StructType, context: Context) -> Builtin:
    values = [build(field.type, context) for field in info.fields]
    required = sum(field.required for field in info.fields)
    if not info.array_like:
        entries = {
            field.encode_name: value
            for field, value in zip(info.fields, values, strict=True)
            if field.required or context.draw.random() < 0.7
        }
        return entries | _unknown_field(context)
    if context.draw.random() < 0.2:
        # An earlier build does not send the last fields.
        values = values[: context.draw.randint(required, len(values))]
    else:
        values += _unknown_field(context).values()
    return values if info.tag is None else [info.tag, *values]


def _unknown_field(context: Context) -> dict[str, Builtin]:
    """Return a field that a later build may add, or none."""
    if context.draw.random() >= 0.1:
        return {}
    return {"a-later-field": context.draw.choice([_wild(context), [[[{"a": []}]]]])}


def _build_union(info: inspect.UnionType, context: Context) -> Builtin:
    return build(context.draw.choice(info.types), context)


_BUILDERS: dict[type[inspect.Type], abc.Callable[[typing.Any, Context], Builtin]] = {
    inspect.IntType: _build_integer,
    inspect.FloatType: _build_float,
    inspect.StrType: _build_text,
    inspect.BytesType: _build_bytes,
    inspect.BoolType: lambda info, context: context.draw.random() < 0.5,
    inspect.NoneType: lambda info, context: None,
    inspect.EnumType: lambda info, context: context.draw.choice(list(info.cls)).value,
    inspect.LiteralType: lambda info, context: context.draw.choice(info.values),
    inspect.ListType: _build_list,
    inspect.VarTupleType: _build_list,
    inspect.FrozenSetType: _build_list,
    inspect.TupleType: _build_tuple,
    inspect.DictType: _build_mapping,
    inspect.NamedTupleType: _build_named_tuple,
    inspect.StructType: _build_struct,
    inspect.UnionType: _build_union,
}
"""A type that is not listed raises ``KeyError``, so that it gets a generator."""


def encode(value: Builtin, *, is_binary: bool) -> bytes:
    """Encode a value like a decoder's counterpart."""
    return msgspec.msgpack.encode(value) if is_binary else msgspec.json.encode(value)


def make_input(draw: random.Random, info: inspect.Type, *, is_binary: bool) -> bytes:
    """Return one input for the decoder of a type."""
    kind = draw.random()
    is_wild = 0.45 <= kind < 0.75
    context = Context(draw, WILD_SHARE if is_wild else 0.0, is_binary)
    encoded = encode(_BUILDERS[type(info)](info, context), is_binary=is_binary)
    if kind >= 0.98:
        return add_nested_field(encoded, draw.choice(NESTING_LEVELS))
    if kind >= 0.75:
        return change_bytes(draw, encoded)
    return encoded


def add_nested_field(encoded: bytes, levels: int) -> bytes:
    """Append a nested field to an encoded array, map or JSON object."""
    if encoded.startswith(b"{") and encoded.endswith(b"}"):
        separator = b"" if encoded == b"{}" else b", "
        nested = b"[" * levels + b"]" * levels
        return encoded[:-1] + separator + b'"a-later-field": ' + nested + b"}"
    is_map = encoded[0] >> 4 == 0x8
    field = (b"\xa1?" if is_map else b"") + b"\x91" * levels + b"\xc0"
    if encoded[0] == ARRAY_16:
        count = int.from_bytes(encoded[1:3], "big") + 1
        return encoded[:1] + count.to_bytes(2, "big") + encoded[3:] + field
    return bytes([encoded[0] + 1]) + encoded[1:] + field


def change_bytes(draw: random.Random, encoded: bytes) -> bytes:
    """Return an encoding with some bytes replaced, removed, inserted or cut off."""
    changed = bytearray(encoded)
    for _ in range(draw.randint(1, 4)):
        position = draw.randint(0, len(changed))
        action = draw.randrange(4)
        if action == 0:
            del changed[position:]
        elif action == 1:
            del changed[position : position + draw.randint(1, 4)]
        elif action == 2:
            changed[position:position] = draw.randbytes(draw.randint(1, 4))
        else:
            changed[position : position + 1] = draw.randbytes(1)
    return bytes(changed)
