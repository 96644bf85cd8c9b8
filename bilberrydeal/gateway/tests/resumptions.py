"""Admitted requests that begin or resume streams, for tests."""

from ... import catalogue
from ... import http1
from .. import core
from . import configurations

#: Time that a caller has for a stream, in seconds.
CALLER_S = 2.0


def admitted(
    request_id: bytes,
    now_s: float,
    resumed_id: bytes = b"",
    left_s: float = CALLER_S,
) -> core.AdmittedRequest:
    """Return a request for a stream, or for the rest of one."""
    route: catalogue.Route = next(
        each for each in configurations.ROUTES if each.name == "chat"
    )
    return core.AdmittedRequest(
        request=http1.Request(
            b"POST", b"/chat/1", (), b"b", True, now_s, now_s
        ),
        request_id=request_id,
        route=route,
        service="llm",
        organisation=None,
        deadline_s=now_s + left_s,
        prompt=None,
        last_event=b"1" if resumed_id else b"",
        configuration_version=1,
        resumed_id=resumed_id,
    )
