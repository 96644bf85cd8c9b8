"""Names of the headers and paths of the platform's protocol."""

import attrs

#: Path of the readiness check.
READY_PATH = b"/bilberrydeal/ready"


@attrs.frozen
class HeaderNames:
    """Header names, in lower case as the parser returns them."""

    #: Id of one attempt of a caller; each attempt has its own.
    request_id: bytes = b"request-id"
    #: Time until the sender's deadline, in milliseconds.
    deadline_ms: bytes = b"deadline-ms"
    #: Parts of the prompt as comma-separated ``id:tokens``, in order.
    prompt_parts: bytes = b"prefix-hash"
    #: Prompt tokens and maximum output tokens, separated by a comma.
    token_counts: bytes = b"token-usage"
    #: Estimated number of output tokens.
    output_hint: bytes = b"output-length-hint"
    #: The requested model.
    model: bytes = b"model"
    #: Id of the last event of a stream that the sender received.
    last_event: bytes = b"last-event-id"
    #: Id of the attempt that began the stream which a caller resumes.
    resumes: bytes = b"resumes"
    #: The caller's key; never forwarded to endpoints.
    key: bytes = b"key"
    #: Proves that an endpoint produced the response.
    signature: bytes = b"server-signature"
    #: Organisation of the request, sent to the endpoint.
    organisation: bytes = b"tenant-id"
    #: Id of the endpoint that the request is addressed to.
    expected_endpoint: bytes = b"expect-instance"
    #: Set by an endpoint that did not run the request.
    not_executed: bytes = b"not-executed"
    #: Delay before the caller may retry, in seconds.
    retry_after: bytes = b"retry-after"
    #: Set by an endpoint that leaves and wants no new requests.
    leaving: bytes = b"server-leaving"
    #: Requests a second that an endpoint takes from all gateways together.
    request_limit: bytes = b"server-limit"
    #: Priority of a request at an engine; 0 is the highest.
    priority: bytes = b"request-priority"
    #: Asks an engine to run only the prefill of the prompt.
    stage: bytes = b"serving-stage"
    #: Source from which an engine fetches the KV cache of a request.
    kv_source: bytes = b"kv-source"
    #: Engine whose cache an engine fetches parts of the prompt from.
    kv_fetch: bytes = b"kv-fetch"
    #: Era of the store, which rises when it comes back from a copy.
    store_era: bytes = b"store-era"
    #: The W3C trace context.
    traceparent: bytes = b"traceparent"
    #: Encoding of a body; endpoints never send one.
    content_encoding: bytes = b"content-encoding"


HEADERS = HeaderNames()

#: Value of ``serving-stage`` for a prefill.
PREFILL = b"prefill"

#: Headers to endpoints that only this system may set.
RESERVED_HEADERS = frozenset(
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

#: Headers that are forwarded even if a caller's ``Connection`` lists them.
PROTECTED_HEADERS = frozenset(
    [
        b"content-type",
        b"deadline-ms",
        b"host",
        b"last-event-id",
        b"model",
        b"output-length-hint",
        b"prefix-hash",
        b"request-id",
        b"resumes",
        b"token-usage",
    ]
)
