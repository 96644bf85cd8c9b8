"""Numbers of requests."""

import attrs

from ... import link


@attrs.define
class Numbers:
    """Numbers the requests of one incarnation."""

    #: Incarnation of the entry.
    entry: str
    #: The number given last.
    last: int = 0

    def next(self) -> link.RequestNumber:
        """Return a number that was never given before."""
        self.last += 1
        return link.RequestNumber(self.entry, self.last)
