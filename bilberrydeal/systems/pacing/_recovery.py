"""Paces recovery work after a start or an outage."""

import enum
import random

import attrs

from . import _bucket


class RecoveryWork(enum.StrEnum):
    """Kinds of recovery work, most urgent first."""

    #: Store calls that an entry needs before it can serve: keys, members.
    URGENT = "serve"
    #: Connections to endpoints and peers.
    DIAL = "dial"
    #: Store calls that complete delayed work or work abandoned by other
    #: processes: usage, claims.
    DEFERRABLE = "adopt"


@attrs.frozen
class PacingRules:
    """Rate limits of recovery work, for all processes together and for one."""

    #: Deferrable calls per second of all processes; well below the write
    #: capacity of the store.
    deferrable_calls_per_s: float = 200.0
    #: Maximum deferrable calls per second of one process.
    deferrable_calls_max_per_s: float = 4.0
    #: Dials per second of one process.
    dials_per_s: float = 10.0
    #: Maximum burst of dials.
    dial_burst: float = 8.0
    #: Urgent calls start at a random time within this span.
    urgent_jitter_s: float = 0.2
    #: Deferrable work starts at a random time within this span.
    deferrable_spread_s: float = 10.0


class RecoveryPacer:
    """Returns the delay before each piece of recovery work.

    Urgent calls have no rate limit but are made one at a time: the latency of
    the store paces them, and a process that recovers alone can serve
    immediately. Deferrable work has a rate that all processes share, and
    starts at a random time. A process has one call of each kind in flight.

    Example::

        pacer = RecoveryPacer(PacingRules(), 410, seed, now_s)
        await asyncio.sleep(pacer.wait_s(RecoveryWork.DEFERRABLE, now_s))
        await settle_one_window()
    """

    def __init__(
        self, rules: PacingRules, processes: int, seed: int, now_s: float
    ) -> None:
        self._rules = rules
        self._random = random.Random(seed)
        self._dial_bucket = _bucket.TokenBucket(
            rate_per_s=rules.dials_per_s, burst=rules.dial_burst, now_s=now_s
        )
        self._deferrable_bucket = _bucket.TokenBucket(
            rate_per_s=rules.deferrable_calls_max_per_s, burst=1.0, now_s=now_s
        )
        self._urgent_start_s = now_s
        self._deferrable_start_s = now_s
        self.set_process_count(processes, now_s)
        self.draw_start_times(now_s)

    def set_process_count(self, processes: int, now_s: float) -> None:
        """Divide the shared rate by the number of processes from now on."""
        rules = self._rules
        rate_per_s = min(
            rules.deferrable_calls_max_per_s,
            rules.deferrable_calls_per_s / max(1, processes),
        )
        self._deferrable_bucket.set_rate(rate_per_s, now_s)

    def draw_start_times(self, now_s: float) -> None:
        """Draw new random start times, after a start or a partition."""
        rules = self._rules
        self._urgent_start_s = now_s + self._random.uniform(
            0.0, rules.urgent_jitter_s
        )
        self._deferrable_start_s = now_s + self._random.uniform(
            0.0, rules.deferrable_spread_s
        )

    def wait_s(self, work: RecoveryWork, now_s: float) -> float:
        """Reserve one call or dial and return the delay before it."""
        if work is RecoveryWork.URGENT:
            return max(0.0, self._urgent_start_s - now_s)
        if work is RecoveryWork.DIAL:
            return self._dial_bucket.reserve(1.0, now_s)
        start_s = max(now_s, self._deferrable_start_s)
        return start_s - now_s + self._deferrable_bucket.reserve(1.0, start_s)
