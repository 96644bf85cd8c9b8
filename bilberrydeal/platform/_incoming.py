"""Decodes what callers say in header fields."""

import math

import attrs

from .. import http1
from ..systems import placement
from . import _headers


@attrs.frozen
class CallerFields:
    """What a caller said of a request."""

    #: Names this try; empty where the caller named none.
    request_id: bytes
    #: The key, ``None`` without exactly one.
    key: bytes | None
    #: How long the caller waits, in seconds; infinite where not told.
    patience_s: float
    #: The prompt, ``None`` for requests to plain services.
    prompt: placement.Prompt | None
    #: Last event that the caller has of the stream, empty at its start.
    last_event: bytes
    #: W3C trace context, empty without a trace.
    traceparent: str


def decode_caller(request: http1.Request) -> CallerFields:
    """Return what a caller said; malformed fields count as not told."""
    return CallerFields(
        request_id=request.header(_headers.HEADERS.request_id) or b"",
        key=(
            request.header(_headers.HEADERS.key)
            if request.count(_headers.HEADERS.key) == 1
            else None
        ),
        patience_s=_patience_s(request),
        prompt=_prompt(request),
        last_event=request.header(_headers.HEADERS.last_event) or b"",
        traceparent=(
            request.header(_headers.HEADERS.traceparent) or b""
        ).decode("latin-1"),
    )


def _patience_s(request: http1.Request) -> float:
    value = request.header(_headers.HEADERS.deadline_ms)
    try:
        return max(float(value), 0.0) / 1000 if value else math.inf
    except ValueError:
        return math.inf


def _prompt(request: http1.Request) -> placement.Prompt | None:
    counts = request.header(_headers.HEADERS.token_counts)
    if counts is None:
        return None
    try:
        prompt_tokens, output_tokens = map(int, counts.split(b","))
        parts = [
            _part(entry)
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


def _part(entry: bytes) -> placement.PromptPart:
    part_id, _colon, tokens = entry.strip().partition(b":")
    return placement.PromptPart(part_id, int(tokens))
