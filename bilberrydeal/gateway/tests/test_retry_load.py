"""Retries of several gateways while engines crash all the time."""

import asyncio
import itertools
import random

import attrs
import pytest

from ... import catalogue
from ... import ports
from ...store.tests import virtual
from . import crashing_engines

#: How long requests come in, in seconds.
LENGTH_S = 24.0
#: Delay before a caller whose request was refused sends it again, in seconds.
CALLER_RETRY_S = 0.2
#: Time from the start of an engine until gateways know it, in seconds.
JOIN_S = 0.3


@attrs.frozen
class Load:
    """One load: how engines crash and gateways are restarted."""

    #: Longest time that an engine runs before it crashes, in seconds.
    up_s: float
    #: Time until the next one starts, in seconds.
    down_s: float
    #: When a gateway process is killed and another one started.
    restarts_s: tuple[float, ...] = ()
    decode_engines: int = 3
    #: Requests of all callers, in requests per second.
    requests_per_s: float = 85.0


class _Play:
    """Plays a load with four gateways."""

    def __init__(
        self, load: Load, seed: int, loop: virtual.VirtualLoop
    ) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._loop = loop
        self._ids = itertools.count(1)
        self.traffic = crashing_engines.Traffic()
        self.engines: list[crashing_engines.Engine] = []
        self.gateways = [self._gateway() for _ in range(4)]

    def _gateway(self) -> crashing_engines.GatewayProcess:
        gateway = crashing_engines.GatewayProcess(self._loop.time)
        gateway.cluster.set_gateways("g1", ["g2", "g3", "g4"])
        for engine in self.engines:
            gateway.add(engine)
        return gateway

    def _engine(self, role: str) -> crashing_engines.Engine:
        engine = crashing_engines.Engine(
            catalogue.Endpoint(
                endpoint_id=f"{role}{next(self._ids)}",
                service=crashing_engines.SERVICE,
                host="127.0.0.1",
                port=1,
                failure_domain="d1",
                ready=True,
                role=ports.EngineRole(role),
                slots=64,
                started_ms=1,
            ),
            self.traffic,
        )
        self.engines.append(engine)
        for gateway in self.gateways:
            gateway.add(engine)
        return engine

    async def run(self) -> None:
        """Play the load to its end."""
        for _ in range(2):
            self._engine("prefill")
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(self._crash_again_and_again())
                for _ in range(self._load.decode_engines)
            ]
            background += [
                tasks.create_task(self._restart(number, at_s))
                for number, at_s in enumerate(self._load.restarts_s)
            ]
            await self._send_all(tasks)
            for task in background:
                task.cancel()

    async def _crash_again_and_again(self) -> None:
        while True:
            engine = self._engine("decode")
            up_s = self._random.uniform(0.2, 1.0) * self._load.up_s
            await asyncio.sleep(up_s)
            engine.crashed.set()
            self._loop.call_later(
                crashing_engines.LEASE_S, self._forget, engine
            )
            await asyncio.sleep(self._load.down_s + JOIN_S)

    def _forget(self, engine: crashing_engines.Engine) -> None:
        self.engines.remove(engine)
        for gateway in self.gateways:
            gateway.cluster.remove_endpoint(
                engine.endpoint.endpoint_id, "lease expired"
            )

    async def _restart(self, number: int, at_s: float) -> None:
        await asyncio.sleep(at_s)
        self.gateways[number % 4].kill()
        self.gateways[number % 4] = self._gateway()

    async def _send_all(self, tasks: asyncio.TaskGroup) -> None:
        end_s = self._loop.time() + LENGTH_S
        while self._loop.time() < end_s:
            tasks.create_task(self._call())
            await asyncio.sleep(
                self._random.expovariate(self._load.requests_per_s)
            )

    async def _call(self) -> None:
        """Send a request, and once more if it is refused."""
        gateway = self._random.randrange(4)
        for _ in range(2):
            request_id = b"r%d" % next(self._ids)
            self.traffic.requests.append(self._loop.time())
            task = self.gateways[gateway].start(request_id)
            await asyncio.wait([task])
            status = 0 if task.cancelled() else task.result()
            self.traffic.statuses[status] += 1
            if status != 503:
                return
            await asyncio.sleep(CALLER_RETRY_S)


LOADS = {
    "engines_crash": Load(up_s=1.5, down_s=2.0),
    "engines_crash_together": Load(up_s=1.0, down_s=4.0),
    "gateways_restart": Load(
        up_s=1.5,
        down_s=2.0,
        restarts_s=(12.0, 12.1, 14.0, 14.1, 20.0, 20.1),
    ),
    "few_requests": Load(
        up_s=1.0,
        down_s=2.0,
        decode_engines=6,
        requests_per_s=10.0,
        restarts_s=(12.0, 13.0, 14.0, 15.0, 16.0, 17.0, 18.0, 19.0),
    ),
}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_repeats_stay_within_the_allowance_of_all_gateways(
    load: Load, seed: int
) -> None:
    loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    play = _Play(load, seed, loop)
    loop.run(play.run())
    loop.close()
    assert play.traffic.statuses[200] > 0
    assert play.traffic.excess() <= 0.0
