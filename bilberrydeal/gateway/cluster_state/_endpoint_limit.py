"""The request limit that an endpoint names to all gateways."""

import math

import attrs

from ... import telemetry
from ...systems import limits

LOG = telemetry.logger("knowledge")
#: Share by which a limit has to change to be logged.
CHANGED_SHARE = 0.1


@attrs.define(eq=False)
class EndpointLimit:
    """What an endpoint last said about its limit, and this gateway's share.

    Example::

        limit = EndpointLimit("engine-1", limits.TurnShare("engine-1", group))
        limit.observe(5.4, sent_s, now_s)
        limit.share.take(now_s)  # whether a request may be sent
    """

    endpoint_id: str
    #: This gateway's share of the limit.
    share: limits.TurnShare
    #: Whether it has ever named one.
    named: bool = False
    #: When it was last said, to any gateway, monotonic seconds.
    said_s: float = -math.inf
    #: The limit that was logged last.
    _logged_per_s: float = math.inf

    @property
    def limit_per_s(self) -> float:
        """Return the limit, infinite if the endpoint names none."""
        return self.share.rate_per_s

    def observe(self, limit_per_s: float, sent_s: float, now_s: float) -> None:
        """Apply what the response to a request sent at a time says."""
        if math.isinf(limit_per_s) and sent_s < self.said_s:
            # The response may be older than the one that named a limit.
            return
        self._set(limit_per_s, now_s, now_s, None)

    def learn(
        self, limit_per_s: float, said_s: float, now_s: float, told_by: str
    ) -> bool:
        """Apply what another gateway was told; return whether it is newer."""
        if said_s <= self.said_s:
            return False
        self._set(limit_per_s, said_s, now_s, told_by)
        return True

    def _set(
        self,
        limit_per_s: float,
        said_s: float,
        now_s: float,
        told_by: str | None,
    ) -> None:
        self.said_s = said_s
        if limit_per_s == self.share.rate_per_s:
            return
        self.named = True
        self.share.set_rate(limit_per_s, now_s)
        if limits_differ(limit_per_s, self._logged_per_s):
            self._log(limit_per_s, told_by)
            self._logged_per_s = limit_per_s

    def _log(self, limit_per_s: float, told_by: str | None) -> None:
        limited = math.isfinite(limit_per_s)
        LOG.info(
            "Endpoint limits requests."
            if limited
            else "Endpoint limits requests no longer.",
            endpoint=self.endpoint_id,
            limit_per_s=limit_per_s if limited else None,
            before_per_s=(
                self._logged_per_s
                if math.isfinite(self._logged_per_s)
                else None
            ),
            told_by=told_by,
        )


def limits_differ(one_per_s: float, other_per_s: float) -> bool:
    """Return whether two limits differ by much, or only one is a limit."""
    if math.isinf(one_per_s) or math.isinf(other_per_s):
        return one_per_s != other_per_s
    return abs(one_per_s - other_per_s) > CHANGED_SHARE * other_per_s
