"""Prints results as a table or as JSON."""

import collections.abc
import sys

import attrs
import msgspec


def show(
    body: object,
    rows: collections.abc.Sequence[attrs.AttrsInstance],
    as_json: bool,
) -> None:
    """Print a body as JSON, or its rows as a table."""
    if as_json:
        _show_json(body)
    else:
        _show_rows(rows)


def _show_json(body: object) -> None:
    text = msgspec.json.format(msgspec.json.encode(body), indent=2)
    sys.stdout.write(text.decode() + "\n")


def _show_rows(rows: collections.abc.Sequence[attrs.AttrsInstance]) -> None:
    """Print rows of one type with aligned columns."""
    if not rows:
        print("(none)")
        return
    names = [field.name for field in attrs.fields(type(rows[0]))]
    lines = [names]
    lines += [[_cell(getattr(row, name)) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [c.ljust(w) for c, w in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())


def _cell(value: object) -> str:
    if isinstance(value, tuple | list):
        return ",".join(map(str, value))
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
