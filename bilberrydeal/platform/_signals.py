"""What endpoints tell about themselves in their responses."""

import collections.abc

import attrs

from .. import http1
from . import _headers
from . import _responses

#: Value of ``server-leaving`` of an endpoint that leaves.
_LEAVING = b"1"


@attrs.frozen
class EndpointSignals:
    """What a response tells about its endpoint, whatever its status."""

    #: Whether the endpoint leaves and wants no new requests.
    leaving: bool = False


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
    return EndpointSignals(leaving=leaving.strip() == _LEAVING)
