"""Runs one stand-in as a process."""

import asyncio
import collections.abc
import os
import signal
import typing

from aiohttp import web
import attrs
import msgspec
import uvloop

from . import _journal

Shape = typing.TypeVar("Shape")
Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]

#: Largest request body, in bytes.
BODY_LIMIT_BYTES = 16_000_000


@attrs.frozen
class Done:
    """An empty answer."""


async def body(request: web.Request, shape: type[Shape]) -> Shape:
    """Return the JSON body as an instance of ``shape``."""
    return msgspec.json.decode(await request.read(), type=shape)


def answer(
    value: object, status: int = 200, retry_after_s: float | None = None
) -> web.Response:
    """Return a JSON answer."""
    headers = {}
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
        headers=headers,
    )


def drop_connection(request: web.Request) -> None:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


def crash() -> None:
    """End this process at once, as a fault."""
    os._exit(1)


def journal_route(journal: _journal.Journal) -> web.RouteDef:
    """Return the route that shows everything received."""

    async def show(request: web.Request) -> web.Response:
        return web.Response(
            body=journal.dump(), content_type="application/json"
        )

    return web.get("/record", show)


async def _serve(app: web.Application, address: str, port: int) -> None:
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address, port, shutdown_timeout=0.1).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


def run(app: web.Application, address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    uvloop.run(_serve(app, address, port))
