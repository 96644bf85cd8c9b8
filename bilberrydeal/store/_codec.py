"""Encodes attrs instances as JSON rows."""

import typing

import attrs
import msgspec

from .. import errors

Value = typing.TypeVar("Value")


@attrs.define(slots=False, eq=False)
class RowInvalid(errors.BilberrydealError):
    """A row does not decode as the expected type."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.INTERNAL

    #: Name of the expected type.
    expected: str
    #: Message of the decoder.
    reason: str


def encode(value: object) -> bytes:
    """Return an attrs instance as JSON."""
    return msgspec.json.encode(value)


def decode(data: bytes, kind: type[Value]) -> Value:
    """Return the instance stored in a row, or raise :class:`RowInvalid`.

    Fields missing from rows of an older version get their defaults.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RowInvalid(expected=kind.__name__, reason=str(error)) from error
