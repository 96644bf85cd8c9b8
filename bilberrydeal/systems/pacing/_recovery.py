"""When recovery work may begin."""

import enum
import random

import attrs

from . import _bucket


class Work(enum.StrEnum):
    """Kinds of recovery work, the most urgent first."""

    #: Store calls without which an entry cannot serve: keys, members.
    SERVE = "serve"
    #: Dials to endpoints and peers.
    DIAL = "dial"
    #: Store calls that finish what waited or what others left: usage,
    #: claims.
    ADOPT = "adopt"


@attrs.frozen
class PacingRules:
    """Rates of recovery work, of all processes together and of one."""

    #: Calls a second of all processes for work that can wait; well below
    #: the writes that the store takes.
    adopt_calls_per_s: float = 200.0
    #: Most calls a second of one process for work that can wait.
    adopt_calls_max_per_s: float = 4.0
    #: Dials a second of one process.
    dials_per_s: float = 10.0
    #: Dials that may go at once.
    dial_burst: float = 8.0
    #: Urgent calls begin within this time.
    serve_jitter_s: float = 0.2
    #: Work that can wait begins at a random time within this span.
    adopt_spread_s: float = 10.0


class RecoveryPacer:
    """Tells each piece of recovery work how long to wait.

    Urgent calls are not paced but made one at a time: the store's own
    answers pace them, and a process that recovers alone serves at once.
    Work that can wait has a rate that all processes share, and begins at a
    random time. A process has one call of each kind in flight.

    Example::

        pacer = RecoveryPacer(PacingRules(), 410, seed, now_s)
        await asyncio.sleep(pacer.wait_s(Work.ADOPT, now_s))
        await settle_one_window()
    """

    def __init__(
        self, rules: PacingRules, processes: int, seed: int, now_s: float
    ) -> None:
        self._rules = rules
        self._random = random.Random(seed)
        self._dials = _bucket.TokenBucket(
            rate_per_s=rules.dials_per_s, burst=rules.dial_burst, now_s=now_s
        )
        self._adopt = _bucket.TokenBucket(
            rate_per_s=rules.adopt_calls_max_per_s, burst=1.0, now_s=now_s
        )
        self._serve_from_s = now_s
        self._adopt_from_s = now_s
        self.resize(processes, now_s)
        self.restarted(now_s)

    def resize(self, processes: int, now_s: float) -> None:
        """Share the rates between so many processes from now on."""
        rules = self._rules
        rate_per_s = min(
            rules.adopt_calls_max_per_s,
            rules.adopt_calls_per_s / max(1, processes),
        )
        self._adopt.set_rate(rate_per_s, now_s)

    def restarted(self, now_s: float) -> None:
        """Draw anew when work may begin, at a start or after a cut."""
        rules = self._rules
        self._serve_from_s = now_s + self._random.uniform(
            0.0, rules.serve_jitter_s
        )
        self._adopt_from_s = now_s + self._random.uniform(
            0.0, rules.adopt_spread_s
        )

    def wait_s(self, work: Work, now_s: float) -> float:
        """Reserve one call or dial and return how long to wait for it."""
        if work is Work.SERVE:
            return max(0.0, self._serve_from_s - now_s)
        if work is Work.DIAL:
            return self._dials.reserve(1.0, now_s)
        begin_s = max(now_s, self._adopt_from_s)
        return begin_s - now_s + self._adopt.reserve(1.0, begin_s)
