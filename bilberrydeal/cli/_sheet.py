"""The organisations as a table in CSV or YAML."""

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
#: Columns in the order in which they are written.
COLUMNS = [field.name for field in attrs.fields(configuration.Organisation)]


def write(rows: Rows, kind: str) -> str:
    """Return rows as a text of ``kind``, ``csv`` or ``yaml``."""
    plain = [attrs.asdict(row) for row in rows]
    if kind == "yaml":
        return str(yaml.safe_dump(plain, sort_keys=False))
    text = io.StringIO()
    table = csv.DictWriter(text, COLUMNS, lineterminator="\n")
    table.writeheader()
    table.writerows(plain)
    return text.getvalue()


def read(text: str, kind: str) -> Rows:
    """Return the rows in a text, or raise ``CallFailed``."""
    try:
        given: typing.Any
        if kind == "yaml":
            given = yaml.safe_load(text) or []
        else:
            given = list(csv.DictReader(io.StringIO(text)))
        return msgspec.convert(given, Rows, strict=False)
    except (yaml.YAMLError, csv.Error, msgspec.ValidationError) as error:
        raise _client.CallFailed(
            sentence=f"The table is not valid: {error}.",
            exit_code=_client.ExitCode.USAGE,
        ) from error


def kind_of(path: pathlib.Path) -> str:
    """Return the kind of a file by its name."""
    return "yaml" if path.suffix in (".yaml", ".yml") else "csv"


def changed(before: Rows, after: Rows) -> Rows:
    """Return the rows that differ from what they were.

    A row keeps the revision under which it was read; so a change that
    another operator made since shows as a conflict.
    """
    known = {row.name: row for row in before}
    return [row for row in after if known.get(row.name) != row]
