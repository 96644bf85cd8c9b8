"""Encodes attrs classes as JSON arrays of their values.

Field names would make up most of a message that is sent often. A field with
a default may be appended: older peers ignore it, and newer peers use the
default if it is missing.
"""

import collections.abc
import functools
import operator
import types
import typing

import attrs
import msgspec

Value = typing.TypeVar("Value")


class ArrayCodec(typing.Generic[Value]):
    """Encodes and decodes one type, including nested types.

    Fields may be attrs classes, optional ones, tuples of them, and JSON
    types. ``None`` stands for the default of a field that has one.

    Example::

        >>> codec = ArrayCodec(RelayedRow)
        >>> codec.encode(RelayedRow("agent/1", 7, None))
        b'["agent/1",7,null]'
    """

    def __init__(self, kind: type[Value]) -> None:
        self._kind = kind
        self._decoder = msgspec.json.Decoder(_array_type(kind))

    def encode(self, value: Value) -> bytes:
        """Return the value as JSON."""
        return msgspec.json.encode(_to_lists(value))

    def decode(self, data: bytes) -> Value:
        """Return the value, or raise :class:`msgspec.MsgspecError`."""
        return typing.cast(
            Value, _from_decoded(self._kind, self._decoder.decode(data))
        )


def _to_lists(value: object) -> object:
    """Convert attrs instances, including nested ones, to lists."""
    kind: typing.Any = type(value)
    if attrs.has(kind):
        names = [field.name for field in attrs.fields(kind)]
        return [_to_lists(getattr(value, name)) for name in names]
    if isinstance(value, tuple):
        return [_to_lists(item) for item in value]
    return value


def _array_type(kind: typing.Any) -> typing.Any:
    """Return the array-like type to decode the JSON of a type to."""
    if isinstance(kind, type) and attrs.has(kind):
        return msgspec.defstruct(
            kind.__name__,
            [_field_definition(kind, field) for field in attrs.fields(kind)],
            array_like=True,
        )
    arguments = tuple(
        _array_type(item_type) for item_type in typing.get_args(kind)
    )
    if isinstance(kind, types.UnionType):
        return functools.reduce(operator.or_, arguments)
    if typing.get_origin(kind) is tuple:
        return tuple.__class_getitem__(arguments)
    return kind


def _field_definition(
    kind: type, field: "attrs.Attribute[typing.Any]"
) -> tuple[typing.Any, ...]:
    field_type = _array_type(typing.get_type_hints(kind)[field.name])
    if field.default is attrs.NOTHING:
        return (field.name, field_type)
    return (field.name, field_type | None, None)


def _from_decoded(kind: typing.Any, value: typing.Any) -> typing.Any:
    """Convert a decoded value back to its attrs type."""
    if isinstance(kind, types.UnionType):
        options = [
            item_type
            for item_type in typing.get_args(kind)
            if attrs.has(item_type)
        ]
        if value is None or not options:
            return value
        return _from_decoded(options[0], value)
    if isinstance(kind, type) and attrs.has(kind):
        hints = typing.get_type_hints(kind)
        return kind(**dict(_present_fields(kind, hints, value)))
    if typing.get_origin(kind) is tuple:
        item_type = typing.get_args(kind)[0]
        return tuple(_from_decoded(item_type, item) for item in value)
    return value


def _present_fields(
    kind: type, hints: dict[str, typing.Any], value: typing.Any
) -> collections.abc.Iterator[tuple[str, typing.Any]]:
    """Yield the fields present in a value; absent ones keep their default."""
    for field in attrs.fields(kind):
        decoded = getattr(value, field.name)
        if decoded is not None or field.default is attrs.NOTHING:
            yield field.name, _from_decoded(hints[field.name], decoded)
