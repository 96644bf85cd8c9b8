"""Encodes attrs classes as JSON rows."""

import typing

import attrs
import msgspec

from .. import errors

Value = typing.TypeVar("Value")


@attrs.define(slots=False, eq=False)
class RowInvalid(errors.BilberrydealError):
    """A row's content is not what this version of the product writes."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.INTERNAL

    #: Type that was expected.
    expected: str
    #: What the decoder said.
    reason: str


def encode(value: object) -> bytes:
    """Return an attrs instance as JSON."""
    return msgspec.json.encode(value)


def decode(data: bytes, kind: type[Value]) -> Value:
    """Return the instance in a row, or raise :class:`RowInvalid`.

    Fields that an older version did not write take their defaults.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise RowInvalid(expected=kind.__name__, reason=str(error)) from error
