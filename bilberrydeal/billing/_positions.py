"""A compact set of the positions of settled records."""

import bisect
import collections.abc

import attrs


@attrs.frozen
class PositionSet:
    """Positive integers of which most lie below a floor.

    Example::

        PositionSet().added([1, 2, 4]) == PositionSet(floor=2, above=(4,))
    """

    #: This and all below it are in the set.
    floor: int = 0
    #: Members above the floor, in order.
    above: tuple[int, ...] = ()

    def __contains__(self, position: int) -> bool:
        if position <= self.floor:
            return True
        place = bisect.bisect_left(self.above, position)
        return self.above[place : place + 1] == (position,)

    def added(self, positions: collections.abc.Iterable[int]) -> "PositionSet":
        """Return the set with some more members."""
        return _compact(self.floor, {*self.above, *positions})

    def raised(self, floor: int) -> "PositionSet":
        """Return the set with all members up to a floor."""
        return _compact(max(self.floor, floor), set(self.above))


def _compact(floor: int, above: set[int]) -> PositionSet:
    while floor + 1 in above:
        floor += 1
    kept = sorted(position for position in above if position > floor)
    return PositionSet(floor=floor, above=tuple(kept))
