"""Accounts for an organisation's usage at one entry."""

import math

import attrs

from .. import _entities
from . import _base
from . import _bucket

#: Capacity of a bucket, in seconds of refill.
BURST_S = 1.0
#: Minimum capacity of a bucket, in requests of average size. With less, an
#: entry could not use a small share of a limit when requests arrive unevenly.
BURST_REQUESTS = 3.0
#: Retry delay reported when the concurrency limit is reached, in seconds.
SLOT_RETRY_AFTER_S = 1.0


@attrs.frozen
class Allowance:
    """The part of an organisation's limits that applies at one entry."""

    #: Requests per second.
    requests_per_s: float
    #: Tokens per second.
    tokens_per_s: float
    #: Concurrent requests.
    slots: float


def full_allowance(organisation: _entities.OrganisationView) -> Allowance:
    """Return an allowance of an organisation's full limits."""
    return Allowance(
        organisation.requests_per_s,
        organisation.tokens_per_s,
        organisation.concurrency,
    )


@attrs.define
class Account:
    """Tracks an organisation's usage at this entry.

    A bucket that is not empty admits a request of any size and may go
    negative, so that small shares of a limit add up to exactly the limit.
    """

    #: Limits requests per second.
    requests: _bucket.Bucket
    #: Limits tokens per second.
    tokens: _bucket.Bucket
    #: Admitted requests that have not ended.
    running: int = 0

    def admit(
        self,
        allowance: Allowance,
        tokens: float,
        now_s: float,
        tokens_per_request: float = 0.0,
    ) -> _base.Admission:
        """Admit a request if the allowance permits it."""
        requests_per_s = allowance.requests_per_s
        tokens_per_s = allowance.tokens_per_s
        requests = max(requests_per_s * BURST_S, BURST_REQUESTS)
        self.requests.refill(requests_per_s, requests, now_s)
        burst = max(
            tokens_per_s * BURST_S, BURST_REQUESTS * tokens_per_request
        )
        self.tokens.refill(tokens_per_s, burst, now_s)
        if self.running >= allowance.slots:
            return _base.Admission(False, SLOT_RETRY_AFTER_S, "concurrency")
        if self.requests.level <= 0.0:
            wait_s = self.requests.wait_s(requests_per_s)
            return _base.Admission(False, wait_s, "requests")
        if self.tokens.level <= 0.0:
            wait_s = self.tokens.wait_s(tokens_per_s)
            return _base.Admission(False, wait_s, "tokens")
        self.requests.level -= 1.0
        self.tokens.level -= tokens
        self.running += 1
        return _base.Admission(True)

    def settle(self, tokens: float, actual_tokens: float) -> None:
        """Release the slot and correct the tokens of an ended request."""
        self.running = max(0, self.running - 1)
        self.tokens.level += tokens - actual_tokens


def new_account(now_s: float) -> Account:
    """Return an account with full buckets."""
    return Account(
        _bucket.Bucket(math.inf, now_s), _bucket.Bucket(math.inf, now_s)
    )
