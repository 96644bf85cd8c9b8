"""Answers whose usage records their agents have not delivered yet."""

import collections
import collections.abc
import typing

from ... import link
from .. import core

#: Maximum number of kept answers, and of kept records.
MAX_ANSWERS = 10_000
#: Answers are dropped after this time; a live agent delivers much sooner.
RECORD_TIMEOUT_S = 60.0


class UnbilledAnswers:
    """Keeps answers until their records arrive.

    An agent delivers records some tenths of a second after the answer; if it
    is killed in between, they are lost. Records may also arrive first, so
    their numbers are kept too.
    """

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[int, core.AnsweredRequest] = (
            collections.OrderedDict()
        )
        self._recorded: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of answers without a record."""
        return len(self._waiting)

    def answered(self, answer: core.AnsweredRequest) -> None:
        """Keep an answer, unless its record arrived first."""
        sequence = answer.number.sequence
        if answer.organisation and sequence not in self._recorded:
            self._waiting[sequence] = answer
            _evict_oldest(self._waiting)

    def recorded(self, number: link.RequestNumber) -> None:
        """Drop the answer whose record arrived."""
        self._waiting.pop(number.sequence, None)
        self._recorded[number.sequence] = None
        _evict_oldest(self._recorded)

    def pop_lost(
        self,
        agent_gone: collections.abc.Callable[[core.AnsweredRequest], bool],
        now_s: float,
    ) -> list[core.AnsweredRequest]:
        """Remove and return the answers whose agents are gone.

        ``agent_gone`` tells whether that is so. Answers older than
        ``RECORD_TIMEOUT_S`` are dropped.
        """
        lost = [
            answer for answer in self._waiting.values() if agent_gone(answer)
        ]
        for answer in lost:
            del self._waiting[answer.number.sequence]
        while self._waiting:
            oldest = next(iter(self._waiting.values()))
            if now_s - oldest.answered_at_s < RECORD_TIMEOUT_S:
                break
            del self._waiting[oldest.number.sequence]
        return lost


def _evict_oldest(entries: collections.OrderedDict[int, typing.Any]) -> None:
    while len(entries) > MAX_ANSWERS:
        entries.popitem(last=False)
