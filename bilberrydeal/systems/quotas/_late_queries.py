"""Queries that were given up and may be answered yet."""

import attrs

from . import _messages

#: Time for which queries that were given up are remembered, in seconds: what
#: late answers to them granted is given back.
LATE_ANSWER_S = 5.0
#: Most such queries remembered; what late answers to earlier ones granted is
#: not given back.
LATE_ANSWERS_LIMIT = 10_000


@attrs.frozen
class LateQuery:
    """A query that was given up and may be answered yet."""

    query: _messages.Query
    #: Gateway that was asked.
    home: str
    asked_s: float
    #: When it was given up.
    since_s: float


class LateQueries:
    """The latest queries that were given up, the oldest first."""

    def __init__(self) -> None:
        #: By sequence number.
        self._late: dict[int, LateQuery] = {}

    def add(self, late: LateQuery) -> None:
        """Remember a query."""
        self._late[late.query.sequence] = late

    def take(self, sequence: int, home: str) -> LateQuery | None:
        """Remove and return the query to a home that an answer is for."""
        late = self._late.get(sequence)
        if late is None or late.home != home:
            return None
        return self._late.pop(sequence)

    def expire(self, now_s: float) -> None:
        """Forget the oldest queries."""
        while self._late:
            sequence = next(iter(self._late))
            fresh = now_s - self._late[sequence].since_s < LATE_ANSWER_S
            if fresh and len(self._late) <= LATE_ANSWERS_LIMIT:
                return
            del self._late[sequence]
