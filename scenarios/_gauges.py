"""Reads gauges of gateways again and again."""

import asyncio
import collections.abc
import time

import aiohttp
import attrs

from . import _gateway_settings
from . import _gateways

#: Pause between two readings of a gateway, in seconds.
PAUSE_S = 0.05
#: Longest time of a reading, in seconds.
READ_LIMIT_S = 2.0


@attrs.frozen
class Reading:
    """The gauges of a gateway at a time."""

    gateway: str
    at_s: float
    values: collections.abc.Mapping[str, float]


class GaugeWatch:
    """Reads the gauges of all gateways of a fleet.

    Example::

        async with GaugeWatch(fleet) as watch:
            ...
        watch.readings
    """

    def __init__(self, fleet: _gateways.Fleet) -> None:
        self.readings: list[Reading] = []
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "GaugeWatch":
        self._tasks = [
            asyncio.create_task(self._watch(each))
            for each in self._fleet.gateways
        ]
        return self

    async def __aexit__(self, *_error: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch(self, gateway: _gateways.Member) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                self.readings.append(await read(session, gateway))
                await asyncio.sleep(PAUSE_S)


async def read(
    session: aiohttp.ClientSession, gateway: _gateways.Member
) -> Reading:
    """Return the gauges that a gateway tells now."""
    limit = aiohttp.ClientTimeout(total=READ_LIMIT_S)
    url = f"http://{gateway.address}:{_gateway_settings.METRICS_PORT}/"
    async with session.get(url, timeout=limit) as response:
        text = await response.text()
    return Reading(gateway.name, time.time(), _gauges(text))


def _gauges(text: str) -> dict[str, float]:
    """Return the metrics without labels by name."""
    pairs = (line.rpartition(" ") for line in text.splitlines())
    return {
        name: float(value)
        for name, _, value in pairs
        if name and not name.startswith("#") and "{" not in name
    }
