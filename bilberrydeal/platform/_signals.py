"""What endpoints tell about themselves in their responses."""

import collections.abc
import math

import attrs

from .. import http1
from .. import telemetry
from . import _headers
from . import _responses

LOG = telemetry.logger("signals")
#: Status with which an endpoint may ask for a pause.
_UNAVAILABLE = 503
#: Longest pause that an endpoint may ask for, in seconds.
PAUSE_LIMIT_S = 600.0
#: Value of ``server-leaving`` of an endpoint that leaves.
_LEAVING = b"1"


@attrs.frozen
class EndpointSignals:
    """What a response tells about its endpoint, whatever its status."""

    #: Whether the endpoint leaves and wants no new requests.
    leaving: bool = False
    #: Time for which the endpoint wants no requests, in seconds.
    pause_s: float = 0.0
    #: Requests a second that the endpoint takes from all gateways together,
    #: infinite if it names no limit; ``None`` if nothing can be told.
    limit_per_s: float | None = None


#: Gets what each response tells.
OnSignals = collections.abc.Callable[[EndpointSignals], None]


def endpoint_signals(head: http1.ResponseHead) -> EndpointSignals:
    """Return what a response tells about its endpoint.

    A response to a misdirected request tells nothing, since another endpoint
    may have sent it.
    """
    if _responses.misdirected(head):
        return EndpointSignals()
    leaving = head.header(_headers.HEADERS.leaving) or b""
    return EndpointSignals(
        leaving=leaving.strip() == _LEAVING,
        pause_s=_pause_s(head),
        limit_per_s=_limit_per_s(head),
    )


def _pause_s(head: http1.ResponseHead) -> float:
    """Return the pause that a response asks for, 0 if it asks for none."""
    value = head.header(_headers.HEADERS.retry_after)
    if head.status != _UNAVAILABLE or value is None:
        return 0.0
    try:
        pause_s = float(value)
    except ValueError:
        pause_s = math.nan
    if math.isnan(pause_s) or pause_s < 0.0:
        LOG.warning("Pause not understood.", value=value[:40])
        return 0.0
    if pause_s > PAUSE_LIMIT_S:
        LOG.warning("Pause shortened.", value=value[:40])
    return min(pause_s, PAUSE_LIMIT_S)


def _limit_per_s(head: http1.ResponseHead) -> float | None:
    """Return the limit that a response names, infinite if it names none."""
    value = head.header(_headers.HEADERS.request_limit)
    if value is None:
        return math.inf
    try:
        limit_per_s = float(value)
    except ValueError:
        limit_per_s = math.nan
    if not math.isfinite(limit_per_s) or limit_per_s < 0.0:
        LOG.warning("Request limit not understood.", value=value[:40])
        return None
    return limit_per_s
