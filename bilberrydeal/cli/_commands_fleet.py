"""Commands that show the fleet."""

from .. import operators
from . import _app
from . import _client
from . import _output


@_app.APP.command
def endpoints(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show the endpoints that the entry has links to."""
    listed = target.client.get("/endpoints", operators.EndpointList)
    if target.json:
        _output.show_json(listed)
    else:
        _output.show_rows(listed.endpoints)


@_app.APP.command
def roles(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show the committed order of each engine."""
    listed = target.client.get("/roles", operators.RoleList)
    if target.json:
        _output.show_json(listed)
    else:
        _output.show_rows(listed.roles)


@_app.APP.command
def leases(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show which entry holds which duty."""
    listed = target.client.get("/leases", operators.LeaseList)
    if target.json:
        _output.show_json(listed)
    else:
        _output.show_rows(listed.leases)


@_app.APP.command
def usage(*, last: int = 10, target: _app.Target = _app.DEFAULT) -> None:
    """Show the sealed figures of the last windows."""
    listed = target.client.get(f"/usage?last={last}", operators.UsageList)
    if target.json:
        _output.show_json(listed)
    else:
        _output.show_rows(listed.windows)


@_app.APP.command
def status(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show the entry and what it knows of the others."""
    found = target.client.get("/status", operators.Status)
    if target.json:
        _output.show_json(found)
        return
    _output.show_rows([operators.StatusLine.of(found)])
    _output.show_rows(found.entries)


@_app.APP.command
def trace(request: str, *, target: _app.Target = _app.DEFAULT) -> None:
    """Show the steps of a recent request, by its number."""
    path = f"/trace/{_client.quoted(request)}"
    found = target.client.get(path, operators.Trace)
    if target.json:
        _output.show_json(found)
    else:
        _output.show_rows(found.steps)
