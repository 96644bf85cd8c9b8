"""Ends a gateway without cutting a request."""

import asyncio

import attrs

from .. import http1
from .. import telemetry

LOG = telemetry.logger("leaving")
#: The balancer has stopped sending callers by then, in seconds.
ACCEPT_S = 2.6
#: The process ends so long before it would be killed, in seconds.
GRACE_MARGIN_S = 0.9


@attrs.frozen
class ShutdownTimes:
    """How long the steps of leaving may take."""

    #: New connections are taken for so long, in seconds.
    accept_s: float
    #: What runs may go on for so long, in seconds.
    total_s: float


def shutdown_times(grace_s: float) -> ShutdownTimes:
    """Return the times for a bound between SIGTERM and SIGKILL."""
    total_s = max(grace_s - GRACE_MARGIN_S, 0.0)
    return ShutdownTimes(min(ACCEPT_S, total_s), total_s)


async def shut_down(server: http1.HttpServer, times: ShutdownTimes) -> bool:
    """Send callers elsewhere; return whether every request was answered.

    Answers ask callers to close from the start. Once the balancer sends no
    more callers, connections without a request are closed, so that nothing
    is taken that could not be finished in time.
    """
    server.leaving = True
    LOG.info("Leaving.", requests=server.requests_open)
    await asyncio.sleep(times.accept_s)
    server.stop_accepting()
    server.close_quiet()
    drained = await server.wait_quiet(times.total_s - times.accept_s)
    if not drained:
        LOG.warning("Requests cut.", requests=server.requests_open)
    server.close_quiet()
    return drained
