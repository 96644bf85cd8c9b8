"""Typed changes of the configuration.

A change contains the revision of the row that its operator read, so that two
operators cannot overwrite each other's edits. The revision is 0 if the row
did not exist.
"""

import typing

import attrs

from .. import errors
from .. import registry
from . import _rows


@attrs.define(slots=False, eq=False)
class RevisionConflict(errors.BilberrydealError):
    """A row changed since the operator read it."""

    code: typing.ClassVar[errors.ErrorCode] = (
        errors.ErrorCode.REVISION_CONFLICT
    )

    #: Kind of the row.
    kind: str
    #: Name of the row.
    name: str
    #: Revision on which the change is based.
    expected_revision: int
    #: Current revision of the row.
    found_revision: int
    #: Row that the change would set.
    given: str
    #: Current row.
    found: str


class Change(typing.Protocol):
    """A change, applied by :meth:`Configuration.apply`."""


CHANGES: registry.Registry[type[Change]] = registry.Registry("change")


@CHANGES.register("set_organisation")
@attrs.frozen
class SetOrganisation:
    """Creates an organisation or replaces its row."""

    #: The new row; its ``revision`` is set when the change is applied.
    organisation: _rows.Organisation
    #: Revision of the row that the operator read.
    expected_revision: int


@CHANGES.register("issue_key")
@attrs.frozen
class IssueKey:
    """Adds a key."""

    #: The new key.
    key: _rows.KeyRecord


@CHANGES.register("withdraw_key")
@attrs.frozen
class WithdrawKey:
    """Withdraws a key permanently; a repeat has no effect."""

    #: Public identifier of the key.
    key_id: str


@CHANGES.register("set_route")
@attrs.frozen
class SetRoute:
    """Creates a route or replaces its row."""

    #: The new row; its ``revision`` is set when the change is applied.
    route: _rows.Route
    #: Revision of the row that the operator read.
    expected_revision: int


@CHANGES.register("remove_route")
@attrs.frozen
class RemoveRoute:
    """Removes a route."""

    #: Name of the route.
    name: str
    #: Revision of the row that the operator read.
    expected_revision: int


@CHANGES.register("set_model")
@attrs.frozen
class SetModel:
    """Creates a model or replaces its row."""

    #: The new row; its ``revision`` is set when the change is applied.
    model: _rows.Model
    #: Revision of the row that the operator read.
    expected_revision: int


@CHANGES.register("remove_model")
@attrs.frozen
class RemoveModel:
    """Removes a model."""

    #: Name of the model.
    name: str
    #: Revision of the row that the operator read.
    expected_revision: int


@CHANGES.register("set_assignment")
@attrs.frozen
class SetAssignment:
    """Assigns a role to an engine or replaces the assignment."""

    #: The new row; its ``revision`` is set when the change is applied.
    assignment: _rows.Assignment
    #: Revision of the row that the operator read.
    expected_revision: int


@CHANGES.register("remove_assignment")
@attrs.frozen
class RemoveAssignment:
    """Returns control of an engine to the role planner."""

    #: Name of the endpoint.
    name: str
    #: Revision of the row that the operator read.
    expected_revision: int
