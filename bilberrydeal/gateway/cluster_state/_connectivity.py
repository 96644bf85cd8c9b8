"""Whether the store responds to a gateway."""

import attrs

from ... import ports
from ... import telemetry

LOG = telemetry.logger("following")
#: The store counts as unreachable once calls fail and none succeeded for so
#: long, in seconds. Entries of endpoints live longer than that without it.
UNREACHABLE_AFTER_S = 2.3


@attrs.define
class StoreConnectivity:
    """Tracks when the store last responded.

    It is silent once a read of a table is late and no call of any kind has had
    a response for some time.

    Example::

        connectivity = StoreConnectivity(last_response_s=10.0, silence_s=2.0)
        connectivity.note_late("op")
        connectivity.silent(13.0)  # true
        connectivity.note_response(13.0)
        connectivity.silent(13.0)  # false
    """

    #: Last response, monotonic seconds.
    last_response_s: float
    #: When it last recovered from being unreachable, monotonic seconds.
    recovered_s: float = float("-inf")
    #: Whether a call has failed since the last response.
    failing: bool = False
    #: Whether it counts as unreachable.
    unreachable: bool = False
    #: Time without any response after which it is silent, in seconds.
    silence_s: float = float("inf")
    #: When it last responded after a silence, monotonic seconds.
    regained_s: float = float("-inf")
    #: Tables whose reads are late.
    _late: set[str] = attrs.field(factory=set)
    #: Whether they were late before it was regained already.
    _regained: bool = False

    def silent(self, now_s: float) -> bool:
        """Return whether it responds to nothing."""
        return bool(self._late) and self.age_s(now_s) >= self.silence_s

    def note_late(self, table: str) -> None:
        """Record that the response to a read of a table is late."""
        self._late.add(table)

    def note_read(self, table: str, now_s: float) -> None:
        """Record the response to a read of a table."""
        self.note_response(now_s)
        self._late.discard(table)
        if not self._late:
            self._regained = False

    def age_s(self, now_s: float) -> float:
        """Return the time since the last response."""
        return now_s - self.last_response_s

    def note_response(self, now_s: float) -> None:
        """Record a response to any call."""
        if self.silent(now_s) and not self._regained:
            self.regained_s = now_s
            self._regained = True
        if self.failing and now_s - self.last_response_s > UNREACHABLE_AFTER_S:
            self.recovered_s = now_s
        if self.unreachable:
            LOG.info("Store regained.", away_s=now_s - self.last_response_s)
        self.unreachable = False
        self.failing = False
        self.last_response_s = now_s

    def note_restore(self, now_s: float) -> None:
        """Record that the store came back from an older copy."""
        self.recovered_s = now_s

    def note_failure(self, reason: str, now_s: float) -> None:
        """Record a call without a response.

        Time alone is no sign of an outage, since long polls are answered
        rarely.
        """
        self.failing = True
        if (
            not self.unreachable
            and now_s - self.last_response_s > UNREACHABLE_AFTER_S
        ):
            self.unreachable = True
            LOG.warning("Store lost.", reason=reason)


@attrs.define(eq=False)
class FailureStreak:
    """Logs the first of several failed reads of a table, and their end."""

    table: str
    #: Failed reads since the last that succeeded.
    count: int = 0
    #: When the first of them failed, monotonic seconds.
    began_s: float = 0.0

    def note_failure(self, reason: str, now_s: float) -> None:
        """Record a failed read."""
        if self.count == 0:
            self.began_s = now_s
            LOG.warning("Table not read.", table=self.table, reason=reason)
        self.count += 1

    def note_success(self, transfer: ports.Transfer, now_s: float) -> None:
        """Record a read that succeeded."""
        if self.count:
            LOG.info(
                "Table read again.",
                table=self.table,
                failures=self.count,
                away_s=round(now_s - self.began_s, 3),
                size_bytes=transfer.size_bytes,
                transfer_s=round(transfer.took_s, 3),
            )
        self.count = 0
