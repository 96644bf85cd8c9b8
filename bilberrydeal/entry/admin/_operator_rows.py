"""Kinds of configuration rows that operators list, set and remove."""

import collections.abc
import operator
import re
import typing

import attrs

from ... import configuration
from ... import operators

#: Rows of one kind by name. Untyped, since all kinds are handled alike.
Rows = collections.abc.Mapping[str, typing.Any]


@attrs.frozen
class RowKind:
    """How one kind of row is listed, set and removed."""

    #: Path below the operators' prefix.
    path: str
    #: Type of the row.
    row_type: collections.abc.Callable[..., object]
    #: Body that sets a row: the row's fields and the expected revision.
    input_type: type[attrs.AttrsInstance]
    #: Returns the rows of a configuration.
    get_rows: collections.abc.Callable[[configuration.Configuration], Rows]
    #: Type of the list's body, made from the revision and the rows.
    list_type: collections.abc.Callable[[int, list[typing.Any]], object]
    #: Type of the change that sets a row.
    set_type: collections.abc.Callable[[typing.Any, int], configuration.Change]
    #: Type of the change that removes a row, ``None`` if rows stay.
    remove_type: (
        collections.abc.Callable[[str, int], configuration.Change] | None
    ) = None

    def list_body(self, current: configuration.Configuration) -> object:
        """Return the body that lists all rows, sorted by name."""
        rows = self.get_rows(current).values()
        ordered = sorted(rows, key=operator.attrgetter("name"))
        return self.list_type(current.revision, ordered)

    def set_change(
        self, name: str, body: attrs.AttrsInstance
    ) -> configuration.Change:
        """Return the change that sets a row to an operator's input."""
        fields = attrs.asdict(body, recurse=False)
        expected_revision = fields.pop("expected_revision")
        return self.set_type(
            self.row_type(name=name, **fields), expected_revision
        )


KINDS = (
    RowKind(
        path="/organisations",
        row_type=configuration.Organisation,
        input_type=operators.OrganisationInput,
        get_rows=operator.attrgetter("organisations"),
        list_type=operators.OrganisationList,
        set_type=configuration.SetOrganisation,
    ),
    RowKind(
        path="/routes",
        row_type=configuration.Route,
        input_type=operators.RouteInput,
        get_rows=operator.attrgetter("routes"),
        list_type=operators.RouteList,
        set_type=configuration.SetRoute,
        remove_type=configuration.RemoveRoute,
    ),
    RowKind(
        path="/models",
        row_type=configuration.Model,
        input_type=operators.ModelInput,
        get_rows=operator.attrgetter("models"),
        list_type=operators.ModelRows,
        set_type=configuration.SetModel,
        remove_type=configuration.RemoveModel,
    ),
    RowKind(
        path="/assignments",
        row_type=configuration.Assignment,
        input_type=operators.AssignmentInput,
        get_rows=operator.attrgetter("assignments"),
        list_type=operators.AssignmentList,
        set_type=configuration.SetAssignment,
        remove_type=configuration.RemoveAssignment,
    ),
)


def is_name(name: str) -> bool:
    """Return whether a name is valid for a row."""
    return re.match(operators.ROW_NAME, name) is not None
