"""Messages about one request.

Requests are identified by the entry's incarnation and a sequence number, so
that late, duplicate or misdirected answers can be recognised and dropped.
Messages carry the organisation of a caller, never its API key.
"""

import enum

import attrs

from ... import ports


@attrs.frozen
class RequestNumber:
    """Identifies a request across all entries and their restarts."""

    #: Incarnation of the entry that accepted the request.
    entry: str
    #: Sequence number within that incarnation, from 1.
    sequence: int

    def __str__(self) -> str:
        return f"{self.entry}-{self.sequence}"


class CancelOutcome(enum.StrEnum):
    """Result of a cancel; final for this request at this agent."""

    #: Nothing ran and nothing will: the agent keeps a tombstone.
    NOT_STARTED = "not_started"
    #: The request had started and is being stopped.
    STARTED = "started"
    #: The request had already ended.
    FINISHED = "finished"


class QueryOutcome(enum.StrEnum):
    """What an agent knows about a request of any entry."""

    #: Nothing ran and nothing will: the agent keeps a tombstone.
    NOT_STARTED = "not_started"
    #: The request is queued or running.
    RUNNING = "running"
    #: The request has ended; the answer is included.
    FINISHED = "finished"
    #: The agent does not know.
    UNKNOWN = "unknown"


@attrs.frozen
class Submit:
    """Submits a request to the agent."""

    #: Number of the request.
    number: RequestNumber
    #: Organisation of the caller; empty on an open route.
    organisation: str
    #: Name of the route in the configuration.
    route: str
    #: Model; empty for a plain service.
    model: str
    #: Request class; lower ones are served first within the organisation.
    request_class: int
    #: Time left before the deadline at the time of sending, in seconds.
    time_left_s: float
    #: Scheduling weight of the organisation.
    weight: float
    #: Whether the request may run more than once.
    idempotent: bool
    #: Key of the claim row; empty if there is none.
    claim: str = ""
    #: The whole prompt as text, for a model.
    prompt: str = ""
    #: Maximum tokens to generate, for a model.
    max_tokens: int = 0
    #: Sampling parameters, for a model.
    sampling: ports.Sampling = ports.Sampling()
    #: Number of prompt tokens, as estimated by the entry.
    prompt_tokens: int = 0
    #: Number of prompt tokens in the cache, as estimated by the entry.
    cached_tokens: int = 0
    #: KV cache to start from, with its agent's address; empty for none.
    kv_handle: str = ""
    #: Whether to run only the prefill and keep its KV cache for export.
    prefill_only: bool = False
    #: HTTP method, for a plain service.
    method: str = ""
    #: Path and query, for a plain service.
    path: str = ""
    #: Content type of the body, for a plain service.
    content_type: str = ""
    #: Body, for a plain service.
    body: bytes = b""
    #: W3C trace context of the entry's span.
    traceparent: str = ""


@attrs.frozen
class TakeOver:
    """Moves a generation to the successor of a dead agent.

    The answer continues after the chunks that arrived. The agent counts the
    usage of the whole answer, since the predecessor's records are lost.
    """

    #: The request with the time left until its deadline.
    submit: Submit
    #: Number of the last chunk received, 0 for none.
    chunk: int
    #: Tokens in the chunks received.
    tokens: int


@attrs.frozen
class Chunk:
    """Part of a generated answer."""

    #: Sequence number of the request.
    sequence: int
    #: Number of the chunk, from 1.
    chunk: int
    #: Generated text.
    text: str
    #: Number of generated tokens.
    tokens: int


@attrs.frozen
class Finished:
    """The end of an answer; ``chunk`` continues the chunk numbers."""

    #: Sequence number of the request.
    sequence: int
    #: Number of this message in the answer.
    chunk: int
    #: HTTP status of the answer.
    status: int
    #: Why the generation ended.
    finish_reason: str = ""
    #: Content type, for a plain service.
    content_type: str = ""
    #: Body, for a plain service.
    body: bytes = b""
    #: Number of prompt tokens computed.
    prompt_tokens: int = 0
    #: Number of prompt tokens found in the cache.
    cached_tokens: int = 0
    #: Number of tokens generated.
    output_tokens: int = 0
    #: Handle of the exported KV cache, for a prefill.
    kv_handle: str = ""


@attrs.frozen
class Refused:
    """Ends a request without an answer."""

    #: Sequence number of the request.
    sequence: int
    #: Number of this message in the answer.
    chunk: int
    #: Error code, see :class:`bilberrydeal.errors.ErrorCode`.
    reason: str
    #: Whether any part of the request may have run.
    started: bool
    #: Delay after which a retry can succeed, in seconds; 0 if none can.
    retry_after_s: float = 0.0


@attrs.frozen
class Cancel:
    """Cancels a request, or ensures that it never starts."""

    #: Sequence number of the request.
    sequence: int


@attrs.frozen
class CancelResult:
    """The reply to :class:`Cancel`."""

    #: Sequence number of the request.
    sequence: int
    #: State in which the request was found.
    outcome: CancelOutcome


@attrs.frozen
class Query:
    """Asks for the outcome of a request of any entry.

    An agent that never saw the request keeps a tombstone and replies
    ``NOT_STARTED``, so that the request cannot start later. It replies
    ``UNKNOWN`` if ``agent`` is another incarnation than its own, because it
    does not know what a predecessor ran. Only for requests that are not
    idempotent: the ends of others are soon forgotten.
    """

    #: Number that matches the result to this query.
    query_id: int
    #: Number of the queried request.
    number: RequestNumber
    #: Incarnation of the agent to which the request was submitted; empty if
    #: it can only be the current one.
    agent: str = ""


@attrs.frozen
class QueryResult:
    """The reply to :class:`Query`."""

    #: Number of the query.
    query_id: int
    #: What the agent knows about the request.
    outcome: QueryOutcome
    #: The answer, if the request has finished.
    finished: Finished | None = None
