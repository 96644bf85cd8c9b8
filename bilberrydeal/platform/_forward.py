"""Builds the head of a request as an endpoint gets it."""

import attrs

from .. import http1
from . import _headers

#: Rank of the least urgent requests.
RANK_LAST = 9


@attrs.frozen
class SendFields:
    """What this system says to an endpoint about one send."""

    #: The endpoint that is meant; another one refuses.
    endpoint_id: str
    #: Time that is left, in seconds.
    left_s: float
    #: Organisation of the request, ``None`` on public routes.
    organisation: str | None
    #: Rank at an engine, 0 is first; ``None`` for plain services.
    rank: int | None = None
    #: Whether the engine only reads the prompt.
    prefill: bool = False
    #: Where the engine fetches the KV cache, as ``IP:PORT/HANDLE``.
    kv_source: str = ""
    #: Last event that the caller has; the stream goes on after it.
    last_event: bytes = b""
    #: W3C trace context of the send, empty without a trace.
    traceparent: str = ""


def forward_head(request: http1.Request, fields: SendFields) -> bytes:
    """Return the head of a request to an endpoint."""
    names = _headers.HEADERS
    ours = _headers.RESERVED | {names.deadline_ms, names.last_event}
    if fields.traceparent:
        ours |= {names.traceparent}
    headers = [
        header
        for header in http1.end_to_end(request.headers, _headers.KEPT)
        if header[0] not in ours
    ]
    left_ms = max(int(fields.left_s * 1000), 1)
    headers.append((names.deadline_ms, b"%d" % left_ms))
    headers.append((names.expected_endpoint, fields.endpoint_id.encode()))
    if fields.organisation is not None:
        headers.append((names.organisation, fields.organisation.encode()))
    if fields.rank is not None:
        rank = min(max(fields.rank, 0), RANK_LAST)
        headers.append((names.rank, b"%d" % rank))
    if fields.prefill:
        headers.append((names.stage, _headers.PREFILL))
    if fields.kv_source:
        headers.append((names.kv_source, fields.kv_source.encode()))
    if fields.last_event:
        headers.append((names.last_event, fields.last_event))
    if fields.traceparent:
        headers.append((names.traceparent, fields.traceparent.encode()))
    if request.has_body:
        headers.append((b"content-length", b"%d" % len(request.body)))
    line = b"%b %b HTTP/1.1" % (request.method, request.target)
    return http1.render_head(line, headers)
