"""Messages about one request.

Requests are numbered by the entry's incarnation and a sequence, so that an
answer that is late, doubled or crossed is matched by number or dropped. A
key of a caller never appears here: messages carry the organisation.
"""

import enum

import attrs

from ... import ports


@attrs.frozen
class RequestNumber:
    """Names one request over all entries and their restarts."""

    #: Incarnation of the entry that took the request.
    entry: str
    #: Sequence within that incarnation, from 1.
    sequence: int

    def __str__(self) -> str:
        return f"{self.entry}-{self.sequence}"


class CancelOutcome(enum.StrEnum):
    """What a cancel found; all are final for this request at this agent."""

    #: Nothing ran and nothing will: the agent keeps a tombstone.
    NOT_STARTED = "not_started"
    #: The request had begun and is being ended.
    STARTED = "started"
    #: The request had ended before.
    FINISHED = "finished"


class QueryOutcome(enum.StrEnum):
    """What an agent knows of a request of another entry."""

    #: Nothing ran and nothing will: the agent keeps a tombstone.
    NOT_STARTED = "not_started"
    #: It runs now.
    RUNNING = "running"
    #: It ended; the answer comes along.
    FINISHED = "finished"
    #: The agent cannot tell.
    UNKNOWN = "unknown"


@attrs.frozen
class Submit:
    """Hands a request to the agent."""

    #: Number of the request.
    number: RequestNumber
    #: Organisation for which it runs; empty on an open route.
    organisation: str
    #: Name of the route in the configuration.
    route: str
    #: Model, empty for a plain service.
    model: str
    #: Request class: lower is served first within the organisation.
    request_class: int
    #: Time left before the deadline when this was sent, in seconds.
    time_left_s: float
    #: Weight of the organisation.
    weight: float
    #: Whether it may run more than once.
    idempotent: bool
    #: Key of the claim row, empty without one.
    claim: str = ""
    #: Prompt as one text, for a model.
    prompt: str = ""
    #: Most tokens to generate, for a model.
    max_tokens: int = 0
    #: How tokens are drawn, for a model.
    sampling: ports.Sampling = ports.Sampling()
    #: Prompt tokens as the entry estimates them.
    prompt_tokens: int = 0
    #: Prompt tokens likely in the cache, as the entry estimates them.
    cached_tokens: int = 0
    #: KV cache to start from, with its agent's address; empty without one.
    kv_handle: str = ""
    #: Whether only the prefill is wanted, its KV cache kept for export.
    prefill_only: bool = False
    #: HTTP method, for a plain service.
    method: str = ""
    #: Path and query, for a plain service.
    path: str = ""
    #: Content type of the body, for a plain service.
    content_type: str = ""
    #: The body, for a plain service.
    body: bytes = b""
    #: W3C trace context of the entry's span.
    traceparent: str = ""


@attrs.frozen
class TakeOver:
    """Hands over a generation that a dead predecessor of the agent had.

    The answer goes on past the chunks that arrived; the agent counts all
    of it, since nothing that its predecessor counted will come.
    """

    #: What was asked, with the time that is left of it.
    submit: Submit
    #: The last chunk that arrived, 0 for none.
    chunk: int
    #: Tokens in the chunks that arrived.
    tokens: int


@attrs.frozen
class Chunk:
    """A part of an answer."""

    #: Sequence of the request.
    sequence: int
    #: Number of the chunk, from 1.
    chunk: int
    #: Text generated.
    text: str
    #: Tokens generated.
    tokens: int


@attrs.frozen
class Finished:
    """The end of an answer; ``chunk`` counts on from the last part."""

    #: Sequence of the request.
    sequence: int
    #: Number of this message in the answer.
    chunk: int
    #: HTTP status of the answer.
    status: int
    #: Why a generation ended.
    finish_reason: str = ""
    #: Content type, for a plain service.
    content_type: str = ""
    #: Body, for a plain service.
    body: bytes = b""
    #: Prompt tokens computed.
    prompt_tokens: int = 0
    #: Prompt tokens found in the cache.
    cached_tokens: int = 0
    #: Tokens generated.
    output_tokens: int = 0
    #: Handle of the exported KV cache, for a prefill.
    kv_handle: str = ""


@attrs.frozen
class Refused:
    """The request ends without an answer."""

    #: Sequence of the request.
    sequence: int
    #: Number of this message in the answer.
    chunk: int
    #: Code of the reason, see :class:`bilberrydeal.errors.ErrorCode`.
    reason: str
    #: Whether any part of it may have run.
    started: bool
    #: When a retry can help, in seconds; 0 where none can.
    retry_after_s: float = 0.0


@attrs.frozen
class Cancel:
    """Ends a request, or makes sure that it never begins."""

    #: Sequence of the request.
    sequence: int


@attrs.frozen
class CancelResult:
    """The answer to :class:`Cancel`."""

    #: Sequence of the request.
    sequence: int
    #: What was found.
    outcome: CancelOutcome


@attrs.frozen
class Query:
    """Asks what became of a request of any entry.

    An agent that never saw the request keeps a tombstone and answers
    ``NOT_STARTED``, so that the request cannot begin later. It answers
    ``UNKNOWN`` where ``agent`` is another incarnation than its own: what a
    predecessor ran it cannot tell. Only for requests that are not
    idempotent: the ends of others are soon forgotten.
    """

    #: Chosen by the asker to match the answer.
    query_id: int
    #: The request asked about.
    number: RequestNumber
    #: Incarnation of the agent that it was handed to; empty if it can only
    #: be the present one.
    agent: str = ""


@attrs.frozen
class QueryResult:
    """The answer to :class:`Query`."""

    #: Matches the question.
    query_id: int
    #: What was found.
    outcome: QueryOutcome
    #: The answer, when it ended.
    finished: Finished | None = None
