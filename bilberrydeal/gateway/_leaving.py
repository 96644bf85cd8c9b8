"""Ends a gateway without cutting a request."""

import asyncio

import attrs

from .. import http1
from .. import telemetry

LOG = telemetry.logger("leaving")
#: The balancer has stopped sending callers by then, in seconds.
UNLISTED_S = 2.6
#: The process ends so long before it would be killed, in seconds.
GRACE_MARGIN_S = 0.9


@attrs.frozen
class LeavingTimes:
    """How long the steps of leaving may take."""

    #: New connections are taken for so long, in seconds.
    unlisted_s: float
    #: What runs may go on for so long, in seconds.
    last_s: float


def leaving_times(grace_s: float) -> LeavingTimes:
    """Return the times for a bound between SIGTERM and SIGKILL."""
    last_s = max(grace_s - GRACE_MARGIN_S, 0.0)
    return LeavingTimes(min(UNLISTED_S, last_s), last_s)


async def leave(server: http1.HttpServer, times: LeavingTimes) -> bool:
    """Send callers elsewhere; return whether every request was answered.

    Answers ask callers to close from the start. Once the balancer sends no
    more callers, connections without a request are closed, so that nothing
    is taken that could not be finished in time.
    """
    server.leaving = True
    LOG.info("Leaving.", requests=server.requests_open)
    await asyncio.sleep(times.unlisted_s)
    server.stop_accepting()
    server.close_quiet()
    quiet = await server.wait_quiet(times.last_s - times.unlisted_s)
    if not quiet:
        LOG.warning("Requests cut.", requests=server.requests_open)
    server.close_quiet()
    return quiet
