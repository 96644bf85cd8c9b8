"""Spaces the writes of one gateway."""

import collections.abc
import hashlib

#: Shortest mean interval between writes of a gateway, in seconds.
WRITE_INTERVAL_S = 0.2
#: Most writes of all gateways together a second.
WRITES_PER_S = 40.0
#: Most writes that a gateway makes at once after an idle time.
BURST_LIMIT = 4
#: Most writes at once of all gateways together, if they are not more.
FLEET_BURST_LIMIT = 100


class WritePace:
    """Tells when a gateway may write.

    After an idle time it may write at once, several times if few gateways
    share the store; then the interval between writes grows with the number of
    gateways.

    Example::

        if pace.ready(now_s):
            pace.spend(now_s)
    """

    def __init__(
        self, name: str, members: collections.abc.Callable[[], int]
    ) -> None:
        hashed = hashlib.blake2b(name.encode(), digest_size=8).digest()
        #: Position of this gateway among all, from 0 to 1.
        self._phase = int.from_bytes(hashed) / 2**64
        #: Returns the number of gateways.
        self._members = members
        #: When the next write is due if there was no idle time.
        self._due_s = float("-inf")

    def interval_s(self) -> float:
        """Return the mean interval between two writes."""
        return max(WRITE_INTERVAL_S, self._members() / WRITES_PER_S)

    def spread(self, now_s: float) -> None:
        """Put off the next write, as all gateways begin to write now.

        Each does so by another part of the interval.
        """
        self._due_s = now_s + self._phase * self.interval_s()

    def ready(self, now_s: float) -> bool:
        """Return whether a write may be made now."""
        saved_s = (self._burst() - 1) * self.interval_s()
        return now_s >= self._due_s - saved_s

    def spend(self, now_s: float) -> None:
        """Record that a write is made."""
        self._due_s = max(self._due_s, now_s) + self.interval_s()

    def _burst(self) -> int:
        share = FLEET_BURST_LIMIT // self._members()
        return max(1, min(share, BURST_LIMIT))
