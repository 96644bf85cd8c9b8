"""Commands for routes and models."""

import cyclopts

from .. import configuration
from .. import operators
from . import _app
from . import _output
from . import _rows

ROUTES = cyclopts.App(name="routes", help="Routes of plain services.")
MODELS = cyclopts.App(name="models", help="Models that callers may request.")
_app.APP.command(ROUTES)
_app.APP.command(MODELS)


@ROUTES.command(name="list")
def list_routes(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show all routes."""
    listed = target.client.get("/routes", operators.RouteList)
    _output.show(listed, listed.routes, target.json)


@ROUTES.command(name="set")
def set_route(
    name: str,
    path: str,
    *,
    service: str = "",
    method: tuple[str, ...] = ("POST",),
    access: configuration.Access = configuration.Access.KEYED,
    idempotent: bool = False,
    request_class: int = 0,
    deadline_s: float = 0.0,
    expected_revision: int = 0,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Create a route, or replace the revision ``--expected-revision``."""
    body = {
        "expected_revision": expected_revision,
        "path": path,
        "methods": method,
        "access": access,
        "idempotent": idempotent,
        "request_class": request_class,
        "deadline_s": deadline_s,
        "service": service,
    }
    _rows.set_row("routes", name, body, target)


@ROUTES.command(name="remove")
def remove_route(
    name: str,
    expected_revision: int,
    *,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Remove a route."""
    _rows.remove_row("routes", name, expected_revision, target)


@MODELS.command(name="list")
def list_models(*, target: _app.Target = _app.DEFAULT_TARGET) -> None:
    """Show all models."""
    listed = target.client.get("/models", operators.ModelRows)
    _output.show(listed, listed.models, target.json)


@MODELS.command(name="set")
def set_model(
    name: str,
    service: str,
    *,
    version: str = "",
    request_class: int | None = None,
    prefill_price: float = 1.0,
    decode_price: float = 4.0,
    expected_revision: int = 0,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Create a model, or replace the revision ``--expected-revision``."""
    body = {
        "expected_revision": expected_revision,
        "service": service,
        "version": version,
        "request_class": request_class,
        "prefill_price": prefill_price,
        "decode_price": decode_price,
    }
    _rows.set_row("models", name, body, target)


@MODELS.command(name="remove")
def remove_model(
    name: str,
    expected_revision: int,
    *,
    target: _app.Target = _app.DEFAULT_TARGET,
) -> None:
    """Remove a model."""
    _rows.remove_row("models", name, expected_revision, target)
