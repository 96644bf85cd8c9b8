"""Messages on the link.

Requests are numbered by the entry's incarnation and a sequence, so that an
answer that is late, doubled or crossed is matched by number or dropped. A
key of a caller never appears here: messages carry the organisation.
"""

import enum
import typing

import attrs

from .. import ports

#: Version of this protocol; peers with another version are refused.
PROTOCOL_VERSION = 2


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
class Hello:
    """Opens a link; sent by the entry to the agent's control port."""

    #: Version that the entry speaks.
    protocol_version: int
    #: Incarnation of the entry.
    entry: str
    #: The failure domain of the entry.
    failure_domain: str


@attrs.frozen
class HelloReply:
    """Where to dial, or why not."""

    #: Version that the agent speaks.
    protocol_version: int
    #: Incarnation of the agent.
    agent: str
    #: Name of the endpoint that the agent serves.
    endpoint_id: str
    #: Port of the pair socket that waits for this link, 0 when refused.
    port: int
    #: Number of the session that the pair socket is for.
    session: int = 0
    #: Why the link was refused, empty when it was not.
    refusal: str = ""
    #: Whether the agent takes :class:`TakeOver`.
    takes_over: bool = False


@attrs.frozen
class Open:
    """The first message of an entry on a pair socket.

    An agent takes nothing before it, so that an entry that dials late
    cannot take over a port that was given to another one since.
    """

    #: Incarnation of the entry.
    entry: str
    #: Incarnation of the agent, out of the answer to the hello.
    agent: str
    #: Session, out of the answer to the hello.
    session: int


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
class Ack:
    """Tells the agent that it may forget chunks."""

    #: Sequence of the request.
    sequence: int
    #: All chunks up to this one have arrived.
    chunk: int


@attrs.frozen
class Resume:
    """After a new dial: send the chunks past this one again."""

    #: Sequence of the request.
    sequence: int
    #: The last chunk that arrived, 0 for none.
    chunk: int


@attrs.frozen
class Missing:
    """Answers :class:`Resume`: the agent never got this request.

    The entry sends the :class:`Submit` again.
    """

    #: Sequence of the request.
    sequence: int


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


@attrs.frozen
class UsageRecord:
    """What one request used, counted where it ran."""

    #: Position in this agent incarnation's records, from 1.
    record: int
    #: Number of the request.
    number: RequestNumber
    #: Whose usage it is.
    organisation: str
    #: When it was counted, seconds since the epoch.
    counted_at_s: float
    #: Prompt tokens computed.
    prompt_tokens: int
    #: Prompt tokens found in the cache.
    cached_tokens: int
    #: Tokens generated.
    output_tokens: int
    #: Calls.
    calls: int


@attrs.frozen
class UsageRecords:
    """Records to settle; sent until :class:`Settled` comes."""

    #: Incarnation of the agent.
    agent: str
    #: The records, in order.
    records: tuple[UsageRecord, ...]
    #: This record and all before it have been acknowledged, so that nobody
    #: needs to remember them.
    acked: int = 0


@attrs.frozen
class Settled:
    """Tells the agent that records are in the table."""

    #: The records, as their positions.
    records: tuple[int, ...]


@attrs.frozen
class EndpointStatus:
    """What an agent says of its endpoint."""

    #: Version of the order applied.
    order_version: int
    #: Role of the engine; empty for a plain service.
    role: str
    #: Model, or name of the plain service.
    service: str
    #: Whether new work is accepted.
    accepting: bool
    #: Requests that run.
    running: int
    #: Requests that wait at the agent or the engine.
    waiting: int
    #: Prompt tokens not computed yet.
    queued_prompt_tokens: int
    #: Tokens still to be generated, as expected.
    queued_output_tokens: int
    #: Share of the KV memory in use, 0 to 1.
    kv_used_share: float
    #: How old the figures of the load were when this was sent, in seconds.
    load_age_s: float = 0.0


@attrs.frozen
class CacheChanges:
    """How the prefix cache of an engine changed since the last of these."""

    #: Blocks gained.
    stored: tuple[int, ...]
    #: Blocks lost.
    evicted: tuple[int, ...]


@attrs.frozen
class Heartbeat:
    """Sent by the entry, which wants it echoed at once."""

    #: Number that the echo repeats.
    beat: int
    #: The next heartbeat follows within so many milliseconds.
    next_ms: int


@attrs.frozen
class Echo:
    """The answer of the agent to a heartbeat."""

    #: Number of the heartbeat.
    beat: int


@attrs.frozen
class OrderHint:
    """Tells the agent to read its order row now; carries no authority."""

    #: Version that was committed.
    order_version: int


Message: typing.TypeAlias = (
    Submit
    | Chunk
    | Finished
    | Refused
    | Ack
    | Resume
    | Cancel
    | CancelResult
    | Query
    | QueryResult
    | UsageRecords
    | Settled
    | Heartbeat
    | Echo
    | EndpointStatus
    | CacheChanges
    | OrderHint
    | Open
    | Missing
    | TakeOver
)

#: Message types by their number on the wire; numbers are never reused.
KINDS: dict[int, type] = {
    1: Submit,
    2: Chunk,
    3: Finished,
    4: Refused,
    5: Ack,
    6: Resume,
    7: Cancel,
    8: CancelResult,
    9: Query,
    10: QueryResult,
    11: UsageRecords,
    12: Settled,
    # 13 was the heartbeat of version 1.
    14: OrderHint,
    15: Open,
    16: Missing,
    17: TakeOver,
    18: Heartbeat,
    19: Echo,
    20: EndpointStatus,
    21: CacheChanges,
}

#: Types that are written as lists of their values, without field names:
#: they are sent often and carry little.
LISTED: frozenset[type] = frozenset(
    [Heartbeat, Echo, EndpointStatus, CacheChanges]
)
