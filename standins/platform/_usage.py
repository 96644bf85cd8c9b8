"""Usage service and rate-limited weight store."""

import time

from aiohttp import web
import attrs

from bilberrydeal import ports

from .. import _journal
from .. import _serve
from . import _faults


@attrs.frozen
class Reported:
    """Journal event of a usage report."""

    report: ports.UsageReport
    received_s: float
    #: ``taken``, ``repeated`` or ``conflict``.
    outcome: str


class UsageService:
    """Accepts reports; rejects different figures for a reported window."""

    def __init__(self, journal: _journal.Journal) -> None:
        self._journal = journal
        self._accepted: dict[tuple[str, int], ports.OrganisationFigures] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [web.post("/v1/usage/report", self._report)]

    async def _report(self, request: web.Request) -> web.Response:
        report = await _serve.read_body(request, ports.UsageReport)
        window = (report.organisation, report.window_start_s)
        outcome = "repeated"
        if window not in self._accepted:
            self._accepted[window] = report.figures
            outcome = "taken"
        elif self._accepted[window] != report.figures:
            outcome = "conflict"
        self._journal.append(Reported(report, time.time(), outcome))
        status = 409 if outcome == "conflict" else 200
        return _serve.json_response(_serve.EmptyBody(), status)


class WeightService:
    """Admits a limited number of weight downloads per second."""

    def __init__(self, admits_per_s: float) -> None:
        self._bucket = _faults.TokenBucket(admits_per_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [web.post("/v1/weights/admit", self._admit)]

    async def _admit(self, request: web.Request) -> web.Response:
        wait_s = self._bucket.try_acquire(1, _faults.monotonic_s())
        if wait_s:
            return _serve.json_response(
                _serve.EmptyBody(), 429, retry_after_s=wait_s
            )
        return _serve.json_response(_serve.EmptyBody())
