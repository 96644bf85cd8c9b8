"""What an agent remembers of the requests of one entry that have ended."""

import collections

import attrs

from . import _messages

#: The end of an idempotent request is remembered so long.
SHORT_MEMORY_S = 60.0
#: The end of any other request, and a tombstone.
LONG_MEMORY_S = 900.0
#: Most ends remembered of one entry, of either kind.
ENDS_LIMIT = 20_000
#: Most bytes of answers kept of one entry.
ANSWERS_LIMIT_BYTES = 1024 * 1024


@attrs.frozen
class End:
    """How a request ended."""

    #: Whether any part of it may have run.
    started: bool
    #: When it may be forgotten, monotonic seconds.
    forget_at_s: float
    #: The answer; ``None`` when there is none or it is not kept.
    answer: _messages.Finished | None = None


class Ledger:
    """Ends by sequence, bounded by time, number and bytes.

    A forgotten end raises a floor: of the sequences up to it nothing is
    certain any more, so no request below it is begun or called not started.
    """

    def __init__(self, floor: int = 0) -> None:
        self._short: collections.OrderedDict[int, End] = (
            collections.OrderedDict()
        )
        self._long: collections.OrderedDict[int, End] = (
            collections.OrderedDict()
        )
        self._answers: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        #: Highest forgotten sequence of an idempotent request.
        self.short_floor = floor
        #: Highest forgotten sequence of any other request or tombstone.
        self.long_floor = floor

    def get(self, sequence: int) -> End | None:
        """Return how a request ended, if it is remembered."""
        return self._long.get(sequence) or self._short.get(sequence)

    def put_idempotent(
        self, sequence: int, started: bool, now_s: float
    ) -> None:
        """Remember for a short time that a request ended."""
        self._short[sequence] = End(
            started=started, forget_at_s=now_s + SHORT_MEMORY_S
        )
        self.expire(now_s)

    def put(
        self,
        sequence: int,
        started: bool,
        now_s: float,
        answer: _messages.Finished | None = None,
    ) -> None:
        """Remember the end of a request that is not idempotent."""
        self._long[sequence] = End(
            started=started,
            forget_at_s=now_s + LONG_MEMORY_S,
            answer=answer,
        )
        if answer is not None:
            self._answers[sequence] = len(answer.body)
            self._answers_bytes += len(answer.body)
        self.expire(now_s)

    def bury(self, sequence: int, now_s: float) -> None:
        """Keep a tombstone: the request never begins."""
        self.put(sequence, started=False, now_s=now_s)

    def expire(self, now_s: float) -> None:
        """Forget what is too old or too much."""
        while _surplus(self._short, now_s):
            sequence, _ = self._short.popitem(last=False)
            self.short_floor = max(self.short_floor, sequence)
        while _surplus(self._long, now_s):
            sequence, _ = self._long.popitem(last=False)
            self.long_floor = max(self.long_floor, sequence)
            self._drop_answer(sequence)
        while self._answers_bytes > ANSWERS_LIMIT_BYTES:
            self._strip(next(iter(self._answers)))

    def _strip(self, sequence: int) -> None:
        """Drop an answer but remember its end."""
        self._drop_answer(sequence)
        self._long[sequence] = attrs.evolve(self._long[sequence], answer=None)

    def _drop_answer(self, sequence: int) -> None:
        self._answers_bytes -= self._answers.pop(sequence, 0)


def _surplus(ends: collections.OrderedDict[int, End], now_s: float) -> bool:
    if not ends:
        return False
    oldest = next(iter(ends.values()))
    return oldest.forget_at_s <= now_s or len(ends) > ENDS_LIMIT
