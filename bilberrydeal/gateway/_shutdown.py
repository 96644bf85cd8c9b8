"""Shuts a gateway down without interrupting requests."""

import asyncio

import attrs

from .. import http1
from .. import telemetry
from . import core

LOG = telemetry.logger("leaving")
#: Time until the load balancer has stopped sending callers, in seconds.
ACCEPT_S = 2.6
#: Time between the end of the process and SIGKILL, in seconds.
GRACE_MARGIN_S = 0.9
#: Time to answer requests that are interrupted, in seconds.
ANSWER_S = 0.1


@attrs.frozen
class ShutdownTimes:
    """How long the phases of a shutdown may take."""

    #: Time during which new connections are accepted, in seconds.
    accept_s: float
    #: Time after which requests in flight are answered as failed, in seconds.
    total_s: float


def shutdown_times(grace_s: float) -> ShutdownTimes:
    """Return the times for ``grace_s`` between SIGTERM and SIGKILL."""
    total_s = max(grace_s - GRACE_MARGIN_S, 0.0)
    return ShutdownTimes(min(ACCEPT_S, total_s), total_s)


async def shut_down(
    server: http1.HttpServer,
    state: core.ShutdownState,
    times: ShutdownTimes,
) -> bool:
    """Drain the server; return whether every request was completed.

    Responses ask callers to close the connection from the start. Once the
    load balancer sends no more callers, idle connections are closed, and
    requests that are complete only then are refused: they might not end in
    time. Those that are in flight at the end are answered as failed.
    """
    server.draining = True
    ends_s = server.clock() + times.total_s
    LOG.info("Shutdown started.", requests=server.requests_open)
    await asyncio.sleep(times.accept_s)
    state.refusing = True
    server.stop_accepting()
    server.close_idle()
    drained = await server.wait_idle(times.total_s - times.accept_s)
    if not drained:
        LOG.warning(
            "Requests interrupted by shutdown.", requests=server.requests_open
        )
        state.interrupting = True
        server.cancel_requests()
        await server.wait_idle(ANSWER_S)
    server.close_idle()
    await server.wait_closed(max(ends_s - server.clock(), ANSWER_S))
    return drained
