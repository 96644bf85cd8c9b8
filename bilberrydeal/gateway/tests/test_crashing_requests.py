"""A request that crashes each endpoint that runs it and comes again."""

import asyncio

import attrs
import pytest

from ...store.tests import virtual
from .. import core
from . import configurations
from . import crashing_engines
from . import harness
from . import scripted
from . import virtual_fleet

#: Crashes by which a request has to be known, the time until then, in
#: seconds, and how often it may be sent afterwards.
KNOWN_AFTER_CRASHES = 3
KNOWN_WITHIN_S = 3.0
SENT_AFTERWARDS = 3
#: Time from a crash until the endpoint is back as another process.
BACK_S = 2.0
#: The same for one that starts under its id, and the time from then until
#: its registration is known.
SAME_ID_BACK_S = 1.0
REGISTERED_S = 0.8
LENGTH_S = 40.0
BAD_BODY = b"bad"


@attrs.frozen
class Load:
    """A fleet, and a caller that sends a crashing request again and again."""

    gateways: int
    #: Roles of the endpoints, empty for plain ones.
    roles: tuple[str, ...]
    route: str
    #: Longest time between two attempts of the crashing request.
    interval_s: float
    restarts_s: tuple[float, ...] = ()
    #: Whether an endpoint that starts again has the id that it had.
    same_id: bool = False
    #: Sound requests of all callers, in requests per second.
    requests_per_s: float = 25.0
    #: Time from the start of a run until it crashes its endpoint, in seconds.
    crash_s: float = crashing_engines.CRASH_S
    #: Time of the play from which on it crashes endpoints.
    crashes_from_s: float = 0.0
    #: Time after which the caller of the crashing request leaves, in seconds;
    #: ``None`` for one who waits.
    leaves_after_s: float | None = None


_PLAIN = ("", "", "", "")
_DECODE = ("decode", "decode", "decode", "decode")
_STAGES = ("prefill", "decode", "prefill", "decode", "decode")
LOADS = {
    "plain_one_gateway": Load(1, _PLAIN, "read", 2.0),
    "plain": Load(4, _PLAIN, "read", 2.0),
    "plain_once": Load(4, _PLAIN, "once", 1.0),
    "plain_often": Load(4, _PLAIN, "read", 0.2),
    "plain_seldom": Load(4, _PLAIN, "once", 5.0),
    "plain_once_sound": Load(4, _PLAIN, "read", 0.8, crashes_from_s=10.0),
    "plain_once_sound_often": Load(
        4, _PLAIN, "once", 0.3, crashes_from_s=10.0
    ),
    "stream_once_sound": Load(4, _DECODE, "chat", 0.8, crashes_from_s=10.0),
    "sound_31_gateways": Load(31, _PLAIN, "read", 0.4, crashes_from_s=10.0),
    "plain_caller_leaves": Load(
        2, _PLAIN, "once", 1.0, crash_s=0.35, leaves_after_s=0.2
    ),
    "plain_caller_leaves_unloaded": Load(
        2,
        _PLAIN,
        "read",
        0.8,
        requests_per_s=2.0,
        crash_s=0.35,
        leaves_after_s=0.2,
    ),
    "stream_caller_leaves": Load(
        4, _DECODE, "chat", 1.0, crash_s=0.6, leaves_after_s=0.4
    ),
    "plain_31_gateways": Load(31, _PLAIN, "read", 1.0),
    "stream_one_gateway": Load(1, _DECODE, "chat", 2.0),
    "stream": Load(4, _DECODE, "chat", 1.0),
    "stream_once": Load(4, _DECODE, "chat-once", 1.0),
    "stream_midway": Load(4, _DECODE, "chat", 1.0, crash_s=1.5),
    "stream_midway_once": Load(4, _DECODE, "chat-once", 2.0, crash_s=1.0),
    "stream_stages": Load(4, _STAGES, "chat", 1.0),
    "stream_31_gateways": Load(31, _DECODE, "chat", 0.5),
    "plain_same_id": Load(4, _PLAIN, "once", 3.0, same_id=True),
    "stream_same_id": Load(4, _DECODE, "chat-once", 3.0, same_id=True),
    "beside_restarts": Load(
        4, _PLAIN, "read", 0.5, restarts_s=(8.0, 9.0, 15.0, 15.1, 22.0, 30.0)
    ),
}


class _Play(virtual_fleet.VirtualFleet):
    """Plays a load."""

    def __init__(
        self, load: Load, seed: int, loop: virtual.VirtualLoop
    ) -> None:
        super().__init__(seed, loop, load.gateways, "crash_counts")
        self._load = load
        self.crashes_s: list[float] = []
        self.bad_statuses: list[int] = []

    async def run(self) -> None:
        """Play the load to its end."""
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(self._keep(number, role))
                for number, role in enumerate(self._load.roles)
            ]
            background += [
                tasks.create_task(self.restart_gateway(number, at_s))
                for number, at_s in enumerate(self._load.restarts_s)
            ]
            background.append(tasks.create_task(self._send_bad()))
            await self._send_sound(tasks)
            for task in [*background, *self.exchanges.values()]:
                task.cancel()

    async def _keep(self, number: int, role: str) -> None:
        """Start an endpoint again whenever it has crashed."""
        endpoint = self._start(number, role)
        while True:
            await endpoint.crashed.wait()
            self.crashes_s.append(self.loop.time())
            if self._load.same_id:
                await self._restart_endpoint(endpoint)
                continue
            await asyncio.sleep(BACK_S)
            self.endpoints.remove(endpoint)
            for gateway in self.gateways:
                gateway.cluster.remove_endpoint(
                    endpoint.endpoint.endpoint_id, "lease expired"
                )
            endpoint = self._start(number, role)

    def _start(self, number: int, role: str) -> crashing_engines.Engine:
        endpoint = self.add_endpoint(
            role, f"d{number}", crashing_body=BAD_BODY
        )
        endpoint.crash_s = self._load.crash_s
        endpoint.crashes_from_s = self.began_s + self._load.crashes_from_s
        return endpoint

    async def _restart_endpoint(
        self, endpoint: crashing_engines.Engine
    ) -> None:
        """Start an endpoint under its id; gateways learn of it later."""
        await asyncio.sleep(SAME_ID_BACK_S)
        endpoint.crashed.clear()
        await asyncio.sleep(REGISTERED_S)
        before = endpoint.endpoint
        endpoint.endpoint = attrs.evolve(
            before, started_ms=before.started_ms + 1
        )
        for gateway in self.gateways:
            gateway.add(endpoint)

    async def _send_bad(self) -> None:
        """Send the crashing request again and again, at any gateway."""
        while True:
            await asyncio.sleep(
                self.random.uniform(0.2, 1.0) * self._load.interval_s
            )
            gateway = self.random.choice(self.gateways)
            task = gateway.start(
                b"bad%d" % next(self.ids), self._load.route, BAD_BODY
            )
            await asyncio.wait([task], timeout=self._load.leaves_after_s)
            task.cancel()
            await asyncio.wait([task])
            if not task.cancelled():
                self.bad_statuses.append(task.result())

    async def _send_sound(self, tasks: asyncio.TaskGroup) -> None:
        """Send sound requests, some of them alike."""
        end_s = self.loop.time() + LENGTH_S
        while self.loop.time() < end_s:
            gateway = self.random.choice(self.gateways)
            request_id = b"r%d" % next(self.ids)
            body = self.random.choice([request_id, b"same"])
            tasks.create_task(self._send(gateway, request_id, body))
            await asyncio.sleep(
                self.random.expovariate(self._load.requests_per_s)
            )

    async def _send(
        self,
        gateway: crashing_engines.GatewayProcess,
        request_id: bytes,
        body: bytes,
    ) -> None:
        status = await self.call(gateway, request_id, self._load.route, body)
        if status is not None:
            self.traffic.statuses[status] += 1

    def sent_after_it_is_known(self) -> int:
        """Return how often the request was run once it had to be known."""
        if len(self.crashes_s) < KNOWN_AFTER_CRASHES:
            return 0
        known_s = self.crashes_s[KNOWN_AFTER_CRASHES - 1] + KNOWN_WITHIN_S
        return sum(
            arrival.at_s > known_s and not arrival.prefill
            for arrival in self.traffic.arrivals
            if arrival.request_id.startswith(b"bad")
        )


def _played(load: Load, seed: int) -> _Play:
    return virtual_fleet.played(lambda loop: _Play(load, seed, loop))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_request_that_crashed_three_endpoints_is_kept_from_others(
    load: Load, seed: int
) -> None:
    play = _played(load, seed)
    assert len(play.crashes_s) >= KNOWN_AFTER_CRASHES
    assert play.sent_after_it_is_known() <= SENT_AFTERWARDS


@pytest.mark.parametrize("name", ["plain", "stream", "beside_restarts"])
def test_sound_requests_are_served_beside_one_that_crashes_endpoints(
    name: str,
) -> None:
    play = _played(LOADS[name], 3)
    statuses = play.traffic.statuses
    assert statuses[200] >= 0.8 * statuses.total()


def test_request_that_crashes_endpoints_is_refused_as_not_run() -> None:
    play = _played(LOADS["plain"], 4)
    assert play.bad_statuses[-1] == 503


async def test_response_of_an_endpoint_is_kept_where_no_other_may_run_it() -> (
    None
):
    """The request becomes suspected while its first endpoint fails it."""

    async def fail(call: scripted.Call) -> bytes:
        for number in range(KNOWN_AFTER_CRASHES):
            running.quarantine.endpoint_lost(
                attrs.evolve(
                    running.cluster.endpoints["e1"],
                    endpoint=attrs.evolve(
                        configurations.registration(first),
                        endpoint_id=f"x{number}",
                    ),
                ),
                lost[0],
                started=False,
                sent_s=0.0,
                first_s=None,
            )
        return scripted.signed_response(call, 500, b"failed")

    lost: list[core.AdmittedRequest] = []
    first, second = (scripted.plain(f"e{n}", fail) for n in (1, 2))
    async with harness.running(first, second) as running:
        check = running.quarantine.check

        def remember(
            admitted: core.AdmittedRequest, progress: core.RequestProgress
        ) -> None:
            lost.append(admitted)
            check(admitted, progress)

        running.quarantine.check = remember  # type: ignore[method-assign]
        reply = await running.send("/read/1")
    assert (reply.status, reply.body) == (500, b"failed")
    assert len(first.calls) + len(second.calls) == 1
