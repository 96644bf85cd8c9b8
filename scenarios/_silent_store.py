"""Cuts gateways from the store, and moves a route as it comes back."""

import asyncio
import collections.abc
import random
import time

import attrs

from standins import users_endpoint

from . import _gateway_configuration
from . import _gateway_records
from . import _gateways
from . import _proxy
from . import _route_probes
from . import _waits

ROUTE = "moved"
#: Routes beside that one, which make the configuration large.
OTHER_ROUTES = "more-{}"
#: Pause between two probes of a gateway, in seconds.
PROBE_INTERVAL_S = 0.05
#: Time from the return of the store to the change, in seconds.
CHANGE_AFTER_S = 0.3
#: Time from the change to the end of a round, in seconds.
WATCH_S = 4.5
#: Time in which gateways are cut off one after the other, in seconds.
CUT_WITHIN_S = 1.0
#: Shortest and longest time from the first cut to the return, in seconds.
SILENT_S = (5.6, 6.4)


@attrs.frozen
class Outage:
    """A time in which gateways reach no store, and a change after it."""

    #: Gateways that were cut off, without those that still are.
    cut: frozenset[str]
    #: Those that still are.
    still_cut: frozenset[str]
    #: When they reach the store again, in seconds.
    ended_s: float
    #: When the store had accepted the change, in seconds.
    acknowledged_s: float
    #: Service from which the route was moved away.
    old_service: str


@attrs.frozen
class Bounds:
    """When changes have to be in force."""

    #: Time after the acknowledgement of a change, in seconds.
    apply_limit_s: float
    #: Time after the return of the store, in seconds.
    contact_s: float


@attrs.frozen
class Probe:
    """A request on the route that is moved."""

    request_id: str
    gateway: str
    sent_s: float
    status: int


class OutageScenario:
    """Cuts gateways off from the store, and asks all of them meanwhile.

    Example::

        scenario = OutageScenario(fleet, random.Random(1))
        await scenario.cut_and_move(fleet.gateways)
        scenario.old_runs(Bounds(2.0, 3.0))
    """

    def __init__(self, fleet: _gateways.Fleet, rng: random.Random) -> None:
        self.outages: list[Outage] = []
        self.probes: list[Probe] = []
        self._fleet = fleet
        self._rng = rng

    async def prepare(self, routes: int) -> None:
        """Write a configuration with so many routes."""
        self._fleet.added_routes += [
            ROUTE,
            *(OTHER_ROUTES.format(number) for number in range(routes)),
        ]
        await self._fleet.configure()
        for gateway in self._fleet.gateways:
            await self._wait_served(gateway)

    async def _wait_served(self, gateway: _gateways.Member) -> None:
        async def served() -> bool:
            status = await _route_probes.ask(self._fleet, gateway, ROUTE)
            return status == _route_probes.SERVED

        await _waits.eventually(served, f"{gateway.name} serves the route")

    async def cut_and_move(
        self,
        cut: collections.abc.Sequence[_gateways.Member],
        still_cut: collections.abc.Sequence[_gateways.Member] = (),
    ) -> None:
        """Cut gateways off, reconnect them and move the route.

        Those that are ``still_cut`` are reconnected only at the end of the
        round.
        """
        watching = [
            asyncio.create_task(self._watch(each))
            for each in self._fleet.gateways
        ]
        try:
            await self._silence([*cut, *still_cut])
            for gateway in cut:
                _set_silent(gateway, False)
            ended_s = time.time()
            await asyncio.sleep(CHANGE_AFTER_S)
            old_service = await self.move()
            self.outages.append(
                Outage(
                    _names(cut),
                    _names(still_cut),
                    ended_s,
                    time.time(),
                    old_service,
                )
            )
            await asyncio.sleep(WATCH_S)
        finally:
            for task in watching:
                task.cancel()
            for gateway in still_cut:
                _set_silent(gateway, False)

    async def _silence(
        self, cut: collections.abc.Sequence[_gateways.Member]
    ) -> None:
        """Cut gateways off, and return when they reach the store again."""
        left_s = self._rng.uniform(*SILENT_S)
        moments = sorted(self._rng.uniform(0.0, CUT_WITHIN_S) for _ in cut)
        now_s = 0.0
        for gateway, moment_s in zip(cut, moments, strict=True):
            await asyncio.sleep(moment_s - now_s)
            now_s = moment_s
            _set_silent(gateway, True)
        await asyncio.sleep(left_s - now_s)

    async def move(self) -> str:
        """Move the route, and return the service that it was moved from."""
        moved = self._fleet.moved_routes
        before = _gateway_configuration.PLAIN_SERVICE
        if ROUTE in moved:
            before = _gateway_configuration.OTHER_PLAIN_SERVICE
        moved ^= {ROUTE}
        await self._fleet.configure()
        return before

    def old_runs(self, bounds: Bounds) -> list[str]:
        """Return a sentence for each request that the old service ran late."""
        ran_by = self._ran_by()
        return [
            f"{probe.gateway} let the old service run a request "
            f"{probe.sent_s - outage.acknowledged_s:.2f} s after the change"
            for outage in self.outages
            for probe in self._of(outage)
            if ran_by.get(probe.request_id) == outage.old_service
            and _is_late(probe, outage, bounds)
        ]

    def statuses(self, outage: Outage, gateway: str) -> list[int]:
        """Return the statuses of requests to a gateway after an outage."""
        return [
            probe.status
            for probe in self._of(outage)
            if probe.gateway == gateway
        ]

    def _of(self, outage: Outage) -> list[Probe]:
        return [
            probe
            for probe in self.probes
            if 0.0 <= probe.sent_s - outage.acknowledged_s < WATCH_S
        ]

    def _ran_by(self) -> dict[str, str]:
        """Return the service that ran each request."""
        services = {
            worker.name: worker.kind.strip() for worker in self._fleet.workers
        }
        return {
            run.request_id: services[run.endpoint_id]
            for run in _gateway_records.load_of_workers(
                self._fleet.folder, users_endpoint.Execution
            )
        }

    async def _watch(self, gateway: _gateways.Member) -> None:
        count = 0
        while True:
            count += 1
            request_id = f"{gateway.name}-{time.time_ns()}-{count}"
            sent_s = time.time()
            status = await _route_probes.ask(
                self._fleet, gateway, ROUTE, request_id
            )
            self.probes.append(Probe(request_id, gateway.name, sent_s, status))
            await asyncio.sleep(PROBE_INTERVAL_S)


def _is_late(probe: Probe, outage: Outage, bounds: Bounds) -> bool:
    """Return whether the change has to be in force for a request."""
    if probe.gateway in outage.still_cut:
        return False
    if probe.gateway in outage.cut and (
        probe.sent_s - outage.ended_s <= bounds.contact_s
    ):
        return False
    return probe.sent_s - outage.acknowledged_s > bounds.apply_limit_s


def _names(
    gateways: collections.abc.Sequence[_gateways.Member],
) -> frozenset[str]:
    return frozenset(each.name for each in gateways)


def _set_silent(gateway: _gateways.Member, silent: bool) -> None:
    """Cut a gateway off from the store, or let new connections work."""
    assert gateway.store_proxy is not None
    gateway.store_proxy.set_conditions(_proxy.Conditions(silent=silent))
