"""Measures the cost of the libraries alone for one streamed token.

Run as ``python -m bench._floor COMMAND ...`` in a separate process, which
prints the processor time of one token in microseconds when it ends.
"""

import asyncio
import time
import typing

import aiohttp
import cyclopts
import pynng
import sanic
import uvloop

from bilberrydeal import link
from bilberrydeal.link.tests import freeports
from bilberrydeal.link.tests import harness

from . import path_cost

#: Messages in one frame; 16 streams at 4 ms steps produce as many.
FRAME_MESSAGES = 16
#: One event as a caller receives it.
EVENT = (
    b'data: {"id":"cmpl-1","object":"text_completion","created":1,'
    b'"model":"m","choices":[{"index":0,"text":"token ",'
    b'"finish_reason":null}],"usage":null}\n\n'
)

app = cyclopts.App()


def print_token_cost(start_s: float, tokens: int) -> None:
    """Print the processor time of one token since ``start_s``."""
    cpu_s = time.process_time() - start_s
    print(cpu_s * path_cost.US_PER_S / max(1, tokens), flush=True)


@app.command
def parse(url: str, streams: int, tokens: int) -> None:
    """Read the streams of an engine, as an agent does."""

    async def run() -> None:
        body: dict[str, object] = {
            "model": "m",
            "max_tokens": tokens,
            "stream": True,
        }
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            start_s = time.process_time()
            results = await asyncio.gather(
                *(
                    path_cost.read_stream(
                        session, url, body | {"prompt": f"p{number}"}
                    )
                    for number in range(streams)
                )
            )
            print_token_cost(start_s, sum(stream.events for stream in results))

    uvloop.run(run())


@app.command
def send(port: int, streams: int, tokens: int, step_s: float) -> None:
    """Serve streams of events, as an entry does."""
    server: typing.Any = sanic.Sanic("floor", configure_logging=False)
    finished_streams = 0

    @server.post("/")  # type: ignore[untyped-decorator]
    async def serve(request: sanic.Request) -> None:
        nonlocal finished_streams
        response: typing.Any = await request.respond(
            content_type="text/event-stream"
        )
        for _ in range(tokens):
            await response.send(EVENT)
            await asyncio.sleep(step_s)
        await response.eof()
        finished_streams += 1

    async def run() -> None:
        start_s = time.process_time()
        listener = await server.create_server(
            "127.0.0.1", port, return_asyncio_server=True
        )
        await listener.startup()
        await listener.start_serving()
        await harness.wait_until(lambda: finished_streams == streams)
        print_token_cost(start_s, streams * tokens)

    uvloop.run(run())


@app.command
def frames(count: int = 3_000) -> None:
    """Send full frames over a socket pair and decode them."""

    async def run() -> None:
        link.limit_threads()
        chunks = [
            link.Chunk(sequence=number, chunk=1, text="token ", tokens=1)
            for number in range(FRAME_MESSAGES)
        ]
        url = f"tcp://127.0.0.1:{freeports.allocate_ports()}"
        with (
            pynng.Pair0(listen=url, recv_timeout=10_000) as receiver,
            pynng.Pair0(dial=url, send_timeout=10_000) as sender,
        ):
            start_s = time.process_time()
            for _ in range(count):
                await sender.asend(link.encode_frame(chunks))
                link.decode_frame(await receiver.arecv())
            print_token_cost(start_s, count * FRAME_MESSAGES)

    uvloop.run(run())


if __name__ == "__main__":
    app()
