"""Measures the processor time of a streamed token on the link.

Run as ``python -m bench.link_cost``. An agent's end in a process of its own
streams tokens to an entry's end in this one, over loopback: each step adds
one token to every stream, as an engine that batches does.
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

#: Time between two steps of the stand-in for an engine.
STEP_S = 0.02
#: Streams at once, one row of the table each.
STREAMS = (1, 8, 64, 256)
US_PER_S = 1_000_000
#: Rounds of the codec alone.
CODEC_ROUNDS = 2_000

app = cyclopts.App()


@attrs.frozen
class Cost:
    """One row of the table."""

    #: Streams at once.
    streams: int
    #: Tokens that arrived.
    tokens: int
    #: Processor time of the agent's end for one token.
    agent_us: float
    #: Processor time of the entry's end for one token.
    entry_us: float

    def __str__(self) -> str:
        total_us = self.agent_us + self.entry_us
        return (
            f"{self.streams:8} {self.tokens:9} {self.agent_us:10.1f} "
            f"{self.entry_us:10.1f} {total_us:10.1f}"
        )


class Streamer(link.Executor):
    """Adds one token a step to all streams."""

    def __init__(self, steps: int) -> None:
        self._steps = steps
        self._executions: list[link.RequestExecution] = []

    def submit(self, execution: link.RequestExecution) -> None:
        """Begin a stream."""
        execution.start()
        self._executions.append(execution)

    def cancel(self, execution: link.RequestExecution) -> None:
        """Do nothing: no stream is cancelled here."""

    async def run(self, streams: int) -> float:
        """Stream and return the processor time that it took."""
        await harness.wait_until(lambda: len(self._executions) == streams)
        began_s = time.process_time()
        for _ in range(self._steps):
            for execution in self._executions:
                await execution.emit("token ", 1)
            await asyncio.sleep(STEP_S)
        for execution in self._executions:
            execution.finish(status=200, output_tokens=self._steps)
        await harness.wait_until(
            lambda: all(e.acknowledged for e in self._executions)
        )
        return time.process_time() - began_s


async def stream(streams: int, steps: int, ports: list[int]) -> None:
    """Be the agent's end; prints the processor time as JSON."""
    executor = Streamer(steps)
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
    """Be the entry's end and return what both took."""
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
            entry.submit(harness.make_submit(number + 1))
            for number in range(streams)
        ]
        began_s = time.process_time()
        answers = await asyncio.gather(*map(consume, calls))
        entry_s = time.process_time() - began_s
        output, _ = await agent.communicate()
    tokens = sum(answers)
    return Cost(
        streams=streams,
        tokens=tokens,
        agent_us=json.loads(output) * US_PER_S / tokens,
        entry_us=entry_s * US_PER_S / tokens,
    )


async def consume(call: link.Call) -> int:
    """Take a whole answer and return its tokens."""
    tokens = 0
    async for event in call.events():
        if isinstance(event, link.Chunk):
            tokens += event.tokens
    return tokens


def codec_us() -> float:
    """Return what encoding and decoding alone take for one token."""
    chunks = [
        link.Chunk(sequence=number, chunk=7, text="token ", tokens=1)
        for number in range(64)
    ]
    began_s = time.process_time()
    for _ in range(CODEC_ROUNDS):
        link.decode_frame(link.encode_frame(chunks))
    spent_s = time.process_time() - began_s
    return spent_s * US_PER_S / (CODEC_ROUNDS * len(chunks))


@app.command
def agent(streams: int, steps: int, control_port: int, first: int) -> None:
    """Run the agent's end."""
    uvloop.run(stream(streams, steps, [control_port, first]))


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
