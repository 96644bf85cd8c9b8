"""Encodes attrs instances as JSON rows."""

import collections.abc
import typing

import attrs
import msgspec

from .. import decoding
from .. import errors
from .. import ports
from .. import telemetry

LOG = telemetry.logger("store")
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
    except decoding.DECODE_ERRORS as error:
        raise RowInvalid(expected=kind.__name__, reason=str(error)) from error


def decode_rows(
    rows: collections.abc.Iterable[ports.Row], kind: type[Value]
) -> dict[str, Value]:
    """Return the instances stored in rows by key, without unreadable ones.

    A row that another writer has left spoils itself alone.
    """
    found: dict[str, Value] = {}
    for row in rows:
        try:
            found[row.key] = decode(row.value, kind)
        except RowInvalid as error:
            LOG.warning(
                "Row unreadable.",
                table=row.table,
                key=row.key,
                reason=str(error),
            )
    return found
