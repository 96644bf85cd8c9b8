"""The weight store as JSON over HTTP."""

import aiohttp
import attrs

from .. import ports
from . import _exchange
from . import _registries

#: Wait that is advised when the store names none.
DEFAULT_RETRY_S = 1.0


@attrs.frozen
class AdmitCall:
    """Body of a request for a download slot."""

    #: The model.
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
        """Take a slot for one download, or raise ``WeightsBusy``."""
        reply = await _exchange.write(
            self._session, self._url, timeout_s, AdmitCall(model, version)
        )
        if reply.status == _exchange.HTTP_TOO_MANY:
            raise ports.WeightsBusy(
                retry_after_s=reply.retry_after_s or DEFAULT_RETRY_S
            )
