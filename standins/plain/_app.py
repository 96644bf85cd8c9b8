"""A service that counts executions and answers from its input."""

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
    """One execution, recorded before its answer is sent."""

    request_id: str
    organisation: str
    method: str
    path: str
    body: str
    headers: dict[str, str]
    executed_s: float


@attrs.frozen
class Control:
    """How the service is to behave."""

    #: Time from the effect to the answer, in seconds.
    delay_s: float = 0.0
    #: Ends the process right after the next effect.
    crash_after_effect: bool = False


@attrs.frozen
class Receipt:
    """The answer to every call."""

    #: Hash of path and body.
    receipt: str
    #: How often this path and body were executed by then.
    execution: int


def receipt(path: str, body: str, execution: int = 1) -> Receipt:
    """Return the answer that a call gets."""
    digest = hashlib.blake2b(f"{path} {body}".encode(), digest_size=8)
    return Receipt(digest.hexdigest(), execution)


class PlainApp:
    """The service."""

    def __init__(self, journal: _journal.Journal, control: Control) -> None:
        self._journal = journal
        self._control = control
        self._counts: collections.Counter[str] = collections.Counter()

    def routes(self) -> list[web.RouteDef]:
        """Return all routes; each path but the control's is a call."""
        return [
            web.post("/control", self._set),
            _serve.journal_route(self._journal),
            web.route("*", "/{path:.*}", self._call),
        ]

    async def _set(self, request: web.Request) -> web.Response:
        self._control = await _serve.read_body(request, Control)
        return _serve.json_response(_serve.EmptyBody())

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.text()
        place = receipt(request.path_qs, body).receipt
        self._counts[place] += 1
        execution = self._counts[place]
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
    """Return the application."""
    app = web.Application(client_max_size=_serve.MAX_BODY_BYTES)
    app.add_routes(PlainApp(journal, control).routes())
    return app
