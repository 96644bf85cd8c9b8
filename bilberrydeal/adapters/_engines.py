"""Engine adapter for OpenAI-style completions over HTTP.

In addition to ``/v1/completions`` with server-sent events, these engines have
routes for orders, state, load, cache events, cancelling, resuming and the KV
cache. A status other than 200 on ``/v1/completions`` means that the engine
did not admit the request, except for 500 and above other than 503.
"""

import collections.abc
import contextlib
import typing

import aiohttp
import attrs
import msgspec

from .. import decoding
from .. import ports
from . import _exchange
from . import _registries

HTTP_SERVER_ERROR = 500
_DATA = b"data: "
_DONE = b"[DONE]"
_EVENT_END = b"\n\n"


@attrs.frozen
class CompletionRequest:
    """Request body of a generation."""

    model: str
    prompt: str
    max_tokens: int
    request_id: str
    priority: int
    kv_handle: str
    stream: bool = True


@attrs.frozen
class ResumeRequest:
    """Request body for resuming a generation."""

    request_id: str
    after_tokens: int


@attrs.frozen
class RequestIdBody:
    """Request body that identifies one request."""

    request_id: str


@attrs.frozen
class RunningResponse:
    """Requests that run or wait at the engine."""

    request_ids: tuple[str, ...]


@attrs.frozen
class KvHandleBody:
    """Request body of a KV cache import; response body of an export."""

    handle: str


@attrs.frozen
class CacheEventsRequest:
    """Request body for cache events after a number."""

    after: int


@attrs.frozen
class EmptyBody:
    """Empty request body."""


@attrs.frozen
class Choice:
    """The only choice of a streamed event."""

    text: str = ""
    tokens: int = 0
    finish_reason: str | None = None


@attrs.frozen
class Usage:
    """Token counts of a whole generation."""

    prompt_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class StreamEvent:
    """One server-sent event."""

    choices: tuple[Choice, ...]
    usage: Usage | None = None


Decoded = typing.TypeVar("Decoded")
_decode_event = msgspec.json.Decoder(StreamEvent).decode


def _merge_events(blocks: list[bytes]) -> ports.EngineEvent:
    """Merge the events that arrived together into one."""
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
        call = CompletionRequest(
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
        call = ResumeRequest(request_id, after_tokens)
        return self._stream("requests/resume", call, timeout_s)

    async def cancel(self, request_id: str, timeout_s: float) -> None:
        """Cancel a generation; an unknown one is not an error."""
        await self._call(
            "requests/cancel", RequestIdBody(request_id), timeout_s, object
        )

    async def running(self, timeout_s: float) -> tuple[str, ...]:
        """Return the request IDs of the generations that have not ended."""
        response = await self._call(
            "requests/running", EmptyBody(), timeout_s, RunningResponse
        )
        return response.request_ids

    async def load(self, timeout_s: float) -> ports.LoadReport:
        """Return the last published load report."""
        return await self._call(
            "load", EmptyBody(), timeout_s, ports.LoadReport
        )

    async def cache_events(
        self, after: int, timeout_s: float
    ) -> ports.CacheEvents:
        """Return the cache events after a number."""
        return await self._call(
            "cache/events",
            CacheEventsRequest(after),
            timeout_s,
            ports.CacheEvents,
        )

    async def state(self, timeout_s: float) -> ports.EngineState:
        """Return the current state of the engine."""
        return await self._call(
            "state", EmptyBody(), timeout_s, ports.EngineState
        )

    async def apply(
        self, order: ports.EngineOrder, timeout_s: float
    ) -> ports.EngineState:
        """Apply an order; raises ``OrderRefused``."""
        response = await self._post("orders", order, timeout_s)
        if response.status == _exchange.HTTP_CONFLICT:
            raise ports.OrderRefused(order_version=order.order_version)
        return self._decode("orders", response, ports.EngineState)

    async def export_kv(self, request_id: str, timeout_s: float) -> str:
        """Export the KV cache of a prefill and return its handle."""
        response = await self._call(
            "kv/export", RequestIdBody(request_id), timeout_s, KvHandleBody
        )
        return response.handle

    async def import_kv(self, handle: str, timeout_s: float) -> None:
        """Fetch an exported KV cache so that ``generate`` can use it."""
        await self._call("kv/import", KvHandleBody(handle), timeout_s, object)

    async def _call(
        self,
        path: str,
        body: object,
        timeout_s: float,
        response_type: type[Decoded],
    ) -> Decoded:
        response = await self._post(path, body, timeout_s)
        return self._decode(path, response, response_type)

    def _decode(
        self,
        path: str,
        response: _exchange.Response,
        response_type: type[Decoded],
    ) -> Decoded:
        if response.status != _exchange.HTTP_OK:
            raise ports.EngineFailure(
                operation=path, started=response.status >= HTTP_SERVER_ERROR
            )
        try:
            return response.decode(response_type)
        except decoding.DECODE_ERRORS as error:
            raise ports.EngineFailure(operation=path, started=True) from error

    async def _post(
        self, path: str, body: object, timeout_s: float
    ) -> _exchange.Response:
        with _engine_failures(path):
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
        with _engine_failures(path):
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
    """Yield one merged event for each read that completes any."""
    buffer = decoding.EventBuffer()
    async for data in content.iter_any():
        try:
            complete = buffer.feed(data)
        except decoding.EventTooLarge as error:
            raise aiohttp.ClientPayloadError("event too large") from error
        if complete:
            lines = complete.replace(b"\r\n", b"\n")
            yield _merge_events(lines.split(_EVENT_END))


@contextlib.contextmanager
def _engine_failures(path: str) -> collections.abc.Iterator[None]:
    """Convert transport and decoding errors to ``EngineFailure``."""
    try:
        yield
    except _exchange.NOT_SENT as error:
        raise ports.EngineFailure(operation=path, started=False) from error
    except (
        *_exchange.MAYBE_SENT,
        *decoding.DECODE_ERRORS,
        IndexError,
    ) as error:
        raise ports.EngineFailure(operation=path, started=True) from error
