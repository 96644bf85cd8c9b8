"""Commands that read and change organisations."""

import pathlib
import typing

import attrs
import cyclopts

from .. import configuration
from .. import operators
from . import _app
from . import _client
from . import _output
from . import _rollout
from . import _table_file

ORGS = cyclopts.App(name="orgs", help="Organisations: weights and limits.")
_app.APP.command(ORGS)


@ORGS.command(name="list")
def list_(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show all organisations."""
    rows = _rows(target)
    _output.show(rows, rows, target.json)


@ORGS.command(name="set")
def set_(
    name: str,
    *,
    weight: float | None = None,
    requests_per_s: float | None = None,
    tokens_per_s: float | None = None,
    concurrency: int | None = None,
    enabled: bool | None = None,
    expected_revision: int | None = None,
    wait_s: float = 0.0,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Create an organisation or change the given fields.

    Parameters
    ----------
    expected_revision
        Revision of the row that you last read; the current one by
        default.
    wait_s
        Seconds to wait until the change is in force at every entry.
    """
    by_name = {row.name: row for row in _rows(target)}
    before = by_name.get(name, configuration.Organisation(name))
    given: dict[str, typing.Any] = {
        "weight": weight,
        "requests_per_s": requests_per_s,
        "tokens_per_s": tokens_per_s,
        "concurrency": concurrency,
        "enabled": enabled,
        "revision": expected_revision,
    }
    changes = {key: value for key, value in given.items() if value is not None}
    after = attrs.evolve(before, **changes)
    revision = _put(after, target)
    _rollout.report(revision, target, wait_s)


@ORGS.command
def export(
    file: pathlib.Path, *, target: _app.Target = _app.DEFAULT_TARGET
) -> None:
    """Write the table to a CSV or YAML file, depending on its suffix."""
    rows = _rows(target)
    file.write_text(_table_file.serialize(rows, _table_file.format_of(file)))
    print(f"Wrote {len(rows)} organisations to {file}.")


@ORGS.command(name="import")
def import_(
    file: pathlib.Path, *, target: _app.Target = _app.DEFAULT_TARGET
) -> int:
    """Set each row of a file that differs from the table.

    The column ``revision`` holds the revision that you read. A row that was
    changed since then is reported as a conflict and not overwritten.
    """
    return _import(file, _rows(target), target)


@ORGS.command
def edit(
    file: pathlib.Path, *, target: _app.Target = _app.DEFAULT_TARGET
) -> int:
    """Write the table to a file, wait for an edit and set changed rows."""
    before = _rows(target)
    file.write_text(_table_file.serialize(before, _table_file.format_of(file)))
    input(f"Edit {file}, save it and press Enter. ")
    return _import(file, before, target)


def _rows(target: _app.Target) -> list[configuration.Organisation]:
    listed = target.client.get("/organisations", operators.OrganisationList)
    return listed.organisations


def _import(
    file: pathlib.Path,
    before: list[configuration.Organisation],
    target: _app.Target,
) -> int:
    rows = _table_file.parse(file.read_text(), _table_file.format_of(file))
    exit_code: int = _client.ExitCode.OK
    for row in _table_file.changed_rows(before, rows):
        try:
            revision = _put(row, target)
            print(f"{row.name}: revision {revision}")
        except _client.CallFailed as failed:
            print(f"{row.name}: {failed.message}")
            exit_code = max(exit_code, failed.exit_code)
    return exit_code


def _put(row: configuration.Organisation, target: _app.Target) -> int:
    body = operators.OrganisationInput(
        expected_revision=row.revision,
        weight=row.weight,
        requests_per_s=row.requests_per_s,
        tokens_per_s=row.tokens_per_s,
        concurrency=row.concurrency,
        enabled=row.enabled,
    )
    path = f"/organisations/{_client.quote_path_segment(row.name)}"
    return target.client.put(path, body, operators.Committed).revision
