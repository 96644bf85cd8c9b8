"""An agent's history of the ended requests of one entry."""

import collections

import attrs

from . import _messages

#: How long the end of an idempotent request is remembered.
IDEMPOTENT_RETENTION_S = 60.0
#: How long the end of any other request, or a tombstone, is remembered.
RETENTION_S = 900.0
#: Maximum ended requests remembered per entry, for each of the two kinds.
ENDED_REQUESTS_LIMIT = 20_000
#: Maximum bytes of answer bodies kept per entry.
ANSWER_BODIES_LIMIT_BYTES = 1024 * 1024


@attrs.frozen
class EndedRequest:
    """How a request ended."""

    #: Whether any part of the request may have run.
    started: bool
    #: When to forget this, on the monotonic clock.
    forget_at_s: float
    #: The answer, or ``None`` if there is none or it was not kept.
    answer: _messages.Finished | None = None


class RequestHistory:
    """Ended requests by sequence number, bounded by time, count and bytes.

    Each forgotten request raises a floor. The fate of requests up to the
    floor is unknown, so none of them is started or reported as not started.
    """

    def __init__(self, floor: int = 0) -> None:
        self._idempotent: collections.OrderedDict[int, EndedRequest] = (
            collections.OrderedDict()
        )
        self._non_idempotent: collections.OrderedDict[int, EndedRequest] = (
            collections.OrderedDict()
        )
        self._answer_sizes_bytes: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._total_answer_bytes = 0
        #: Highest forgotten sequence number of an idempotent request.
        self.idempotent_floor = floor
        #: Highest forgotten sequence number of any other request or tombstone.
        self.non_idempotent_floor = floor

    def get(self, sequence: int) -> EndedRequest | None:
        """Return how a request ended, if it is remembered."""
        return self._non_idempotent.get(sequence) or self._idempotent.get(
            sequence
        )

    def add_idempotent(
        self, sequence: int, started: bool, now_s: float
    ) -> None:
        """Record the end of an idempotent request."""
        self._idempotent[sequence] = EndedRequest(
            started=started, forget_at_s=now_s + IDEMPOTENT_RETENTION_S
        )
        self.expire(now_s)

    def add(
        self,
        sequence: int,
        started: bool,
        now_s: float,
        answer: _messages.Finished | None = None,
    ) -> None:
        """Record the end of a request that is not idempotent."""
        self._non_idempotent[sequence] = EndedRequest(
            started=started,
            forget_at_s=now_s + RETENTION_S,
            answer=answer,
        )
        if answer is not None:
            self._answer_sizes_bytes[sequence] = len(answer.body)
            self._total_answer_bytes += len(answer.body)
        self.expire(now_s)

    def add_tombstone(self, sequence: int, now_s: float) -> None:
        """Record a tombstone, so that the request never starts."""
        self.add(sequence, started=False, now_s=now_s)

    def expire(self, now_s: float) -> None:
        """Forget requests and answers beyond the limits."""
        while _over_limit(self._idempotent, now_s):
            sequence, _ = self._idempotent.popitem(last=False)
            self.idempotent_floor = max(self.idempotent_floor, sequence)
        while _over_limit(self._non_idempotent, now_s):
            sequence, _ = self._non_idempotent.popitem(last=False)
            self.non_idempotent_floor = max(
                self.non_idempotent_floor, sequence
            )
            self._forget_answer_size(sequence)
        while self._total_answer_bytes > ANSWER_BODIES_LIMIT_BYTES:
            self._remove_answer(next(iter(self._answer_sizes_bytes)))

    def _remove_answer(self, sequence: int) -> None:
        """Drop the answer of a request but remember how it ended."""
        self._forget_answer_size(sequence)
        self._non_idempotent[sequence] = attrs.evolve(
            self._non_idempotent[sequence], answer=None
        )

    def _forget_answer_size(self, sequence: int) -> None:
        self._total_answer_bytes -= self._answer_sizes_bytes.pop(sequence, 0)


def _over_limit(
    ends: collections.OrderedDict[int, EndedRequest], now_s: float
) -> bool:
    if not ends:
        return False
    oldest = next(iter(ends.values()))
    return oldest.forget_at_s <= now_s or len(ends) > ENDED_REQUESTS_LIMIT
