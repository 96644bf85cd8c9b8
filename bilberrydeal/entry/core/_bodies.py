"""Bodies of callers' requests, after the published completions protocol."""

import typing

import attrs
import msgspec

from ... import errors
from ... import ports

#: Most tokens that a request may ask for.
OUTPUT_TOKENS_LIMIT = 32_768
#: Tokens generated for a request that names no number.
OUTPUT_TOKENS_DEFAULT = 256
#: Most messages of one conversation.
MESSAGES_LIMIT = 4_096

_OutputTokens = typing.Annotated[
    int, msgspec.Meta(ge=1, le=OUTPUT_TOKENS_LIMIT)
]
_Temperature = typing.Annotated[float, msgspec.Meta(ge=0, le=2)]
_TopP = typing.Annotated[float, msgspec.Meta(gt=0, le=1)]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


@attrs.frozen
class StreamOptions:
    """What a stream carries besides text."""

    include_usage: bool = False


@attrs.frozen
class ContentPart:
    """A part of a message; only text is taken."""

    type: typing.Literal["text"]
    text: str


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: typing.Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[ContentPart]


@attrs.frozen(kw_only=True)
class _Common:
    model: _Name
    max_tokens: _OutputTokens | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    temperature: _Temperature | None = None
    top_p: _TopP | None = None
    seed: int | None = None
    stop: str | list[str] | None = None


@attrs.frozen(kw_only=True)
class ChatBody(_Common):
    """The body of ``/v1/chat/completions``."""

    messages: typing.Annotated[
        list[ChatMessage],
        msgspec.Meta(min_length=1, max_length=MESSAGES_LIMIT),
    ]
    max_completion_tokens: _OutputTokens | None = None


@attrs.frozen(kw_only=True)
class CompletionBody(_Common):
    """The body of ``/v1/completions``."""

    prompt: typing.Annotated[str, msgspec.Meta(min_length=1)]


@attrs.frozen
class Generation:
    """What a caller wants generated."""

    model: str
    prompt: str
    max_tokens: int
    sampling: ports.Sampling
    stream: bool
    include_usage: bool
    #: Whether the answer has the shape of a conversation.
    chat: bool


def decode_chat(body: bytes) -> Generation:
    """Read the body of a chat completion, or raise a refusal."""
    given = _decode(body, _CHAT)
    prompt = "".join(_line(message) for message in given.messages)
    return _generation(
        given,
        f"{prompt}<|assistant|>\n",
        given.max_completion_tokens or given.max_tokens,
        True,
    )


def decode_completion(body: bytes) -> Generation:
    """Read the body of a completion, or raise a refusal."""
    given = _decode(body, _COMPLETION)
    return _generation(given, given.prompt, given.max_tokens, False)


_CHAT = msgspec.json.Decoder(ChatBody)
_COMPLETION = msgspec.json.Decoder(CompletionBody)
_Body = typing.TypeVar("_Body")


def _decode(body: bytes, decoder: msgspec.json.Decoder[_Body]) -> _Body:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.Refusal(
            reason=errors.ErrorCode.BAD_REQUEST,
            sentence=f"The body is not valid: {error}.",
            status=400,
        ) from error


def _line(message: ChatMessage) -> str:
    content = message.content
    if isinstance(content, list):
        content = "".join(part.text for part in content)
    return f"<|{message.role}|>\n{content}\n"


def _generation(
    given: _Common, prompt: str, max_tokens: int | None, chat: bool
) -> Generation:
    stop = [given.stop] if isinstance(given.stop, str) else given.stop
    options = given.stream_options
    return Generation(
        model=given.model,
        prompt=prompt,
        max_tokens=max_tokens or OUTPUT_TOKENS_DEFAULT,
        sampling=ports.Sampling(
            temperature=given.temperature,
            top_p=given.top_p,
            seed=given.seed,
            stop=tuple(stop or ()),
        ),
        stream=given.stream,
        include_usage=options is not None and options.include_usage,
        chat=chat,
    )
