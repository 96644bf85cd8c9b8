"""How many requests are at an engine, by how urgent they are."""

import attrs

#: Ranks of requests that can be in time, 0 is the most urgent. As many
#: follow for those that are deferred.
URGENT_RANKS = 5


def engine_rank(rank: int, deferred: bool) -> int:
    """Return the rank at the engine: what is deferred comes last.

    Example::

        engine_rank(1, deferred=True)  # 6
    """
    rank = min(rank, URGENT_RANKS - 1)
    return rank + URGENT_RANKS if deferred else rank


def _none() -> list[int]:
    return [0] * (2 * URGENT_RANKS)


@attrs.define
class RequestCounts:
    """Requests at an engine, one figure for each rank there."""

    by_rank: list[int] = attrs.field(factory=_none)

    def add(self, rank: int, count: int) -> None:
        """Add requests of a rank, or take them away where negative."""
        self.by_rank[rank] += count

    @property
    def total(self) -> int:
        """Return how many there are."""
        return sum(self.by_rank)

    @property
    def urgent(self) -> int:
        """Return how many are not deferred."""
        return sum(self.by_rank[:URGENT_RANKS])

    def deferred(self, rank: int) -> int:
        """Return how many are deferred and as urgent as a rank, or more."""
        last = engine_rank(rank, deferred=True)
        return sum(self.by_rank[URGENT_RANKS : last + 1])
