"""Generates request numbers."""

import attrs

from ... import link


@attrs.define
class RequestNumbers:
    """Generates unique request numbers within one incarnation."""

    #: Incarnation of the entry.
    entry: str
    #: Sequence of the most recent number.
    last: int = 0

    def next(self) -> link.RequestNumber:
        """Return a number that was not used before."""
        self.last += 1
        return link.RequestNumber(self.entry, self.last)
