"""Number of requests at an engine by rank."""

import attrs

#: Number of ranks of requests that are not deferred; 0 is the most urgent. The
#: same number of ranks follows for deferred requests.
URGENT_RANKS = 5


def engine_rank(rank: int, deferred: bool) -> int:
    """Return the rank at the engine, where deferred requests come last.

    Example::

        engine_rank(1, deferred=True)  # 6
    """
    rank = min(rank, URGENT_RANKS - 1)
    return rank + URGENT_RANKS if deferred else rank


def _zero_counts() -> list[int]:
    return [0] * (2 * URGENT_RANKS)


@attrs.define
class RequestCounts:
    """Number of requests at an engine for each rank."""

    by_rank: list[int] = attrs.field(factory=_zero_counts)

    def add(self, rank: int, count: int) -> None:
        """Add requests of a rank; a negative number removes them."""
        self.by_rank[rank] += count

    @property
    def total(self) -> int:
        """Return the number of all requests."""
        return sum(self.by_rank)

    @property
    def urgent(self) -> int:
        """Return the number of requests that are not deferred."""
        return sum(self.by_rank[:URGENT_RANKS])

    def deferred(self, rank: int) -> int:
        """Return the number of deferred requests up to a rank."""
        last = engine_rank(rank, deferred=True)
        return sum(self.by_rank[URGENT_RANKS : last + 1])
