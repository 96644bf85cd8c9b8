"""The request limit that an endpoint names to all gateways."""

import math

import attrs

from ...systems import limits


@attrs.define(eq=False)
class EndpointLimit:
    """What an endpoint last said about its limit, and this gateway's share.

    Example::

        limit = EndpointLimit(limits.TurnShare("engine-1", group))
        limit.observe(5.4, sent_s, now_s)
        limit.share.take(now_s)  # whether a request may be sent
    """

    #: This gateway's share of the limit.
    share: limits.TurnShare
    #: When it was last said, to any gateway, monotonic seconds.
    said_s: float = -math.inf

    @property
    def limit_per_s(self) -> float:
        """Return the limit, infinite if the endpoint names none."""
        return self.share.rate_per_s

    def observe(self, limit_per_s: float, sent_s: float, now_s: float) -> None:
        """Apply what the response to a request sent at a time says."""
        if math.isinf(limit_per_s) and sent_s < self.said_s:
            # The response may be older than the one that named a limit.
            return
        self._set(limit_per_s, now_s, now_s)

    def learn(self, limit_per_s: float, said_s: float, now_s: float) -> bool:
        """Apply what another gateway was told; return whether it is newer."""
        if said_s <= self.said_s:
            return False
        self._set(limit_per_s, said_s, now_s)
        return True

    def _set(self, limit_per_s: float, said_s: float, now_s: float) -> None:
        self.said_s = said_s
        if limit_per_s != self.share.rate_per_s:
            self.share.set_rate(limit_per_s, now_s)
