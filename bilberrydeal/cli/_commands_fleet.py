"""Commands that show the fleet."""

from .. import operators
from . import _app
from . import _output


@_app.APP.command
def endpoints(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show the endpoints that the entry has links to."""
    listed = target.client.get("/endpoints", operators.EndpointList)
    _output.show(listed, listed.endpoints, target.json)


@_app.APP.command
def leases(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show which entry holds which duty."""
    listed = target.client.get("/leases", operators.LeaseList)
    _output.show(listed, listed.leases, target.json)


@_app.APP.command
def usage(*, last: int = 10, target: _app.Target = _app.DEFAULT) -> None:
    """Show the sealed figures of the last windows."""
    listed = target.client.get(f"/usage?last={last}", operators.UsageList)
    _output.show(listed, listed.windows, target.json)


@_app.APP.command
def status(*, target: _app.Target = _app.DEFAULT) -> None:
    """Show the entry and what it knows of the others."""
    found = target.client.get("/status", operators.Status)
    if not target.json:
        _output.show(found, [operators.StatusLine.of(found)], False)
    _output.show(found, found.entries, target.json)
