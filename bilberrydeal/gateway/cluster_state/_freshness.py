"""How recently the store confirmed what a gateway knows of a table."""

import attrs


@attrs.define(eq=False)
class TableFreshness:
    """Age of what is known of one table of the store.

    Example::

        freshness = TableFreshness()
        freshness.note_confirmed(now_s)
        freshness.age_s(now_s + 1.0)  # 1.0
    """

    #: When the store last sent the newest state, monotonic seconds; ``None``
    #: before the first time.
    confirmed_s: float | None = None

    def note_confirmed(self, sent_s: float) -> None:
        """Record that the store sent the newest state at a time."""
        self.confirmed_s = sent_s

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the store confirmed what is known."""
        if self.confirmed_s is None:
            return None
        return now_s - self.confirmed_s
