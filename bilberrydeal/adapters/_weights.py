"""Weight store adapter: JSON over HTTP."""

import aiohttp
import attrs

from .. import ports
from . import _exchange
from . import _registries

#: Retry delay when the store does not specify one.
DEFAULT_RETRY_AFTER_S = 1.0


@attrs.frozen
class AdmitRequest:
    """Request body for a download slot."""

    #: Name of the model.
    model: str
    #: Version of its weights.
    version: str


@_registries.WEIGHTS.register("http_json")
class HttpWeights:
    """Implements :class:`bilberrydeal.ports.WeightStore`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/weights/admit"

    async def admit(self, model: str, version: str, timeout_s: float) -> None:
        """Acquire a slot for one download; raises ``WeightsBusy``."""
        response = await _exchange.write(
            self._session, self._url, timeout_s, AdmitRequest(model, version)
        )
        if response.status == _exchange.HTTP_TOO_MANY_REQUESTS:
            raise ports.WeightsBusy(
                retry_after_s=response.retry_after_s or DEFAULT_RETRY_AFTER_S
            )
