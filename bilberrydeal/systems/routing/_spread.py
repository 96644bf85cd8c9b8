"""How an organisation's weight is divided over endpoints.

Each endpoint shares itself between the organisations by weight. One that
sends all its work to two endpoints of twenty, where its prompts are cached,
would get a part of those two only, and one that floods all twenty would get
its part of each. So the weight goes where the work goes.
"""

import math

import attrs

#: Time after which old work counts for 1/e, in seconds.
MEMORY_S = 20.0
#: Requests that are taken as spread evenly before any are known.
EVEN_REQUESTS = 2.0


@attrs.define
class Work:
    """Requests of one organisation, faded by age."""

    #: All of them.
    total: float = 0.0
    #: By endpoint.
    by_endpoint: dict[str, float] = attrs.field(factory=dict)
    #: When the counts were true.
    at_s: float = -math.inf

    def add(self, endpoint_id: str, now_s: float) -> None:
        """Note a request that is sent to an endpoint."""
        fade = math.exp(min(0.0, self.at_s - now_s) / MEMORY_S)
        self.at_s = max(self.at_s, now_s)
        self.total = self.total * fade + 1.0
        for name in self.by_endpoint:
            self.by_endpoint[name] *= fade
        known = self.by_endpoint.get(endpoint_id, 0.0)
        self.by_endpoint[endpoint_id] = known + 1.0

    def factor(self, endpoint_id: str, endpoints: int) -> float:
        """Return the part sent to an endpoint over an even part."""
        sent = self.by_endpoint.get(endpoint_id, 0.0)
        even = EVEN_REQUESTS / endpoints
        part = (sent + even) / (self.total + EVEN_REQUESTS)
        return part * endpoints


class Spread:
    """Where the organisations' requests were sent lately."""

    def __init__(self) -> None:
        self._organisations: dict[str, Work] = {}

    def weight_factor(
        self,
        organisation: str,
        endpoint_id: str,
        endpoints: int,
        now_s: float,
    ) -> float:
        """Note a request and return what its weight is multiplied by."""
        work = self._organisations.get(organisation)
        if work is None:
            self._forget(now_s)
            work = self._organisations[organisation] = Work()
        work.add(endpoint_id, now_s)
        return work.factor(endpoint_id, endpoints)

    def _forget(self, now_s: float) -> None:
        """Drop organisations without requests, now and then."""
        if len(self._organisations) & (len(self._organisations) - 1):
            return
        oldest_s = now_s - 5.0 * MEMORY_S
        self._organisations = {
            name: work
            for name, work in self._organisations.items()
            if work.at_s >= oldest_s
        }
