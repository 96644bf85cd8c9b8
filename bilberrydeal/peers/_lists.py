"""Writes attrs classes as JSON lists of their values.

Field names would take most of a message that is sent often. A field that
has a default may be added at the end: an older peer passes over it, and a
newer one takes the default.
"""

import collections.abc
import functools
import operator
import types
import typing

import attrs
import msgspec

Value = typing.TypeVar("Value")


class ListCodec(typing.Generic[Value]):
    """Encodes and decodes one type, with all types in it.

    Fields may be of attrs classes, optional ones, tuples of them, and of
    whatever JSON knows. ``None`` stands for the default where there is one.

    Example::

        >>> codec = ListCodec(RelayedRow)
        >>> codec.encode(RelayedRow("agent/1", 7, None))
        b'["agent/1",7,null]'
    """

    def __init__(self, kind: type[Value]) -> None:
        self._kind = kind
        self._decoder = msgspec.json.Decoder(_listed(kind))

    def encode(self, value: Value) -> bytes:
        """Return a value as JSON."""
        return msgspec.json.encode(_values(value))

    def decode(self, data: bytes) -> Value:
        """Return the value, or raise :class:`msgspec.MsgspecError`."""
        return typing.cast(
            Value, _built(self._kind, self._decoder.decode(data))
        )


def _values(value: object) -> object:
    """Return the values of an attrs instance, of all within it, as lists."""
    kind: typing.Any = type(value)
    if attrs.has(kind):
        names = [field.name for field in attrs.fields(kind)]
        return [_values(getattr(value, name)) for name in names]
    if isinstance(value, tuple):
        return [_values(item) for item in value]
    return value


def _listed(kind: typing.Any) -> typing.Any:
    """Return the type that the JSON of a type is decoded to."""
    if isinstance(kind, type) and attrs.has(kind):
        return msgspec.defstruct(
            kind.__name__,
            [_field(kind, field) for field in attrs.fields(kind)],
            array_like=True,
        )
    arguments = tuple(_listed(one) for one in typing.get_args(kind))
    if isinstance(kind, types.UnionType):
        return functools.reduce(operator.or_, arguments)
    if typing.get_origin(kind) is tuple:
        return tuple.__class_getitem__(arguments)
    return kind


def _field(
    kind: type, field: "attrs.Attribute[typing.Any]"
) -> tuple[typing.Any, ...]:
    listed = _listed(typing.get_type_hints(kind)[field.name])
    if field.default is attrs.NOTHING:
        return (field.name, listed)
    return (field.name, listed | None, None)


def _built(kind: typing.Any, value: typing.Any) -> typing.Any:
    """Return the instance whose values were decoded."""
    if isinstance(kind, types.UnionType):
        options = [one for one in typing.get_args(kind) if attrs.has(one)]
        if value is None or not options:
            return value
        return _built(options[0], value)
    if isinstance(kind, type) and attrs.has(kind):
        hints = typing.get_type_hints(kind)
        return kind(**dict(_given(kind, hints, value)))
    if typing.get_origin(kind) is tuple:
        item = typing.get_args(kind)[0]
        return tuple(_built(item, one) for one in value)
    return value


def _given(
    kind: type, hints: dict[str, typing.Any], value: typing.Any
) -> collections.abc.Iterator[tuple[str, typing.Any]]:
    """Yield the fields of a value; those that are missing take defaults."""
    for field in attrs.fields(kind):
        given = getattr(value, field.name)
        if given is not None or field.default is attrs.NOTHING:
            yield field.name, _built(hints[field.name], given)
