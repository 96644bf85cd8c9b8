"""Commands for the roles of engines."""

import cyclopts

from .. import operators
from .. import ports
from . import _app
from . import _output
from . import _rows

ROLES = cyclopts.App(name="roles", help="Roles of engines.")
_app.APP.command(ROLES)


@ROLES.default
@ROLES.command(name="list")
def list_roles(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show the committed role order of each engine."""
    listed = target.client.get("/roles", operators.RoleList)
    _output.show(listed, listed.roles, target.json)


@ROLES.command(name="assignments")
def list_assignments(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show the engines that operators assigned to a role."""
    listed = target.client.get("/assignments", operators.AssignmentList)
    _output.show(listed, listed.assignments, target.json)


@ROLES.command(name="set")
def set_role(
    endpoint: str,
    role: ports.EngineRole,
    *,
    version: str = "",
    adapter: tuple[str, ...] = (),
    expected_revision: int = 0,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Assign an engine to a role; the planner then no longer changes it.

    Replaces the assignment whose revision is ``--expected-revision``.
    """
    body = {
        "expected_revision": expected_revision,
        "role": role,
        "version": version,
        "adapters": adapter,
    }
    _rows.set_row("assignments", endpoint, body, target)


@ROLES.command(name="release")
def release(
    endpoint: str,
    expected_revision: int,
    *,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Remove an assignment; the planner may then change the engine's role."""
    _rows.remove_row("assignments", endpoint, expected_revision, target)
