"""Tables of measured figures and the results of their targets."""

import collections.abc
import statistics

import attrs

from . import _experiments


@attrs.frozen
class Row:
    """Figures of one size, load and policy, over all seeds."""

    #: Name of the size.
    size: str
    #: Name of the load.
    load: str
    #: Name of the policy.
    policy: str
    #: Median, minimum and maximum of each column.
    cells: tuple[tuple[float, float, float], ...]


def rows(
    measurements: collections.abc.Iterable[_experiments.Measurement],
    columns: tuple[str, ...],
) -> list[Row]:
    """Return one row for each size, load and policy."""
    groups: dict[tuple[str, str, str], list[_experiments.Measurement]] = {}
    for measurement in measurements:
        key = (
            measurement.case.size,
            measurement.case.load,
            measurement.case.policy,
        )
        groups.setdefault(key, []).append(measurement)
    return [
        Row(
            *key,
            tuple(
                _median_and_range(
                    [measurement.value(column) for measurement in group]
                )
                for column in columns
            ),
        )
        for key, group in groups.items()
    ]


def table(title: str, columns: tuple[str, ...], table_rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        f"### {title}",
        "",
        "| size | load | policy | " + " | ".join(columns) + " |",
        "|" + " --- |" * (3 + len(columns)),
    ]
    for row in table_rows:
        cells = " | ".join(_cell(*cell) for cell in row.cells)
        lines.append(f"| {row.size} | {row.load} | {row.policy} | {cells} |")
    return "\n".join(lines)


def target_results(
    measurements: collections.abc.Iterable[_experiments.Measurement],
    targets: tuple[_experiments.Target, ...],
) -> list[str]:
    """Return one line for each target and each row that it applies to."""
    all_measurements = list(measurements)
    lines = []
    for target in targets:
        for row in rows(all_measurements, (target.figure,)):
            if row.policy != target.policy:
                continue
            if target.load and row.load != target.load:
                continue
            lines.append(_target_result(row, target))
    return lines


def _target_result(row: Row, target: _experiments.Target) -> str:
    median = row.cells[0][0]
    comparison = "<=" if target.at_most else ">="
    met = {"<=": median <= target.bound, ">=": median >= target.bound}[
        comparison
    ]
    result = "met" if met else "MISSED"
    return (
        f"{result}: {row.size}/{row.load}/{row.policy} {target.figure}"
        f" {median:.3f} {comparison} {target.bound}"
    )


def _median_and_range(values: list[float]) -> tuple[float, float, float]:
    return statistics.median(values), min(values), max(values)


def _cell(median: float, lowest: float, highest: float) -> str:
    return f"{median:.3g} ({lowest:.3g}-{highest:.3g})"
