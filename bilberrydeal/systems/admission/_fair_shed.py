"""Sheds the organisations that take more than their share first."""

import math
import random

import attrs

from ... import errors
from .. import _entities
from .. import _tables
from . import _base

#: Requests sent for each that is served, while an organisation is shed.
SENT_PER_SERVED = 1.5
#: Time after which an old outcome counts for 1/e, in seconds.
MEMORY_S = 5.0
#: Told to come back after when nothing better is known, in seconds.
RETRY_AFTER_S = 1.0
#: Accounts are looked through for idle ones at this many.
ACCOUNTS_LIMIT = 256


@attrs.define
class Account:
    """What one organisation has here."""

    #: Requests that were taken in and have not ended.
    in_flight: int = 0
    #: Weight of the organisation when it became busy.
    weight: float = 1.0
    #: Requests offered, faded by age.
    offered: float = 0.0
    #: Requests that endpoints did not shed, faded by age.
    served: float = 0.0
    #: When the counts were true.
    at_s: float = -math.inf
    #: What endpoints told last to wait, in seconds.
    retry_after_s: float = RETRY_AFTER_S

    def fade(self, now_s: float) -> None:
        """Let old outcomes count less."""
        if now_s > self.at_s:
            fade = math.exp((self.at_s - now_s) / MEMORY_S)
            self.offered *= fade
            self.served *= fade
            self.at_s = now_s

    @property
    def shed_chance(self) -> float:
        """Return how likely a request is to be shed by the endpoints.

        It is zero while they serve all but a part of what is sent; what is
        in flight counts as served until it is shed.
        """
        served = self.served + self.in_flight
        excess = self.offered - SENT_PER_SERVED * served
        return max(0.0, excess / (self.offered + 1.0))


@_base.ADMISSION.register("fair_shed")
class FairShed:
    """Bounds requests in flight and refuses early what would be shed.

    An organisation may have as many requests in flight as places are free,
    by its weight over the mean of the busy ones: one that floods leaves
    room for the others. While endpoints shed its requests, all but a few of
    them are refused here, where that costs least.
    """

    def __init__(self, requests_limit: int) -> None:
        self.requests_limit = requests_limit
        self._accounts: dict[str, Account] = {}
        self._in_flight = 0
        self._busy = 0
        self._busy_weight = 0.0
        self._random = random.Random(requests_limit)

    def admit(
        self,
        tables: _tables.Tables,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _base.Verdict:
        """Take a request in, or say why not."""
        account = self._account(request.organisation, now_s)
        if now_s >= request.deadline_s:
            return _base.Verdict(errors.ErrorCode.DEADLINE_HOPELESS)
        shed_chance = account.shed_chance
        account.offered += 1.0
        bound = self._bound(self._weight(tables, request.organisation))
        if account.in_flight >= bound or self._random.random() < shed_chance:
            return _base.Verdict(
                errors.ErrorCode.OVERLOADED, account.retry_after_s
            )
        if not account.in_flight:
            account.weight = self._weight(tables, request.organisation)
            self._busy += 1
            self._busy_weight += account.weight
        account.in_flight += 1
        self._in_flight += 1
        return _base.Verdict()

    def release(
        self,
        request: _entities.PendingRequest,
        now_s: float,
        shed: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        """Free a request's place and note whether an endpoint shed it."""
        account = self._account(request.organisation, now_s)
        account.in_flight -= 1
        self._in_flight -= 1
        if not account.in_flight:
            self._busy -= 1
            self._busy_weight -= account.weight
        if not shed:
            account.served += 1.0
        elif retry_after_s > 0.0:
            account.retry_after_s = retry_after_s

    def _bound(self, weight: float) -> float:
        free = self.requests_limit - self._in_flight
        if not self._busy:
            return free
        return free * weight * self._busy / self._busy_weight

    @staticmethod
    def _weight(tables: _tables.Tables, organisation: str) -> float:
        view = tables.of(_entities.OrganisationView).get(organisation)
        return view.weight if view is not None else 1.0

    def _account(self, organisation: str, now_s: float) -> Account:
        account = self._accounts.get(organisation)
        if account is None:
            self._prune(now_s)
            account = self._accounts[organisation] = Account()
        account.fade(now_s)
        return account

    def _prune(self, now_s: float) -> None:
        if len(self._accounts) < ACCOUNTS_LIMIT:
            return
        oldest_s = now_s - 4.0 * MEMORY_S
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.in_flight or account.at_s > oldest_s
        }
