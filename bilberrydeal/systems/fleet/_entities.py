"""What the fleet planner reads and writes."""

import attrs


@attrs.frozen
class LoadWindow:
    """Work that arrived for one service in one window of time."""

    #: Monotonic time at which the window ended.
    end_s: float
    #: Work that arrived, in endpoints fully busy: endpoint-seconds of work
    #: a second, counted for endpoints in their best roles.
    busy_endpoints: float


@attrs.frozen
class ServiceLoad:
    """Recent load of one service, as the entries report it together."""

    #: Name of the service: a model or a plain service.
    key: str
    #: Recent windows, oldest first; ten minutes of them are enough.
    windows: tuple[LoadWindow, ...]
    #: Work that waits, in endpoint-seconds.
    queued_endpoint_s: float = 0.0


@attrs.frozen
class FleetEndpoint:
    """One endpoint as the fleet planner sees it."""

    #: Name of the endpoint.
    key: str
    #: What it serves.
    service: str
    #: Failure domain that it is in.
    failure_domain: str
    #: Whether it can serve: live, healthy, and not leaving.
    usable: bool = True
    #: Monotonic time since when it is not usable, where it is not.
    unusable_since_s: float = 0.0
    #: Whether a release of it is decided or its host is leaving.
    leaving: bool = False
    #: Work in flight on it, to release the least busy first.
    in_flight: int = 0


@attrs.frozen
class OutstandingOrder:
    """Endpoints that are ordered and were not delivered yet."""

    #: Identity of the order.
    key: str
    #: What they will serve.
    service: str
    #: Failure domain that they will be in.
    failure_domain: str
    #: Endpoints of the order that are still missing.
    missing: int
    #: Monotonic time of the order.
    ordered_at_s: float


@attrs.frozen
class DomainState:
    """Whether the platform delivers and serves in a failure domain."""

    #: Name of the failure domain.
    key: str
    #: Whether it is lost at present.
    lost: bool = False


@attrs.frozen
class Purchase:
    """A decision to order endpoints."""

    #: Service and failure domain, ``service@domain``.
    key: str
    #: What they are to serve.
    service: str
    #: Failure domain that they are to be in.
    failure_domain: str
    #: How many.
    count: int


@attrs.frozen
class Release:
    """A decision to give one endpoint back."""

    #: Name of the endpoint.
    key: str
    #: What it serves.
    service: str
    #: Failure domain that it is in.
    failure_domain: str
