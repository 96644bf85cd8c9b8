"""Limits that every fleet planner applies."""

import attrs


@attrs.frozen
class FleetRules:
    """Parameters of the fleet planners; see the settings of the same names."""

    #: Failure domains in which endpoints are ordered.
    failure_domains: tuple[str, ...]
    #: Services whose endpoints are ordered.
    services: tuple[str, ...]
    #: Number of failure domains whose loss the fleet must survive.
    survive_domains: int = 1
    #: Smallest number of endpoints of a service in a failure domain.
    fewest_per_domain: int = 1
    #: Largest number of endpoints of a service in a failure domain.
    most_per_domain: int = 8
    #: Expected time from an order to the delivery of an endpoint.
    delivery_s: float = 60.0
    #: Planned utilization of an endpoint.
    busy_share: float = 0.85
    #: Planned utilization while failure domains are lost.
    busy_share_lost: float = 0.95
    #: Time over which load is averaged before its peak is determined.
    smoothing_s: float = 60.0
    #: Time for which the load must have allowed a release.
    release_after_s: float = 120.0
    #: Margin above the peak load that must remain after a release.
    release_margin: float = 0.05
    #: Time between two releases of a service.
    release_every_s: float = 30.0
