"""Encodes rows that hold figures of many organisations.

The figures of an organisation are written as a list: their field names
would take more than half of a row. Rows of an older version, which have the
names, are read as well.
"""

import typing

import attrs

from .. import ports
from .. import store
from . import _rows

Row = typing.TypeVar("Row", _rows.UsageRow, _rows.SealRow)
#: Prompt tokens, cached tokens, output tokens and calls.
_Listed: typing.TypeAlias = tuple[int, int, int, int]
_Stored: typing.TypeAlias = dict[str, _Listed | ports.OrganisationFigures]


@attrs.frozen
class _StoredAdjustment:
    """An adjustment as it is read."""

    window: int
    figures: _Stored


@attrs.frozen
class _StoredUsage:
    """A usage row as it is read."""

    figures: _Stored = {}
    adjustments: tuple[_StoredAdjustment, ...] = ()
    nonce: str = ""


@attrs.frozen
class _StoredSeal:
    """A seal as it is read."""

    window: int
    figures: _Stored
    adjustments: tuple[_StoredAdjustment, ...]
    sealed_at_s: float
    fence: int
    nonce: str


def encode(row: object) -> bytes:
    """Return a row of any type as JSON."""
    if not isinstance(row, _rows.UsageRow | _rows.SealRow):
        return store.encode(row)
    fields = attrs.asdict(row, recurse=False)
    fields["figures"] = _listed(row.figures)
    fields["adjustments"] = [
        {"window": part.window, "figures": _listed(part.figures)}
        for part in row.adjustments
    ]
    return store.encode(fields)


def decode_usage(data: bytes) -> _rows.UsageRow:
    """Return a usage row, or raise :class:`bilberrydeal.store.RowInvalid`."""
    return _named(store.decode(data, _StoredUsage), _rows.UsageRow)


def decode_seal(data: bytes) -> _rows.SealRow:
    """Return a seal, or raise :class:`bilberrydeal.store.RowInvalid`."""
    return _named(store.decode(data, _StoredSeal), _rows.SealRow)


def _listed(figures: _rows.Figures) -> dict[str, _Listed]:
    return {
        name: (
            one.prompt_tokens,
            one.cached_tokens,
            one.output_tokens,
            one.calls,
        )
        for name, one in figures.items()
    }


def _named(stored: _StoredUsage | _StoredSeal, kind: type[Row]) -> Row:
    """Return the row with figures by name."""
    fields = attrs.asdict(stored, recurse=False)
    fields["figures"] = _figures(stored.figures)
    fields["adjustments"] = tuple(
        _rows.Adjustment(part.window, _figures(part.figures))
        for part in stored.adjustments
    )
    return kind(**fields)


def _figures(stored: _Stored) -> dict[str, ports.OrganisationFigures]:
    return {
        name: ports.OrganisationFigures(*one)
        if isinstance(one, tuple)
        else one
        for name, one in stored.items()
    }
