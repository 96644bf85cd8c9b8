"""Measures the whole path with real daemons, beside the libraries' floor."""

import asyncio
import collections.abc
import contextlib
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import aiohttp
import attrs
import psutil
import uvloop

from bilberrydeal.link.tests import freeports
from scenarios import _fleet
from scenarios import _places
from scenarios import _shape

from . import _experiments

#: Tokens of each stream.
TOKENS = 200
#: Time of one step of the engine stand-in.
STEP_S = 0.004
#: Requests one after the other that the latency is the median of.
PROBES = 60
SEEDS = (1, 2, 3)
#: Streams at once.
STREAMS = {"1 stream": 1, "16 streams": 16, "64 streams": 64}
MS_PER_S = 1_000
US_PER_S = 1_000_000
#: Longest time added to the median first token.
ADDED_MS = 2.0
#: Most processor time of the path over the libraries' floor.
FLOOR_RATIO = 2.0


@attrs.frozen
class Target:
    """Where streams are read from."""

    url: str
    headers: dict[str, str]


@attrs.frozen
class Stream:
    """What reading one stream showed."""

    first_s: float
    events: int


async def read_stream(
    session: aiohttp.ClientSession,
    url: str,
    body: dict[str, object],
    headers: dict[str, str] | None = None,
) -> Stream:
    """Read one stream of events line by line."""
    began_s = time.perf_counter()
    first_s = 0.0
    events = 0
    async with session.post(url, json=body, headers=headers) as answer:
        answer.raise_for_status()
        async for line in answer.content:
            if line.startswith(b"data: {"):
                first_s = first_s or time.perf_counter() - began_s
                events += 1
    return Stream(first_s, events)


async def read(
    session: aiohttp.ClientSession, target: Target, number: int, tokens: int
) -> Stream:
    """Read one stream of a model."""
    body: dict[str, object] = {
        "model": _shape.MODEL,
        "prompt": f"prompt {number}",
        "max_tokens": tokens,
        "stream": True,
    }
    return await read_stream(
        session, f"{target.url}/v1/completions", body, target.headers
    )


def spent_s(processes: collections.abc.Iterable[psutil.Process]) -> float:
    """Return the processor time of processes so far."""
    times = [process.cpu_times() for process in processes]
    return sum(one.user + one.system for one in times)


async def floor_us(engine_url: str, streams: int) -> float:
    """Return what the libraries take for one token, under the same load."""
    frames = await _floor_process("frames")
    parse = await _floor_process(
        "parse", f"{engine_url}/v1/completions", streams, TOKENS
    )
    port = freeports.allocate_ports()
    sending = asyncio.create_task(
        _floor_process("send", port, streams, TOKENS, STEP_S)
    )
    connector = aiohttp.TCPConnector(limit=0)
    url = f"http://127.0.0.1:{port}/"
    async with aiohttp.ClientSession(connector=connector) as session:
        await _listening(port)
        await asyncio.gather(
            *(read_stream(session, url, {}) for _ in range(streams))
        )
    return frames + parse + await sending


async def _listening(port: int) -> None:
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        await asyncio.sleep(0.05)


async def _floor_process(*arguments: object) -> float:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench._floor",
        *map(str, arguments),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return float(output)


async def measure(streams: int) -> tuple[_experiments.Figure, ...]:
    """Measure the path and the floor in one run."""
    shape = _shape.Shape(
        entries=1,
        engines=1,
        plains=0,
        step_s=STEP_S,
        running_limit=max(STREAMS.values()),
        proxied=False,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with _fleet.Fleet(shape, pathlib.Path(folder)) as fleet:
            return await _measured(fleet, streams)


async def _measured(
    fleet: _fleet.Fleet, streams: int
) -> tuple[_experiments.Figure, ...]:
    key = fleet.keys[_shape.ORGANISATIONS[0]].secret
    path = Target(fleet.url(0), {"Authorization": f"Bearer {key}"})
    address = fleet.places.address(fleet.engines[0].number)
    direct = Target(f"http://{address}:{_places.ENDPOINT_PORT}", {})
    entry = psutil.Process(fleet.entries[0].process.pid)
    agent = psutil.Process(fleet.engines[0].process.pid)
    figures: dict[str, float] = {}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for name, target in (("path", path), ("direct", direct)):
            firsts = [
                (await read(session, target, number, 2)).first_s
                for number in range(PROBES)
            ]
            figures[f"{name}_first_ms"] = statistics.median(firsts) * MS_PER_S
        before = spent_s([entry]), spent_s([agent])
        began_s = time.perf_counter()
        read_all = await asyncio.gather(
            *(read(session, path, number, TOKENS) for number in range(streams))
        )
        wall_s = time.perf_counter() - began_s
        after = spent_s([entry]), spent_s([agent])
    events = sum(stream.events for stream in read_all)
    figures["events_per_s"] = events / wall_s
    entry_us = (after[0] - before[0]) * US_PER_S / events
    agent_us = (after[1] - before[1]) * US_PER_S / events
    floor = await floor_us(direct.url, streams)
    figures |= {
        "added_first_ms": figures["path_first_ms"]
        - figures["direct_first_ms"],
        "entry_us": entry_us,
        "agent_us": agent_us,
        "floor_us": floor,
        "over_floor": (entry_us + agent_us) / floor,
        "events_per_entry_core_s": US_PER_S / entry_us,
    }
    return tuple(
        _experiments.Figure(name, value) for name, value in figures.items()
    )


@_experiments.EXPERIMENTS.register("path")
class PathCost:
    """Daemons on loopback against calling the engine directly."""

    title = "The whole path, processor time a streamed event"
    columns = (
        "direct_first_ms",
        "added_first_ms",
        "events_per_s",
        "entry_us",
        "agent_us",
        "floor_us",
        "over_floor",
        "events_per_entry_core_s",
    )
    targets = (
        _experiments.Target(
            "1 stream", "daemons", "added_first_ms", ADDED_MS, at_most=True
        ),
        _experiments.Target(
            "16 streams", "daemons", "over_floor", FLOOR_RATIO, at_most=True
        ),
        _experiments.Target(
            "64 streams", "daemons", "over_floor", FLOOR_RATIO, at_most=True
        ),
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all runs."""
        return tuple(
            _experiments.Case("path", "1 entry", load, "daemons", seed)
            for load in STREAMS
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Measure once."""
        return uvloop.run(measure(STREAMS[case.load]))

    def compare(
        self, measured: tuple[_experiments.Measured, ...]
    ) -> tuple[_experiments.Measured, ...]:
        """Compare nothing."""
        return measured


__all__ = ["PathCost"]
