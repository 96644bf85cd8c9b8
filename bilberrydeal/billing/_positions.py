"""A compact set of record positions."""

import bisect
import collections.abc

import attrs


@attrs.frozen
class PositionSet:
    """A set of positive integers that contains all up to a floor.

    Example::

        PositionSet().with_positions([1, 3]) == PositionSet(1, above=(3,))
    """

    #: All positions up to this one are in the set.
    floor: int = 0
    #: Members above the floor, in ascending order.
    above: tuple[int, ...] = ()

    def __contains__(self, position: int) -> bool:
        if position <= self.floor:
            return True
        index = bisect.bisect_left(self.above, position)
        return self.above[index : index + 1] == (position,)

    def with_positions(
        self, positions: collections.abc.Iterable[int]
    ) -> "PositionSet":
        """Return the set with additional members."""
        return _compact(self.floor, {*self.above, *positions})

    def with_floor(self, floor: int) -> "PositionSet":
        """Return the set with all positions up to a floor added."""
        return _compact(max(self.floor, floor), set(self.above))


def _compact(floor: int, above: set[int]) -> PositionSet:
    while floor + 1 in above:
        floor += 1
    kept = sorted(position for position in above if position > floor)
    return PositionSet(floor=floor, above=tuple(kept))
