"""Measures the processor time of a streamed token on the link.

Run as ``python -m bench.link_cost``. The agent side, in a separate process,
streams tokens over loopback to the entry side in this process. Each step adds
one token to every stream, as a batching engine does.
"""

import asyncio
import json
import subprocess
import sys
import time

import attrs
import cyclopts
import uvloop

from bilberrydeal import link
from bilberrydeal import settings
from bilberrydeal.link.tests import freeports
from bilberrydeal.link.tests import harness

#: Interval between the steps of the stand-in engine, in seconds.
STEP_S = 0.02
#: Numbers of concurrent streams, one per row of the table.
STREAMS = (1, 8, 64, 256)
US_PER_S = 1_000_000
#: Rounds of the measurement of the codec alone.
CODEC_ROUNDS = 2_000

app = cyclopts.App()


@attrs.frozen
class Cost:
    """One row of the table."""

    #: Number of concurrent streams.
    streams: int
    #: Number of tokens received.
    tokens: int
    #: Processor time of the agent side for one token.
    agent_us: float
    #: Processor time of the entry side for one token.
    entry_us: float

    def __str__(self) -> str:
        total_us = self.agent_us + self.entry_us
        return (
            f"{self.streams:8} {self.tokens:9} {self.agent_us:10.1f} "
            f"{self.entry_us:10.1f} {total_us:10.1f}"
        )


class StreamingExecutor(link.Executor):
    """Adds one token to every stream at each step."""

    def __init__(self, steps: int) -> None:
        self._steps = steps
        self._running: list[link.RequestExecution] = []

    def submit(self, work: link.RequestExecution) -> None:
        """Start a stream."""
        work.start()
        self._running.append(work)

    def cancel(self, work: link.RequestExecution) -> None:
        """Do nothing, as no stream is cancelled in this measurement."""

    async def run(self, streams: int) -> float:
        """Run all streams and return the processor time used."""
        await harness.wait_until(lambda: len(self._running) == streams)
        start_s = time.process_time()
        for _ in range(self._steps):
            for work in self._running:
                await work.emit("token ", 1)
            await asyncio.sleep(STEP_S)
        for work in self._running:
            work.finish(status=200, output_tokens=self._steps)
        await harness.wait_until(
            lambda: all(work.acknowledged for work in self._running)
        )
        return time.process_time() - start_s


async def run_agent_side(streams: int, steps: int, ports: list[int]) -> None:
    """Run the agent side and print its processor time as JSON."""
    executor = StreamingExecutor(steps)
    server = link.LinkServer(
        "agent-1",
        harness.agent_settings(
            control_port=ports[0],
            link_ports_from=ports[1],
            link=settings.LinkSettings(),
        ),
        harness.AgentCallbacks(),
        executor,
        time.monotonic,
    )
    serving = asyncio.create_task(server.run())
    print(json.dumps(await executor.run(streams)), flush=True)
    server.close()
    await serving


async def measure(streams: int, steps: int) -> Cost:
    """Run the entry side and return the cost of both sides."""
    ports = [
        freeports.allocate_ports(),
        freeports.allocate_ports(harness.LINK_PORTS),
    ]
    agent = await asyncio.create_subprocess_exec(
        sys.executable,
        *["-m", "bench.link_cost", "agent"],
        *map(str, [streams, steps, *ports]),
        stdout=subprocess.PIPE,
    )
    async with harness.entry(
        ports[0], link_settings=settings.LinkSettings()
    ) as entry:
        calls = [
            entry.submit(harness.make_submit(index + 1))
            for index in range(streams)
        ]
        start_s = time.process_time()
        token_counts = await asyncio.gather(*map(consume, calls))
        entry_s = time.process_time() - start_s
        output, _ = await agent.communicate()
    tokens = sum(token_counts)
    return Cost(
        streams=streams,
        tokens=tokens,
        agent_us=json.loads(output) * US_PER_S / tokens,
        entry_us=entry_s * US_PER_S / tokens,
    )


async def consume(call: link.Call) -> int:
    """Read a whole answer and return its number of tokens."""
    tokens = 0
    async for event in call.events():
        if isinstance(event, link.Chunk):
            tokens += event.tokens
    return tokens


def codec_us() -> float:
    """Return the processor time of the codec alone for one token."""
    chunks = [
        link.Chunk(sequence=index, chunk=7, text="token ", tokens=1)
        for index in range(64)
    ]
    start_s = time.process_time()
    for _ in range(CODEC_ROUNDS):
        link.decode_frame(link.encode_frame(chunks))
    cpu_s = time.process_time() - start_s
    return cpu_s * US_PER_S / (CODEC_ROUNDS * len(chunks))


@app.command
def agent(streams: int, steps: int, control_port: int, first: int) -> None:
    """Run the agent side."""
    uvloop.run(run_agent_side(streams, steps, [control_port, first]))


@app.default
def main(duration_s: float = 5.0) -> None:
    """Print the table."""
    print(f"codec alone, 64 a frame: {codec_us():.1f} us a token")
    print(" streams    tokens   agent_us   entry_us   total_us")
    steps = round(duration_s / STEP_S)
    for streams in STREAMS:
        print(uvloop.run(measure(streams, steps)))


if __name__ == "__main__":
    app()
