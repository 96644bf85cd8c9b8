"""Removes rows that nobody needs any more, a few each round."""

import collections.abc

import attrs

from .. import billing
from .. import claims
from .. import configuration
from .. import errors
from .. import membership
from .. import ports
from .. import store
from . import _duty

#: A row goes after so many of its renewals failed to appear.
RENEWALS = 10.0
#: Rows of members read for a sweep every so many seconds.
MEMBERS_PERIOD_S = 15.0
#: Old revisions of the configuration are looked for every so many seconds.
CONFIGURATION_PERIOD_S = 15.0
#: Rows of billing are looked at every so many seconds.
BILLING_PERIOD_S = 60.0


@attrs.frozen
class _Watched:
    """A member's row that did not change for some time."""

    #: Its version.
    version: int
    #: When that was first seen, monotonic.
    since_s: float


class SweepDuty:
    """The duty of sweeping claims, members, windows and revisions."""

    def __init__(
        self,
        client: store.StoreClient,
        objects: ports.ObjectStore,
        owner: claims.Claims,
        rule: billing.WindowRule,
        entry_unchanged_s: float,
        may_remove: collections.abc.Callable[[str], bool] = lambda name: False,
    ) -> None:
        """An entry's row goes after ``entry_unchanged_s``, or before.

        That time is at least the longest pact of blind entries.
        ``may_remove`` tells whose row may go as soon as it missed its
        renewals, see docs/design/keys.md.
        """
        self._client = client
        self._objects = objects
        self._claims = owner
        self._rule = rule
        self._entry_unchanged_s = entry_unchanged_s
        self._may_remove = may_remove
        self._watched: dict[str, _Watched] = {}
        self._members_due_s = float("-inf")
        self._billing_due_s = float("-inf")
        self._configuration_due_s = float("-inf")

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return "sweep"

    async def round(self, work: _duty.Round) -> None:
        """Sweep a part of each table that is due."""
        await self._claims.sweep(work.wall_s)
        if work.now_s >= self._members_due_s:
            self._members_due_s = work.now_s + MEMBERS_PERIOD_S
            await self._sweep_members()
        if work.now_s >= self._billing_due_s:
            self._billing_due_s = work.now_s + BILLING_PERIOD_S
            await billing.sweep(self._client, self._rule, work.wall_s)
        if work.now_s >= self._configuration_due_s:
            self._configuration_due_s = work.now_s + CONFIGURATION_PERIOD_S
            await configuration.sweep(self._client, self._objects)

    async def _sweep_members(self) -> None:
        """Remove rows that this process saw unchanged for too long."""
        rows: list[ports.Row] = []
        for prefix in membership.PREFIXES:
            rows.extend(await self._client.scan_all(membership.TABLE, prefix))
        seen_s = self._client.now_s()
        before = self._watched
        self._watched = {}
        for row in rows:
            known = before.get(row.key)
            if known is None or known.version != row.version:
                known = _Watched(row.version, seen_s)
            self._watched[row.key] = known
            if seen_s - known.since_s > self._limit_s(row):
                await self._remove(row)

    def _limit_s(self, row: ports.Row) -> float:
        member = membership.decode(row)
        missed_s = member.renew_s * RENEWALS
        if isinstance(member, membership.EntryMember):
            covered = self._may_remove(member.incarnation)
            return missed_s if covered else self._entry_unchanged_s
        return missed_s

    async def _remove(self, row: ports.Row) -> None:
        member = membership.decode(row)
        writes = [ports.Write(row.table, row.key, None)]
        if isinstance(member, membership.EntryMember):
            standing = membership.standing_key(member.incarnation)
            writes.append(ports.Write(standing.table, standing.key, None))
        check = ports.Check(row.table, row.key, row.version)
        try:
            await self._client.commit(
                ports.Transaction((check,), tuple(writes))
            )
        except (errors.TableConflict, errors.OutcomeUnknown):
            return
