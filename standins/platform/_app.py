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
    """Rate limits, delays and options of the platform."""

    #: Reads per second, shared by tables and objects.
    reads_per_s: float = 2000.0
    #: Writes per second, shared by tables and objects.
    writes_per_s: float = 400.0
    #: Time from a purchase until its endpoints are live, in seconds.
    delivery_s: float = 5.0
    #: Delay before changes appear in the host list, in seconds.
    host_lag_s: float = 1.0
    #: Admitted weight downloads per second.
    admits_per_s: float = 5.0
    #: Whether the endpoint service rejects stale fencing tokens.
    checks_fencing: bool = True


def build(
    limits: PlatformLimits, journal: _journal.Journal
) -> web.Application:
    """Return the aiohttp application with all platform services."""
    injector = _faults.FaultInjector()
    app = web.Application(
        middlewares=[injector.middleware],
        client_max_size=_serve.MAX_BODY_BYTES,
    )
    app.add_routes(
        [
            web.post("/control", injector.control),
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
