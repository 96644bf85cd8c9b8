"""Decodes the header fields of callers' requests."""

import math

import attrs

from .. import http1
from ..systems import placement
from . import _headers
from . import _quotas


@attrs.frozen
class CallerFields:
    """Decoded header fields of a caller's request."""

    #: Id of this attempt; empty if the caller sent none.
    request_id: bytes
    #: The key; ``None`` unless exactly one was sent.
    key: bytes | None
    #: How long the caller waits, in seconds; infinite if not sent.
    timeout_s: float
    #: The prompt; ``None`` for requests to plain services.
    prompt: placement.Prompt | None
    #: Id of the last event the caller received; empty at the stream's start.
    last_event: bytes
    #: W3C trace context; empty if the request is not traced.
    traceparent: str
    #: Value of the header with its numbers of tokens, ``None`` if absent; only
    #: requests of organisations with a limit need it decoded.
    token_counts: bytes | None = None
    #: Id of the attempt that began the stream; empty at the stream's start.
    resumed_id: bytes = b""


def decode_caller(request: http1.Request) -> CallerFields:
    """Return the decoded fields; malformed ones count as absent."""
    token_counts = request.header(_headers.HEADERS.token_counts)
    return CallerFields(
        request_id=request.header(_headers.HEADERS.request_id) or b"",
        key=(
            request.header(_headers.HEADERS.key)
            if request.count(_headers.HEADERS.key) == 1
            else None
        ),
        timeout_s=_parse_timeout_s(request),
        prompt=_parse_prompt(request, token_counts),
        last_event=request.header(_headers.HEADERS.last_event) or b"",
        traceparent=(
            request.header(_headers.HEADERS.traceparent) or b""
        ).decode("latin-1"),
        token_counts=token_counts,
        resumed_id=request.header(_headers.HEADERS.resumes) or b"",
    )


def _parse_timeout_s(request: http1.Request) -> float:
    value = request.header(_headers.HEADERS.deadline_ms)
    try:
        timeout_ms = float(value) if value else math.inf
    except ValueError:
        return math.inf
    return math.inf if math.isnan(timeout_ms) else max(timeout_ms, 0.0) / 1000


def _parse_prompt(
    request: http1.Request, counts: bytes | None
) -> placement.Prompt | None:
    if counts is None:
        return None
    try:
        prompt_tokens, output_tokens = map(_tokens, counts.split(b","))
        parts = [
            _parse_part(entry)
            for entry in (
                request.header(_headers.HEADERS.prompt_parts) or b""
            ).split(b",")
            if entry
        ]
    except ValueError:
        return None
    if not parts:
        parts = [placement.PromptPart(b"", prompt_tokens)]
    return placement.Prompt(tuple(parts), output_tokens)


def _parse_part(entry: bytes) -> placement.PromptPart:
    part_id, _colon, tokens = entry.strip().partition(b":")
    return placement.PromptPart(part_id, _tokens(tokens))


def _tokens(value: bytes) -> int:
    """Return a number of tokens, or raise :class:`ValueError`."""
    tokens = int(value)
    if not 0 <= tokens <= _quotas.TOKENS_LIMIT:
        raise ValueError("number of tokens out of range")
    return tokens
