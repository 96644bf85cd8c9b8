"""Commands that show the fleet."""

from .. import operators
from . import _app
from . import _output


@_app.APP.command
def endpoints(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show the endpoints that the entry has links to."""
    listed = target.client.get("/endpoints", operators.EndpointList)
    _output.show(listed, listed.endpoints, target.json)


@_app.APP.command
def leases(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show the lease holder of each duty."""
    listed = target.client.get("/leases", operators.LeaseList)
    _output.show(listed, listed.leases, target.json)


@_app.APP.command
def usage(
    *, last: int = 10, target: _app.Target = _app.DEFAULT_TARGET
) -> None:
    """Show the sealed usage of the last accounting windows."""
    listed = target.client.get(f"/usage?last={last}", operators.UsageList)
    _output.show(listed, listed.windows, target.json)


@_app.APP.command
def status(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show the status of the entry and of the peers that it knows."""
    entry_status = target.client.get("/status", operators.Status)
    if not target.json:
        _output.show(
            entry_status, [operators.StatusLine.of(entry_status)], False
        )
    _output.show(entry_status, entry_status.entries, target.json)
