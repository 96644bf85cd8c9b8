"""Local copy of one shard of the members table.

The age of a row is measured on an observation clock. It advances by a
bounded step, and only when the shard is read while some member's renewals
arrive, so that neither an outage of the store nor a pause of the reader
expires members.
"""

import attrs

from .. import ports
from . import _members
from . import _relay

#: Missed renewals after which a row expires.
EXPIRY_RENEWALS = 4.0
#: Retention of removed rows, in seconds.
TOMBSTONE_S = 60.0
#: Minimum advantage in age of an accepted update, in seconds; a smaller one
#: may be due to rounding.
MIN_NEWER_S = 0.001
#: Added to the requester's age to cover changes concurrent with its read, in
#: seconds.
RELAY_SLACK_S = 2.0


@attrs.define
class KnownRow:
    """Local copy of one row."""

    #: The member, ``None`` once the row was removed.
    member: _members.Member | None
    #: Version of the row.
    version: int
    #: Observation clock at the last change of the version, in seconds.
    observed_s: float
    #: Local monotonic time of the last change of the version or the last
    #: applied update of the shard, in seconds.
    last_seen_s: float
    #: Local monotonic time of the last change other than a renewal, in
    #: seconds.
    content_changed_s: float


class Shard:
    """Rows under one key prefix."""

    def __init__(self, prefix: str, step_s: float) -> None:
        self.prefix = prefix
        #: Monotonic time as of which the rows are confirmed, in seconds;
        #: ``None`` before the first read or update.
        self.confirmed_s: float | None = None
        self.rows: dict[str, KnownRow] = {}
        self._step_s = step_s
        self._clock_s = 0.0
        self._advanced_s: float | None = None

    def apply_scan(
        self, rows: tuple[ports.Row, ...], sent_s: float, renewal_seen: bool
    ) -> bool:
        """Apply a complete scan; return whether any row changed.

        ``renewal_seen`` is whether a renewal was seen since the last scan.
        """
        if self._advanced_s is not None and renewal_seen:
            step_s = min(sent_s - self._advanced_s, self._step_s)
            self._clock_s += max(step_s, 0.0)
        self._advanced_s = sent_s
        changed = [self._put(row, sent_s) for row in rows]
        for key in self.rows.keys() - {row.key for row in rows}:
            self._remove(key, sent_s)
        self._drop_tombstones(sent_s)
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
        """Return whether a row was removed or has missed its renewals."""
        if row.member is None:
            return True
        limit_s = row.member.renew_s * EXPIRY_RENEWALS
        return self._clock_s - row.observed_s > limit_s

    def update_since(
        self, age_s: float | None, now_s: float
    ) -> _relay.RelayedShard:
        """Return the changes for a requester whose data has the given age."""
        assert self.confirmed_s is not None
        whole = age_s is None or age_s + RELAY_SLACK_S > TOMBSTONE_S
        since_s = now_s - (age_s or 0.0) - RELAY_SLACK_S
        rows = [
            self._relayed(key, row)
            for key, row in self.rows.items()
            if whole or row.content_changed_s >= since_s or self.expired(row)
        ]
        return _relay.RelayedShard(
            shard=self.prefix,
            age_s=now_s - self.confirmed_s,
            whole=whole,
            rows=tuple(rows),
        )

    def apply_update(
        self, relayed: _relay.RelayedShard, sent_s: float, now_s: float
    ) -> None:
        """Apply a peer's response to a request sent at ``sent_s``."""
        as_of_s = sent_s - relayed.age_s
        if self.confirmed_s is not None and (
            as_of_s <= self.confirmed_s + MIN_NEWER_S
        ):
            return
        for row in relayed.rows:
            self._apply_row(row, now_s)
        if relayed.whole:
            for key in self.rows.keys() - {row.key for row in relayed.rows}:
                self._remove(key, now_s)
        # The update also confirms all rows that it does not list.
        for known in self.rows.values():
            known.last_seen_s = now_s
        self._advanced_s = now_s
        self.confirmed_s = as_of_s

    def _apply_row(self, row: _relay.RelayedRow, now_s: float) -> None:
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
        content_changed_s = now_s
        if known and _members.equal_except_renewal(known.member, member):
            content_changed_s = known.content_changed_s
        self.rows[row.key] = KnownRow(
            member=member,
            version=row.version,
            observed_s=self._clock_s,
            last_seen_s=now_s,
            content_changed_s=content_changed_s,
        )
        return True

    def _remove(self, key: str, now_s: float) -> None:
        known = self.rows.get(key)
        if known is not None and known.member is not None:
            known.member = None
            known.content_changed_s = now_s

    def _drop_tombstones(self, now_s: float) -> None:
        obsolete = [
            key
            for key, row in self.rows.items()
            if row.member is None
            and now_s - row.content_changed_s > TOMBSTONE_S
        ]
        for key in obsolete:
            del self.rows[key]
