"""Bar charts of the figures of an experiment."""

import pathlib

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

from . import _summary  # noqa: E402


def write_plot(
    title: str,
    columns: tuple[str, ...],
    rows: list[_summary.Row],
    path: pathlib.Path,
) -> None:
    """Write a PNG with one panel for each column and one bar for each row."""
    if not rows:
        return
    labels = [f"{row.size} {row.load} {row.policy}" for row in rows]
    height = 1.5 + 0.22 * len(rows)
    figure, panels = plt.subplots(
        1, len(columns), figsize=(4 + 3 * len(columns), height), sharey=True
    )
    panels = [panels] if len(columns) == 1 else list(panels)
    for column, panel in enumerate(panels):
        medians = [row.cells[column][0] for row in rows]
        panel.barh(range(len(rows)), medians)
        panel.set_xlabel(columns[column])
    panels[0].set_yticks(range(len(rows)), labels, fontsize=7)
    panels[0].invert_yaxis()
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path.with_suffix(".png"), dpi=80)
    plt.close(figure)
