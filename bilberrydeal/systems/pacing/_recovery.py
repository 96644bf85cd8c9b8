"""When recovery work may begin."""

import enum
import random

import attrs

from . import _bucket


class Work(enum.StrEnum):
    """Kinds of recovery work, the most urgent first."""

    #: Reads without which an entry cannot serve: keys and configuration.
    SERVE = "serve"
    #: Dials to endpoints and peers.
    DIAL = "dial"
    #: Reads and writes that finish what others left: usage, claims.
    ADOPT = "adopt"


@attrs.frozen
class PacingRules:
    """Rates of one process for its recovery work."""

    #: Store calls a second, on average, of one process that recovers.
    store_calls_per_s: float = 4.0
    #: Store calls that may go at once.
    store_burst: float = 8.0
    #: Dials a second.
    dials_per_s: float = 10.0
    #: Dials that may go at once.
    dial_burst: float = 8.0
    #: Work that can wait begins at a random time within this span.
    spread_s: float = 20.0


class RecoveryPacer:
    """Tells each piece of recovery work how long to wait.

    What an entry needs to serve goes first and at once within its burst;
    the rest begins at a random time, so that many processes that recover
    at the same moment do not call the store together. ``restarted`` is
    called when a process starts or finds the store again after a cut.
    """

    def __init__(self, rules: PacingRules, seed: int, now_s: float) -> None:
        self._rules = rules
        self._random = random.Random(seed)
        self._store = _bucket.TokenBucket(
            rate_per_s=rules.store_calls_per_s,
            burst=rules.store_burst,
            now_s=now_s,
        )
        self._dials = _bucket.TokenBucket(
            rate_per_s=rules.dials_per_s, burst=rules.dial_burst, now_s=now_s
        )
        self._adopt_from_s = now_s
        self.restarted(now_s)

    def restarted(self, now_s: float) -> None:
        """Draw anew when work that can wait may begin."""
        self._adopt_from_s = now_s + self._random.uniform(
            0.0, self._rules.spread_s
        )

    def wait_s(self, work: Work, calls: int, now_s: float) -> float:
        """Reserve ``calls`` and return how long to wait before them."""
        if work is Work.DIAL:
            return self._dials.reserve(calls, now_s)
        bucket_wait_s = self._store.reserve(calls, now_s)
        if work is Work.SERVE:
            return bucket_wait_s
        return max(bucket_wait_s, self._adopt_from_s - now_s)
