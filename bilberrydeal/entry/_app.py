"""Puts together the HTTP application of an entry."""

import typing

from . import _base
from . import _http
from . import _observer
from . import _once
from . import _operator
from . import _path
from . import _serving
from . import _status
from . import _upkeep


def build(
    base: _base.Base, path: _path.Path, upkeep: _upkeep.Upkeep
) -> typing.Any:
    """Return the application; all unknown paths go to the callers' routes."""
    body_timeout_s = base.settings.http.body_timeout_s
    app = _http.new_app(
        "entry-" + base.entry.replace(".", "-"), base.settings.http
    )
    operator = _operator.OperatorRoutes(
        base.secrets.operator_key_hash,
        base.secrets.pepper,
        base.following.current,
        base.following.commit,
    )
    operator.install(app, body_timeout_s)
    _status_routes(base, path, upkeep).install(app, operator, body_timeout_s)
    handle = _serving_of(base, path).handle
    for pattern in ("/", "/<path:path>"):
        _http.add_route(app, pattern, _http.METHODS, handle, body_timeout_s)
    return app


def _serving_of(base: _base.Base, path: _path.Path) -> _serving.Serving:
    following = base.following
    once = _once.OnceRunner(
        path.dispatcher,
        path.claims,
        _once.agent_resolver(path.pool, following.is_agent),
        base.tracing,
        base.wall,
    )
    return _serving.Serving(
        path.gate,
        path.dispatcher,
        once,
        following.current,
        base.tracing,
        _observer.MetricsObserver(base.metrics, following.demand),
        _serving.Clocks(base.clock, base.wall),
    )


def _status_routes(
    base: _base.Base, path: _path.Path, upkeep: _upkeep.Upkeep
) -> _status.StatusRoutes:
    return _status.StatusRoutes(
        base.following,
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
