"""Usage interface adapter: JSON over HTTP."""

import aiohttp

from .. import ports
from . import _exchange
from . import _registries


@_registries.USAGE.register("http_json")
class HttpUsage:
    """Implements :class:`bilberrydeal.ports.UsageInterface`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/usage/report"

    async def report(
        self, report: ports.UsageReport, timeout_s: float
    ) -> None:
        """Submit one report; raises ``ReportConflict``."""
        response = await _exchange.write(
            self._session, self._url, timeout_s, report
        )
        if response.status == _exchange.HTTP_CONFLICT:
            raise ports.ReportConflict(report_id=report.report_id)
