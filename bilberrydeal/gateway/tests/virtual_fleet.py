"""A fleet on virtual time: gateways, scripted endpoints and callers."""

import asyncio
import collections.abc
import itertools
import random
import typing

from ... import catalogue
from ... import ports
from ...store.tests import virtual
from . import crashing_engines


class VirtualFleet:
    """Gateways that exchange datagrams, and the endpoints they know.

    Subclasses define ``run``, which plays a load to its end.
    """

    def __init__(
        self,
        seed: int,
        loop: virtual.VirtualLoop,
        gateways: int,
        quarantine_system: str = "never",
    ) -> None:
        self.random = random.Random(seed)
        self.loop = loop
        self.began_s = loop.time()
        self.ids = itertools.count(1)
        self._endpoint_numbers = itertools.count()
        self.traffic = crashing_engines.Traffic()
        self.endpoints: list[crashing_engines.Engine] = []
        #: Gateways that were started during the play.
        self.restarted: set[str] = set()
        #: The exchanges of the gateways by their names.
        self.exchanges: dict[str, asyncio.Task[None]] = {}
        self._network = crashing_engines.Network(seed)
        self._quarantine_system = quarantine_system
        self.gateways = [self._new_gateway() for _ in range(gateways)]
        self._announce()

    async def run(self) -> None:
        """Play the load."""
        raise NotImplementedError

    def add_endpoint(
        self, role: str, failure_domain: str = "d1", **fields: typing.Any
    ) -> crashing_engines.Engine:
        """Start an endpoint, an engine unless its role is empty."""
        endpoint = crashing_engines.Engine(
            catalogue.Endpoint(
                endpoint_id=f"e{next(self._endpoint_numbers)}",
                service=crashing_engines.SERVICE if role else "shop",
                host="127.0.0.1",
                port=1,
                failure_domain=failure_domain,
                ready=True,
                role=ports.EngineRole(role) if role else None,
                slots=64,
                started_ms=1,
            ),
            self.traffic,
            **fields,
        )
        self.endpoints.append(endpoint)
        for gateway in self.gateways:
            gateway.add(endpoint)
        return endpoint

    async def restart_gateway(self, number: int, at_s: float) -> None:
        """Kill a gateway at a time of the play and start another one."""
        await asyncio.sleep(at_s)
        number %= len(self.gateways)
        self.gateways[number].kill()
        self.exchanges.pop(self.gateways[number].name).cancel()
        self.gateways[number] = self._new_gateway()
        self.restarted.add(self.gateways[number].name)
        self._announce()

    async def call(
        self,
        gateway: crashing_engines.GatewayProcess,
        request_id: bytes,
        route: str,
        body: bytes = b"b",
    ) -> int | None:
        """Send a request; return its status, ``None`` if it was cut."""
        task = gateway.start(request_id, route, body)
        await asyncio.wait([task])
        return None if task.cancelled() else task.result()

    def _new_gateway(self) -> crashing_engines.GatewayProcess:
        gateway = crashing_engines.GatewayProcess(
            self.loop.time,
            f"g{next(self.ids)}",
            self._network,
            self._quarantine_system,
        )
        for endpoint in self.endpoints:
            gateway.add(endpoint)
        task = self.loop.create_task(gateway.run())
        self.exchanges[gateway.name] = task
        return gateway

    def _announce(self) -> None:
        """Let all gateways know each other."""
        names = [gateway.name for gateway in self.gateways]
        for gateway in self.gateways:
            gateway.join(names)


Fleet = typing.TypeVar("Fleet", bound=VirtualFleet)


def played(
    new_fleet: collections.abc.Callable[[virtual.VirtualLoop], Fleet],
) -> Fleet:
    """Return a fleet that has played its load."""
    loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    fleet = new_fleet(loop)
    loop.run(fleet.run())
    loop.close()
    return fleet
