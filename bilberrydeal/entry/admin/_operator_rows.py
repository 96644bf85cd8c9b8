"""The kinds of rows that operators list, set and remove by name."""

import collections.abc
import operator
import re
import typing

import attrs

from ... import configuration
from ... import operators

#: Rows of one kind by name; the kinds differ, their handling does not.
Rows = collections.abc.Mapping[str, typing.Any]


@attrs.frozen
class RowKind:
    """How one kind of row is listed, set and removed."""

    #: Path below the operators' prefix.
    path: str
    #: The row.
    row: collections.abc.Callable[..., object]
    #: Body that sets a row: its fields and the expected revision.
    given: type[attrs.AttrsInstance]
    #: Takes the rows out of a configuration.
    rows: collections.abc.Callable[[configuration.Configuration], Rows]
    #: Makes the body of a list from the revision and the rows.
    listed: collections.abc.Callable[[int, list[typing.Any]], object]
    #: Makes the change that sets a row.
    set: collections.abc.Callable[[typing.Any, int], configuration.Change]
    #: Makes the change that removes a row, if it can be removed.
    remove: (
        collections.abc.Callable[[str, int], configuration.Change] | None
    ) = None

    def list_body(self, current: configuration.Configuration) -> object:
        """Return the body that lists all rows by name."""
        rows = self.rows(current).values()
        ordered = sorted(rows, key=operator.attrgetter("name"))
        return self.listed(current.revision, ordered)

    def set_change(
        self, name: str, given: attrs.AttrsInstance
    ) -> configuration.Change:
        """Return the change that sets a row to what an operator gave."""
        fields = attrs.asdict(given, recurse=False)
        expected_revision = fields.pop("expected_revision")
        return self.set(self.row(name=name, **fields), expected_revision)


KINDS = (
    RowKind(
        path="/organisations",
        row=configuration.Organisation,
        given=operators.OrganisationInput,
        rows=operator.attrgetter("organisations"),
        listed=operators.OrganisationList,
        set=configuration.SetOrganisation,
    ),
    RowKind(
        path="/routes",
        row=configuration.Route,
        given=operators.RouteInput,
        rows=operator.attrgetter("routes"),
        listed=operators.RouteList,
        set=configuration.SetRoute,
        remove=configuration.RemoveRoute,
    ),
    RowKind(
        path="/models",
        row=configuration.Model,
        given=operators.ModelInput,
        rows=operator.attrgetter("models"),
        listed=operators.ModelRows,
        set=configuration.SetModel,
        remove=configuration.RemoveModel,
    ),
    RowKind(
        path="/assignments",
        row=configuration.Assignment,
        given=operators.AssignmentInput,
        rows=operator.attrgetter("assignments"),
        listed=operators.AssignmentList,
        set=configuration.SetAssignment,
        remove=configuration.RemoveAssignment,
    ),
)


def is_name(name: str) -> bool:
    """Return whether a row may have this name."""
    return re.match(operators.ROW_NAME, name) is not None
