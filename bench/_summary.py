"""Medians, spreads and targets of measured figures."""

import collections.abc
import statistics

import attrs

from . import _experiments


@attrs.frozen
class Row:
    """One policy under one load, over all seeds."""

    #: Name of the size.
    size: str
    #: Name of the load.
    load: str
    #: Name of the policy.
    policy: str
    #: Median, least and greatest value of each column.
    cells: tuple[tuple[float, float, float], ...]


def rows(
    measured: collections.abc.Iterable[_experiments.Measured],
    columns: tuple[str, ...],
) -> list[Row]:
    """Return a row for each size, load and policy."""
    groups: dict[tuple[str, str, str], list[_experiments.Measured]] = {}
    for one in measured:
        key = (one.case.size, one.case.load, one.case.policy)
        groups.setdefault(key, []).append(one)
    return [
        Row(
            *key,
            tuple(
                _spread([one.value(column) for one in group])
                for column in columns
            ),
        )
        for key, group in groups.items()
    ]


def table(title: str, columns: tuple[str, ...], shown: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        f"### {title}",
        "",
        "| size | load | policy | " + " | ".join(columns) + " |",
        "|" + " --- |" * (3 + len(columns)),
    ]
    for row in shown:
        cells = " | ".join(_cell(*cell) for cell in row.cells)
        lines.append(f"| {row.size} | {row.load} | {row.policy} | {cells} |")
    return "\n".join(lines)


def verdicts(
    measured: collections.abc.Iterable[_experiments.Measured],
    targets: tuple[_experiments.Target, ...],
) -> list[str]:
    """Return a line for each target and the rows that it is about."""
    kept = list(measured)
    lines = []
    for target in targets:
        for row in rows(kept, (target.figure,)):
            if row.policy != target.policy:
                continue
            if target.load and row.load != target.load:
                continue
            lines.append(_verdict(row, target))
    return lines


def _verdict(row: Row, target: _experiments.Target) -> str:
    median = row.cells[0][0]
    sign = "<=" if target.at_most else ">="
    met = {"<=": median <= target.bound, ">=": median >= target.bound}[sign]
    word = "met" if met else "MISSED"
    return (
        f"{word}: {row.size}/{row.load}/{row.policy} {target.figure}"
        f" {median:.3f} {sign} {target.bound}"
    )


def _spread(values: list[float]) -> tuple[float, float, float]:
    return statistics.median(values), min(values), max(values)


def _cell(median: float, least: float, greatest: float) -> str:
    return f"{median:.3g} ({least:.3g}-{greatest:.3g})"
