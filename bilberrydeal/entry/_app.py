"""Assembles the HTTP application of an entry."""

import typing

from . import _background
from . import _context
from . import _pipeline
from . import admin
from . import core
from . import http_api


def build(
    context: _context.EntryContext,
    pipeline: _pipeline.RequestPipeline,
    background: _background.BackgroundServices,
) -> typing.Any:
    """Return the application; all other paths go to the caller handler."""
    body_timeout_s = context.settings.http.body_timeout_s
    app = http_api.new_app(
        "entry-" + context.entry.replace(".", "-"), context.settings.http
    )
    operator = admin.OperatorRoutes(
        context.secrets.operator_key_hash,
        context.secrets.pepper,
        context.shared_state.current,
        context.shared_state.commit,
    )
    operator.install(app, body_timeout_s)
    _status_routes(context, pipeline, background).install(
        app, operator, body_timeout_s
    )
    handle = _caller_handler(context, pipeline).handle
    for pattern in ("/", "/<path:path>"):
        http_api.add_route(
            app, pattern, http_api.METHODS, handle, body_timeout_s
        )
    return app


def _caller_handler(
    context: _context.EntryContext, pipeline: _pipeline.RequestPipeline
) -> http_api.CallerHandler:
    shared_state = context.shared_state
    once = core.AtMostOnceRunner(
        pipeline.dispatcher,
        pipeline.claim_manager,
        core.agent_resolver(pipeline.pool, shared_state.is_agent),
        context.tracing,
        context.wall_clock,
    )
    return http_api.CallerHandler(
        pipeline.admitter,
        pipeline.dispatcher,
        once,
        shared_state.current,
        context.tracing,
        core.MetricsObserver(context.metrics, shared_state.demand),
        http_api.Clocks(context.clock, context.wall_clock),
    )


def _status_routes(
    context: _context.EntryContext,
    pipeline: _pipeline.RequestPipeline,
    background: _background.BackgroundServices,
) -> admin.StatusRoutes:
    return admin.StatusRoutes(
        context.shared_state,
        background.exchange,
        pipeline.admitter,
        pipeline.pool,
        background.duties,
        context.tables,
        context.metrics,
        context.gauges,
        pipeline.request_traces,
        context.clock,
    )
