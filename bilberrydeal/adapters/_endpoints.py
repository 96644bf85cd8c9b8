"""The endpoint interface as JSON over HTTP."""

import typing

import aiohttp
import attrs

from .. import errors
from .. import ports
from . import _exchange
from . import _registries


@attrs.define(slots=False, eq=False)
class PurchaseRefused(errors.StoreUnavailable):
    """The interface has seen a higher fencing number; nothing was done."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED


@attrs.frozen
class ListCall:
    """Body of a listing."""

    #: Whose endpoints are listed.
    failure_domain: str


@attrs.frozen
class ListAnswer:
    """Answer to a listing."""

    #: The endpoints.
    endpoints: tuple[ports.EndpointRecord, ...]


@_registries.ENDPOINTS.register("http_json")
class HttpEndpoints:
    """Implements :class:`bilberrydeal.ports.EndpointInterface`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/endpoints"

    async def purchase(
        self, order: ports.PurchaseOrder, timeout_s: float
    ) -> None:
        """Order endpoints; they are delivered later."""
        await self._order("purchase", order, timeout_s)

    async def release(
        self, order: ports.ReleaseOrder, timeout_s: float
    ) -> None:
        """Give one endpoint back."""
        await self._order("release", order, timeout_s)

    async def endpoints(
        self, failure_domain: str, timeout_s: float
    ) -> tuple[ports.EndpointRecord, ...]:
        """List the endpoints of one failure domain."""
        reply = await _exchange.read(
            self._session,
            f"{self._url}/list",
            timeout_s,
            ListCall(failure_domain),
        )
        return reply.decode(ListAnswer).endpoints

    async def _order(
        self,
        kind: str,
        order: ports.PurchaseOrder | ports.ReleaseOrder,
        timeout_s: float,
    ) -> None:
        reply = await _exchange.write(
            self._session, f"{self._url}/{kind}", timeout_s, order
        )
        if reply.status == _exchange.HTTP_CONFLICT:
            raise PurchaseRefused(operation=kind)
