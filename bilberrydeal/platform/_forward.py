"""Builds the head of a request that is forwarded to an endpoint."""

import attrs

from .. import http1
from . import _headers

#: Priority of the least urgent requests.
LOWEST_PRIORITY = 9


@attrs.frozen
class SendFields:
    """Values of the headers that this system sets on one send."""

    #: The addressed endpoint; any other endpoint rejects the request.
    endpoint_id: str
    #: Time until the deadline, in seconds.
    time_left_s: float
    #: Organisation of the request, ``None`` on public routes.
    organisation: str | None
    #: Priority at an engine, 0 is the highest; ``None`` for plain services.
    priority: int | None = None
    #: Whether the engine runs only the prefill.
    prefill: bool = False
    #: Where the engine fetches the KV cache, as ``IP:PORT/HANDLE``.
    kv_source: str = ""
    #: Engine that cached parts of the prompt are fetched from, ``IP:PORT``.
    kv_fetch: str = ""
    #: Id of the last event the caller received; the stream resumes after it.
    last_event: bytes = b""
    #: W3C trace context of the send; empty if it is not traced.
    traceparent: str = ""


def forward_head(request: http1.Request, fields: SendFields) -> bytes:
    """Return the serialised head of a request to an endpoint."""
    names = _headers.HEADERS
    excluded = _headers.RESERVED_HEADERS | {
        names.deadline_ms,
        names.last_event,
    }
    if fields.traceparent:
        excluded |= {names.traceparent}
    headers = [
        header
        for header in http1.end_to_end_headers(
            request.headers, _headers.PROTECTED_HEADERS
        )
        if header[0] not in excluded
    ]
    time_left_ms = max(int(fields.time_left_s * 1000), 1)
    headers.append((names.deadline_ms, b"%d" % time_left_ms))
    headers.append((names.expected_endpoint, fields.endpoint_id.encode()))
    if fields.organisation is not None:
        headers.append((names.organisation, fields.organisation.encode()))
    if fields.priority is not None:
        priority = min(max(fields.priority, 0), LOWEST_PRIORITY)
        headers.append((names.priority, b"%d" % priority))
    if fields.prefill:
        headers.append((names.stage, _headers.PREFILL))
    if fields.kv_source:
        headers.append((names.kv_source, fields.kv_source.encode()))
    if fields.kv_fetch:
        headers.append((names.kv_fetch, fields.kv_fetch.encode()))
    if fields.last_event:
        headers.append((names.last_event, fields.last_event))
    if fields.traceparent:
        headers.append((names.traceparent, fields.traceparent.encode()))
    if request.has_body:
        headers.append((b"content-length", b"%d" % len(request.body)))
    line = b"%b %b HTTP/1.1" % (request.method, request.target)
    return http1.render_head(line, headers)
