"""Endpoint interface adapter: JSON over HTTP."""

import typing

import aiohttp
import attrs

from .. import errors
from .. import ports
from . import _exchange
from . import _registries


@attrs.define(slots=False, eq=False)
class PurchaseRefused(errors.StoreUnavailable):
    """The fencing number is stale; the order had no effect."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED


@attrs.frozen
class ListRequest:
    """Request body for listing endpoints."""

    #: Failure domain whose endpoints are listed.
    failure_domain: str


@attrs.frozen
class ListResponse:
    """Response body with the listed endpoints."""

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
        await self._send_order("purchase", order, timeout_s)

    async def release(
        self, order: ports.ReleaseOrder, timeout_s: float
    ) -> None:
        """Release one endpoint."""
        await self._send_order("release", order, timeout_s)

    async def endpoints(
        self, failure_domain: str, timeout_s: float
    ) -> tuple[ports.EndpointRecord, ...]:
        """List the endpoints of one failure domain."""
        response = await _exchange.read(
            self._session,
            f"{self._url}/list",
            timeout_s,
            ListRequest(failure_domain),
            ListResponse,
        )
        return response.endpoints

    async def _send_order(
        self,
        kind: str,
        order: ports.PurchaseOrder | ports.ReleaseOrder,
        timeout_s: float,
    ) -> None:
        response = await _exchange.write(
            self._session, f"{self._url}/{kind}", timeout_s, order
        )
        if response.status == _exchange.HTTP_CONFLICT:
            raise PurchaseRefused(operation=kind)
