"""HTTP server of the fake engine."""

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

#: Time for which a finished request can be resumed or exported, in seconds.
FINISHED_RETENTION_S = 30.0
#: Minimum time between two published load reports, in seconds.
LOAD_REPORT_INTERVAL_S = 0.5
#: Time after which a generation without a reader is cancelled, in seconds.
ORPHAN_TIMEOUT_S = 15.0
#: Headers that vary between calls and are left out of the journal.
_VARYING_HEADERS = frozenset(["Content-Length"])


@attrs.frozen
class Fault:
    """Faults to inject into an engine."""

    #: Exit the process when the next order arrives.
    crash_on_order: bool = False
    #: Exit the process after this many generated tokens; 0 never does.
    crash_after_tokens: int = 0
    #: Factor on the duration of each step.
    slow_factor: float = 1.0


@attrs.frozen
class CompletionCall:
    """Body of ``/v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = 16
    request_id: str = ""
    priority: int = 0
    kv_handle: str = ""
    stream: bool = False


@attrs.frozen
class ResumeCall:
    """Body of ``/v1/requests/resume``."""

    request_id: str
    after_tokens: int


@attrs.frozen
class RequestCall:
    """Body of a call that refers to one request."""

    request_id: str


@attrs.frozen
class UnfinishedRequests:
    """Response of ``/v1/requests/running``."""

    request_ids: tuple[str, ...]


@attrs.frozen
class KvHandle:
    """URL of an exported KV cache."""

    handle: str


@attrs.frozen
class CacheEventsCall:
    """Body of ``/v1/cache/events``."""

    #: Sequence number of the last event that the caller has.
    after: int


class EngineApp:
    """HTTP handlers and state of one engine."""

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
        self._accepted_orders = 0
        self._running_changes = 0
        self._state = ports.EngineState(
            order_version=order_version,
            role=ports.EngineRole.BOTH,
            model=model,
            model_version="",
        )
        self._requests: dict[str, _batch.Running] = {}
        self._finished: collections.deque[tuple[float, str]]
        self._finished = collections.deque()
        self._has_work = asyncio.Event()
        self._progress_events: dict[int, asyncio.Event] = {}
        self._reader_counts: collections.Counter[int] = collections.Counter()
        self._seen_headers: set[tuple[tuple[str, str], ...]] = set()
        self._load = (0.0, ports.LoadReport(0.0, 0, 0, 0, 0.0))
        self._exported_hashes: dict[str, tuple[int, ...]] = {}
        self._fault = Fault()
        self._generated_tokens = 0

    def routes(self) -> list[web.RouteDef]:
        """Return all routes."""
        return [
            web.post("/v1/completions", self._complete),
            web.post("/v1/requests/resume", self._resume),
            web.post("/v1/requests/cancel", self._cancel),
            web.post("/v1/requests/running", self._show_running),
            web.post("/v1/load", self._show_load),
            web.post("/v1/cache/events", self._cache_events),
            web.post("/v1/state", self._show_state),
            web.post("/v1/orders", self._order),
            web.post("/v1/kv/export", self._export),
            web.post("/v1/kv/import", self._import),
            web.get("/kv/{request_id}", self._fetch),
            web.post("/control", self._control),
            _serve.journal_route(self._journal),
        ]

    async def run_batches(
        self, app: web.Application
    ) -> collections.abc.AsyncIterator[None]:
        """Process batches while the application runs."""
        task = asyncio.create_task(self._run())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    @web.middleware
    async def record_headers(
        self, request: web.Request, handler: _serve.Handler
    ) -> web.StreamResponse:
        """Record each distinct set of headers once."""
        headers = tuple(
            (name, value)
            for name, value in request.headers.items()
            if name not in _VARYING_HEADERS
        )
        if headers not in self._seen_headers:
            self._seen_headers.add(headers)
            self._journal.append(_records.Headers(dict(headers)))
        return await handler(request)

    async def _run(self) -> None:
        while True:
            await self._has_work.wait()
            now_s = time.monotonic()
            duration_s, changed = self._batch.step(self._state.role, now_s)
            await asyncio.sleep(duration_s * self._fault.slow_factor)
            self._generated_tokens += len(changed)
            self._crash_if_configured()
            for item in changed:
                self._notify_readers(item)
            self._publish_load(now_s)
            if not self._batch.running and not self._batch.waiting:
                self._has_work.clear()

    def _crash_if_configured(self) -> None:
        limit = self._fault.crash_after_tokens
        if limit and self._generated_tokens >= limit:
            _serve.exit_immediately()

    def _notify_readers(self, item: _batch.Running) -> None:
        """Wake the streams of a request and expire old finished ones."""
        event = self._progress_events.pop(id(item), None)
        if event:
            event.set()
        if item.finish_reason:
            self._finished.append((time.monotonic(), item.request.request_id))
        while (
            self._finished
            and self._finished[0][0] < time.monotonic() - FINISHED_RETENTION_S
        ):
            self._requests.pop(self._finished.popleft()[1], None)

    def _publish_load(self, now_s: float) -> None:
        if now_s - self._load[0] < LOAD_REPORT_INTERVAL_S:
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
        call = await _serve.read_body(request, CompletionCall)
        if self._state.changing:
            return _serve.json_response(
                _serve.EmptyBody(), 503, retry_after_s=0.5
            )
        if call.model != self._state.model:
            return _serve.json_response(_serve.EmptyBody(), 404)
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
        self._requests[call.request_id] = item
        self._journal.append(
            _records.Executed(
                request_id=call.request_id,
                model=call.model,
                prompt=call.prompt,
                max_tokens=call.max_tokens,
                executed_s=time.time(),
            )
        )
        self._has_work.set()
        return await self._stream(request, item, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        call = await _serve.read_body(request, ResumeCall)
        item = self._requests.get(call.request_id)
        if item is None:
            return _serve.json_response(_serve.EmptyBody(), 404)
        return await self._stream(request, item, call.after_tokens)

    async def _stream(
        self, request: web.Request, item: _batch.Running, sent: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        self._reader_counts[id(item)] += 1
        try:
            await response.prepare(request)
            await self._send(response, item, sent)
        finally:
            self._reader_counts[id(item)] -= 1
            self._schedule_orphan_check(item)
        return response

    def _schedule_orphan_check(self, item: _batch.Running) -> None:
        """Cancel a generation after a timeout unless it has a reader."""

        def cancel() -> None:
            if not self._reader_counts[id(item)] and not item.finish_reason:
                self._batch.finish(item, "cancelled")
                self._notify_readers(item)

        if not item.finish_reason:
            asyncio.get_running_loop().call_later(ORPHAN_TIMEOUT_S, cancel)

    async def _send(
        self, response: web.StreamResponse, item: _batch.Running, sent: int
    ) -> None:
        while True:
            progress = self._progress_events.setdefault(
                id(item), asyncio.Event()
            )
            if len(item.output) > sent or item.finish_reason:
                tokens = item.output[sent:]
                sent += len(tokens)
                await response.write(_server_sent_event(item, tokens))
            if item.finish_reason:
                break
            if len(item.output) == sent:
                await progress.wait()
        self._progress_events.pop(id(item), None)
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()

    async def _cancel(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, RequestCall)
        item = self._requests.get(call.request_id)
        if item is not None and not item.finish_reason:
            self._batch.finish(item, "cancelled")
            self._notify_readers(item)
        return _serve.json_response(_serve.EmptyBody())

    async def _show_running(self, request: web.Request) -> web.Response:
        items = (*self._batch.running, *self._batch.waiting)
        request_ids = tuple(item.request.request_id for item in items)
        return _serve.json_response(UnfinishedRequests(request_ids))

    async def _show_load(self, request: web.Request) -> web.Response:
        published_s, report = self._load
        age_s = time.monotonic() - published_s if published_s else 0.0
        if not self._has_work.is_set():
            self._publish_load(time.monotonic())
        return _serve.json_response(attrs.evolve(report, age_s=age_s))

    async def _cache_events(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, CacheEventsCall)
        return _serve.json_response(
            self._batch.cache.events(call.after, time.monotonic())
        )

    async def _show_state(self, request: web.Request) -> web.Response:
        return _serve.json_response(self._state)

    async def _order(self, request: web.Request) -> web.Response:
        order = await _serve.read_body(request, ports.EngineOrder)
        started_s = time.time()
        if self._fault.crash_on_order:
            _serve.exit_immediately()
        if self._is_rejected(order):
            self._record_order(order, started_s, "fenced", 0)
            return _serve.json_response(_serve.EmptyBody(), 409)
        self._accepted_orders += 1
        self._highest_fence = max(self._highest_fence, order.fence)
        self._running_changes += 1
        outcome = "overlap" if self._state.changing else "done"
        self._state = attrs.evolve(
            self._state, changing=True, orders_taken=self._accepted_orders
        )
        cancelled = self._cancel_all()
        await asyncio.shield(asyncio.sleep(self._change_s))
        self._running_changes -= 1
        self._batch.cache.clear(time.monotonic())
        self._state = ports.EngineState(
            order_version=order.order_version,
            role=order.role,
            model=order.model,
            model_version=order.model_version,
            adapters=order.adapters,
            changing=self._running_changes > 0,
            orders_taken=self._accepted_orders,
        )
        self._record_order(order, started_s, outcome, cancelled)
        return _serve.json_response(self._state)

    def _is_rejected(self, order: ports.EngineOrder) -> bool:
        """Return whether an order is stale or expects another order count."""
        if order.expected_taken not in (-1, self._accepted_orders):
            return True
        return self._checks_fencing and order.fence < self._highest_fence

    def _record_order(
        self,
        order: ports.EngineOrder,
        started_s: float,
        outcome: str,
        cancelled: int,
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
                cut=cancelled,
            )
        )

    def _cancel_all(self) -> int:
        """Cancel all generations and return their number."""
        items = [*self._batch.running, *self._batch.waiting]
        for item in items:
            self._batch.finish(item, "cancelled")
            self._notify_readers(item)
        return len(items)

    async def _export(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, RequestCall)
        item = self._requests.get(call.request_id)
        if item is None or not item.admitted or item.prefill_left:
            return _serve.json_response(_serve.EmptyBody(), 404)
        self._exported_hashes[call.request_id] = item.hashes
        return _serve.json_response(
            KvHandle(f"http://{request.host}/kv/{call.request_id}")
        )

    async def _fetch(self, request: web.Request) -> web.Response:
        hashes = self._exported_hashes.get(request.match_info["request_id"])
        if hashes is None:
            return _serve.json_response(_serve.EmptyBody(), 404)
        return _serve.json_response(hashes)

    async def _import(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, KvHandle)
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
            return _serve.json_response(_serve.EmptyBody(), 404)
        self._batch.cache.store(hashes, time.monotonic())
        return _serve.json_response(_serve.EmptyBody())

    async def _control(self, request: web.Request) -> web.Response:
        self._fault = await _serve.read_body(request, Fault)
        self._generated_tokens = 0
        return _serve.json_response(_serve.EmptyBody())


def _server_sent_event(item: _batch.Running, tokens: list[str]) -> bytes:
    """Return a server-sent event with newly generated tokens."""
    event: dict[str, object] = {
        "choices": [
            {
                "index": 0,
                "text": "".join(tokens),
                "tokens": len(tokens),
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
    """Return the aiohttp application of one engine."""
    app = web.Application(
        middlewares=[engine.record_headers],
        client_max_size=_serve.MAX_BODY_BYTES,
    )
    app.add_routes(engine.routes())
    app.cleanup_ctx.append(engine.run_batches)
    return app
