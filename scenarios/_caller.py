"""HTTP client for the entries that records every outcome."""

import collections.abc
import json
import time

import aiohttp
import attrs
import msgspec


@attrs.frozen
class Ask:
    """One request; its marker identifies it in the stand-ins' journals."""

    #: Unique text within the prompt or the body.
    marker: str
    #: URL path.
    path: str
    body: str
    #: Maximum tokens to generate, 0 for a plain service.
    max_tokens: int = 0
    #: Whether the answer is streamed.
    stream: bool = False
    #: Sent as ``Idempotency-Key`` where not empty.
    idempotency_key: str = ""
    #: Sent as ``X-Deadline-S``.
    deadline_s: float = 30.0
    #: Organisation whose key is sent; empty for none.
    organisation: str = ""


@attrs.frozen
class Outcome:
    """The result of one request as its caller saw it."""

    ask: Ask
    started_s: float
    ended_s: float
    #: HTTP status, 0 if no answer arrived.
    status: int = 0
    #: Body of a plain service's answer.
    body: str = ""
    #: Text of a model's answer.
    text: str = ""
    finish_reason: str = ""
    #: Code of the refusal, empty without one.
    code: str = ""
    #: ``no`` or ``unknown`` for a refusal.
    executed: str = ""
    retry_after_s: float | None = None
    #: Token counts from the usage block.
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def answered(self) -> bool:
        """Return whether a complete answer arrived."""
        if self.status != 200 or self.code:
            return False
        return bool(self.finish_reason) or not self.ask.max_tokens


@attrs.frozen
class _Error:
    """The body of a refusal."""

    code: str = ""
    executed: str = ""


@attrs.frozen
class _Message:
    """Text of a chat answer."""

    content: str | None = None


@attrs.frozen
class _Choice:
    """One choice of an answer or of a streamed event."""

    text: str | None = None
    delta: _Message = _Message()
    message: _Message = _Message()
    finish_reason: str | None = None


@attrs.frozen
class _Usage:
    """The usage block."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@attrs.frozen
class _Event:
    """An answer or one streamed event."""

    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None
    error: _Error | None = None


@attrs.define
class _PartialAnswer:
    """Accumulates the parts of an answer as they arrive."""

    text: list[str] = attrs.field(factory=list)
    finish_reason: str = ""
    error: _Error = _Error()
    usage: _Usage = _Usage()

    def add(self, data: bytes) -> None:
        """Add one JSON answer or one streamed event."""
        try:
            event = msgspec.json.decode(data, type=_Event)
        except msgspec.DecodeError:
            return
        self.error = event.error or self.error
        self.usage = event.usage or self.usage
        for choice in event.choices:
            part = choice.delta.content or choice.message.content
            self.text.append(choice.text or part or "")
            self.finish_reason = choice.finish_reason or self.finish_reason


class Caller:
    """Sends requests to entries and records every outcome."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        #: All outcomes, in order of completion.
        self.outcomes: list[Outcome] = []

    async def call(
        self,
        url: str,
        ask: Ask,
        key: str = "",
        on_text: collections.abc.Callable[[], None] | None = None,
    ) -> Outcome:
        """Send a request once and return its outcome."""
        started_s = time.time()
        outcome = Outcome(ask=ask, started_s=started_s, ended_s=started_s)
        try:
            outcome = await self._exchange(url, outcome, key, on_text)
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        outcome = attrs.evolve(outcome, ended_s=time.time())
        self.outcomes.append(outcome)
        return outcome

    async def _exchange(
        self,
        url: str,
        outcome: Outcome,
        key: str,
        on_text: collections.abc.Callable[[], None] | None,
    ) -> Outcome:
        ask = outcome.ask
        async with self._session.post(
            url + ask.path,
            data=ask.body.encode(),
            headers=_headers(ask, key),
            timeout=aiohttp.ClientTimeout(total=ask.deadline_s + 5.0),
        ) as response:
            partial = _PartialAnswer()
            if response.content_type == "text/event-stream":
                await _read_events(response, partial, on_text)
                body = ""
            else:
                body = await response.text()
                partial.add(body.encode())
            retry_after = response.headers.get("Retry-After")
            return attrs.evolve(
                outcome,
                status=response.status,
                body=body,
                text="".join(partial.text),
                finish_reason=partial.finish_reason,
                code=partial.error.code,
                executed=partial.error.executed,
                retry_after_s=float(retry_after) if retry_after else None,
                prompt_tokens=partial.usage.prompt_tokens,
                output_tokens=partial.usage.completion_tokens,
            )


def _headers(ask: Ask, key: str) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        "X-Deadline-S": str(ask.deadline_s),
    }
    if key:
        headers["Authorization"] = f"Bearer {key}"
    if ask.idempotency_key:
        headers["Idempotency-Key"] = ask.idempotency_key
    return headers


async def _read_events(
    response: aiohttp.ClientResponse,
    partial: _PartialAnswer,
    on_text: collections.abc.Callable[[], None] | None,
) -> None:
    """Read server-sent events; keep what arrived before a disconnect."""
    try:
        async for line in response.content:
            if not line.startswith(b"data: {"):
                continue
            partial.add(line[len(b"data: ") :])
            if on_text and partial.text:
                on_text()
    except (TimeoutError, aiohttp.ClientError, OSError):
        partial.finish_reason = ""


def completion(
    marker: str,
    organisation: str,
    max_tokens: int = 20,
    stream: bool = False,
    padding: int = 0,
    model: str = "m",
) -> Ask:
    """Return a request to a model."""
    prompt = f"{marker} {'x' * padding}"
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return Ask(
        marker=marker,
        path="/v1/completions",
        body=json.dumps(body),
        max_tokens=max_tokens,
        stream=stream,
        organisation=organisation,
    )


def plain(
    path: str, marker: str, organisation: str, idempotency_key: str = ""
) -> Ask:
    """Return a request to a plain service."""
    return Ask(
        marker=marker,
        path=path,
        body=json.dumps({"marker": marker}),
        idempotency_key=idempotency_key,
        organisation=organisation,
    )
