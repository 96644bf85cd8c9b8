"""Request bodies of the public chat and text completions protocol."""

import typing

import attrs
import msgspec

from ... import decoding
from ... import errors
from ... import ports

#: Maximum output tokens that a request may ask for.
OUTPUT_TOKENS_LIMIT = 32_768
#: Maximum output tokens of a request that sets none.
OUTPUT_TOKENS_DEFAULT = 256
#: Maximum number of messages in a conversation.
MESSAGES_LIMIT = 4_096

_OutputTokens = typing.Annotated[
    int, msgspec.Meta(ge=1, le=OUTPUT_TOKENS_LIMIT)
]
_Temperature = typing.Annotated[float, msgspec.Meta(ge=0, le=2)]
_TopP = typing.Annotated[float, msgspec.Meta(gt=0, le=1)]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


@attrs.frozen
class StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool = False


@attrs.frozen
class ContentPart:
    """A part of a message; only text is supported."""

    type: typing.Literal["text"]
    text: str


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: typing.Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[ContentPart]


@attrs.frozen(kw_only=True)
class _CommonBody:
    model: _Name
    max_tokens: _OutputTokens | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    temperature: _Temperature | None = None
    top_p: _TopP | None = None
    seed: int | None = None
    stop: str | list[str] | None = None


@attrs.frozen(kw_only=True)
class ChatBody(_CommonBody):
    """The body of ``/v1/chat/completions``."""

    messages: typing.Annotated[
        list[ChatMessage],
        msgspec.Meta(min_length=1, max_length=MESSAGES_LIMIT),
    ]
    max_completion_tokens: _OutputTokens | None = None


@attrs.frozen(kw_only=True)
class CompletionBody(_CommonBody):
    """The body of ``/v1/completions``."""

    prompt: typing.Annotated[str, msgspec.Meta(min_length=1)]


@attrs.frozen
class Generation:
    """A decoded generation request."""

    model: str
    prompt: str
    max_tokens: int
    sampling: ports.Sampling
    stream: bool
    include_usage: bool
    #: Whether to answer in the chat format.
    chat: bool


def decode_chat(body: bytes) -> Generation:
    """Decode the body of a chat completion, or raise a refusal."""
    decoded = _decode(body, _CHAT_DECODER)
    prompt = "".join(_format_message(message) for message in decoded.messages)
    return _build_generation(
        decoded,
        f"{prompt}<|assistant|>\n",
        decoded.max_completion_tokens or decoded.max_tokens,
        True,
    )


def decode_completion(body: bytes) -> Generation:
    """Decode the body of a text completion, or raise a refusal."""
    decoded = _decode(body, _COMPLETION_DECODER)
    return _build_generation(
        decoded, decoded.prompt, decoded.max_tokens, False
    )


_CHAT_DECODER = msgspec.json.Decoder(ChatBody)
_COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)
_Body = typing.TypeVar("_Body")


def _decode(body: bytes, decoder: msgspec.json.Decoder[_Body]) -> _Body:
    try:
        return decoder.decode(body)
    except decoding.DECODE_ERRORS as error:
        raise errors.Refusal(
            reason=errors.ErrorCode.BAD_REQUEST,
            message=f"Invalid request body: {error}.",
            status=400,
        ) from error


def _format_message(message: ChatMessage) -> str:
    content = message.content
    if isinstance(content, list):
        content = "".join(part.text for part in content)
    return f"<|{message.role}|>\n{content}\n"


def _build_generation(
    decoded: _CommonBody, prompt: str, max_tokens: int | None, chat: bool
) -> Generation:
    stop = [decoded.stop] if isinstance(decoded.stop, str) else decoded.stop
    options = decoded.stream_options
    return Generation(
        model=decoded.model,
        prompt=prompt,
        max_tokens=max_tokens or OUTPUT_TOKENS_DEFAULT,
        sampling=ports.Sampling(
            temperature=decoded.temperature,
            top_p=decoded.top_p,
            seed=decoded.seed,
            stop=tuple(stop or ()),
        ),
        stream=decoded.stream,
        include_usage=options is not None and options.include_usage,
        chat=chat,
    )
