"""Tells the rows of an older copy of the store from those of endpoints."""

import attrs

from ... import catalogue

#: Time for which an endpoint that left is remembered, in seconds; copies that
#: the store comes back from are some seconds old.
DEPARTED_KEPT_S = 120.0


@attrs.frozen
class _Departure:
    """An endpoint that left."""

    #: As it registered itself last.
    endpoint: catalogue.Endpoint
    #: When it left, monotonic seconds.
    left_s: float


class EndpointHistory:
    """Remembers endpoints that left.

    A copy of the store lists them as they were before.

    Example::

        history.note_departure(endpoint, now_s)
        if history.is_outdated(listed, known):
            ...  # the row is of the copy
    """

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}

    def note_departure(
        self, endpoint: catalogue.Endpoint, now_s: float
    ) -> None:
        """Record that an endpoint is no longer known."""
        oldest_s = now_s - DEPARTED_KEPT_S
        for endpoint_id, departure in list(self._departures.items()):
            if departure.left_s < oldest_s:
                del self._departures[endpoint_id]
        self._departures[endpoint.endpoint_id] = _Departure(endpoint, now_s)

    def note_presence(self, endpoint_id: str) -> None:
        """Record that an endpoint is known."""
        self._departures.pop(endpoint_id, None)

    def is_outdated(
        self,
        listed: catalogue.Endpoint,
        known: catalogue.Endpoint | None,
    ) -> bool:
        """Return whether a row is older than what is known of an endpoint.

        ``known`` is the endpoint as present, ``None`` if there is none. A
        process that left or drains is back only by a row that it wrote since.
        """
        departure = self._departures.get(listed.endpoint_id)
        latest = departure.endpoint if departure is not None else known
        if latest is None or listed.started_ms > latest.started_ms:
            return False
        if listed.started_ms < latest.started_ms:
            return True
        if departure is not None or not latest.ready:
            return listed.sequence <= latest.sequence
        return listed.sequence < latest.sequence
