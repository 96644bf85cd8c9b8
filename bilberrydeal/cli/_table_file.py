"""Serializes organisations to CSV or YAML and parses them."""

import csv
import io
import pathlib
import typing

import attrs
import msgspec
import yaml

from .. import configuration
from . import _client

Rows = list[configuration.Organisation]
#: Column names in file order.
COLUMNS = [field.name for field in attrs.fields(configuration.Organisation)]


def serialize(rows: Rows, file_format: str) -> str:
    """Return rows as text in ``file_format``, ``csv`` or ``yaml``."""
    records = [attrs.asdict(row) for row in rows]
    if file_format == "yaml":
        return str(yaml.safe_dump(records, sort_keys=False))
    text = io.StringIO()
    table = csv.DictWriter(text, COLUMNS, lineterminator="\n")
    table.writeheader()
    table.writerows(records)
    return text.getvalue()


def parse(text: str, file_format: str) -> Rows:
    """Return the rows in ``text``; raise ``CallFailed`` if invalid."""
    try:
        parsed: typing.Any
        if file_format == "yaml":
            parsed = yaml.safe_load(text) or []
        else:
            parsed = list(csv.DictReader(io.StringIO(text)))
        return msgspec.convert(parsed, Rows, strict=False)
    except (yaml.YAMLError, csv.Error, msgspec.ValidationError) as error:
        raise _client.CallFailed(
            message=f"The table is not valid: {error}.",
            exit_code=_client.ExitCode.USAGE,
        ) from error


def format_of(path: pathlib.Path) -> str:
    """Return the format of a file, determined by its suffix."""
    return "yaml" if path.suffix in (".yaml", ".yml") else "csv"


def changed_rows(before: Rows, after: Rows) -> Rows:
    """Return the rows of ``after`` that differ from ``before``.

    A row keeps the revision at which it was read, so that a concurrent
    change by another operator is detected as a conflict.
    """
    by_name = {row.name: row for row in before}
    return [row for row in after if by_name.get(row.name) != row]
