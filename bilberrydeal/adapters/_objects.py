"""Object store adapter: raw bodies over HTTP."""

import urllib.parse

import aiohttp

from .. import errors
from . import _exchange
from . import _registries


@_registries.OBJECTS.register("http_json")
class HttpObjects:
    """Implements :class:`bilberrydeal.ports.ObjectStore`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/objects"

    async def put(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object, replacing an existing one of that name."""
        await _exchange.write(
            self._session, self._object_url(name), timeout_s, data, "PUT"
        )

    async def get(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        try:
            response = await _exchange.write(
                self._session, self._object_url(name), timeout_s, b"", "GET"
            )
        except errors.OutcomeUnknown as error:
            raise errors.StoreUnavailable(operation="get") from error
        if response.status == _exchange.HTTP_NOT_FOUND:
            return None
        return response.body

    async def delete(self, name: str, timeout_s: float) -> None:
        """Delete an object; an absent one is not an error."""
        await _exchange.write(
            self._session, self._object_url(name), timeout_s, b"", "DELETE"
        )

    def _object_url(self, name: str) -> str:
        return f"{self._url}/{urllib.parse.quote(name, safe='')}"
