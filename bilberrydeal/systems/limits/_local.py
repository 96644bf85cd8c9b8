"""Limits that each entry holds alone."""

import math

import attrs

from .. import _entities
from .. import _tables
from . import _base
from . import _bucket
from . import _messages

#: A bucket holds what comes in within this time, in seconds.
BURST_S = 1.0
#: Told to wait for a slot of the concurrency limit, in seconds.
SLOT_WAIT_S = 1.0


@attrs.define
class Account:
    """What one organisation uses at this entry."""

    #: Requests that may begin.
    requests: _bucket.Bucket
    #: Tokens that may be spent.
    tokens: _bucket.Bucket
    #: Requests that were admitted and have not ended.
    running: int = 0


@_base.LIMITERS.register("local_only")
class LocalLimiter:
    """Gives each entry the whole limit: the baseline.

    With n entries an organisation gets up to n times its limit.
    """

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self._accounts: dict[str, Account] = {}

    def admit(
        self,
        organisation: _entities.OrganisationView,
        tokens: float,
        now_s: float,
    ) -> _base.Admission:
        """Admit what the own buckets allow."""
        account = self._account(organisation, now_s)
        requests_per_s = organisation.requests_per_s
        tokens_per_s = organisation.tokens_per_s
        account.requests.refill(requests_per_s, requests_per_s, now_s)
        account.tokens.refill(tokens_per_s, tokens_per_s * BURST_S, now_s)
        if account.running + 1 > organisation.concurrency:
            return _base.Admission(False, SLOT_WAIT_S, "concurrency")
        wait_s = account.requests.wait_s(1.0, requests_per_s)
        if wait_s > 0.0:
            return _base.Admission(False, wait_s, "requests")
        wait_s = account.tokens.wait_s(
            min(tokens, tokens_per_s * BURST_S), tokens_per_s
        )
        if wait_s > 0.0:
            return _base.Admission(False, wait_s, "tokens")
        account.requests.level -= 1.0
        account.tokens.level -= tokens
        account.running += 1
        return _base.Admission(True)

    def settle(
        self,
        organisation: str,
        tokens: float,
        actual_tokens: float,
        now_s: float,
    ) -> None:
        """Give back what an admitted request did not use."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.running = max(0, account.running - 1)
            account.tokens.level += tokens - actual_tokens

    def exchange(
        self, tables: _tables.Tables, now_s: float
    ) -> list[_messages.Outgoing]:
        """Send nothing."""
        return []

    def receive_need(self, report: _messages.NeedReport, now_s: float) -> None:
        """Ignore the report."""

    def receive_grant(self, grant: _messages.ShareGrant, now_s: float) -> None:
        """Ignore the grant."""

    def _account(
        self, organisation: _entities.OrganisationView, now_s: float
    ) -> Account:
        account = self._accounts.get(organisation.organisation)
        if account is None:
            account = Account(
                _bucket.Bucket(math.inf, now_s),
                _bucket.Bucket(math.inf, now_s),
            )
            self._accounts[organisation.organisation] = account
        return account
