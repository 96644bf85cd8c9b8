"""Entities that the systems of the request path read and write.

Rows are mutable: the process that owns the tables writes observations and the
systems write decisions. All times are from this process's monotonic clock.
"""

import enum
import math

import attrs

from .. import ports

#: Maximum requests in flight of one process at a half-open endpoint.
HALF_OPEN_REQUESTS = 2


class CircuitState(enum.StrEnum):
    """State of an endpoint's circuit breaker."""

    #: The endpoint receives requests.
    CLOSED = "closed"
    #: The endpoint receives no requests.
    OPEN = "open"
    #: The endpoint receives probes and a few trial requests.
    HALF_OPEN = "half_open"


@attrs.frozen
class EndpointLoad:
    """Load of an endpoint at some time in the past."""

    #: Time of the measurement, by this process's clock.
    measured_at_s: float
    #: Running requests.
    running: int
    #: Waiting requests.
    waiting: int
    #: Prompt tokens of waiting requests that are still to be computed.
    queued_prompt_tokens: float
    #: Tokens that are still to be generated.
    queued_output_tokens: float
    #: Share of the KV memory in use.
    kv_used_share: float = 0.0


@attrs.define
class EndpointView:
    """This process's view of one endpoint."""

    #: Name of the endpoint.
    endpoint_id: str
    #: Failure domain of the endpoint.
    failure_domain: str
    #: Name of the model or plain service.
    service: str
    #: Role of the engine; ``BOTH`` for a plain service.
    role: ports.EngineRole = ports.EngineRole.BOTH
    #: Whether it accepts new requests: linked, not leaving and not changing.
    accepting: bool = True
    #: Time of measurement of the last load report.
    reported_at_s: float = -math.inf
    #: Running requests by the last report.
    running: int = 0
    #: Waiting requests by the last report.
    waiting: int = 0
    #: Share of the KV memory in use by the last report.
    kv_used_share: float = 0.0
    #: Requests of this process in flight there.
    in_flight: int = 0
    #: Prompt tokens computed per second; refined by observation.
    prefill_tokens_per_s: float = 8_000.0
    #: Tokens generated per second by all requests there.
    decode_tokens_per_s: float = 1_000.0
    #: Send times of own requests that the last report may not include.
    sent_at_s: list[float] = attrs.field(factory=list)
    #: Response time relative to its peers; 1 for equally fast.
    slowness: float = 1.0
    #: State of its circuit breaker.
    circuit: CircuitState = CircuitState.CLOSED

    @property
    def key(self) -> str:
        """Return the name of the endpoint."""
        return self.endpoint_id

    @property
    def available(self) -> bool:
        """Return whether a request may be routed to the endpoint."""
        if not self.accepting or self.circuit is CircuitState.OPEN:
            return False
        return (
            self.circuit is CircuitState.CLOSED
            or self.in_flight < HALF_OPEN_REQUESTS
        )


@attrs.define
class OrganisationView:
    """An organisation's weight and its limits across all entries."""

    #: Name of the organisation.
    organisation: str
    #: Weight relative to the sum of the weights of active organisations.
    weight: float = 1.0
    #: Limit on requests per second; infinite if unlimited.
    requests_per_s: float = math.inf
    #: Limit on prompt and output tokens per second; infinite if unlimited.
    tokens_per_s: float = math.inf
    #: Limit on concurrent requests; infinite if unlimited.
    concurrency: float = math.inf

    @property
    def key(self) -> str:
        """Return the name of the organisation."""
        return self.organisation


@attrs.define
class EntryView:
    """One entry of the membership, which includes this one."""

    #: Incarnation of the entry.
    entry: str
    #: Failure domain of the entry.
    failure_domain: str
    #: When this process first saw it.
    seen_since_s: float = 0.0
    #: Whether it accepts new requests.
    live: bool = True

    @property
    def key(self) -> str:
        """Return the incarnation of the entry."""
        return self.entry


@attrs.define
class PendingRequest:
    """A request that waits for an endpoint or has been assigned one."""

    #: Number of the request, as text.
    request_id: str
    #: Organisation that the request belongs to; empty on an open route.
    organisation: str
    #: Name of the model or plain service.
    service: str
    #: Lower classes are served first within the organisation.
    request_class: int = 0
    #: Estimated number of prompt tokens.
    prompt_tokens: int = 0
    #: Expected number of tokens to generate.
    output_tokens: int = 0
    #: Deadline of the caller.
    deadline_s: float = math.inf
    #: Whether the request may run more than once.
    idempotent: bool = False
    #: Hash chain of the prompt, see :mod:`bilberrydeal.prefixes`.
    blocks: tuple[int, ...] = ()
    #: Endpoints at which earlier attempts failed or were refused.
    tried_endpoint_ids: frozenset[str] = frozenset()
    #: The assigned endpoint; empty until a router assigns one.
    endpoint_id: str = ""
    #: Endpoint that computes the prompt first; empty if there is none.
    prefill_endpoint_id: str = ""
    #: Prompt tokens that are likely cached at the assigned endpoint.
    cached_tokens: int = 0
    #: Multiplier of the organisation's weight at the endpoint.
    weight_factor: float = 1.0
    #: Expected time from sending to the first token, in seconds.
    expected_ttft_s: float = 0.0

    @property
    def key(self) -> str:
        """Return the number of the request."""
        return self.request_id
