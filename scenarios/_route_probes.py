"""Changes of routes, and requests that show which of them are in force."""

import asyncio
import collections.abc
import random
import time

import aiohttp
import attrs

from . import _gateway_configuration
from . import _gateway_records
from . import _gateway_settings
from . import _gateways

#: Pause between two probes of a gateway, in seconds.
PROBE_INTERVAL_S = 0.15
#: Latest changes whose routes are probed.
PROBED_CHANGES = 4
#: Longest time that a probe waits for its response, in seconds.
PROBE_TIMEOUT_S = 2.0
#: Status recorded without a complete response.
NO_RESPONSE = 0
SERVED = 200
NOT_FOUND = 404


@attrs.frozen
class RouteChange:
    """A route that a version of the configuration added or removed."""

    route: str
    added: bool
    #: When the store had accepted the version, in seconds.
    acknowledged_s: float


@attrs.frozen
class Probe:
    """A request that only shows whether a route is in force."""

    gateway: str
    #: Process that was asked.
    process: int
    route: str
    sent_s: float
    status: int


class RouteProbes:
    """Changes routes of a fleet and probes its gateways for them.

    Example::

        probes = RouteProbes(fleet)
        await probes.change(random.Random(1))
        probes.start()
    """

    def __init__(self, fleet: _gateways.Fleet) -> None:
        self.changes: list[RouteChange] = []
        self.probes: list[Probe] = []
        self._fleet = fleet
        self._count = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Probe each gateway until :meth:`stop`."""
        self._tasks = [
            asyncio.create_task(self._watch(gateway))
            for gateway in self._fleet.gateways
        ]

    def stop(self) -> None:
        """End all probes."""
        for task in self._tasks:
            task.cancel()

    async def change(self, rng: random.Random) -> None:
        """Add a route, or remove one that was added."""
        removable = [each.route for each in self.changes if each.added]
        removable = [each for each in removable if self._is_present(each)]
        added = not removable or rng.random() < 0.7
        if added:
            self._count += 1
            route = f"new-{self._count}"
            self._fleet.added_routes.append(route)
        else:
            route = rng.choice(removable)
            self._fleet.added_routes.remove(route)
        await self._fleet.configure()
        self.changes.append(RouteChange(route, added, time.time()))

    def _is_present(self, route: str) -> bool:
        return route in self._fleet.added_routes

    async def _watch(self, gateway: _gateways.Member) -> None:
        while True:
            for change in self.changes[-PROBED_CHANGES:]:
                await self._probe(gateway, change.route)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, gateway: _gateways.Member, route: str) -> None:
        process, sent_s = gateway.process.pid, time.time()
        status = await ask(self._fleet, gateway, route)
        self.probes.append(Probe(gateway.name, process, route, sent_s, status))


async def ask(
    fleet: _gateways.Fleet,
    gateway: _gateways.Member,
    route: str,
    request_id: str = "",
) -> int:
    """Return the status of a request on a route of a gateway."""
    host = f"{gateway.address}:{_gateway_settings.CALLERS_PORT}"
    url = f"http://{host}/{route}/1"
    headers = {
        "Host": _gateway_configuration.HOST_HEADER,
        "Request-Id": request_id
        or f"probe-{gateway.name}-{time.monotonic_ns()}",
        "Deadline-Ms": str(int(PROBE_TIMEOUT_S * 1000)),
    }
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    try:
        async with fleet.session.get(
            url, headers=headers, timeout=timeout
        ) as answer:
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, TimeoutError):
        return NO_RESPONSE


@attrs.frozen
class Limits:
    """What is judged of answers on routes that were changed."""

    #: Time within which a change has to be in force, in seconds.
    apply_limit_s: float
    #: Time after a disturbance of a gateway in which it need not be.
    settle_s: float
    #: Answers that have to show which version is in force, so that the check
    #: does not hold for want of answers.
    least_answers: int = 0


def outdated_answers(
    changes: collections.abc.Sequence[RouteChange],
    probes: collections.abc.Sequence[Probe],
    disturbances: collections.abc.Sequence[_gateway_records.Disturbance],
    limits: Limits,
) -> list[str]:
    """Return a sentence for each answer that only an older version allows.

    Those of a gateway that is or was just disturbed don't count.
    """
    problems = []
    answers = 0
    for change in changes:
        outdated = NOT_FOUND if change.added else SERVED
        for probe in _judged(change, changes, probes, disturbances, limits):
            answers += 1
            if probe.status == outdated:
                late_s = probe.sent_s - change.acknowledged_s
                problems.append(
                    f"{probe.gateway} answered {probe.status} on "
                    f"{probe.route} {late_s:.2f} s after its change"
                )
    if answers < limits.least_answers:
        problems.append(f"only {answers} answers show what is in force")
    return problems


def _judged(
    change: RouteChange,
    changes: collections.abc.Sequence[RouteChange],
    probes: collections.abc.Sequence[Probe],
    disturbances: collections.abc.Sequence[_gateway_records.Disturbance],
    limits: Limits,
) -> collections.abc.Iterator[Probe]:
    """Yield the probes that show whether a change is in force in time."""
    first_s = change.acknowledged_s + limits.apply_limit_s
    end_s = _next_change_s(change, changes)
    for probe in probes:
        if (
            probe.route == change.route
            and first_s < probe.sent_s < end_s
            and probe.status in (SERVED, NOT_FOUND)
            and not _disturbed(probe, disturbances, limits.settle_s)
        ):
            yield probe


def _next_change_s(
    change: RouteChange, changes: collections.abc.Sequence[RouteChange]
) -> float:
    """Return when the same route was changed again."""
    later = [
        each.acknowledged_s
        for each in changes
        if each.route == change.route
        and each.acknowledged_s > change.acknowledged_s
    ]
    return min(later, default=float("inf"))


def _disturbed(
    probe: Probe,
    disturbances: collections.abc.Sequence[_gateway_records.Disturbance],
    settle_s: float,
) -> bool:
    return any(
        each.member == probe.gateway
        and each.began_s <= probe.sent_s < each.ended_s + settle_s
        for each in disturbances
    )
