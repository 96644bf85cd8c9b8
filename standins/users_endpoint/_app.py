"""One worker that speaks the users' protocol."""

import asyncio
import base64
import collections.abc
import contextlib
import hashlib
import random
import time

import aiohttp
from aiohttp import web
import attrs
import msgspec

from .. import _journal
from .. import _serve

#: Time that the work of a plain request takes, in seconds.
WORK_S = 0.02
#: Time between two events of a stream, in seconds.
EVENT_S = 0.01
#: Time between two announcements, in seconds.
BEAT_S = 0.25
#: Prompt tokens read a second.
READ_TOKENS_PER_S = 300_000.0


@attrs.frozen
class Execution:
    """A request that began to run."""

    request_id: str
    endpoint_id: str
    organisation: str
    key: str
    method: str
    path: str
    last_event: int
    at_s: float


@attrs.define
class Behaviour:
    """What goes wrong; set by tests."""

    #: Share of the requests that run and whose answer is lost.
    lose_share: float = 0.0
    #: Share of the requests that are turned away.
    full_share: float = 0.0
    #: Share of the streams that break off within an event.
    tear_share: float = 0.0
    #: Share of the requests that fail after they ran.
    fail_share: float = 0.0
    #: Share of the answers that come twice.
    twice_share: float = 0.0


def text_of(request_id: str, number: int) -> str:
    """Return what a request's event, or its plain answer (0), holds."""
    return hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()


@attrs.define
class App:
    """One worker."""

    endpoint_id: str
    #: Empty for a plain service, else ``prefill`` or ``decode``.
    stage: str
    journal: _journal.Journal
    behaviour: Behaviour = attrs.field(factory=Behaviour)
    handles: set[str] = attrs.field(factory=set)
    orders: int = 0
    changing: bool = False
    leaving: bool = False
    dice: random.Random = attrs.field(factory=lambda: random.Random(1))
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def report(self, _request: web.Request) -> web.StreamResponse:
        """Return the state of an engine."""
        return _serve.answer(
            {
                "stage": self.stage,
                "busy": self.changing,
                "sequence": self.orders,
            }
        )

    async def order(self, request: web.Request) -> web.StreamResponse:
        """Take an order to change the stage."""
        call = msgspec.json.decode(await request.read())
        if self.changing or call["expected"] != self.orders:
            return _serve.answer(_serve.Done(), 409)
        self.orders += 1
        self.changing = True
        task = asyncio.create_task(self._change(call["stage"]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return _serve.answer(_serve.Done(), 202)

    async def _change(self, stage: str) -> None:
        await asyncio.sleep(0.3)
        self.stage = stage
        self.changing = False

    async def free(self, request: web.Request) -> web.StreamResponse:
        """Free a handle."""
        self.handles.discard(request.match_info["handle"])
        return _serve.answer(_serve.Done())

    async def behave(self, request: web.Request) -> web.StreamResponse:
        """Set what goes wrong."""
        call = msgspec.json.decode(await request.read())
        self.leaving = call.pop("leaving", False)
        self.behaviour = Behaviour(**call)
        return _serve.answer(_serve.Done())

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer a forwarded request."""
        await request.read()
        request_id = request.headers.get("Request-Id", "")
        expected = request.headers.get("Expect-Instance", self.endpoint_id)
        if expected != self.endpoint_id:
            return self._not_run(request_id, 421)
        if self.changing or self._happens(self.behaviour.full_share):
            return self._not_run(request_id, 503)
        if request.headers.get("Serving-Stage") == "prefill":
            return await self._prefill(request, request_id)
        if not self.stage:
            return await self._plain(request, request_id)
        if self.stage == "prefill":
            return self._not_run(request_id, 421)
        return await self._stream(request, request_id)

    async def _prefill(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        if self.stage != "prefill":
            return self._not_run(request_id, 421)
        tokens = int(request.headers["Token-Usage"].split(",")[0])
        await asyncio.sleep(tokens / READ_TOKENS_PER_S)
        handle = f"{request_id}-{self.dice.getrandbits(32):x}"
        self.handles.add(handle)
        answer = _serve.answer({"kv_handle": handle, "tokens": tokens})
        answer.headers["Request-Id"] = request_id
        return answer

    async def _plain(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        self._note(request, 0)
        await asyncio.sleep(WORK_S)
        if self._happens(self.behaviour.lose_share):
            _serve.drop_connection(request)
        failed = self._happens(self.behaviour.fail_share)
        answer = web.Response(
            status=500 if failed else 200,
            text=text_of(request_id, 0),
            headers=self._signed(request_id),
        )
        if self._happens(self.behaviour.twice_share):
            await answer.prepare(request)
            await answer.write_eof()
            assert request.transport is not None
            body = text_of(request_id, 0)
            request.transport.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Server-Signature: again\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
        return answer

    async def _stream(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        last = int(request.headers.get("Last-Event-Id") or 0)
        total = int(request.headers["Token-Usage"].split(",")[1])
        self._note(request, last)
        response = web.StreamResponse(
            headers={
                **self._signed(request_id),
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        torn_at = total // 2 if self._happens(self.behaviour.tear_share) else 0
        for number in range(last + 1, total + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {text_of(request_id, number)}\n\n"
            if number == torn_at:
                await response.write(event[:9].encode())
                _serve.drop_connection(request)
                return response
            await response.write(event.encode())
        await response.write_eof()
        return response

    def _note(self, request: web.Request, last_event: int) -> None:
        headers = request.headers
        self.journal.append(
            Execution(
                request_id=headers.get("Request-Id", ""),
                endpoint_id=self.endpoint_id,
                organisation=headers.get("Tenant-Id", ""),
                key=headers.get("Key", ""),
                method=request.method,
                path=request.path,
                last_event=last_event,
                at_s=time.time(),
            )
        )

    def _signed(self, request_id: str) -> dict[str, str]:
        return {
            "Request-Id": request_id,
            "Server-Signature": f"s.{self.endpoint_id}",
        }

    def _not_run(self, request_id: str, status: int) -> web.Response:
        return web.Response(
            status=status,
            headers={"Request-Id": request_id, "Not-Executed": "1"},
        )

    def _happens(self, share: float) -> bool:
        return self.dice.random() < share


@attrs.frozen
class Place:
    """What a worker announces of itself, and where."""

    service: str
    address: str
    port: int
    failure_domain: str
    #: Base URL of the stand-in store.
    store_url: str


async def announce(worker: App, place: Place, started_ms: int) -> None:
    """Write the worker's row again and again."""
    async with aiohttp.ClientSession() as session:
        while True:
            row: dict[str, object] = {
                "service": place.service,
                "address": f"{place.address}:{place.port}",
                "zone": place.failure_domain,
                "slots": 16,
                "state": "draining" if worker.leaving else "ready",
                "born": started_ms,
            }
            if worker.stage:
                row["stage"] = worker.stage
            value = base64.b64encode(msgspec.json.encode(row)).decode()
            with contextlib.suppress(aiohttp.ClientError, OSError):
                await session.post(
                    f"{place.store_url}/standin/put",
                    json={
                        "table": "servers",
                        "key": worker.endpoint_id,
                        "value": value,
                    },
                )
            await asyncio.sleep(BEAT_S)


def build(worker: App, place: Place) -> web.Application:
    """Return the application of a worker."""

    async def announcing(
        _app: web.Application,
    ) -> collections.abc.AsyncIterator[None]:
        started_ms = int(time.time() * 1000)
        task = asyncio.create_task(announce(worker, place, started_ms))
        yield
        task.cancel()

    app = web.Application(client_max_size=_serve.BODY_LIMIT_BYTES)
    app.cleanup_ctx.append(announcing)
    app.add_routes(
        [
            web.get("/bilberrydeal/report", worker.report),
            web.post("/bilberrydeal/order", worker.order),
            web.delete("/bilberrydeal/kv-handle/{handle}", worker.free),
            web.post("/standin/behave", worker.behave),
            web.route("*", "/{rest:.*}", worker.serve),
        ]
    )
    return app
