"""What one organisation uses at one entry."""

import math

import attrs

from .. import _entities
from . import _base
from . import _bucket

#: A bucket holds what comes in within this time, in seconds.
BURST_S = 1.0
#: A bucket holds so many requests at least, or their tokens, so that a small
#: part of a limit is not lost when requests come unevenly.
BURST_REQUESTS = 3.0
#: Told to wait for a slot of the concurrency limit, in seconds.
SLOT_WAIT_S = 1.0


@attrs.frozen
class Allowance:
    """The part of an organisation's limits that holds at one entry."""

    #: Requests a second.
    requests_per_s: float
    #: Tokens a second.
    tokens_per_s: float
    #: Requests at once.
    slots: float


def whole(organisation: _entities.OrganisationView) -> Allowance:
    """Return the whole of an organisation's limits."""
    return Allowance(
        organisation.requests_per_s,
        organisation.tokens_per_s,
        organisation.concurrency,
    )


@attrs.define
class Account:
    """Counts what an organisation uses at this entry.

    A bucket that is not empty admits a request of any size and goes into
    debt, so that small parts of a limit add up to the limit exactly.
    """

    #: Requests that may begin.
    requests: _bucket.Bucket
    #: Tokens that may be spent.
    tokens: _bucket.Bucket
    #: Requests that were admitted and have not ended.
    running: int = 0

    def admit(
        self,
        allowance: Allowance,
        tokens: float,
        now_s: float,
        tokens_each: float = 0.0,
    ) -> _base.Admission:
        """Take a request in if the allowance leaves room for it."""
        requests_per_s = allowance.requests_per_s
        tokens_per_s = allowance.tokens_per_s
        requests = max(requests_per_s * BURST_S, BURST_REQUESTS)
        self.requests.refill(requests_per_s, requests, now_s)
        burst = max(tokens_per_s * BURST_S, BURST_REQUESTS * tokens_each)
        self.tokens.refill(tokens_per_s, burst, now_s)
        if self.running >= allowance.slots:
            return _base.Admission(False, SLOT_WAIT_S, "concurrency")
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
        """Give back what an admitted request did not use."""
        self.running = max(0, self.running - 1)
        self.tokens.level += tokens - actual_tokens


def opened(now_s: float) -> Account:
    """Return an account with full buckets."""
    return Account(
        _bucket.Bucket(math.inf, now_s), _bucket.Bucket(math.inf, now_s)
    )
