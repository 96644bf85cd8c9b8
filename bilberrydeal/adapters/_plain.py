"""Plain service adapter: HTTP."""

import aiohttp

from .. import ports
from . import _exchange
from . import _registries

#: Largest body of a response, in bytes; it is sent in one link frame.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
#: Header with the request ID.
REQUEST_ID_HEADER = "X-Request-Id"
#: Header with the organisation for which the request runs.
ORGANISATION_HEADER = "X-Organisation"


@_registries.PLAIN.register("http")
class HttpPlain:
    """Implements :class:`bilberrydeal.ports.PlainService`.

    Each call uses a connection of its own: if a kept-alive one turned out to
    be closed, it would be unknown whether the call had started.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def call(
        self, request: ports.PlainRequest, timeout_s: float
    ) -> ports.PlainResponse:
        """Make one call, without retries."""
        headers = {
            "Connection": "close",
            REQUEST_ID_HEADER: request.request_id,
        }
        if request.organisation:
            headers[ORGANISATION_HEADER] = request.organisation
        if request.content_type:
            headers["Content-Type"] = request.content_type
        try:
            response = await _exchange.exchange(
                self._session,
                request.method,
                self._url + request.path,
                timeout_s,
                request.body,
                headers,
                BODY_LIMIT_BYTES,
            )
        except _exchange.NOT_SENT as error:
            raise ports.PlainFailure(started=False) from error
        except _exchange.MAYBE_SENT as error:
            raise ports.PlainFailure(started=True) from error
        return ports.PlainResponse(
            status=response.status,
            content_type=response.content_type,
            body=response.body,
        )
