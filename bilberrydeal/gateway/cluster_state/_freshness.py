"""How recently the store confirmed what a gateway knows of a table."""

import attrs

from . import _connectivity

#: Share of the time within which a change must be applied in which, after a
#: silence of the store, the newest state is being read.
REGAIN_SHARE = 0.4


@attrs.define(eq=False)
class TableFreshness:
    """Tells what may be decided by what is known of a table.

    Another state may be in force than the known one from the moment at which
    the store last confirmed it. It certainly is once newer rows begin to
    arrive, and these may take long; so the known state may be old already when
    it has arrived.

    Example::

        freshness = TableFreshness(apply_limit_s=3.0)
        freshness.note_confirmed(now_s)
        freshness.note_superseded()
        freshness.may_deny(now_s + 1.0)  # false
        freshness.may_use(now_s + 1.0)  # true
        freshness.may_use(now_s + 3.5)  # false
    """

    #: Time within which a change must be applied, in seconds.
    apply_limit_s: float = float("inf")
    #: When the store last sent the newest state, monotonic seconds; ``None``
    #: before the first time.
    confirmed_s: float | None = None
    #: Whether a newer state than the known one is said to exist.
    superseded: bool = False
    #: Whether the newest state was read and could not be applied.
    not_applied: bool = False
    #: Whether the store responds, so that the newest state will be known.
    connectivity: _connectivity.StoreConnectivity = attrs.field(
        factory=lambda: _connectivity.StoreConnectivity(last_response_s=0.0)
    )
    #: When the present read was sent, monotonic seconds; ``None`` without one.
    asked_s: float | None = None

    def note_asked(self, now_s: float) -> None:
        """Record that the store is being asked."""
        self.asked_s = now_s

    def note_confirmed(self, sent_s: float) -> None:
        """Record that the store sent the newest state at a time."""
        if self.confirmed_s is not None:
            sent_s = max(sent_s, self.confirmed_s)
        self.confirmed_s = sent_s
        self.superseded = False
        self.not_applied = False
        self.asked_s = None

    def note_superseded(self) -> None:
        """Record that there is, or may be, a newer state than the known one.

        Its rows may be arriving. As they may never be complete, that does not
        count as a response of the store.
        """
        self.superseded = True

    def note_not_applied(self) -> None:
        """Record that the newest state could not be applied."""
        self.not_applied = True
        self.asked_s = None

    def is_fresh(self, now_s: float) -> bool:
        """Return whether what is known was confirmed within the limit."""
        return self.confirmed_s is not None and not self._over_limit(now_s)

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the store confirmed what is known."""
        if self.confirmed_s is None:
            return None
        return now_s - self.confirmed_s

    def waiting_s(self, now_s: float) -> float | None:
        """Return the time since the present read was sent."""
        return None if self.asked_s is None else now_s - self.asked_s

    def may_deny(self, now_s: float) -> bool:
        """Return whether what is not known counts as absent."""
        return not self.superseded and not self._over_limit(now_s)

    def may_use(self, now_s: float) -> bool:
        """Return whether what is known may still be relied on.

        Without the store it may: an old state serves callers better than
        none. So it may while the newest one is read after the store's return.
        """
        if not self._over_limit(now_s) or self.not_applied:
            return True
        reading_until_s = (
            self.connectivity.regained_s + REGAIN_SHARE * self.apply_limit_s
        )
        return self.connectivity.silent(now_s) or now_s < reading_until_s

    def _over_limit(self, now_s: float) -> bool:
        age_s = self.age_s(now_s)
        return age_s is not None and age_s > self.apply_limit_s
