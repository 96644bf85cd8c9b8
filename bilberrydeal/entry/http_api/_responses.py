"""Response bodies of the public chat and text completions protocol."""

import attrs
import msgspec

from ... import errors
from ... import link
from .. import core

#: Ends a stream of server-sent events.
STREAM_END = b"data: [DONE]\n\n"


@attrs.frozen
class ErrorDetail:
    """The error of a refusal."""

    code: str
    message: str
    #: ``no`` only if it is certain that nothing ran.
    executed: str
    #: Delay after which a retry can succeed, in seconds.
    retry_after_s: float | None = None


@attrs.frozen
class ErrorBody:
    """The body of every refusal."""

    error: ErrorDetail


@attrs.frozen
class UsageBlock:
    """Token usage of a generation."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cached_tokens: int


@attrs.frozen
class Message:
    """Generated text in a conversation."""

    content: str
    role: str = "assistant"


@attrs.frozen
class ChatChoice:
    """The only choice of a complete chat response."""

    message: Message
    finish_reason: str
    index: int = 0


@attrs.frozen
class TextChoice:
    """The only choice of a text completion or of one of its events."""

    text: str
    finish_reason: str | None
    index: int = 0


@attrs.frozen
class ChatDelta:
    """The only choice of a chat event."""

    delta: Message
    finish_reason: str | None = None
    index: int = 0


@attrs.frozen
class CompletionResponse:
    """A complete response or one event of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice] | list[TextChoice] | list[ChatDelta]
    usage: UsageBlock | None = None


class ResponseWriter:
    """Encodes the response to one generation."""

    def __init__(
        self, generation: core.Generation, response_id: str, created_s: int
    ) -> None:
        self._generation = generation
        self._id = response_id
        self._created_s = created_s
        # Events differ only in their text, so the rest is encoded once.
        head, tail = _event(self._chunk(_TEXT_PLACEHOLDER, None)).split(
            _ENCODER.encode(_TEXT_PLACEHOLDER)
        )
        self._event_head = head
        self._event_tail = tail

    def full_response(self, text: str, end: link.Finished) -> bytes:
        """Return the body of a response that is not streamed."""
        if self._generation.chat:
            kind = "chat.completion"
            chat = ChatChoice(Message(text), end.finish_reason)
            return _encode(self._response(kind, [chat], usage_of(end)))
        plain = TextChoice(text, end.finish_reason)
        return _encode(
            self._response("text_completion", [plain], usage_of(end))
        )

    def event(self, text: str) -> bytes:
        """Return an event with generated text."""
        return self._event_head + _ENCODER.encode(text) + self._event_tail

    def end(self, end: link.Finished) -> bytes:
        """Return the last events of a stream."""
        last = _event(self._chunk("", end.finish_reason))
        if self._generation.include_usage:
            kind = self._kind()
            last += _event(self._response(kind, [], usage_of(end)))
        return last + STREAM_END

    def _chunk(self, text: str, reason: str | None) -> CompletionResponse:
        if self._generation.chat:
            delta = ChatDelta(Message(text), reason)
            return self._response(self._kind(), [delta])
        return self._response(self._kind(), [TextChoice(text, reason)])

    def _kind(self) -> str:
        chat = self._generation.chat
        return "chat.completion.chunk" if chat else "text_completion"

    def _response(
        self,
        kind: str,
        choices: list[ChatChoice] | list[TextChoice] | list[ChatDelta],
        usage: UsageBlock | None = None,
    ) -> CompletionResponse:
        return CompletionResponse(
            id=self._id,
            object=kind,
            created=self._created_s,
            model=self._generation.model,
            choices=choices,
            usage=usage,
        )


def usage_of(end: link.Finished) -> UsageBlock:
    """Return the token usage of a generation."""
    prompt_tokens = end.prompt_tokens + end.cached_tokens
    return UsageBlock(
        prompt_tokens=prompt_tokens,
        completion_tokens=end.output_tokens,
        total_tokens=prompt_tokens + end.output_tokens,
        cached_tokens=end.cached_tokens,
    )


def error_body(refusal: errors.Refusal) -> bytes:
    """Return the body of a refusal."""
    detail = ErrorDetail(
        code=refusal.reason.value,
        message=refusal.message,
        executed=refusal.executed.value,
        retry_after_s=refusal.retry_after_s,
    )
    return _encode(ErrorBody(detail))


def error_event(refusal: errors.Refusal) -> bytes:
    """Return the event that ends a started stream with an error."""
    return b"data: " + error_body(refusal) + b"\n\n"


_ENCODER = msgspec.json.Encoder()
#: Placeholder for the text of an event. Names contain no control characters,
#: so it occurs nowhere else.
_TEXT_PLACEHOLDER = "\x00text\x00"


def _encode(body: CompletionResponse | ErrorBody) -> bytes:
    return _ENCODER.encode(body)


def _event(answer: CompletionResponse) -> bytes:
    return b"data: " + _ENCODER.encode(answer) + b"\n\n"
