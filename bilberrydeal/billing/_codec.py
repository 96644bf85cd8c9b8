"""Encodes rows with the figures of many organisations.

The figures of an organisation are written as a list, because field names
would make up more than half of a row. Rows of older versions, which contain
the names, can still be read.
"""

import typing

import attrs

from .. import ports
from .. import store
from . import _rows

Row = typing.TypeVar("Row", _rows.UsageRow, _rows.SealRow)
#: Prompt tokens, cached tokens, output tokens and calls.
_FigureList: typing.TypeAlias = tuple[int, int, int, int]
_StoredFigures: typing.TypeAlias = dict[
    str, _FigureList | ports.OrganisationFigures
]


@attrs.frozen
class _StoredAdjustment:
    """Stored form of an adjustment."""

    window: int
    figures: _StoredFigures


@attrs.frozen
class _StoredUsage:
    """Stored form of a usage row."""

    figures: _StoredFigures = {}
    adjustments: tuple[_StoredAdjustment, ...] = ()
    nonce: str = ""


@attrs.frozen
class _StoredSeal:
    """Stored form of a seal."""

    window: int
    figures: _StoredFigures
    adjustments: tuple[_StoredAdjustment, ...]
    sealed_at_s: float
    fence: int
    nonce: str


def encode(row: object) -> bytes:
    """Return a row of any type as JSON."""
    if not isinstance(row, _rows.UsageRow | _rows.SealRow):
        return store.encode(row)
    fields = attrs.asdict(row, recurse=False)
    fields["figures"] = _encode_figures(row.figures)
    fields["adjustments"] = [
        {"window": part.window, "figures": _encode_figures(part.figures)}
        for part in row.adjustments
    ]
    return store.encode(fields)


def decode_usage(data: bytes) -> _rows.UsageRow:
    """Return a usage row, or raise :class:`bilberrydeal.store.RowInvalid`."""
    return _decode_row(store.decode(data, _StoredUsage), _rows.UsageRow)


def decode_seal(data: bytes) -> _rows.SealRow:
    """Return a seal, or raise :class:`bilberrydeal.store.RowInvalid`."""
    return _decode_row(store.decode(data, _StoredSeal), _rows.SealRow)


def _encode_figures(figures: _rows.Figures) -> dict[str, _FigureList]:
    return {
        name: (
            one.prompt_tokens,
            one.cached_tokens,
            one.output_tokens,
            one.calls,
        )
        for name, one in figures.items()
    }


def _decode_row(stored: _StoredUsage | _StoredSeal, kind: type[Row]) -> Row:
    """Return a row with its figures converted from the stored form."""
    fields = attrs.asdict(stored, recurse=False)
    fields["figures"] = _decode_figures(stored.figures)
    fields["adjustments"] = tuple(
        _rows.Adjustment(part.window, _decode_figures(part.figures))
        for part in stored.adjustments
    )
    return kind(**fields)


def _decode_figures(
    stored: _StoredFigures,
) -> dict[str, ports.OrganisationFigures]:
    return {
        name: ports.OrganisationFigures(*one)
        if isinstance(one, tuple)
        else one
        for name, one in stored.items()
    }
