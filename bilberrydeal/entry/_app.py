"""Puts together the HTTP application of an entry."""

import typing

from . import _base
from . import _path
from . import _upkeep
from . import admin
from . import core
from . import front


def build(
    base: _base.Base, path: _path.Path, upkeep: _upkeep.Upkeep
) -> typing.Any:
    """Return the application; all unknown paths go to the callers' routes."""
    body_timeout_s = base.settings.http.body_timeout_s
    app = front.new_app(
        "entry-" + base.entry.replace(".", "-"), base.settings.http
    )
    operator = admin.OperatorRoutes(
        base.secrets.operator_key_hash,
        base.secrets.pepper,
        base.shared_state.current,
        base.shared_state.commit,
    )
    operator.install(app, body_timeout_s)
    _status_routes(base, path, upkeep).install(app, operator, body_timeout_s)
    handle = _serving_of(base, path).handle
    for pattern in ("/", "/<path:path>"):
        front.add_route(app, pattern, front.METHODS, handle, body_timeout_s)
    return app


def _serving_of(base: _base.Base, path: _path.Path) -> front.Serving:
    shared_state = base.shared_state
    once = core.AtMostOnceRunner(
        path.dispatcher,
        path.claims,
        core.agent_resolver(path.pool, shared_state.is_agent),
        base.tracing,
        base.wall,
    )
    return front.Serving(
        path.gate,
        path.dispatcher,
        once,
        shared_state.current,
        base.tracing,
        core.MetricsObserver(base.metrics, shared_state.demand),
        front.Clocks(base.clock, base.wall),
    )


def _status_routes(
    base: _base.Base, path: _path.Path, upkeep: _upkeep.Upkeep
) -> admin.StatusRoutes:
    return admin.StatusRoutes(
        base.shared_state,
        upkeep.exchange,
        path.gate,
        path.pool,
        upkeep.duties,
        base.tables,
        base.metrics,
        base.gauges,
        path.journal,
        base.clock,
    )
