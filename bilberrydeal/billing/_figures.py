"""Sums of usage figures."""

import collections.abc

from .. import ports
from . import _rows


def add(
    one: ports.OrganisationFigures, other: ports.OrganisationFigures
) -> ports.OrganisationFigures:
    """Return the sum of two sets of figures."""
    return ports.OrganisationFigures(
        prompt_tokens=one.prompt_tokens + other.prompt_tokens,
        cached_tokens=one.cached_tokens + other.cached_tokens,
        output_tokens=one.output_tokens + other.output_tokens,
        calls=one.calls + other.calls,
    )


def merge(
    parts: collections.abc.Iterable[_rows.Figures],
) -> dict[str, ports.OrganisationFigures]:
    """Return the sums by organisation."""
    total: dict[str, ports.OrganisationFigures] = {}
    for part in parts:
        for name, figures in part.items():
            found = total.get(name)
            total[name] = add(found, figures) if found else figures
    return total


def merge_adjustments(
    parts: collections.abc.Iterable[_rows.Adjustment],
) -> tuple[_rows.Adjustment, ...]:
    """Return one adjustment per window, in order of windows."""
    windows: dict[int, list[_rows.Figures]] = {}
    for part in parts:
        windows.setdefault(part.window, []).append(part.figures)
    return tuple(
        _rows.Adjustment(window, merge(windows[window]))
        for window in sorted(windows)
    )


def merge_rows(
    rows: collections.abc.Iterable[_rows.UsageRow],
) -> _rows.UsageRow:
    """Return the sum of usage rows, without a nonce."""
    found = tuple(rows)
    return _rows.UsageRow(
        figures=merge(row.figures for row in found),
        adjustments=merge_adjustments(
            part for row in found for part in row.adjustments
        ),
    )


def total(row: _rows.UsageRow) -> dict[str, ports.OrganisationFigures]:
    """Return the figures by organisation, with adjustments."""
    return merge([row.figures, *(part.figures for part in row.adjustments)])
