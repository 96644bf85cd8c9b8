"""Bodies of answers, after the published completions protocol."""

import attrs
import msgspec

from ... import errors
from ... import link
from .. import core

#: Ends a stream of server-sent events.
STREAM_END = b"data: [DONE]\n\n"


@attrs.frozen
class ErrorDetail:
    """What every refusal says."""

    code: str
    message: str
    #: ``no`` only where it is proved that nothing ran.
    executed: str
    #: When a retry can help, in seconds.
    retry_after_s: float | None = None


@attrs.frozen
class ErrorBody:
    """The body of every refusal."""

    error: ErrorDetail


@attrs.frozen
class UsageBlock:
    """What a generation used."""

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
    """The one choice of a whole chat answer."""

    message: Message
    finish_reason: str
    index: int = 0


@attrs.frozen
class TextChoice:
    """The one choice of a whole completion or of one of its events."""

    text: str
    finish_reason: str | None
    index: int = 0


@attrs.frozen
class ChatDelta:
    """The one choice of a chat event."""

    delta: Message
    finish_reason: str | None = None
    index: int = 0


@attrs.frozen
class Answer:
    """A whole answer or one event of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice] | list[TextChoice] | list[ChatDelta]
    usage: UsageBlock | None = None


class Writer:
    """Writes the answer to one generation."""

    def __init__(
        self, generation: core.Generation, answer_id: str, created_s: int
    ) -> None:
        self._generation = generation
        self._id = answer_id
        self._created_s = created_s
        # All events but their text are alike, so they are encoded once.
        head, tail = _event(self._piece(_TEXT_MARK, None)).split(
            _ENCODER.encode(_TEXT_MARK)
        )
        self._event_head = head
        self._event_tail = tail

    def whole(self, text: str, end: link.Finished) -> bytes:
        """Return the body of an answer that is not streamed."""
        if self._generation.chat:
            kind = "chat.completion"
            chat = ChatChoice(Message(text), end.finish_reason)
            return _encode(self._answer(kind, [chat], usage_block(end)))
        plain = TextChoice(text, end.finish_reason)
        return _encode(
            self._answer("text_completion", [plain], usage_block(end))
        )

    def event(self, text: str) -> bytes:
        """Return one event with generated text."""
        return self._event_head + _ENCODER.encode(text) + self._event_tail

    def end(self, end: link.Finished) -> bytes:
        """Return the last events of a stream."""
        last = _event(self._piece("", end.finish_reason))
        if self._generation.include_usage:
            kind = self._kind()
            last += _event(self._answer(kind, [], usage_block(end)))
        return last + STREAM_END

    def _piece(self, text: str, reason: str | None) -> Answer:
        if self._generation.chat:
            delta = ChatDelta(Message(text), reason)
            return self._answer(self._kind(), [delta])
        return self._answer(self._kind(), [TextChoice(text, reason)])

    def _kind(self) -> str:
        chat = self._generation.chat
        return "chat.completion.chunk" if chat else "text_completion"

    def _answer(
        self,
        kind: str,
        choices: list[ChatChoice] | list[TextChoice] | list[ChatDelta],
        usage: UsageBlock | None = None,
    ) -> Answer:
        return Answer(
            id=self._id,
            object=kind,
            created=self._created_s,
            model=self._generation.model,
            choices=choices,
            usage=usage,
        )


def usage_block(end: link.Finished) -> UsageBlock:
    """Return what a generation used."""
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
        message=refusal.sentence,
        executed=refusal.executed.value,
        retry_after_s=refusal.retry_after_s,
    )
    return _encode(ErrorBody(detail))


def error_event(refusal: errors.Refusal) -> bytes:
    """Return the event that ends a stream which had begun."""
    return b"data: " + error_body(refusal) + b"\n\n"


_ENCODER = msgspec.json.Encoder()
#: Stands for the text of an event; control characters are in no name.
_TEXT_MARK = "\x00text\x00"


def _encode(body: Answer | ErrorBody) -> bytes:
    return _ENCODER.encode(body)


def _event(answer: Answer) -> bytes:
    return b"data: " + _ENCODER.encode(answer) + b"\n\n"
