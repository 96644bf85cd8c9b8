"""All services of the platform in one process."""

from aiohttp import web
import attrs

from .. import _journal
from .. import _serve
from . import _endpoints
from . import _faults
from . import _stores
from . import _usage


@attrs.frozen
class PlatformLimits:
    """Rates, delays and habits of the platform."""

    #: Reads a second over tables and objects.
    reads_per_s: float = 2000.0
    #: Writes a second over tables and objects.
    writes_per_s: float = 400.0
    #: Time from a purchase to a live endpoint.
    delivery_s: float = 5.0
    #: How late the host list is.
    host_lag_s: float = 1.0
    #: Downloads of weights a second.
    admits_per_s: float = 5.0
    #: Whether the endpoint interface refuses old fencing numbers.
    checks_fencing: bool = True


def build(
    limits: PlatformLimits, journal: _journal.Journal
) -> web.Application:
    """Return the application of the whole platform."""
    faults = _faults.Faults()
    app = web.Application(
        middlewares=[faults.middleware],
        client_max_size=_serve.MAX_BODY_BYTES,
    )
    app.add_routes(
        [
            web.post("/control", faults.control),
            _serve.journal_route(journal),
            *_stores.Stores(limits.reads_per_s, limits.writes_per_s).routes(),
            *_endpoints.EndpointService(
                journal, limits.delivery_s, limits.checks_fencing
            ).routes(),
            *_endpoints.HostService(limits.host_lag_s).routes(),
            *_usage.UsageService(journal).routes(),
            *_usage.WeightService(limits.admits_per_s).routes(),
        ]
    )
    return app
