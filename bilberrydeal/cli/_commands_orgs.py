"""Commands for the table of organisations."""

import pathlib
import typing

import attrs
import cyclopts

from .. import configuration
from .. import operators
from . import _app
from . import _client
from . import _output
from . import _sheet
from . import _spread

ORGS = cyclopts.App(name="orgs", help="Organisations: weights and limits.")
_app.APP.command(ORGS)


@ORGS.command(name="list")
def list_(*, target: _app.Target = _app.DEFAULT) -> None:
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
    target: _app.Target = _app.DEFAULT,
) -> None:
    """Create an organisation or change some of its fields.

    Parameters
    ----------
    expected_revision
        Revision of the row as you saw it; by default as it is now.
    wait_s
        Wait so long until the change is in force at every entry.
    """
    known = {row.name: row for row in _rows(target)}
    before = known.get(name, configuration.Organisation(name))
    given: dict[str, typing.Any] = {
        "weight": weight,
        "requests_per_s": requests_per_s,
        "tokens_per_s": tokens_per_s,
        "concurrency": concurrency,
        "enabled": enabled,
        "revision": expected_revision,
    }
    chosen = {key: value for key, value in given.items() if value is not None}
    after = attrs.evolve(before, **chosen)
    revision = _put(after, target)
    _spread.announce(revision, target, wait_s)


@ORGS.command
def export(file: pathlib.Path, *, target: _app.Target = _app.DEFAULT) -> None:
    """Write the table to a CSV or YAML file, by its ending."""
    rows = _rows(target)
    file.write_text(_sheet.write(rows, _sheet.kind_of(file)))
    print(f"Wrote {len(rows)} organisations to {file}.")


@ORGS.command(name="import")
def import_(file: pathlib.Path, *, target: _app.Target = _app.DEFAULT) -> int:
    """Set each row of a file that differs from the table.

    The column ``revision`` says which row you saw: a row that somebody else
    changed since is not overwritten but shown as a conflict.
    """
    return _import(file, _rows(target), target)


@ORGS.command
def edit(file: pathlib.Path, *, target: _app.Target = _app.DEFAULT) -> int:
    """Write the table to a file, wait for you to edit it, set the changes."""
    before = _rows(target)
    file.write_text(_sheet.write(before, _sheet.kind_of(file)))
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
    rows = _sheet.read(file.read_text(), _sheet.kind_of(file))
    worst: int = _client.ExitCode.OK
    for row in _sheet.changed(before, rows):
        try:
            revision = _put(row, target)
            print(f"{row.name}: revision {revision}")
        except _client.CallFailed as failed:
            print(f"{row.name}: {failed.sentence}")
            worst = max(worst, failed.exit_code)
    return worst


def _put(row: configuration.Organisation, target: _app.Target) -> int:
    body = operators.OrganisationInput(
        expected_revision=row.revision,
        weight=row.weight,
        requests_per_s=row.requests_per_s,
        tokens_per_s=row.tokens_per_s,
        concurrency=row.concurrency,
        enabled=row.enabled,
    )
    path = f"/organisations/{_client.quoted(row.name)}"
    return target.client.put(path, body, operators.Committed).revision
