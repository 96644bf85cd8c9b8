"""Bounds that every fleet planner keeps to."""

import attrs


@attrs.frozen
class FleetRules:
    """What a fleet planner may do; see the settings of the same names."""

    #: Failure domains that endpoints are ordered in.
    failure_domains: tuple[str, ...]
    #: Services whose endpoints are ordered.
    services: tuple[str, ...]
    #: Lost failure domains that the fleet must carry.
    survive_domains: int = 1
    #: Fewest endpoints of a service in a failure domain.
    fewest_per_domain: int = 1
    #: Most endpoints of a service in a failure domain.
    most_per_domain: int = 8
    #: Expected time from an order to a delivered endpoint.
    delivery_s: float = 60.0
    #: Share of its capacity that an endpoint is planned to be busy.
    busy_share: float = 0.85
    #: The same while failure domains are lost.
    busy_share_lost: float = 0.95
    #: Load is averaged over so long before its peak is taken.
    smoothing_s: float = 60.0
    #: The load must have allowed a release for so long.
    release_after_s: float = 120.0
    #: The fleet left must serve this part more than the peak.
    release_margin: float = 0.05
    #: Time between two releases of a service.
    release_every_s: float = 30.0
