"""The complete configuration at one revision."""

import collections.abc
import functools
import typing

import attrs

from .. import errors
from . import _changes
from . import _rows

#: Rows that operators set and remove by name.
_NamedRow = _rows.Organisation | _rows.Route | _rows.Model | _rows.Assignment
Item = typing.TypeVar(
    "Item",
    _rows.Organisation,
    _rows.Route,
    _rows.Model,
    _rows.Assignment,
)
_SetChange = (
    _changes.SetOrganisation
    | _changes.SetRoute
    | _changes.SetModel
    | _changes.SetAssignment
)
_RemoveChange = (
    _changes.RemoveRoute | _changes.RemoveModel | _changes.RemoveAssignment
)


@attrs.define(slots=False, eq=False)
class RowMissing(errors.BilberrydealError):
    """A change refers to a row that does not exist."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.NOT_FOUND

    #: Kind of the row.
    kind: str
    #: Name of the row.
    name: str


@attrs.frozen
class Configuration:
    """An immutable configuration; ``apply`` returns the next one.

    Example::

        change = SetOrganisation(Organisation("russo"), expected_revision=0)
        Configuration().apply(change).organisations["russo"].revision == 1
    """

    #: Number of changes applied so far.
    revision: int = 0
    #: Organisations by name.
    organisations: collections.abc.Mapping[str, _rows.Organisation] = {}
    #: Keys by hash of the secret.
    keys: collections.abc.Mapping[str, _rows.KeyRecord] = {}
    #: Routes by name.
    routes: collections.abc.Mapping[str, _rows.Route] = {}
    #: Models by name.
    models: collections.abc.Mapping[str, _rows.Model] = {}
    #: Assignments by endpoint name.
    assignments: collections.abc.Mapping[str, _rows.Assignment] = {}

    def apply(self, change: _changes.Change) -> "Configuration":
        """Return the configuration with a change applied.

        Raises :class:`RevisionConflict` if the row is not at the revision
        that the change expects and :class:`RowMissing` if a row that the
        change needs does not exist.
        """
        return _apply(change, self)

    def key_by_id(self, key_id: str) -> _rows.KeyRecord | None:
        """Return the key with a public identifier."""
        return next(
            (key for key in self.keys.values() if key.key_id == key_id), None
        )


@functools.singledispatch
def _apply(change: object, before: Configuration) -> Configuration:
    raise TypeError(f"{type(change).__name__} is not a change")


@_apply.register
def _(
    change: _changes.SetOrganisation, before: Configuration
) -> Configuration:
    rows = _with_row(before, before.organisations, change.organisation, change)
    return attrs.evolve(
        before, revision=before.revision + 1, organisations=rows
    )


@_apply.register
def _(change: _changes.SetRoute, before: Configuration) -> Configuration:
    rows = _with_row(before, before.routes, change.route, change)
    return attrs.evolve(before, revision=before.revision + 1, routes=rows)


@_apply.register
def _(change: _changes.SetModel, before: Configuration) -> Configuration:
    rows = _with_row(before, before.models, change.model, change)
    return attrs.evolve(before, revision=before.revision + 1, models=rows)


@_apply.register
def _(change: _changes.RemoveRoute, before: Configuration) -> Configuration:
    rows = _without_row(before.routes, "Route", change)
    return attrs.evolve(before, revision=before.revision + 1, routes=rows)


@_apply.register
def _(change: _changes.RemoveModel, before: Configuration) -> Configuration:
    rows = _without_row(before.models, "Model", change)
    return attrs.evolve(before, revision=before.revision + 1, models=rows)


@_apply.register
def _(change: _changes.SetAssignment, before: Configuration) -> Configuration:
    rows = _with_row(before, before.assignments, change.assignment, change)
    return attrs.evolve(before, revision=before.revision + 1, assignments=rows)


@_apply.register
def _(
    change: _changes.RemoveAssignment, before: Configuration
) -> Configuration:
    rows = _without_row(before.assignments, "Assignment", change)
    return attrs.evolve(before, revision=before.revision + 1, assignments=rows)


@_apply.register
def _(change: _changes.IssueKey, before: Configuration) -> Configuration:
    key = change.key
    found = before.keys.get(key.key_hash) or before.key_by_id(key.key_id)
    if found is not None:
        raise _changes.RevisionConflict(
            kind="KeyRecord",
            name=key.key_id,
            expected_revision=0,
            found_revision=before.revision,
            given=f"{key.key_id} of {key.organisation}",
            found=f"{found.key_id} of {found.organisation}",
        )
    if key.organisation not in before.organisations:
        raise RowMissing(kind="Organisation", name=key.organisation)
    keys = {**before.keys, key.key_hash: key}
    return attrs.evolve(before, revision=before.revision + 1, keys=keys)


@_apply.register
def _(change: _changes.WithdrawKey, before: Configuration) -> Configuration:
    key = before.key_by_id(change.key_id)
    if key is None:
        raise RowMissing(kind="KeyRecord", name=change.key_id)
    withdrawn = attrs.evolve(key, withdrawn=True)
    keys = {**before.keys, key.key_hash: withdrawn}
    return attrs.evolve(before, revision=before.revision + 1, keys=keys)


def _with_row(
    before: Configuration,
    rows: collections.abc.Mapping[str, Item],
    row: Item,
    change: _SetChange,
) -> dict[str, Item]:
    _check_revision(
        type(row).__name__,
        row.name,
        change.expected_revision,
        rows.get(row.name),
        str(row),
    )
    updated = attrs.evolve(row, revision=before.revision + 1)
    return {**rows, row.name: updated}


def _without_row(
    rows: collections.abc.Mapping[str, Item],
    kind: str,
    change: _RemoveChange,
) -> dict[str, Item]:
    found = rows.get(change.name)
    if found is None:
        raise RowMissing(kind=kind, name=change.name)
    _check_revision(
        kind, change.name, change.expected_revision, found, "nothing"
    )
    return {name: row for name, row in rows.items() if name != change.name}


def _check_revision(
    kind: str,
    name: str,
    expected_revision: int,
    found: _NamedRow | None,
    given: str,
) -> None:
    found_revision = found.revision if found else 0
    if found_revision != expected_revision:
        raise _changes.RevisionConflict(
            kind=kind,
            name=name,
            expected_revision=expected_revision,
            found_revision=found_revision,
            given=given,
            found=str(found) if found else "nothing",
        )
