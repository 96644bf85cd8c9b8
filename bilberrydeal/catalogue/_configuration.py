"""The operators' configuration as an immutable, versioned value."""

import enum

import attrs

from . import _services


class RouteKind(enum.Enum):
    """How often a request may run."""

    #: Any number of times.
    IDEMPOTENT = "idempotent"
    #: At most once.
    ONCE = "once"
    #: At most once, but a resumable stream may continue at another endpoint.
    STREAM = "stream"


@attrs.frozen
class TrafficSplit:
    """A share of a route's requests that goes to one service."""

    #: Name of the service.
    service: str
    #: Share, relative to the other splits of the route.
    weight: float


@attrs.frozen
class Route:
    """Routing rule for requests to one host and path prefix."""

    name: str
    #: Value of the ``Host`` header, in lower case and without a port.
    host: bytes
    #: Prefix of the path of every request on the route.
    path_prefix: bytes
    kind: RouteKind
    #: Maximum number of endpoints that one request may be sent to.
    max_attempts: int
    #: Maximum time that a caller waits for the response, in seconds.
    timeout_s: float
    #: Target for the time to the first part of a response, in seconds.
    target_latency_s: float
    #: Priority of its requests; 0 is the highest.
    priority: int
    #: Services that receive the requests, with their shares.
    splits: tuple[TrafficSplit, ...]
    #: Whether requests need no key.
    public: bool
    #: Whether a stream may continue at another endpoint.
    resumable: bool
    #: Maximum gap between two events that callers accept, in seconds.
    target_gap_s: float
    #: Time without an event, also before the first one, after which callers
    #: close a stream, in seconds.
    stall_limit_s: float

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """Limit of an organisation's requests over all gateways."""

    unit: QuotaUnit
    #: Greatest sustained rate, in units per second; greater than 0.
    rate_per_s: float
    #: Units that may be used at once.
    burst: float
    #: Tokens of a request that names none.
    plain_tokens: float


@attrs.frozen
class Organisation:
    """The owner of one or more API keys."""

    name: str
    #: Overrides the priority of the route; ``None`` if not set.
    priority: int | None
    #: Limit of its requests, ``None`` for no limit.
    quota: Quota | None = None


@attrs.frozen
class CallerLimits:
    """Size and time limits for callers."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class Configuration:
    """One version of the configuration."""

    #: Increases with each change, not necessarily by 1.
    version: int
    routes: tuple[Route, ...]
    #: Services by name.
    services: dict[str, _services.Service]
    limits: CallerLimits
    #: Organisations by key; ``None`` if requests carry no keys.
    organisations: dict[bytes, Organisation] | None
    #: What is wrong with quotas, which are not applied.
    quota_faults: tuple[str, ...] = ()
    #: Quotas by organisation.
    quotas: dict[str, Quota] = attrs.field(factory=dict)
