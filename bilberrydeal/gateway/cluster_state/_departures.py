"""Endpoints that have said that they leave."""

from ... import catalogue

#: Most endpoints that are remembered.
REMEMBERED_LIMIT = 10_000


class Departures:
    """Remembers which endpoints leave, whatever the store says of them.

    The store may still list such an endpoint as ready. Only a registration
    that is newer than the one that left, or another id, is used again.

    Example::

        departures.add(endpoint)
        departures.covers(endpoint)  # True
        departures.covers(attrs.evolve(endpoint, started_ms=later_ms))  # False
    """

    def __init__(self) -> None:
        #: Start of the newest process that left, by endpoint.
        self._started_ms: dict[str, int] = {}

    def add(self, endpoint: catalogue.Endpoint) -> None:
        """Remember an endpoint that leaves."""
        known_ms = self._started_ms.pop(endpoint.endpoint_id, 0)
        started_ms = max(known_ms, endpoint.started_ms)
        self._started_ms[endpoint.endpoint_id] = started_ms
        if len(self._started_ms) > REMEMBERED_LIMIT:
            oldest = next(iter(self._started_ms))
            del self._started_ms[oldest]

    def covers(self, endpoint: catalogue.Endpoint) -> bool:
        """Return whether a registration is of an endpoint that left."""
        left_ms = self._started_ms.get(endpoint.endpoint_id)
        return left_ms is not None and endpoint.started_ms <= left_ms
