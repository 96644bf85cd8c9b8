"""Admission control that first sheds organisations above their share."""

import math
import random

import attrs

from ... import errors
from .. import _entities
from .. import _tables
from . import _base

#: Requests sent per served request while an organisation is shed.
SENT_PER_SERVED = 1.5
#: Time constant of the exponential decay of old outcomes, in seconds.
DECAY_TIME_S = 5.0
#: Retry delay while no endpoint has reported one, in seconds.
RETRY_AFTER_S = 1.0
#: Idle accounts are pruned at this number of accounts.
PRUNE_THRESHOLD = 256


@attrs.define
class Account:
    """Requests of one organisation at this entry."""

    #: Admitted requests that have not ended.
    in_flight: int = 0
    #: Weight of the organisation when it last became active.
    weight: float = 1.0
    #: Offered requests, decayed by age.
    offered: float = 0.0
    #: Requests that endpoints did not shed, decayed by age.
    served: float = 0.0
    #: Time of the last decay.
    updated_at_s: float = -math.inf
    #: Retry delay last reported by an endpoint, in seconds.
    retry_after_s: float = RETRY_AFTER_S

    def decay(self, now_s: float) -> None:
        """Decay old outcomes."""
        if now_s > self.updated_at_s:
            decay = math.exp((self.updated_at_s - now_s) / DECAY_TIME_S)
            self.offered *= decay
            self.served *= decay
            self.updated_at_s = now_s

    @property
    def shed_probability(self) -> float:
        """Return the probability with which to refuse a request early.

        It is zero while endpoints shed only a small part of the requests.
        Requests in flight count as served until they are shed.
        """
        served = self.served + self.in_flight
        excess = self.offered - SENT_PER_SERVED * served
        return max(0.0, excess / (self.offered + 1.0))


@_base.ADMISSION.register("fair_shed")
class FairShed:
    """Limits requests in flight and refuses early what would be shed.

    An organisation may have as many requests in flight as the limit leaves
    free, scaled by its weight over the mean weight of active organisations,
    so that a flood leaves capacity for others. While endpoints shed its
    requests, most of them are refused here, where refusal costs least.
    """

    def __init__(self, requests_limit: int) -> None:
        self.requests_limit = requests_limit
        self._accounts: dict[str, Account] = {}
        self._in_flight = 0
        self._active = 0
        self._active_weight = 0.0
        self._random = random.Random(requests_limit)

    def admit(
        self,
        tables: _tables.Tables,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _base.AdmissionDecision:
        """Admit or refuse a request."""
        account = self._account(request.organisation, now_s)
        if now_s >= request.deadline_s:
            return _base.AdmissionDecision(errors.ErrorCode.DEADLINE_HOPELESS)
        shed_probability = account.shed_probability
        account.offered += 1.0
        limit = self._limit(self._weight(tables, request.organisation))
        if (
            account.in_flight >= limit
            or self._random.random() < shed_probability
        ):
            return _base.AdmissionDecision(
                errors.ErrorCode.OVERLOADED, account.retry_after_s
            )
        if not account.in_flight:
            account.weight = self._weight(tables, request.organisation)
            self._active += 1
            self._active_weight += account.weight
        account.in_flight += 1
        self._in_flight += 1
        return _base.AdmissionDecision()

    def release(
        self,
        request: _entities.PendingRequest,
        now_s: float,
        shed: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record a request's end and whether an endpoint shed it."""
        account = self._account(request.organisation, now_s)
        account.in_flight -= 1
        self._in_flight -= 1
        if not account.in_flight:
            self._active -= 1
            self._active_weight -= account.weight
        if not shed:
            account.served += 1.0
        elif retry_after_s > 0.0:
            account.retry_after_s = retry_after_s

    def _limit(self, weight: float) -> float:
        free = self.requests_limit - self._in_flight
        if not self._active:
            return free
        return free * weight * self._active / self._active_weight

    @staticmethod
    def _weight(tables: _tables.Tables, organisation: str) -> float:
        view = tables.of(_entities.OrganisationView).get(organisation)
        return view.weight if view is not None else 1.0

    def _account(self, organisation: str, now_s: float) -> Account:
        account = self._accounts.get(organisation)
        if account is None:
            self._prune(now_s)
            account = self._accounts[organisation] = Account()
        account.decay(now_s)
        return account

    def _prune(self, now_s: float) -> None:
        if len(self._accounts) < PRUNE_THRESHOLD:
            return
        oldest_s = now_s - 4.0 * DECAY_TIME_S
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.in_flight or account.updated_at_s > oldest_s
        }
