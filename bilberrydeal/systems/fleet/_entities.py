"""Input and output rows of the fleet planners."""

import attrs


@attrs.frozen
class LoadWindow:
    """Work that arrived for one service in one time window."""

    #: Monotonic time at which the window ended.
    end_s: float
    #: Work that arrived, as a number of fully busy endpoints (endpoint-seconds
    #: of work per second), assuming endpoints in their best roles.
    busy_endpoints: float


@attrs.frozen
class ServiceLoad:
    """Recent load of one service, summed over the entry processes."""

    #: Name of the service: a model or a plain service.
    key: str
    #: Recent windows, oldest first; ten minutes are enough.
    windows: tuple[LoadWindow, ...]
    #: Queued work, in endpoint-seconds.
    queued_endpoint_s: float = 0.0


@attrs.frozen
class FleetEndpoint:
    """State of one endpoint for the fleet planners."""

    #: Name of the endpoint.
    key: str
    #: Service that it belongs to.
    service: str
    #: Failure domain of the endpoint.
    failure_domain: str
    #: Whether it can serve: it is live, healthy and not leaving.
    usable: bool = True
    #: Monotonic time since when it is unusable, if it is.
    unusable_since_s: float = 0.0
    #: Whether its release is decided or its host is leaving.
    leaving: bool = False
    #: Work in flight on it; the least busy endpoint is released first.
    in_flight: int = 0


@attrs.frozen
class OutstandingOrder:
    """Endpoints that are ordered but not delivered yet."""

    #: Identifier of the order.
    key: str
    #: Service that they will belong to.
    service: str
    #: Failure domain where they will be delivered.
    failure_domain: str
    #: Number of endpoints of the order that are not delivered yet.
    missing: int
    #: Monotonic time of the order.
    ordered_at_s: float


@attrs.frozen
class DomainState:
    """Availability of a failure domain."""

    #: Name of the failure domain.
    key: str
    #: Whether the platform currently cannot deliver or serve there.
    lost: bool = False


@attrs.frozen
class Purchase:
    """A decision to order endpoints."""

    #: Service and failure domain, ``service@domain``.
    key: str
    #: Service that they should belong to.
    service: str
    #: Failure domain where they should be delivered.
    failure_domain: str
    #: Number of endpoints.
    count: int


@attrs.frozen
class Release:
    """A decision to release one endpoint."""

    #: Name of the endpoint.
    key: str
    #: Service that it belongs to.
    service: str
    #: Failure domain of the endpoint.
    failure_domain: str
