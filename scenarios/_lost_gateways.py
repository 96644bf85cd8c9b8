"""Kills gateways while they carry streams that callers then take up."""

import asyncio
import itertools
import math
import random
import time

import attrs

from . import _gateway_load
from . import _gateways
from . import _streams
from . import _waits


@attrs.frozen
class Counts:
    """What became of streams taken up and of new ones beside them."""

    #: Streams that were broken off and taken up.
    broken: int
    #: How many of them had gone on after each try.
    went_on: tuple[int, ...]
    #: New streams at the moment of the first try, and how many began.
    new: int
    began: int
    #: Ids of streams with events missing, repeated or of two versions.
    joined: tuple[str, ...]
    #: Streams begun before, and how long that took, in seconds.
    earlier: int = 0
    earlier_s: float = 0.0

    @property
    def is_lost(self) -> bool:
        """Return whether under half as many went on as new ones began.

        This counts the first try only, and shares rather than numbers.
        """
        return self.went_on[0] / self.broken < 0.5 * self.began / self.new

    def __str__(self) -> str:
        tries = ", ".join(str(each) for each in self.went_on)
        return (
            f"{self.earlier} earlier streams in {self.earlier_s:.1f} s; of "
            f"{self.broken} streams taken up, went on by try: {tries}; "
            f"of {self.new} new ones began: {self.began}; "
            f"joined: {len(self.joined)}"
        )


@attrs.frozen
class Loss:
    """Gateways are killed while streams are in flight."""

    #: Fleet whose gateways are killed.
    size: _gateways.FleetSize
    #: Streams begun before.
    earlier: int = 0
    #: Streams in flight.
    streams: int = 24
    #: Time from the first events of half of them to the kill, in seconds.
    age_s: float = 1.5
    #: Share of the gateways that is killed. If not all are, the streams are
    #: theirs, and those that live go on without them.
    killed_share: float = 1.0
    #: Times that callers take a stream up, and the pause between, in seconds.
    tries: int = 1
    pause_s: float = 1.0


#: Streams that are begun at once until all versions are seen, and the events
#: of each.
PROBES = 24
PROBE_EVENTS = 4
#: Time for which gateways begin no streams at a new version, in seconds, and
#: somewhat more.
HELD_S = 3.0
#: Streams that are read at once while earlier ones are begun.
CONCURRENCY = 32


async def lose_gateways(
    fleet: _gateways.Fleet, loss: Loss, rng: random.Random
) -> Counts:
    """Kill gateways and take up the streams that they carried."""
    streams = _streams.Streams(fleet, rng)
    await _wait_for_versions(fleet, streams)
    began_s = time.monotonic()
    earlier = await streams.begin_all(loss.earlier, CONCURRENCY)
    earlier_s = time.monotonic() - began_s
    await _streams.slow_down(fleet)
    broken = await _break_off(fleet, loss, streams)
    new = [streams.new(_streams.SHORT_EVENTS) for _ in range(loss.streams)]
    beginning = asyncio.gather(*(n.begin(streams.gateway()) for n in new))
    went_on = [await _take_up(broken, streams)]
    began = sum(await beginning)
    for _ in range(loss.tries - 1):
        await asyncio.sleep(loss.pause_s)
        left = [each for each in broken if not each.is_whole]
        went_on.append(went_on[-1] + await _take_up(left, streams))
    return Counts(
        len(broken),
        tuple(went_on),
        len(new),
        began,
        _streams.joined_ids(streams),
        earlier,
        earlier_s,
    )


async def _wait_for_versions(
    fleet: _gateways.Fleet, streams: _streams.Streams
) -> None:
    """Wait until gateways begin streams, and have begun some at all versions.

    They do so at first and after the time for which they hold new ones.
    """
    decoding = [each for each in fleet.workers if "decode" in each.kind]
    versions = {each.version for each in decoding}

    async def served() -> bool:
        probes = [streams.new(PROBE_EVENTS) for _ in range(PROBES)]
        gateways = itertools.cycle(fleet.gateways)
        begun = await asyncio.gather(
            *(n.begin(g) for n, g in zip(probes, gateways, strict=False))
        )
        return all(begun) and {each.version for each in probes} == versions

    await _waits.eventually(served, "streams of all versions")
    await asyncio.sleep(HELD_S)
    await _waits.eventually(served, "streams of all versions once more")


async def _break_off(
    fleet: _gateways.Fleet, loss: Loss, streams: _streams.Streams
) -> list[_streams.Stream]:
    """Begin streams and kill their gateways; return those broken off."""
    killed = fleet.gateways[: round(loss.killed_share * len(fleet.gateways))]
    carried: list[list[_streams.Stream]] = [[] for _ in killed]
    for number in range(loss.streams):
        carried[number % len(killed)].append(streams.new(_streams.EVENTS))
    beginning = [
        asyncio.create_task(stream.begin(gateway))
        for gateway, its in zip(killed, carried, strict=True)
        for stream in its
    ]
    begun = [stream for its in carried for stream in its]
    if loss.killed_share < 1.0:
        await asyncio.gather(
            *(
                _kill_when_begun(gateway, its, loss.age_s)
                for gateway, its in zip(killed, carried, strict=True)
            )
        )
        await asyncio.gather(*beginning)
        await asyncio.sleep(_gateway_load.RESUMPTION_PAUSE_S)
    else:
        await _wait_for_half(begun)
        await asyncio.sleep(loss.age_s)
        await asyncio.gather(*(_kill(each) for each in killed))
        await asyncio.gather(*beginning)
        for gateway in killed:
            gateway.process.start()
        await asyncio.gather(*(fleet.wait_ready(each) for each in killed))
    return [each for each in begun if each.has_begun and not each.is_whole]


async def _wait_for_half(begun: list[_streams.Stream]) -> None:
    """Wait for the first events of half of some streams."""
    waiting = asyncio.as_completed([each.begun.wait() for each in begun])
    for _ in range(math.ceil(len(begun) / 2)):
        await next(waiting)


async def _kill_when_begun(
    gateway: _gateways.Member, carried: list[_streams.Stream], age_s: float
) -> None:
    await _wait_for_half(carried)
    await asyncio.sleep(age_s)
    await _kill(gateway)


async def _kill(gateway: _gateways.Member) -> None:
    # The wait for its end must not delay the end of others.
    await asyncio.to_thread(gateway.process.kill)


async def _take_up(
    broken: list[_streams.Stream], streams: _streams.Streams
) -> int:
    """Take streams up once; return how many became whole."""
    tries = (each.take_up(streams.gateway()) for each in broken)
    return sum(await asyncio.gather(*tries))
