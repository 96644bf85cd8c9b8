"""Messages about usage, endpoint status, cache changes and orders."""

import attrs

from . import _request


@attrs.frozen
class UsageRecord:
    """Usage of one request, counted where it ran."""

    #: Position among the records of this agent incarnation, from 1.
    record: int
    #: Number of the request.
    number: _request.RequestNumber
    #: Organisation that is billed.
    organisation: str
    #: When it was counted, in seconds since the epoch.
    counted_at_s: float
    #: Number of prompt tokens computed.
    prompt_tokens: int
    #: Number of prompt tokens found in the cache.
    cached_tokens: int
    #: Number of tokens generated.
    output_tokens: int
    #: Number of calls.
    calls: int


@attrs.frozen
class UsageRecords:
    """Usage records to settle; repeated until :class:`Settled` arrives."""

    #: Incarnation of the agent.
    agent: str
    #: The records, in order.
    records: tuple[UsageRecord, ...]
    #: All records up to this position have been acknowledged and need not be
    #: remembered.
    acked: int = 0


@attrs.frozen
class Settled:
    """Notifies the agent that usage records have been stored."""

    #: Positions of the records.
    records: tuple[int, ...]


@attrs.frozen
class EndpointStatus:
    """Status that an agent reports about its endpoint."""

    #: Version of the applied order.
    order_version: int
    #: Role of the engine; empty for a plain service.
    role: str
    #: Name of the model or plain service.
    service: str
    #: Whether new requests are accepted.
    accepting: bool
    #: Number of running requests.
    running: int
    #: Number of requests queued at the agent or the engine.
    waiting: int
    #: Number of prompt tokens not yet computed.
    queued_prompt_tokens: int
    #: Expected number of tokens still to be generated.
    queued_output_tokens: int
    #: Share of the KV memory in use, 0 to 1.
    kv_used_share: float
    #: Age of the load figures at the time of sending, in seconds.
    load_age_s: float = 0.0


@attrs.frozen
class CacheChanges:
    """Changes of an engine's prefix cache since the previous message."""

    #: Blocks added to the cache.
    stored: tuple[int, ...]
    #: Blocks evicted from the cache.
    evicted: tuple[int, ...]


@attrs.frozen
class OrderHint:
    """Prompts the agent to read its order row; not an order itself."""

    #: Committed version of the order.
    order_version: int
