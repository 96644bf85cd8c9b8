"""Engines that speak OpenAI-style completions over HTTP.

Beside ``/v1/completions`` with server-sent events, these engines offer small
routes for orders, state, load, cache events, cancelling, resuming and KV
cache. A status other than 200 on ``/v1/completions`` says that the engine
did not admit the request, except for 500 and above other than 503.
"""

import collections.abc
import contextlib
import typing

import aiohttp
import attrs
import msgspec

from .. import ports
from . import _exchange
from . import _registries

HTTP_SERVER_ERROR = 500
_DATA = b"data: "
_DONE = b"[DONE]"
_EVENT_END = b"\n\n"


@attrs.frozen
class CompletionCall:
    """Body of a generation."""

    model: str
    prompt: str
    max_tokens: int
    request_id: str
    priority: int
    kv_handle: str
    stream: bool = True


@attrs.frozen
class ResumeCall:
    """Body of a resume."""

    request_id: str
    after_tokens: int


@attrs.frozen
class RequestCall:
    """Body of a call that names one request."""

    request_id: str


@attrs.frozen
class RunningAnswer:
    """What runs or waits at the engine."""

    request_ids: tuple[str, ...]


@attrs.frozen
class HandleCall:
    """Body of a KV import, and the answer to an export."""

    handle: str


@attrs.frozen
class EventsCall:
    """Body of a call for cache events."""

    after: int


@attrs.frozen
class Nothing:
    """An empty body."""


@attrs.frozen
class Choice:
    """The one choice of a streamed event."""

    text: str = ""
    tokens: int = 0
    finish_reason: str | None = None


@attrs.frozen
class Usage:
    """Counts of a whole generation."""

    prompt_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class StreamEvent:
    """One server-sent event."""

    choices: tuple[Choice, ...]
    usage: Usage | None = None


Answer = typing.TypeVar("Answer")
_decode_event = msgspec.json.Decoder(StreamEvent).decode
_ANSWER_ERRORS = (msgspec.ValidationError, msgspec.DecodeError)


def _merge(blocks: list[bytes]) -> ports.EngineEvent:
    """Return all that arrived together as one event."""
    text: list[str] = []
    tokens = 0
    finish_reason = ""
    usage = Usage()
    for block in blocks:
        if not block.startswith(_DATA) or block.endswith(_DONE):
            continue
        event = _decode_event(block[len(_DATA) :])
        choice = event.choices[0]
        text.append(choice.text)
        tokens += choice.tokens
        finish_reason = choice.finish_reason or finish_reason
        usage = event.usage or usage
    return ports.EngineEvent(
        text="".join(text),
        output_tokens=tokens,
        finish_reason=finish_reason,
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
    )


@_registries.ENGINES.register("openai_http")
class HttpEngine:
    """Implements :class:`bilberrydeal.ports.Engine`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    def generate(
        self, request: ports.EngineRequest, timeout_s: float
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        """Run a generation and yield its events."""
        call = CompletionCall(
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            request_id=request.request_id,
            priority=request.priority,
            kv_handle=request.kv_handle,
        )
        return self._stream("completions", call, timeout_s)

    def resume(
        self, request_id: str, after_tokens: int, timeout_s: float
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        """Yield the events of a running generation past some tokens."""
        call = ResumeCall(request_id, after_tokens)
        return self._stream("requests/resume", call, timeout_s)

    async def cancel(self, request_id: str, timeout_s: float) -> None:
        """End a generation; one that is unknown is no error."""
        await self._call(
            "requests/cancel", RequestCall(request_id), timeout_s, object
        )

    async def running(self, timeout_s: float) -> tuple[str, ...]:
        """Return the identities of the generations that have not ended."""
        answer = await self._call(
            "requests/running", Nothing(), timeout_s, RunningAnswer
        )
        return answer.request_ids

    async def load(self, timeout_s: float) -> ports.LoadReport:
        """Return the last published load report."""
        return await self._call("load", Nothing(), timeout_s, ports.LoadReport)

    async def cache_events(
        self, after: int, timeout_s: float
    ) -> ports.CacheEvents:
        """Return the cache events past a number."""
        return await self._call(
            "cache/events", EventsCall(after), timeout_s, ports.CacheEvents
        )

    async def state(self, timeout_s: float) -> ports.EngineState:
        """Return what the engine is now."""
        return await self._call(
            "state", Nothing(), timeout_s, ports.EngineState
        )

    async def apply(
        self, order: ports.EngineOrder, timeout_s: float
    ) -> ports.EngineState:
        """Carry out an order, or raise ``OrderRefused``."""
        reply = await self._post("orders", order, timeout_s)
        if reply.status == _exchange.HTTP_CONFLICT:
            raise ports.OrderRefused(order_version=order.order_version)
        return self._decode("orders", reply, ports.EngineState)

    async def export_kv(self, request_id: str, timeout_s: float) -> str:
        """Export the KV cache of a prefill and return its handle."""
        answer = await self._call(
            "kv/export", RequestCall(request_id), timeout_s, HandleCall
        )
        return answer.handle

    async def import_kv(self, handle: str, timeout_s: float) -> None:
        """Fetch an exported KV cache so that ``generate`` can use it."""
        await self._call("kv/import", HandleCall(handle), timeout_s, object)

    async def _call(
        self, path: str, body: object, timeout_s: float, shape: type[Answer]
    ) -> Answer:
        reply = await self._post(path, body, timeout_s)
        return self._decode(path, reply, shape)

    def _decode(
        self, path: str, reply: _exchange.Reply, shape: type[Answer]
    ) -> Answer:
        if reply.status != _exchange.HTTP_OK:
            raise ports.EngineFailure(
                operation=path, started=reply.status >= HTTP_SERVER_ERROR
            )
        try:
            return reply.decode(shape)
        except _ANSWER_ERRORS as error:
            raise ports.EngineFailure(operation=path, started=True) from error

    async def _post(
        self, path: str, body: object, timeout_s: float
    ) -> _exchange.Reply:
        with _failures(path):
            return await _exchange.exchange(
                self._session,
                "POST",
                f"{self._url}/v1/{path}",
                timeout_s,
                msgspec.json.encode(body),
            )

    async def _stream(
        self, path: str, body: object, timeout_s: float
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        with _failures(path):
            async with self._session.post(
                f"{self._url}/v1/{path}",
                data=msgspec.json.encode(body),
                allow_redirects=False,
                timeout=_exchange.timeout(timeout_s),
            ) as response:
                if response.status != _exchange.HTTP_OK:
                    raise ports.EngineFailure(
                        operation=path, started=not _not_admitted(response)
                    )
                async for event in _events(response.content):
                    yield event
                    if event.finish_reason:
                        return
        raise ports.EngineFailure(operation=path, started=True)


def _not_admitted(response: aiohttp.ClientResponse) -> bool:
    status = response.status
    return status < HTTP_SERVER_ERROR or status == _exchange.HTTP_UNAVAILABLE


async def _events(
    content: aiohttp.StreamReader,
) -> collections.abc.AsyncIterator[ports.EngineEvent]:
    """Yield one event for each read that completed one."""
    rest = b""
    async for data in content.iter_any():
        *blocks, rest = (rest + data).split(_EVENT_END)
        if blocks:
            yield _merge(blocks)


@contextlib.contextmanager
def _failures(path: str) -> collections.abc.Iterator[None]:
    """Raise transport failures as ``EngineFailure``."""
    try:
        yield
    except _exchange.NOT_SENT as error:
        raise ports.EngineFailure(operation=path, started=False) from error
    except (*_exchange.LOST, *_ANSWER_ERRORS, IndexError) as error:
        raise ports.EngineFailure(operation=path, started=True) from error
