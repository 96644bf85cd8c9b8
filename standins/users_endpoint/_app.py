"""HTTP server of a fake worker that implements the users' protocol."""

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

#: Processing time of a plain request, in seconds.
PROCESSING_S = 0.02
#: Interval between two events of a stream, in seconds.
EVENT_INTERVAL_S = 0.01
#: Interval between two heartbeats to the store, in seconds.
HEARTBEAT_INTERVAL_S = 0.25
#: Prefill rate, in prompt tokens per second.
PREFILL_TOKENS_PER_S = 300_000.0
#: Begins the bodies of requests that crash the worker that runs them.
CRASHING_BODY = b"crash"
#: Time from the start of such a run to the crash, in seconds.
CRASH_S = 0.03
#: Path prefix of the calls that control the stand-in.
STANDIN_PATH = "/standin/"


@attrs.frozen
class Execution:
    """Journal event of a request that began to execute."""

    request_id: str
    endpoint_id: str
    organisation: str
    key: str
    method: str
    path: str
    last_event: int
    at_s: float


@attrs.frozen
class Arrival:
    """Journal event of a call that reached the worker, run or not."""

    #: Empty for a call that no caller's request needs, as an order.
    request_id: str
    endpoint_id: str
    at_s: float
    #: Limit that its response names, in requests a second.
    limit_per_s: float | None
    #: Whether its response says that the worker leaves.
    leaving: bool = False
    #: Time for which its response asks for no requests, in seconds.
    pause_s: float = 0.0


@attrs.define
class Behaviour:
    """Faults to inject; set by tests."""

    #: Share of the requests that execute without a response.
    lose_share: float = 0.0
    #: Share of the requests that are rejected with status 503.
    full_share: float = 0.0
    #: Share of the streams that are cut off within an event.
    tear_share: float = 0.0
    #: Share of the requests that fail after execution.
    fail_share: float = 0.0
    #: Share of the responses that are sent twice.
    twice_share: float = 0.0
    #: Interval between two events of a stream, in seconds.
    event_interval_s: float = EVENT_INTERVAL_S


def text_of(request_id: str, number: int) -> str:
    """Return the text of a stream event, or of a plain response (0)."""
    return hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()


def event_of(request_id: str, number: int, version: str) -> str:
    """Return an event of a stream; it names the version that wrote it."""
    mark = f" {version}" if version else ""
    return f"id: {number}\ndata: {text_of(request_id, number)}{mark}\n\n"


@attrs.define
class WorkerApp:
    """HTTP handlers and state of one worker."""

    endpoint_id: str
    #: Empty for a plain service, else ``prefill`` or ``decode``.
    stage: str
    journal: _journal.Journal
    #: Version of its software; empty to tell none.
    version: str = ""
    behaviour: Behaviour = attrs.field(factory=Behaviour)
    handles: set[str] = attrs.field(factory=set)
    orders: int = 0
    changing: bool = False
    leaving: bool = False
    #: Requests a second that it says it takes, ``None`` to say nothing.
    limit_per_s: float | None = None
    #: Whether its responses say that it leaves.
    says_leaving: bool = False
    #: Until when it turns requests away, Unix seconds.
    paused_until_s: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def report(self, _request: web.Request) -> web.StreamResponse:
        """Return the stage of an engine and the number of its orders."""
        return _serve.json_response(
            {
                "stage": self.stage,
                "busy": self.changing,
                "sequence": self.orders,
            }
        )

    async def order(self, request: web.Request) -> web.StreamResponse:
        """Start a change of the stage."""
        call = msgspec.json.decode(await request.read())
        if self.changing or call["expected"] != self.orders:
            return _serve.json_response(_serve.EmptyBody(), 409)
        self.orders += 1
        self.changing = True
        task = asyncio.create_task(self._change_stage(call["stage"]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return _serve.json_response(_serve.EmptyBody(), 202)

    async def _change_stage(self, stage: str) -> None:
        await asyncio.sleep(0.3)
        self.stage = stage
        self.changing = False

    async def release_handle(self, request: web.Request) -> web.StreamResponse:
        """Release a KV cache handle."""
        self.handles.discard(request.match_info["handle"])
        return _serve.json_response(_serve.EmptyBody())

    async def set_behaviour(self, request: web.Request) -> web.StreamResponse:
        """Set the faults to inject."""
        call = msgspec.json.decode(await request.read())
        self.leaving = call.pop("leaving", False)
        self.behaviour = Behaviour(**call)
        return _serve.json_response(_serve.EmptyBody())

    async def leave(self, _request: web.Request) -> web.StreamResponse:
        """Say in all responses from now on that the worker leaves."""
        self.says_leaving = True
        return _serve.json_response(_serve.EmptyBody())

    async def pause(self, request: web.Request) -> web.StreamResponse:
        """Turn requests away for some time."""
        call = msgspec.json.decode(await request.read())
        self.paused_until_s = time.time() + call["pause_s"]
        return _serve.json_response(_serve.EmptyBody())

    async def set_limit(self, request: web.Request) -> web.StreamResponse:
        """Set the limit to name in all responses."""
        call = msgspec.json.decode(await request.read())
        self.limit_per_s = call["limit_per_s"]
        return _serve.json_response(_serve.EmptyBody())

    async def add_signals(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Tell in a response what the worker wants."""
        if request.path.startswith(STANDIN_PATH):
            return
        if self.limit_per_s is not None:
            response.headers["Server-Limit"] = f"{self.limit_per_s:.2f}"
        if self.says_leaving:
            response.headers["Server-Leaving"] = "1"

    @web.middleware
    async def record_arrival(
        self, request: web.Request, handler: _serve.Handler
    ) -> web.StreamResponse:
        """Record a call before it is handled."""
        if not request.path.startswith(STANDIN_PATH):
            self.journal.append(
                Arrival(
                    request.headers.get("Request-Id", ""),
                    self.endpoint_id,
                    time.time(),
                    self.limit_per_s,
                    self.says_leaving,
                    max(self.paused_until_s - time.time(), 0.0),
                )
            )
        return await handler(request)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve a forwarded request."""
        body = await request.read()
        request_id = request.headers.get("Request-Id", "")
        expected = request.headers.get("Expect-Instance", self.endpoint_id)
        if expected != self.endpoint_id:
            return self._not_executed(request_id, 421)
        pause_s = self.paused_until_s - time.time()
        if pause_s > 0.0:
            response = self._not_executed(request_id, 503)
            response.headers["Retry-After"] = f"{pause_s:.3f}"
            return response
        if self.changing or self._occurs(self.behaviour.full_share):
            return self._not_executed(request_id, 503)
        if request.headers.get("Serving-Stage") == "prefill":
            return await self._prefill(request, request_id)
        if self.stage == "prefill":
            return self._not_executed(request_id, 421)
        if body.startswith(CRASHING_BODY):
            self._record_execution(request, 0)
            await asyncio.sleep(CRASH_S)
            _serve.exit_immediately()
        if not self.stage:
            return await self._plain(request, request_id)
        return await self._stream(request, request_id)

    async def _prefill(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        if self.stage != "prefill":
            return self._not_executed(request_id, 421)
        tokens = int(request.headers["Token-Usage"].split(",")[0])
        await asyncio.sleep(tokens / PREFILL_TOKENS_PER_S)
        handle = f"{request_id}-{self.rng.getrandbits(32):x}"
        self.handles.add(handle)
        response = _serve.json_response(
            {"kv_handle": handle, "tokens": tokens}
        )
        response.headers["Request-Id"] = request_id
        return response

    async def _plain(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        self._record_execution(request, 0)
        await asyncio.sleep(PROCESSING_S)
        if self._occurs(self.behaviour.lose_share):
            _serve.drop_connection(request)
        failed = self._occurs(self.behaviour.fail_share)
        response = web.Response(
            status=500 if failed else 200,
            text=text_of(request_id, 0),
            headers=self._response_headers(request_id),
        )
        if self._occurs(self.behaviour.twice_share):
            await response.prepare(request)
            await response.write_eof()
            assert request.transport is not None
            body = text_of(request_id, 0)
            request.transport.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Server-Signature: again\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
        return response

    async def _stream(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        last = int(request.headers.get("Last-Event-Id") or 0)
        total = int(request.headers["Token-Usage"].split(",")[1])
        self._record_execution(request, last)
        began_as = request.headers.get("Resumes", request_id)
        response = web.StreamResponse(
            headers={
                **self._response_headers(request_id),
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        cut_at = total // 2 if self._occurs(self.behaviour.tear_share) else 0
        for number in range(last + 1, total + 1):
            await asyncio.sleep(self.behaviour.event_interval_s)
            event = event_of(began_as, number, self.version)
            if number == cut_at:
                await response.write(event[:9].encode())
                _serve.drop_connection(request)
                return response
            await response.write(event.encode())
        await response.write_eof()
        return response

    def _record_execution(self, request: web.Request, last_event: int) -> None:
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

    def _response_headers(self, request_id: str) -> dict[str, str]:
        return {
            "Request-Id": request_id,
            "Server-Signature": f"s.{self.endpoint_id}",
        }

    def _not_executed(self, request_id: str, status: int) -> web.Response:
        return web.Response(
            status=status,
            headers={"Request-Id": request_id, "Not-Executed": "1"},
        )

    def _occurs(self, share: float) -> bool:
        return self.rng.random() < share


@attrs.frozen
class Registration:
    """What a worker registers about itself, and in which store."""

    service: str
    address: str
    port: int
    failure_domain: str
    #: Base URL of the stand-in store.
    store_url: str


async def send_heartbeats(
    worker: WorkerApp, registration: Registration, started_ms: int
) -> None:
    """Write the worker's row to the store periodically."""
    async with aiohttp.ClientSession() as session:
        while True:
            row: dict[str, object] = {
                "service": registration.service,
                "address": f"{registration.address}:{registration.port}",
                "zone": registration.failure_domain,
                "slots": 16,
                "state": "draining" if worker.leaving else "ready",
                "born": started_ms,
            }
            if worker.stage:
                row["stage"] = worker.stage
            if worker.version:
                row["version"] = worker.version
            value = base64.b64encode(msgspec.json.encode(row)).decode()
            with contextlib.suppress(aiohttp.ClientError, OSError):
                await session.post(
                    f"{registration.store_url}/standin/put",
                    json={
                        "table": "servers",
                        "key": worker.endpoint_id,
                        "value": value,
                    },
                )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def build(worker: WorkerApp, registration: Registration) -> web.Application:
    """Return the aiohttp application of a worker."""

    async def run_heartbeats(
        _app: web.Application,
    ) -> collections.abc.AsyncIterator[None]:
        started_ms = int(time.time() * 1000)
        task = asyncio.create_task(
            send_heartbeats(worker, registration, started_ms)
        )
        yield
        task.cancel()

    app = web.Application(
        client_max_size=_serve.MAX_BODY_BYTES,
        middlewares=[worker.record_arrival],
    )
    app.on_response_prepare.append(worker.add_signals)
    app.cleanup_ctx.append(run_heartbeats)
    app.add_routes(
        [
            web.get("/bilberrydeal/report", worker.report),
            web.post("/bilberrydeal/order", worker.order),
            web.delete(
                "/bilberrydeal/kv-handle/{handle}", worker.release_handle
            ),
            web.post("/standin/behave", worker.set_behaviour),
            web.post("/standin/limit", worker.set_limit),
            web.post("/standin/leave", worker.leave),
            web.post("/standin/pause", worker.pause),
            web.route("*", "/{rest:.*}", worker.serve),
        ]
    )
    return app
