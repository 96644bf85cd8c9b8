"""Decides about the quotas of organisations whose home this gateway is."""

import collections.abc
import math

import attrs

from ... import catalogue
from .. import limits
from . import _active_time
from . import _messages
from . import _view

#: Longest wait that rejected callers are told, in seconds. Callers who would
#: wait longer are all told this, so they come back spread as they came.
MAX_WAIT_S = 2.0
#: Wait that is told while nothing may be granted, in seconds.
STOPPED_WAIT_S = 1.0
#: Time constant of the decay of what gateways were granted, in seconds.
GRANTED_TAU_S = 3.0
#: Interval between divisions of a quota into shares, in seconds.
SHARES_INTERVAL_S = 0.25
#: Time for which a share may be used after it was assigned, in seconds. Only
#: answers carry shares, so a gateway without requests learns none meanwhile.
SHARE_TTL_S = 5.0
#: Time for which answers are repeated to repeated queries, in seconds.
ANSWERS_KEPT_S = 2.0
#: Most answers remembered for a gateway; a repeated query whose answer was
#: forgotten is not answered.
ANSWERS_LIMIT = 2_048
#: Gateways whose answers are remembered beyond those of the view.
EXTRA_GATEWAYS = 64
#: Time without a query after which a gateway's usage is forgotten, in
#: seconds. Until then the share of a gateway that is cut off stays known.
USAGE_KEPT_S = 60.0
#: Tolerance for sums of floats, as a share of the compared amount.
_TOLERANCE = 1e-9


@attrs.define
class _Usage:
    """What one gateway used of a quota."""

    #: Units granted, decayed to ``granted_s``.
    granted: float = 0.0
    granted_s: float = 0.0
    #: Share that it was last assigned, in units per second.
    share_per_s: float = 0.0
    #: When it was last assigned one, steady seconds.
    assigned_s: float = -math.inf

    def add(self, amount: float, now_s: float) -> None:
        """Add a granted amount."""
        self.granted = max(self.value(now_s) + amount, 0.0)
        self.granted_s = now_s

    def value(self, now_s: float) -> float:
        """Return the decayed amount."""
        age_s = now_s - self.granted_s
        return self.granted * math.exp(-age_s / GRANTED_TAU_S)


@attrs.define
class _Account:
    """The bucket of one organisation."""

    quota: catalogue.Quota
    bucket: limits.Bucket
    #: Number of the last view in which this gateway is known as the home.
    era: int
    #: When this gateway became the home, in active seconds.
    began_s: float
    #: Rate less the reserve for unheard gateways, in units per second.
    rate_per_s: float = 0.0
    #: Stamp of the view that the rate was computed for, -1 if it is outdated.
    stamp: int = -1
    #: Time up to which refills are promised to rejected callers.
    promised_s: float = -math.inf
    #: Usage by gateway.
    used: dict[str, _Usage] = attrs.field(factory=dict)
    #: When the rate was last divided into shares.
    divided_s: float = -math.inf
    #: Share of a gateway that used nothing, in units per second.
    least_share_per_s: float = 0.0


@attrs.define
class _Answered:
    """Answers that a gateway was sent."""

    #: Answers and when they were sent by sequence number.
    answers: dict[int, tuple[float, _messages.Answer]] = attrs.field(
        factory=dict
    )
    #: Greatest sequence number whose answer is forgotten.
    forgotten: int = -1
    last_s: float = -math.inf

    def add(self, answer: _messages.Answer, now_s: float) -> None:
        """Remember an answer and forget old ones."""
        self.answers[answer.sequence] = (now_s, answer)
        self.last_s = now_s
        while True:
            sequence = next(iter(self.answers))
            sent_s = self.answers[sequence][0]
            fresh = now_s - sent_s < ANSWERS_KEPT_S
            if fresh and len(self.answers) <= ANSWERS_LIMIT:
                return
            del self.answers[sequence]
            self.forgotten = max(self.forgotten, sequence)


class QuotaHome:
    """Keeps one bucket for each organisation that has its home here."""

    def __init__(
        self, view: _view.GatewayView, active: _active_time.ActiveTime
    ) -> None:
        self._view = view
        self._active = active
        self._quotas: collections.abc.Mapping[str, catalogue.Quota] = {}
        self._accounts: dict[str, _Account] = {}
        self._answered: dict[str, _Answered] = {}

    def set_quotas(
        self, quotas: collections.abc.Mapping[str, catalogue.Quota]
    ) -> None:
        """Apply quotas; buckets keep their level up to the new burst."""
        for name, account in list(self._accounts.items()):
            quota = quotas.get(name)
            if quota is None:
                del self._accounts[name]
            elif quota != account.quota:
                self._refill(account)
                if quota.unit is not account.quota.unit:
                    account.bucket.level = 0.0
                account.quota = quota
                account.stamp = -1
                account.divided_s = -math.inf
                account.promised_s = -math.inf
                level = min(account.bucket.level, quota.burst)
                account.bucket.level = level
        self._quotas = quotas

    def answer(
        self, gateway: str, query: _messages.Query, now_s: float
    ) -> _messages.Answer | None:
        """Return the answer to a query, the same to a repeated one.

        ``None`` for a query so late that its answer is forgotten.
        """
        answered = self._answered.get(gateway)
        if answered is None:
            self._limit_gateways()
            answered = self._answered[gateway] = _Answered()
        known = answered.answers.get(query.sequence)
        if known is not None:
            return known[1]
        if query.sequence <= answered.forgotten:
            return None
        wait_s, share_per_s = self.decide(
            gateway, query.organisation, query.cost, now_s
        )
        answer = _messages.Answer(query.sequence, wait_s, share_per_s)
        if wait_s != _messages.NOT_HOME:
            answered.add(answer, now_s)
        return answer

    def decide(
        self, gateway: str, organisation: str, cost: float, now_s: float
    ) -> tuple[float, float]:
        """Take a cost; return the wait and the gateway's share.

        The wait is 0 if the cost was taken.
        """
        account = self._account(organisation)
        if account is None:
            return _messages.NOT_HOME, 0.0
        if account.stamp != self._view.stamp:
            self._set_rate(account, now_s)
        self._refill(account)
        usage = account.used.get(gateway)
        if usage is None:
            usage = account.used[gateway] = _Usage(granted_s=now_s)
        wait_s = self._take(account, cost, now_s)
        if not wait_s:
            usage.add(cost, now_s)
        if now_s - account.divided_s >= SHARES_INTERVAL_S:
            self._divide(account, now_s)
        usage.assigned_s = now_s
        return wait_s, usage.share_per_s or account.least_share_per_s

    def _take(self, account: _Account, cost: float, now_s: float) -> float:
        bucket = account.bucket
        burst = account.quota.burst
        needed = min(cost, burst)
        if cost <= 0.0 or bucket.level >= needed - _TOLERANCE * needed:
            bucket.level = min(bucket.level - cost, burst)
            return 0.0
        rate_per_s = account.rate_per_s
        if rate_per_s <= 0.0:
            return STOPPED_WAIT_S
        fits_s = now_s + (needed - bucket.level) / rate_per_s
        fits_s = max(fits_s, account.promised_s + cost / rate_per_s)
        account.promised_s = min(fits_s, now_s + MAX_WAIT_S)
        return account.promised_s - now_s

    def _account(self, organisation: str) -> _Account | None:
        """Return the account of an organisation if this is its home."""
        account = self._accounts.get(organisation)
        view = self._view
        if account is not None and account.era == view.era:
            return account
        quota = self._quotas.get(organisation)
        if quota is None or view.home(organisation) != view.own:
            self._accounts.pop(organisation, None)
            return None
        if account is None or not view.was_home(organisation, account.era):
            # Another gateway may have granted until the view changed.
            bucket = limits.Bucket(0.0, view.eras[-1].began_s)
            rate_per_s = 0.0 if view.isolated else quota.rate_per_s
            bucket.refill(rate_per_s, quota.burst, self._active.now_s)
            account = _Account(quota, bucket, view.era, view.eras[-1].began_s)
            self._accounts[organisation] = account
        account.era = view.era
        return account

    def _refill(self, account: _Account) -> None:
        account.bucket.refill(
            account.rate_per_s, account.quota.burst, self._active.now_s
        )

    def _set_rate(self, account: _Account, now_s: float) -> None:
        """Set the rate less the reserve for gateways that may not ask."""
        view = self._view
        if account.stamp >= 0:
            self._refill(account)
        account.stamp = view.stamp
        rate_per_s = account.quota.rate_per_s
        even_per_s = rate_per_s / view.divisor
        reserved = even_per_s * (view.divisor - len(view.names))
        # Gateways may still use shares that an earlier home assigned.
        known = self._active.now_s - account.began_s >= SHARE_TTL_S
        least_per_s = even_per_s / 2.0 if known else even_per_s
        for name in view.unheard:
            usage = account.used.get(name)
            heard_s = view.last_heard_s(name)
            assigned = usage is not None and (
                heard_s - usage.assigned_s < SHARE_TTL_S
            )
            share_per_s = usage.share_per_s if usage and assigned else 0.0
            reserved += max(share_per_s, least_per_s)
        account.rate_per_s = max(rate_per_s - reserved, 0.0)
        if view.isolated:
            account.rate_per_s = 0.0

    def _divide(self, account: _Account, now_s: float) -> None:
        """Divide the rate by usage, with at least a scaled even part each."""
        account.divided_s = now_s
        divisor = self._view.divisor
        even = 1.0 / divisor
        for name, usage in list(account.used.items()):
            if now_s - usage.assigned_s > USAGE_KEPT_S:
                del account.used[name]
        values = {
            name: usage.value(now_s) for name, usage in account.used.items()
        }
        total = sum(values.values())
        scale = 1.0 / total if total > 0.0 else 0.0
        parts = {
            name: max(value * scale, even) for name, value in values.items()
        }
        idle = max(divisor - len(parts), 0)
        unit = account.quota.rate_per_s / (sum(parts.values()) + idle * even)
        account.least_share_per_s = even * unit
        for name, part in parts.items():
            account.used[name].share_per_s = part * unit

    def _limit_gateways(self) -> None:
        """Forget the gateway answered least recently if there are too many."""
        if len(self._answered) < len(self._view.names) + EXTRA_GATEWAYS:
            return
        oldest = min(
            self._answered, key=lambda name: self._answered[name].last_s
        )
        del self._answered[oldest]
