"""Plain services over HTTP."""

import aiohttp

from .. import ports
from . import _exchange
from . import _registries

#: Header that carries the identity of a request.
REQUEST_ID_HEADER = "X-Request-Id"
#: Header that carries the organisation for which a request runs.
ORGANISATION_HEADER = "X-Organisation"


@_registries.PLAIN.register("http")
class HttpPlain:
    """Implements :class:`bilberrydeal.ports.PlainService`.

    Each call gets a connection of its own: a kept-alive one that turns out
    to be closed would leave it open whether the call had begun.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def call(
        self, request: ports.PlainRequest, timeout_s: float
    ) -> ports.PlainResponse:
        """Make one call; never repeats it."""
        headers = {
            "Connection": "close",
            REQUEST_ID_HEADER: request.request_id,
        }
        if request.organisation:
            headers[ORGANISATION_HEADER] = request.organisation
        if request.content_type:
            headers["Content-Type"] = request.content_type
        try:
            reply = await _exchange.exchange(
                self._session,
                request.method,
                self._url + request.path,
                timeout_s,
                request.body,
                headers,
            )
        except _exchange.NOT_SENT as error:
            raise ports.PlainFailure(started=False) from error
        except _exchange.LOST as error:
            raise ports.PlainFailure(started=True) from error
        return ports.PlainResponse(
            status=reply.status,
            content_type=reply.content_type,
            body=reply.body,
        )
