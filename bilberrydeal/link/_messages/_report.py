"""Messages about usage, the engine's state and orders."""

import attrs

from . import _request


@attrs.frozen
class UsageRecord:
    """What one request used, counted where it ran."""

    #: Position in this agent incarnation's records, from 1.
    record: int
    #: Number of the request.
    number: _request.RequestNumber
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
class OrderHint:
    """Tells the agent to read its order row now; carries no authority."""

    #: Version that was committed.
    order_version: int
