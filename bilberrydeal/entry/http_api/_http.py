"""The HTTP server for callers and operators."""

import asyncio
import collections.abc
import math
import typing

import attrs
import sanic
from sanic import exceptions
from sanic import response

from ... import errors
from ... import settings
from ... import telemetry
from .. import core
from . import _responses

LOG = telemetry.logger("http")
JSON = "application/json"
EVENT_STREAM = "text/event-stream; charset=utf-8"
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")
#: Idle connections are closed after this time.
KEEP_ALIVE_S = 75
#: Interval between checks for open connections while the server closes.
CLOSE_POLL_S = 0.02
#: Sanic's response timeout exceeds the longest deadline by this time, so that
#: it never fires before a deadline.
RESPONSE_SLACK_S = 60
#: Chunks of a body after which other connections get their turn.
PARTS_PER_TURN = 64
#: Share of the limit below which the next refusal is logged again.
RELIEVED_SHARE = 0.5
#: ``Retry-After`` of a request that exceeds the memory for bodies, in seconds.
NO_ROOM_RETRY_S = 1.0

#: Serves one request; returns the response, or ``None`` if it streamed one.
Handler = collections.abc.Callable[
    [sanic.Request], collections.abc.Awaitable[response.HTTPResponse | None]
]

_SANIC_CODES = {
    400: errors.ErrorCode.BAD_REQUEST,
    404: errors.ErrorCode.UNKNOWN_ROUTE,
    405: errors.ErrorCode.METHOD_NOT_ALLOWED,
    408: errors.ErrorCode.BODY_TOO_SLOW,
    413: errors.ErrorCode.BODY_TOO_LARGE,
}


def new_app(name: str, http_settings: settings.HttpSettings) -> typing.Any:
    """Return a Sanic application that answers errors with ``ErrorBody``."""
    app: typing.Any = sanic.Sanic(name, configure_logging=False)
    app.config.update(
        {
            "ACCESS_LOG": False,
            "MOTD": False,
            "FALLBACK_ERROR_FORMAT": "json",
            "KEEP_ALIVE_TIMEOUT": KEEP_ALIVE_S,
            "REQUEST_MAX_SIZE": http_settings.body_limit_bytes,
            "REQUEST_TIMEOUT": math.ceil(http_settings.body_timeout_s),
            "RESPONSE_TIMEOUT": math.ceil(
                http_settings.longest_deadline_s + RESPONSE_SLACK_S
            ),
        }
    )
    app.ctx.bodies = BodyBudget(http_settings.bodies_limit_bytes)
    app.exception(Exception)(_on_exception)
    return app


def add_route(
    app: typing.Any,
    path: str,
    methods: collections.abc.Sequence[str],
    handler: Handler,
    body_timeout_s: float,
) -> None:
    """Serve a path; refusals that ``handler`` raises become responses."""

    async def serve(
        request: sanic.Request, **_matched: str
    ) -> response.HTTPResponse | None:
        request.ctx.body_bytes = 0
        try:
            await _receive_body(request, body_timeout_s)
            return await handler(request)
        except errors.Refusal as refusal:
            return refusal_response(request, refusal)
        finally:
            app.ctx.bodies.used_bytes -= request.ctx.body_bytes

    name = f"{'-'.join(methods)}{path}".replace("/", "_")
    app.add_route(
        serve,
        path,
        methods=list(methods),
        name="".join(c for c in name if c.isalnum() or c in "_-"),
        stream=True,
        unquote=False,
    )


async def _receive_body(request: sanic.Request, timeout_s: float) -> None:
    """Read the whole body within the time limit."""
    try:
        async with asyncio.timeout(timeout_s):
            await _collect_body(request)
    except TimeoutError as error:
        request_stream(request).keep_alive = False
        raise errors.Refusal(
            reason=errors.ErrorCode.BODY_TOO_SLOW,
            message="The request body did not arrive in time.",
            status=408,
        ) from error


async def _collect_body(request: typing.Any) -> None:
    """Read the body into one block; raises ``Refusal`` if there is no room.

    Sanic itself keeps one object for each chunk until the body is complete.
    """
    bodies: BodyBudget = request.app.ctx.bodies
    body = bytearray()
    parts = 0
    async for data in request.stream:
        body += data
        request.ctx.body_bytes += len(data)
        bodies.used_bytes += len(data)
        bodies.check(request)
        parts += 1
        if parts % PARTS_PER_TURN == 0:
            await asyncio.sleep(0)
    request.body = bytes(body)


@attrs.define
class BodyBudget:
    """Total size of the bodies that are received or served."""

    limit_bytes: int
    used_bytes: int = 0
    #: Whether bodies were refused since little was used; the first one is
    #: logged.
    refusing: bool = False

    def check(self, request: sanic.Request) -> None:
        """Raise ``Refusal`` if the limit is exceeded."""
        exceeded = self.used_bytes > self.limit_bytes
        if exceeded and not self.refusing:
            self.refusing = True
            LOG.warning("Bodies refused.", limit_bytes=self.limit_bytes)
        elif self.used_bytes < self.limit_bytes * RELIEVED_SHARE:
            self.refusing = False
        if exceeded:
            request_stream(request).keep_alive = False
            raise errors.Refusal(
                reason=errors.ErrorCode.OVERLOADED,
                message="Too many request bodies are being received.",
                status=503,
                retry_after_s=NO_ROOM_RETRY_S,
            )


async def close_server(server: typing.Any, timeout_s: float) -> None:
    """Close a server once the requests that it has accepted are answered.

    New connections are refused and idle ones closed at once. A caller that
    has sent a part of a request only, or reads nothing, is cut off after
    ``timeout_s``.
    """
    server.close()
    try:
        async with asyncio.timeout(timeout_s):
            while server.connections:
                for connection in list(server.connections):
                    connection.close_if_idle()
                await asyncio.sleep(CLOSE_POLL_S)
    except TimeoutError:
        LOG.warning("Callers cut off.", connections=len(server.connections))
        for connection in list(server.connections):
            connection.abort()


def request_stream(request: sanic.Request) -> typing.Any:
    """Return the connection of a request."""
    return request.stream


def caller_request(request: sanic.Request, now_s: float) -> core.CallerRequest:
    """Convert a Sanic request to a ``CallerRequest``."""
    query = request.query_string
    return core.CallerRequest(
        method=request.method,
        path=request.path,
        target=f"{request.path}?{query}" if query else request.path,
        headers=request.headers,
        body=request.body,
        received_at_s=now_s,
    )


def refusal_response(
    request: sanic.Request, refusal: errors.Refusal
) -> response.HTTPResponse:
    """Return the response for a refusal.

    A caller that reads "not run" may switch to a new idempotency key. With a
    key, it is therefore reported only if no request under that key ran.
    """
    keyed = core.IDEMPOTENCY_HEADER in request.headers
    if keyed and not refusal.covers_key:
        refusal.executed = errors.Executed.UNKNOWN
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    if refusal.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return response.HTTPResponse(
        _responses.error_body(refusal),
        status=refusal.status,
        headers=headers,
        content_type=JSON,
    )


def json_response(body: bytes, status: int = 200) -> response.HTTPResponse:
    """Return a response with a JSON body."""
    return response.HTTPResponse(body, status=status, content_type=JSON)


async def _on_exception(
    request: sanic.Request, error: Exception
) -> response.HTTPResponse:
    if isinstance(error, errors.Refusal):
        return refusal_response(request, error)
    if isinstance(error, exceptions.SanicException):
        status = error.status_code
        code = _SANIC_CODES.get(status, errors.ErrorCode.BAD_REQUEST)
        message = f"{type(error).__name__}: {error}"
        return refusal_response(
            request,
            errors.Refusal(reason=code, message=message, status=status),
        )
    LOG.error("Request handler failed.", path=request.path, exc_info=error)
    return refusal_response(
        request,
        errors.Refusal(
            reason=errors.ErrorCode.INTERNAL,
            message="Internal error; see the entry's log.",
            status=500,
            executed=errors.Executed.UNKNOWN,
        ),
    )
