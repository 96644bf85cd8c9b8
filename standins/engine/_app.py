"""The engine as an HTTP service."""

import asyncio
import collections
import collections.abc
import contextlib
import time

import aiohttp
from aiohttp import web
import attrs
import msgspec

from bilberrydeal import ports

from .. import _journal
from .. import _serve
from . import _batch
from . import _records

#: How long an ended request can still be resumed or exported.
RETAIN_S = 30.0
#: Time between two published load reports.
LOAD_PERIOD_S = 0.5
#: A generation that nobody reads is ended after so long.
ORPHAN_S = 15.0
#: Headers that differ from call to call.
_VARYING = frozenset(["Content-Length"])


@attrs.frozen
class Fault:
    """How an engine is to misbehave."""

    #: Ends the process when the next order begins.
    crash_on_order: bool = False
    #: Ends the process after so many generated tokens, 0 for never.
    crash_after_tokens: int = 0
    #: Stretches each step so many times.
    slow_factor: float = 1.0


@attrs.frozen
class Generation:
    """Body of ``/v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = 16
    request_id: str = ""
    priority: int = 0
    kv_handle: str = ""
    stream: bool = False


@attrs.frozen
class Resumption:
    """Body of a resume."""

    request_id: str
    after_tokens: int


@attrs.frozen
class Named:
    """Body of a call that names a request."""

    request_id: str


@attrs.frozen
class Unended:
    """The answer to a call for what runs."""

    request_ids: tuple[str, ...]


@attrs.frozen
class Handle:
    """Names an exported KV cache."""

    handle: str


@attrs.frozen
class After:
    """Body of a call for cache events."""

    after: int


class EngineApp:
    """One engine."""

    def __init__(
        self,
        journal: _journal.Journal,
        model: str,
        rates: _batch.Rates,
        change_s: float = 1.0,
        checks_fencing: bool = True,
        order_version: int = 0,
    ) -> None:
        self._journal = journal
        self._batch = _batch.Batch(rates)
        self._change_s = change_s
        self._checks_fencing = checks_fencing
        self._highest_fence = 0
        self._taken = 0
        self._changes = 0
        self._state = ports.EngineState(
            order_version=order_version,
            role=ports.EngineRole.BOTH,
            model=model,
            model_version="",
        )
        self._known: dict[str, _batch.Running] = {}
        self._ended: collections.deque[tuple[float, str]]
        self._ended = collections.deque()
        self._work = asyncio.Event()
        self._progress: dict[int, asyncio.Event] = {}
        self._readers: collections.Counter[int] = collections.Counter()
        self._headers: set[tuple[tuple[str, str], ...]] = set()
        self._load = (0.0, ports.LoadReport(0.0, 0, 0, 0, 0.0))
        self._exported: dict[str, tuple[int, ...]] = {}
        self._fault = Fault()
        self._generated = 0

    def routes(self) -> list[web.RouteDef]:
        """Return all routes."""
        return [
            web.post("/v1/completions", self._complete),
            web.post("/v1/requests/resume", self._resume),
            web.post("/v1/requests/cancel", self._cancel),
            web.post("/v1/requests/running", self._show_running),
            web.post("/v1/load", self._show_load),
            web.post("/v1/cache/events", self._events),
            web.post("/v1/state", self._show_state),
            web.post("/v1/orders", self._order),
            web.post("/v1/kv/export", self._export),
            web.post("/v1/kv/import", self._import),
            web.get("/kv/{request_id}", self._fetch),
            web.post("/control", self._control),
            _serve.journal_route(self._journal),
        ]

    async def work(
        self, app: web.Application
    ) -> collections.abc.AsyncIterator[None]:
        """Run the batch while the application runs."""
        task = asyncio.create_task(self._run())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    @web.middleware
    async def note_headers(
        self, request: web.Request, handler: _serve.Handler
    ) -> web.StreamResponse:
        """Record headers that were not seen before."""
        seen = tuple(
            (name, value)
            for name, value in request.headers.items()
            if name not in _VARYING
        )
        if seen not in self._headers:
            self._headers.add(seen)
            self._journal.append(_records.Headers(dict(seen)))
        return await handler(request)

    async def _run(self) -> None:
        while True:
            await self._work.wait()
            now_s = time.monotonic()
            duration_s, changed = self._batch.step(self._state.role, now_s)
            await asyncio.sleep(duration_s * self._fault.slow_factor)
            self._generated += len(changed)
            self._crash_if_due()
            for item in changed:
                self._announce(item)
            self._publish_load(now_s)
            if not self._batch.running and not self._batch.waiting:
                self._work.clear()

    def _crash_if_due(self) -> None:
        limit = self._fault.crash_after_tokens
        if limit and self._generated >= limit:
            _serve.crash()

    def _announce(self, item: _batch.Running) -> None:
        """Wake the streams of a request."""
        event = self._progress.pop(id(item), None)
        if event:
            event.set()
        if item.finish_reason:
            self._ended.append((time.monotonic(), item.request.request_id))
        while self._ended and self._ended[0][0] < time.monotonic() - RETAIN_S:
            self._known.pop(self._ended.popleft()[1], None)

    def _publish_load(self, now_s: float) -> None:
        if now_s - self._load[0] < LOAD_PERIOD_S:
            return
        report = ports.LoadReport(
            age_s=0.0,
            running=len(self._batch.running),
            waiting=len(self._batch.waiting),
            queued_prompt_tokens=self._batch.queued_prompt_tokens(),
            kv_used_share=self._batch.cache.used_share(),
        )
        self._load = (now_s, report)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        call = await _serve.body(request, Generation)
        if self._state.changing:
            return _serve.answer(_serve.Done(), 503, retry_after_s=0.5)
        if call.model != self._state.model:
            return _serve.answer(_serve.Done(), 404)
        item = self._batch.submit(
            ports.EngineRequest(
                request_id=call.request_id,
                model=call.model,
                prompt=call.prompt,
                max_tokens=call.max_tokens,
                priority=call.priority,
                kv_handle=call.kv_handle,
            ),
            time.monotonic(),
        )
        self._known[call.request_id] = item
        self._journal.append(
            _records.Executed(
                request_id=call.request_id,
                model=call.model,
                prompt=call.prompt,
                max_tokens=call.max_tokens,
                executed_s=time.time(),
            )
        )
        self._work.set()
        return await self._stream(request, item, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        call = await _serve.body(request, Resumption)
        item = self._known.get(call.request_id)
        if item is None:
            return _serve.answer(_serve.Done(), 404)
        return await self._stream(request, item, call.after_tokens)

    async def _stream(
        self, request: web.Request, item: _batch.Running, sent: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        self._readers[id(item)] += 1
        try:
            await response.prepare(request)
            await self._send(response, item, sent)
        finally:
            self._readers[id(item)] -= 1
            self._drop_orphan(item)
        return response

    def _drop_orphan(self, item: _batch.Running) -> None:
        """End a generation later unless someone resumes it."""

        def drop() -> None:
            if not self._readers[id(item)] and not item.finish_reason:
                self._batch.end(item, "cancelled")
                self._announce(item)

        if not item.finish_reason:
            asyncio.get_running_loop().call_later(ORPHAN_S, drop)

    async def _send(
        self, response: web.StreamResponse, item: _batch.Running, sent: int
    ) -> None:
        while True:
            progress = self._progress.setdefault(id(item), asyncio.Event())
            if len(item.output) > sent or item.finish_reason:
                part = item.output[sent:]
                sent += len(part)
                await response.write(_event(item, part))
            if item.finish_reason:
                break
            if len(item.output) == sent:
                await progress.wait()
        self._progress.pop(id(item), None)
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()

    async def _cancel(self, request: web.Request) -> web.Response:
        call = await _serve.body(request, Named)
        item = self._known.get(call.request_id)
        if item is not None and not item.finish_reason:
            self._batch.end(item, "cancelled")
            self._announce(item)
        return _serve.answer(_serve.Done())

    async def _show_running(self, request: web.Request) -> web.Response:
        items = (*self._batch.running, *self._batch.waiting)
        names = tuple(item.request.request_id for item in items)
        return _serve.answer(Unended(names))

    async def _show_load(self, request: web.Request) -> web.Response:
        published_s, report = self._load
        age_s = time.monotonic() - published_s if published_s else 0.0
        if not self._work.is_set():
            self._publish_load(time.monotonic())
        return _serve.answer(attrs.evolve(report, age_s=age_s))

    async def _events(self, request: web.Request) -> web.Response:
        call = await _serve.body(request, After)
        return _serve.answer(
            self._batch.cache.events(call.after, time.monotonic())
        )

    async def _show_state(self, request: web.Request) -> web.Response:
        return _serve.answer(self._state)

    async def _order(self, request: web.Request) -> web.Response:
        order = await _serve.body(request, ports.EngineOrder)
        started_s = time.time()
        if self._fault.crash_on_order:
            _serve.crash()
        if self._refuses(order):
            self._note_order(order, started_s, "fenced", 0)
            return _serve.answer(_serve.Done(), 409)
        self._taken += 1
        self._highest_fence = max(self._highest_fence, order.fence)
        self._changes += 1
        outcome = "overlap" if self._state.changing else "done"
        self._state = attrs.evolve(
            self._state, changing=True, orders_taken=self._taken
        )
        cut = self._cut_all()
        await asyncio.shield(asyncio.sleep(self._change_s))
        self._changes -= 1
        self._batch.cache.clear(time.monotonic())
        self._state = ports.EngineState(
            order_version=order.order_version,
            role=order.role,
            model=order.model,
            model_version=order.model_version,
            adapters=order.adapters,
            changing=self._changes > 0,
            orders_taken=self._taken,
        )
        self._note_order(order, started_s, outcome, cut)
        return _serve.answer(self._state)

    def _refuses(self, order: ports.EngineOrder) -> bool:
        """Return whether an order comes after one that is newer."""
        if order.expected_taken not in (-1, self._taken):
            return True
        return self._checks_fencing and order.fence < self._highest_fence

    def _note_order(
        self,
        order: ports.EngineOrder,
        started_s: float,
        outcome: str,
        cut: int,
    ) -> None:
        self._journal.append(
            _records.Applied(
                order_version=order.order_version,
                fence=order.fence,
                role=order.role,
                model=order.model,
                started_s=started_s,
                ended_s=time.time(),
                outcome=outcome,
                cut=cut,
            )
        )

    def _cut_all(self) -> int:
        """End all generations and return how many there were."""
        items = [*self._batch.running, *self._batch.waiting]
        for item in items:
            self._batch.end(item, "cancelled")
            self._announce(item)
        return len(items)

    async def _export(self, request: web.Request) -> web.Response:
        call = await _serve.body(request, Named)
        item = self._known.get(call.request_id)
        if item is None or not item.admitted or item.prefill_left:
            return _serve.answer(_serve.Done(), 404)
        self._exported[call.request_id] = item.hashes
        return _serve.answer(
            Handle(f"http://{request.host}/kv/{call.request_id}")
        )

    async def _fetch(self, request: web.Request) -> web.Response:
        hashes = self._exported.get(request.match_info["request_id"])
        if hashes is None:
            return _serve.answer(_serve.Done(), 404)
        return _serve.answer(hashes)

    async def _import(self, request: web.Request) -> web.Response:
        call = await _serve.body(request, Handle)
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(call.handle) as response,
            ):
                response.raise_for_status()
                hashes = msgspec.json.decode(
                    await response.read(), type=tuple[int, ...]
                )
        except aiohttp.ClientError:
            return _serve.answer(_serve.Done(), 404)
        self._batch.cache.store(hashes, time.monotonic())
        return _serve.answer(_serve.Done())

    async def _control(self, request: web.Request) -> web.Response:
        self._fault = await _serve.body(request, Fault)
        self._generated = 0
        return _serve.answer(_serve.Done())


def _event(item: _batch.Running, part: list[str]) -> bytes:
    """Return one server-sent event."""
    event: dict[str, object] = {
        "choices": [
            {
                "index": 0,
                "text": "".join(part),
                "tokens": len(part),
                "finish_reason": item.finish_reason or None,
            }
        ]
    }
    if item.finish_reason:
        event["usage"] = {
            "prompt_tokens": item.prompt_tokens - item.cached_tokens,
            "cached_tokens": item.cached_tokens,
        }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def build(engine: EngineApp) -> web.Application:
    """Return the application of one engine."""
    app = web.Application(
        middlewares=[engine.note_headers],
        client_max_size=_serve.BODY_LIMIT_BYTES,
    )
    app.add_routes(engine.routes())
    app.cleanup_ctx.append(engine.work)
    return app
