"""The operators' configuration, whole and of one version."""

import enum

import attrs

from . import _services


class RouteKind(enum.Enum):
    """How often a request may run."""

    #: Any number of times.
    IDEMPOTENT = "idempotent"
    #: At most once.
    ONCE = "once"
    #: At most once, but a resumable one may go on elsewhere.
    STREAM = "stream"


@attrs.frozen
class Split:
    """A share of a route's requests that goes to one service."""

    #: Name of the service.
    service: str
    #: Share, relative to the other splits of the route.
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path go."""

    name: str
    #: Host that callers name, in lower case and without a port.
    host: bytes
    #: Begins the path of each request of the route.
    path_prefix: bytes
    kind: RouteKind
    #: Most endpoints that one request may be sent to.
    attempts_limit: int
    #: Longest time that a caller is kept waiting, in seconds.
    timeout_s: float
    #: Time within which the first of an answer is due, in seconds.
    target_latency_s: float
    #: Rank of its requests, 0 is first.
    priority: int
    #: Services that take the requests.
    splits: tuple[Split, ...]
    #: Whether requests need no key.
    public: bool
    #: Whether a stream may go on at another endpoint.
    resumable: bool
    #: Longest pause between two events that callers accept, in seconds.
    target_gap_s: float

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@attrs.frozen
class Organisation:
    """Who a key belongs to."""

    name: str
    #: Rank of its requests, instead of the route's; ``None`` without one.
    priority: int | None


@attrs.frozen
class CallerLimits:
    """What callers may send and how long they may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class Configuration:
    """One version of the configuration."""

    #: Grows with each version, in uneven steps.
    version: int
    routes: tuple[Route, ...]
    #: Services by name.
    services: dict[str, _services.Service]
    limits: CallerLimits
    #: Organisations by key; ``None`` where requests carry no keys.
    organisations: dict[bytes, Organisation] | None
