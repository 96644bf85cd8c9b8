"""What is known of one shard of the members table.

Ages of rows are counted on an observation clock: it advances only when the
shard is read while some member's renewals arrive, and by a bounded step, so
that neither an outage of the store nor a pause of the reader lets members
expire.
"""

import attrs

from .. import ports
from . import _members
from . import _relay

#: A row expires after so many of its renewals failed to appear.
EXPIRY_RENEWALS = 4.0
#: Rows that are gone are remembered so long, in seconds.
TOMBSTONE_S = 60.0
#: News must be newer by so much, in seconds, not by rounding only.
NEWER_S = 0.001
#: Added to an asker's age for news that crossed its read, in seconds.
RELAY_SLACK_S = 2.0


@attrs.define
class KnownRow:
    """One row as this process knows it."""

    #: The member, ``None`` once the row is gone.
    member: _members.Member | None
    #: Version of the row.
    version: int
    #: Observation time of the last change of the version.
    observed_s: float
    #: Own monotonic time of the last change of the version.
    seen_s: float
    #: Own monotonic time of the last news: all but a mere renewal.
    news_s: float


class Shard:
    """Rows under one prefix."""

    def __init__(self, prefix: str, step_s: float) -> None:
        self.prefix = prefix
        #: When the knowledge was true, monotonic; ``None`` without any.
        self.confirmed_s: float | None = None
        self.rows: dict[str, KnownRow] = {}
        self._step_s = step_s
        self._clock_s = 0.0
        self._advanced_s: float | None = None

    def take_read(
        self, rows: tuple[ports.Row, ...], sent_s: float, renewals: bool
    ) -> bool:
        """Take a whole read; return whether any row changed.

        ``renewals`` tells whether a renewal was seen since the last one.
        """
        if self._advanced_s is not None and renewals:
            step_s = min(sent_s - self._advanced_s, self._step_s)
            self._clock_s += max(step_s, 0.0)
        self._advanced_s = sent_s
        changed = [self._put(row, sent_s) for row in rows]
        for key in self.rows.keys() - {row.key for row in rows}:
            self._remove(key, sent_s)
        self._forget_old(sent_s)
        self.confirmed_s = max(self.confirmed_s or sent_s, sent_s)
        return any(changed)

    def alive(self) -> list[_members.Member]:
        """Return the members whose rows have not expired."""
        return [
            row.member
            for row in self.rows.values()
            if row.member is not None and not self.expired(row)
        ]

    def expired(self, row: KnownRow) -> bool:
        """Return whether a row missed its renewals."""
        if row.member is None:
            return True
        limit_s = row.member.renew_s * EXPIRY_RENEWALS
        return self._clock_s - row.observed_s > limit_s

    def news(self, age_s: float | None, now_s: float) -> _relay.RelayedShard:
        """Return what an asker with knowledge of an age lacks."""
        assert self.confirmed_s is not None
        whole = age_s is None or age_s + RELAY_SLACK_S > TOMBSTONE_S
        since_s = now_s - (age_s or 0.0) - RELAY_SLACK_S
        rows = [
            self._relayed(key, row)
            for key, row in self.rows.items()
            if whole or row.news_s >= since_s or self.expired(row)
        ]
        return _relay.RelayedShard(
            shard=self.prefix,
            age_s=now_s - self.confirmed_s,
            whole=whole,
            rows=tuple(rows),
        )

    def take_news(
        self, relayed: _relay.RelayedShard, sent_s: float, now_s: float
    ) -> None:
        """Take what a peer answered to a question sent at ``sent_s``."""
        as_of_s = sent_s - relayed.age_s
        if self.confirmed_s is not None and (
            as_of_s <= self.confirmed_s + NEWER_S
        ):
            return
        for row in relayed.rows:
            self._take_row(row, now_s)
        if relayed.whole:
            for key in self.rows.keys() - {row.key for row in relayed.rows}:
                self._remove(key, now_s)
        # The sender vouches for the rest.
        for known in self.rows.values():
            known.seen_s = now_s
        self._advanced_s = now_s
        self.confirmed_s = as_of_s

    def _take_row(self, row: _relay.RelayedRow, now_s: float) -> None:
        known = self.rows.get(row.key)
        if known is not None and known.version > row.version:
            return
        if row.value is None:
            self._remove(row.key, now_s)
            return
        self._put(
            ports.Row(
                table=_members.TABLE,
                key=row.key,
                version=row.version,
                value=row.value.encode(),
            ),
            now_s,
        )

    def _relayed(self, key: str, row: KnownRow) -> _relay.RelayedRow:
        value = None
        if row.member is not None and not self.expired(row):
            value = _members.encode(row.member).decode()
        return _relay.RelayedRow(key=key, version=row.version, value=value)

    def _put(self, row: ports.Row, now_s: float) -> bool:
        known = self.rows.get(row.key)
        if known and known.member and known.version == row.version:
            return False
        member = _members.decode(row)
        news_s = now_s
        if known and _members.same(known.member, member):
            news_s = known.news_s
        self.rows[row.key] = KnownRow(
            member=member,
            version=row.version,
            observed_s=self._clock_s,
            seen_s=now_s,
            news_s=news_s,
        )
        return True

    def _remove(self, key: str, now_s: float) -> None:
        known = self.rows.get(key)
        if known is not None and known.member is not None:
            known.member = None
            known.news_s = now_s

    def _forget_old(self, now_s: float) -> None:
        old = [
            key
            for key, row in self.rows.items()
            if row.member is None and now_s - row.news_s > TOMBSTONE_S
        ]
        for key in old:
            del self.rows[key]
