"""Entities that the request path decides over.

Rows are mutable: the process that owns the tables writes what it learns, the
systems write what they decide. All times are this process's monotonic clock.
"""

import enum
import math

import attrs

from .. import ports

#: Requests that a process has in flight at an endpoint being tried out.
HALF_OPEN_REQUESTS = 2


class CircuitState(enum.StrEnum):
    """Whether an endpoint gets requests."""

    #: It does.
    CLOSED = "closed"
    #: It gets none but probes.
    OPEN = "open"
    #: It gets a few, to find out.
    HALF_OPEN = "half_open"


@attrs.frozen
class LoadFigures:
    """Load of an endpoint as it was some time ago."""

    #: When the figures were true, by this process's clock.
    true_at_s: float
    #: Requests that ran.
    running: int
    #: Requests that waited.
    waiting: int
    #: Prompt tokens that waited to be computed.
    queued_prompt_tokens: float
    #: Tokens that were still to be generated.
    queued_output_tokens: float
    #: Share of the KV memory in use.
    kv_used_share: float = 0.0


@attrs.define
class EndpointView:
    """One endpoint as this process knows it."""

    #: Name of the endpoint.
    endpoint_id: str
    #: The failure domain it is in.
    failure_domain: str
    #: Model, or name of the plain service.
    service: str
    #: Role of the engine; ``BOTH`` for a plain service.
    role: ports.EngineRole = ports.EngineRole.BOTH
    #: Whether it takes new work: linked, not leaving and not changing.
    accepting: bool = True
    #: When the figures of the last load report were true.
    reported_at_s: float = -math.inf
    #: Requests that ran, by the report.
    running: int = 0
    #: Requests that waited, by the report.
    waiting: int = 0
    #: Share of the KV memory in use, by the report.
    kv_used_share: float = 0.0
    #: Requests that this process has in flight there.
    in_flight: int = 0
    #: Prompt tokens computed a second; refined by what is observed.
    prefill_tokens_per_s: float = 8_000.0
    #: Tokens generated a second over all requests there.
    decode_tokens_per_s: float = 1_000.0
    #: When this process sent requests that the report may not show yet.
    sent_at_s: list[float] = attrs.field(factory=list)
    #: How much slower it is than its peers, 1 for as fast.
    slowness: float = 1.0
    #: Whether it gets requests.
    circuit: CircuitState = CircuitState.CLOSED

    @property
    def key(self) -> str:
        """Return the name of the endpoint."""
        return self.endpoint_id

    @property
    def available(self) -> bool:
        """Whether a request may be routed here."""
        if not self.accepting or self.circuit is CircuitState.OPEN:
            return False
        return (
            self.circuit is CircuitState.CLOSED
            or self.in_flight < HALF_OPEN_REQUESTS
        )


@attrs.define
class OrganisationView:
    """One organisation: its weight and its limits over all entries."""

    #: Name of the organisation.
    organisation: str
    #: Its share is its weight over the sum of the weights of the busy.
    weight: float = 1.0
    #: Requests a second; infinite without a limit.
    requests_per_s: float = math.inf
    #: Tokens a second, prompt and output; infinite without a limit.
    tokens_per_s: float = math.inf
    #: Requests at once; infinite without a limit.
    concurrency: float = math.inf

    @property
    def key(self) -> str:
        """Return the name of the organisation."""
        return self.organisation


@attrs.define
class EntryView:
    """One entry, this one among them, as the membership says."""

    #: Incarnation of the entry.
    entry: str
    #: The failure domain it is in.
    failure_domain: str
    #: When this process first saw it.
    seen_since_s: float = 0.0
    #: Whether it takes new work.
    live: bool = True

    @property
    def key(self) -> str:
        """Return the incarnation of the entry."""
        return self.entry


@attrs.define
class PendingRequest:
    """A request that waits for an endpoint, or has one."""

    #: Number of the request as text.
    request_id: str
    #: Organisation for which it runs; empty on an open route.
    organisation: str
    #: Model, or name of the plain service.
    service: str
    #: Lower is served first within the organisation.
    request_class: int = 0
    #: Prompt tokens, as estimated.
    prompt_tokens: int = 0
    #: Tokens to generate, as expected.
    output_tokens: int = 0
    #: When the caller stops waiting.
    deadline_s: float = math.inf
    #: Whether it may run more than once.
    idempotent: bool = False
    #: Hash chain of the prompt, see :mod:`bilberrydeal.prefixes`.
    blocks: tuple[int, ...] = ()
    #: Endpoints that refused or failed this request before.
    tried: frozenset[str] = frozenset()
    #: The endpoint chosen; empty until a router finds one.
    endpoint_id: str = ""
    #: Endpoint that only computes the prompt first; empty without one.
    prefill_endpoint_id: str = ""
    #: Prompt tokens likely in the cache of the endpoint chosen.
    cached_tokens: int = 0
    #: Its organisation's weight is multiplied by this at the endpoint.
    weight_factor: float = 1.0
    #: Time from sending to the first token, as the router expects.
    expected_first_s: float = 0.0

    @property
    def key(self) -> str:
        """Return the number of the request."""
        return self.request_id
