"""The part of a quota that a gateway grants without the home."""

import math

import attrs

from ... import catalogue
from .. import limits
from . import _home

#: Part of the allowed excess that gateways may grant at once when they lose
#: the home; the rest covers delays until all notice the same.
EXCESS_SHARE = 0.7
#: Part of a share's rate at which this credit is restored while the home
#: answers, so that losing the home repeatedly does not grant it repeatedly.
REGAIN_SHARE = 0.05
#: Factor by which the remembered largest cost decays with each request.
LARGEST_DECAY = 0.995


@attrs.frozen
class FallbackBounds:
    """Excess over a quota that is allowed in any window."""

    #: Length of the window, in seconds.
    window_s: float
    #: Allowed share above the limit.
    overage: float
    #: Tokens allowed on top of this.
    slack_tokens: float

    def excess(self, quota: catalogue.Quota) -> float:
        """Return the units that may be granted beyond a quota."""
        amount = quota.rate_per_s * self.window_s + quota.burst
        slack = self.slack_tokens
        if quota.unit is catalogue.QuotaUnit.REQUESTS:
            slack = 0.0
        return self.overage * amount + slack


@attrs.frozen
class Division:
    """How many gateways share a quota, and which of them this one is."""

    gateways: int
    rank: int
    #: Whether this gateway may not grant anything, since it is isolated.
    stopped: bool


@attrs.define
class Fallback:
    """Grants from a share of a quota of one organisation.

    The bucket is empty when the home is lost, apart from a small credit that
    comes back slowly. A request larger than the bucket goes into debt. So
    that not all gateways grant such a request at once, each begins at another
    point of the cycle.
    """

    #: Whether this gateway decides without the home.
    active: bool = False
    #: Share that the home assigned, in units per second.
    assigned_per_s: float = 0.0
    #: When it was assigned, steady seconds.
    assigned_s: float = -math.inf
    #: Share that is used without the home, in units per second.
    share_per_s: float = 0.0
    #: Largest recent cost of a request, in units of the quota.
    largest_cost: float = 0.0
    #: When the home last took over again, in active seconds; ``None`` if the
    #: bucket has not been used yet.
    ended_s: float | None = None
    bucket: limits.Bucket = attrs.field(
        factory=lambda: limits.Bucket(0.0, 0.0)
    )

    def note_cost(self, cost: float) -> None:
        """Record the cost of a request."""
        self.largest_cost = max(self.largest_cost * LARGEST_DECAY, cost)

    def note_share(self, share_per_s: float, now_s: float) -> None:
        """Record the share that the home assigned.

        Negative values and NaN are ignored.
        """
        if share_per_s >= 0.0:
            self.assigned_per_s = share_per_s
            self.assigned_s = now_s

    def change(
        self, before: catalogue.Quota | None, after: catalogue.Quota
    ) -> None:
        """Adapt to another quota."""
        if before is None or before.unit is not after.unit:
            self.assigned_per_s = self.share_per_s = 0.0
            self.largest_cost = 0.0
            # The next grant begins anew, with a share in the new unit.
            self.active = False
            return
        scale = after.rate_per_s / before.rate_per_s
        self.assigned_per_s *= scale
        self.share_per_s *= scale
        if scale < 1.0:
            self.bucket.level *= scale

    def enter(
        self,
        quota: catalogue.Quota,
        division: Division,
        excess: float,
        now_s: float,
        active_s: float,
    ) -> None:
        """Start to grant without the home."""
        self.active = True
        # Shares that the home assigns add up to the rate, and none is less
        # than this.
        self.share_per_s = quota.rate_per_s / (2 * division.gateways)
        if now_s - self.assigned_s < _home.SHARE_TTL_S:
            assigned_per_s = min(self.assigned_per_s, quota.rate_per_s)
            self.share_per_s = max(self.share_per_s, assigned_per_s)
        level = self._initial_level(quota, division, excess)
        if self.ended_s is not None:
            away_s = active_s - self.ended_s
            regained = REGAIN_SHARE * self.share_per_s * away_s
            level = min(level, self.bucket.level + regained)
        self.bucket = limits.Bucket(level, active_s)

    def _initial_level(
        self, quota: catalogue.Quota, division: Division, excess: float
    ) -> float:
        """Return the level of a bucket that has not been used before."""
        part = self.share_per_s / quota.rate_per_s
        level = part * excess * EXCESS_SHARE
        burst = part * quota.burst
        if self.largest_cost > burst:
            cycle = (division.rank + 0.5) / max(division.gateways, 1)
            level += burst - self.largest_cost * cycle
        return level

    def leave(self, active_s: float) -> None:
        """Stop granting, since the home answers again."""
        self.active = False
        self.ended_s = active_s

    def take(
        self,
        quota: catalogue.Quota,
        division: Division,
        excess: float,
        cost: float,
        active_s: float,
    ) -> float:
        """Take a cost; return 0 or the time until it fits, in seconds."""
        if cost <= 0.0:
            return 0.0
        if division.stopped or self.share_per_s <= 0.0:
            self.bucket.refilled_at_s = active_s
            return _home.STOPPED_WAIT_S
        share_per_s = min(self.share_per_s, quota.rate_per_s)
        part = share_per_s / quota.rate_per_s
        burst = part * quota.burst
        credit = part * excess * EXCESS_SHARE
        self.bucket.refill(share_per_s, max(burst, credit), active_s)
        needed = min(cost, burst)
        if self.bucket.level >= needed:
            self.bucket.level -= cost
            return 0.0
        wait_s = (needed - self.bucket.level) / share_per_s
        return min(wait_s, _home.MAX_WAIT_S)

    def refund(self, cost: float) -> None:
        """Give back a cost that was taken here."""
        self.bucket.level += cost
