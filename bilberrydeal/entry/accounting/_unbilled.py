"""Answers whose usage their agent has not handed over yet."""

import collections
import collections.abc
import typing

from ... import link
from .. import core

#: Answers remembered, and records remembered that came before them.
LIMIT = 10_000
#: An agent that lives hands a record over much sooner.
KEPT_S = 60.0


class Unbilled:
    """Remembers answers until their records come.

    An agent hands records over some tenths of a second after the answer;
    one that is killed between the two takes them along.
    """

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[int, core.AnsweredRequest] = (
            collections.OrderedDict()
        )
        self._seen: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many answers wait for their records."""
        return len(self._waiting)

    def answered(self, answer: core.AnsweredRequest) -> None:
        """Note an answer, unless its record came first."""
        sequence = answer.number.sequence
        if answer.organisation and sequence not in self._seen:
            self._waiting[sequence] = answer
            _bound(self._waiting)

    def recorded(self, number: link.RequestNumber) -> None:
        """Note that the record of a request came."""
        self._waiting.pop(number.sequence, None)
        self._seen[number.sequence] = None
        _bound(self._seen)

    def lost(
        self,
        replaced: collections.abc.Callable[[core.AnsweredRequest], bool],
        now_s: float,
    ) -> list[core.AnsweredRequest]:
        """Take out the answers whose agents will hand nothing over.

        ``replaced`` tells whether that is so. What is too old to be in
        doubt is dropped.
        """
        lost = [one for one in self._waiting.values() if replaced(one)]
        for one in lost:
            del self._waiting[one.number.sequence]
        while self._waiting:
            oldest = next(iter(self._waiting.values()))
            if now_s - oldest.answered_at_s < KEPT_S:
                break
            del self._waiting[oldest.number.sequence]
        return lost


def _bound(kept: collections.OrderedDict[int, typing.Any]) -> None:
    while len(kept) > LIMIT:
        kept.popitem(last=False)
