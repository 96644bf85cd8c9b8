"""What the libraries alone take for one streamed token.

Run as ``python -m bench._floor KIND ...`` in a process of its own, which
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

#: Messages in one frame, as many as 16 streams at 4 ms steps give.
FRAME_MESSAGES = 16
#: One event as a caller gets it.
EVENT = (
    b'data: {"id":"cmpl-1","object":"text_completion","created":1,'
    b'"model":"m","choices":[{"index":0,"text":"token ",'
    b'"finish_reason":null}],"usage":null}\n\n'
)

app = cyclopts.App()


def report(began_s: float, tokens: int) -> None:
    """Print the processor time of one token since ``began_s``."""
    spent_s = time.process_time() - began_s
    print(spent_s * path_cost.US_PER_S / max(1, tokens), flush=True)


@app.command
def parse(url: str, streams: int, tokens: int) -> None:
    """Read streams of an engine, as an agent does."""

    async def run() -> None:
        body: dict[str, object] = {
            "model": "m",
            "max_tokens": tokens,
            "stream": True,
        }
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            began_s = time.process_time()
            read = await asyncio.gather(
                *(
                    path_cost.read_stream(
                        session, url, body | {"prompt": f"p{number}"}
                    )
                    for number in range(streams)
                )
            )
            report(began_s, sum(stream.events for stream in read))

    uvloop.run(run())


@app.command
def send(port: int, streams: int, tokens: int, step_s: float) -> None:
    """Send streams of events, as an entry does."""
    server: typing.Any = sanic.Sanic("floor", configure_logging=False)
    ended = 0

    @server.post("/")  # type: ignore[untyped-decorator]
    async def serve(request: sanic.Request) -> None:
        nonlocal ended
        answer: typing.Any = await request.respond(
            content_type="text/event-stream"
        )
        for _ in range(tokens):
            await answer.send(EVENT)
            await asyncio.sleep(step_s)
        await answer.eof()
        ended += 1

    async def run() -> None:
        began_s = time.process_time()
        listener = await server.create_server(
            "127.0.0.1", port, return_asyncio_server=True
        )
        await listener.startup()
        await listener.start_serving()
        await harness.wait_until(lambda: ended == streams)
        report(began_s, streams * tokens)

    uvloop.run(run())


@app.command
def frames(count: int = 3_000) -> None:
    """Send full frames over a pair of sockets and decode them."""

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
            began_s = time.process_time()
            for _ in range(count):
                await sender.asend(link.encode_frame(chunks))
                link.decode_frame(await receiver.arecv())
            report(began_s, count * FRAME_MESSAGES)

    uvloop.run(run())


if __name__ == "__main__":
    app()
