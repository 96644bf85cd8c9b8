"""Host list adapter: JSON over HTTP."""

import aiohttp
import attrs

from .. import ports
from . import _exchange
from . import _registries


@attrs.frozen
class ListHostsRequest:
    """Request body for listing hosts; empty."""


@attrs.frozen
class ListHostsResponse:
    """Response body with the listed hosts."""

    hosts: tuple[ports.HostRecord, ...]


@_registries.HOSTS.register("http_json")
class HttpHosts:
    """Implements :class:`bilberrydeal.ports.HostList`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/hosts/list"

    async def hosts(self, timeout_s: float) -> tuple[ports.HostRecord, ...]:
        """Return all hosts known to the platform."""
        response = await _exchange.read(
            self._session,
            self._url,
            timeout_s,
            ListHostsRequest(),
            ListHostsResponse,
        )
        return response.hosts
