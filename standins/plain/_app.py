"""HTTP service that counts executions and returns a hash of its input."""

import asyncio
import collections
import hashlib
import time

from aiohttp import web
import attrs

from .. import _journal
from .. import _serve


@attrs.frozen
class Executed:
    """Journal event of one execution, recorded before the response."""

    request_id: str
    organisation: str
    method: str
    path: str
    body: str
    headers: dict[str, str]
    executed_s: float


@attrs.frozen
class Control:
    """Delays and faults to inject into the service."""

    #: Time between the execution and the response, in seconds.
    delay_s: float = 0.0
    #: Exit the process right after the next execution.
    crash_after_effect: bool = False


@attrs.frozen
class Receipt:
    """Response body of every call."""

    #: Hash of path and body.
    receipt: str
    #: Number of executions of this path and body, including this one.
    execution: int


def receipt(path: str, body: str, execution: int = 1) -> Receipt:
    """Return the expected response body of a call."""
    digest = hashlib.blake2b(f"{path} {body}".encode(), digest_size=8)
    return Receipt(digest.hexdigest(), execution)


class PlainApp:
    """HTTP handlers and state of the service."""

    def __init__(self, journal: _journal.Journal, control: Control) -> None:
        self._journal = journal
        self._control = control
        self._counts: collections.Counter[str] = collections.Counter()

    def routes(self) -> list[web.RouteDef]:
        """Return all routes; any other path is executed as a call."""
        return [
            web.post("/control", self._set_control),
            _serve.journal_route(self._journal),
            web.route("*", "/{path:.*}", self._execute),
        ]

    async def _set_control(self, request: web.Request) -> web.Response:
        self._control = await _serve.read_body(request, Control)
        return _serve.json_response(_serve.EmptyBody())

    async def _execute(self, request: web.Request) -> web.Response:
        body = await request.text()
        digest = receipt(request.path_qs, body).receipt
        self._counts[digest] += 1
        execution = self._counts[digest]
        self._journal.append(
            Executed(
                request_id=request.headers.get("X-Request-Id", ""),
                organisation=request.headers.get("X-Organisation", ""),
                method=request.method,
                path=request.path_qs,
                body=body,
                headers=dict(request.headers),
                executed_s=time.time(),
            )
        )
        if self._control.crash_after_effect:
            _serve.exit_immediately()
        await asyncio.sleep(self._control.delay_s)
        return _serve.json_response(receipt(request.path_qs, body, execution))


def build(journal: _journal.Journal, control: Control) -> web.Application:
    """Return the aiohttp application of the service."""
    app = web.Application(client_max_size=_serve.MAX_BODY_BYTES)
    app.add_routes(PlainApp(journal, control).routes())
    return app
