"""HTTP helpers that all stand-ins share."""

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

Body = typing.TypeVar("Body")
Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]

#: Largest request body, in bytes.
MAX_BODY_BYTES = 16_000_000
#: Largest number of header fields of a request. Callers may send as many as
#: fit into a head.
MAX_HEADERS = 20_000


@attrs.frozen
class EmptyBody:
    """A response body without fields."""


async def read_body(request: web.Request, body_type: type[Body]) -> Body:
    """Return the JSON body decoded as ``body_type``."""
    return msgspec.json.decode(await request.read(), type=body_type)


def json_response(
    value: object, status: int = 200, retry_after_s: float | None = None
) -> web.Response:
    """Return a response with a JSON body."""
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
    """Abort the connection without a response."""
    if request.transport is not None:
        request.transport.abort()


def exit_immediately() -> None:
    """Exit the process without cleanup, to simulate a crash."""
    os._exit(1)


def journal_route(journal: _journal.Journal) -> web.RouteDef:
    """Return the route that serves all events of the journal."""

    async def serve_journal(request: web.Request) -> web.Response:
        return web.Response(
            body=journal.dump(), content_type="application/json"
        )

    return web.get("/record", serve_journal)


async def _serve(app: web.Application, address: str, port: int) -> None:
    runner = web.AppRunner(app, access_log=None, max_headers=MAX_HEADERS)
    await runner.setup()
    await web.TCPSite(runner, address, port, shutdown_timeout=0.1).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def run(app: web.Application, address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    uvloop.run(_serve(app, address, port))
