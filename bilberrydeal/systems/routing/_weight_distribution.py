"""Distributes an organisation's weight over endpoints.

Each endpoint divides its capacity between organisations by weight. An
organisation that sends all requests to two of twenty endpoints, where its
prompts are cached, would get a share of only those two, while one that floods
all twenty would get its share of each. The weight is therefore distributed in
proportion to where the requests are sent.
"""

import math

import attrs

#: Time constant of the exponential decay of old requests, in seconds.
DECAY_TIME_S = 20.0
#: Prior number of requests that are assumed to be evenly distributed.
PRIOR_REQUESTS = 2.0


@attrs.define
class RequestCounts:
    """Decayed request counts of one organisation."""

    #: Requests to all endpoints.
    total: float = 0.0
    #: Requests by endpoint.
    by_endpoint: dict[str, float] = attrs.field(factory=dict)
    #: Time of the last decay.
    updated_at_s: float = -math.inf

    def add(self, endpoint_id: str, now_s: float) -> None:
        """Record a request that is sent to an endpoint."""
        decay = math.exp(min(0.0, self.updated_at_s - now_s) / DECAY_TIME_S)
        self.updated_at_s = max(self.updated_at_s, now_s)
        self.total = self.total * decay + 1.0
        for name in self.by_endpoint:
            self.by_endpoint[name] *= decay
        known = self.by_endpoint.get(endpoint_id, 0.0)
        self.by_endpoint[endpoint_id] = known + 1.0

    def factor(self, endpoint_id: str, endpoints: int) -> float:
        """Return the ratio of an endpoint's share to an even share."""
        sent = self.by_endpoint.get(endpoint_id, 0.0)
        prior = PRIOR_REQUESTS / endpoints
        share = (sent + prior) / (self.total + PRIOR_REQUESTS)
        return share * endpoints


class WeightDistribution:
    """Tracks where the requests of organisations were sent recently."""

    def __init__(self) -> None:
        self._organisations: dict[str, RequestCounts] = {}

    def weight_factor(
        self,
        organisation: str,
        endpoint_id: str,
        endpoints: int,
        now_s: float,
    ) -> float:
        """Record a request and return the multiplier of its weight."""
        counts = self._organisations.get(organisation)
        if counts is None:
            self._prune(now_s)
            counts = self._organisations[organisation] = RequestCounts()
        counts.add(endpoint_id, now_s)
        return counts.factor(endpoint_id, endpoints)

    def _prune(self, now_s: float) -> None:
        """Remove idle organisations when their number is a power of two."""
        if len(self._organisations) & (len(self._organisations) - 1):
            return
        oldest_s = now_s - 5.0 * DECAY_TIME_S
        self._organisations = {
            name: counts
            for name, counts in self._organisations.items()
            if counts.updated_at_s >= oldest_s
        }
