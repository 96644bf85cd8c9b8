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
def list_roles(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show the committed order of each engine."""
    listed = target.client.get("/roles", operators.RoleList)
    _output.show(listed, listed.roles, target.json)


@ROLES.command(name="assignments")
def list_assignments(*, target: _app.Target = _app.DEFAULT) -> None:
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
    target: _app.Target = _app.DEFAULT,
) -> None:
    """Assign an engine to a role; the planner leaves it alone from then on.

    Replaces the assignment of ``--expected-revision`` if there is one.
    """
    body = {
        "expected_revision": expected_revision,
        "role": role,
        "version": version,
        "adapters": adapter,
    }
    _rows.put("assignments", endpoint, body, target)


@ROLES.command(name="release")
def release(
    endpoint: str,
    expected_revision: int,
    *,
    target: _app.Target = _app.DEFAULT,
) -> None:
    """Give an engine back to the planner; it keeps its role until then."""
    _rows.remove("assignments", endpoint, expected_revision, target)
