"""Names of header fields and paths on the platform's wire."""

import attrs

#: Path of the readiness check.
READY_PATH = b"/bilberrydeal/ready"


@attrs.frozen
class HeaderNames:
    """Field names, in lower case as the parser gives them."""

    #: Names one try of a caller; each try has another.
    request_id: bytes = b"request-id"
    #: How long the sender still waits, in milliseconds.
    deadline_ms: bytes = b"deadline-ms"
    #: Parts of the prompt as ``id:tokens``, in order.
    prompt_parts: bytes = b"prefix-hash"
    #: Prompt tokens and most output tokens, with a comma between.
    token_counts: bytes = b"token-usage"
    #: Guess at the output tokens.
    output_hint: bytes = b"output-length-hint"
    #: The model asked for.
    model: bytes = b"model"
    #: Last event that the sender has of a stream.
    last_event: bytes = b"last-event-id"
    #: The caller's key; endpoints never see it.
    key: bytes = b"key"
    #: Proof that an endpoint made the answer.
    signature: bytes = b"server-signature"
    #: Organisation of the request, told to the endpoint.
    organisation: bytes = b"tenant-id"
    #: Endpoint that the request is meant for.
    expected_endpoint: bytes = b"expect-instance"
    #: Set by an endpoint that did not run the request.
    not_executed: bytes = b"not-executed"
    #: When the caller may come back, in seconds.
    retry_after: bytes = b"retry-after"
    #: Rank of a request at an engine, 0 is first.
    rank: bytes = b"request-priority"
    #: Asks an engine only to read the prompt.
    stage: bytes = b"serving-stage"
    #: Where an engine fetches the KV cache of a request.
    kv_source: bytes = b"kv-source"
    #: The W3C trace context.
    traceparent: bytes = b"traceparent"
    #: Encoding of a body; endpoints never use one.
    content_encoding: bytes = b"content-encoding"


HEADERS = HeaderNames()

#: Value of the stage field for reading a prompt.
PREFILL = b"prefill"

#: Fields that only this system may set towards endpoints.
RESERVED = frozenset(
    [
        b"expect-instance",
        b"expect-version",
        b"fencing-token",
        b"instance-id",
        b"key",
        b"kv-backup",
        b"kv-fetch",
        b"kv-hold",
        b"kv-pin-ms",
        b"kv-source",
        b"lease-holder",
        b"not-executed",
        b"request-priority",
        b"server-signature",
        b"serving-stage",
        b"tenant-id",
    ]
)

#: Fields that a caller's ``Connection`` cannot have removed.
KEPT = frozenset(
    [
        b"content-type",
        b"deadline-ms",
        b"host",
        b"last-event-id",
        b"model",
        b"output-length-hint",
        b"prefix-hash",
        b"request-id",
        b"token-usage",
    ]
)
