"""Removes obsolete rows, a few in each round."""

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

#: Missed renewals after which a member row is removed.
EXPIRY_RENEWALS = 10.0
#: Interval between scans of the member rows, in seconds.
MEMBERS_PERIOD_S = 15.0
#: Interval between sweeps of old configuration revisions, in seconds.
CONFIGURATION_PERIOD_S = 15.0
#: Interval between sweeps of the billing rows, in seconds.
BILLING_PERIOD_S = 60.0


@attrs.frozen
class _ObservedRow:
    """Last observed version of a member row."""

    #: Version of the row.
    version: int
    #: Monotonic time at which this version was first seen, in seconds.
    first_seen_s: float


class SweepDuty:
    """Sweeps claims, members, billing windows and old revisions."""

    def __init__(
        self,
        client: store.StoreClient,
        objects: ports.ObjectStore,
        claim_manager: claims.ClaimManager,
        rule: billing.WindowRule,
        entry_expiry_s: float,
        may_remove: collections.abc.Callable[[str], bool] = lambda name: False,
    ) -> None:
        """Sweep entry rows unchanged for ``entry_expiry_s``, or earlier.

        That is at least the longest time for which entries without the
        store may go on with unconfirmed keys (``max_outage_s``).
        ``may_remove`` returns whether the row of an entry may be removed
        as soon as it missed its renewals, see docs/design/keys.md.
        """
        self._client = client
        self._objects = objects
        self._claim_manager = claim_manager
        self._rule = rule
        self._entry_expiry_s = entry_expiry_s
        self._may_remove = may_remove
        self._observed: dict[str, _ObservedRow] = {}
        self._members_due_s = float("-inf")
        self._billing_due_s = float("-inf")
        self._configuration_due_s = float("-inf")

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return "sweep"

    async def run_round(self, context: _duty.RoundContext) -> None:
        """Sweep the claims, and each other table whose interval has passed."""
        await self._claim_manager.sweep(context.wall_s)
        if context.now_s >= self._members_due_s:
            self._members_due_s = context.now_s + MEMBERS_PERIOD_S
            await self._sweep_members()
        if context.now_s >= self._billing_due_s:
            self._billing_due_s = context.now_s + BILLING_PERIOD_S
            await billing.sweep(self._client, self._rule, context.wall_s)
        if context.now_s >= self._configuration_due_s:
            self._configuration_due_s = context.now_s + CONFIGURATION_PERIOD_S
            await configuration.sweep(self._client, self._objects)

    async def _sweep_members(self) -> None:
        """Remove member rows that stayed unchanged beyond their limit."""
        rows: list[ports.Row] = []
        for prefix in membership.PREFIXES:
            rows.extend(await self._client.scan_all(membership.TABLE, prefix))
        now_s = self._client.now_s()
        previous = self._observed
        self._observed = {}
        for row in rows:
            known = previous.get(row.key)
            if known is None or known.version != row.version:
                known = _ObservedRow(row.version, now_s)
            self._observed[row.key] = known
            if now_s - known.first_seen_s > self._unchanged_limit_s(row):
                await self._remove(row)

    def _unchanged_limit_s(self, row: ports.Row) -> float:
        member = membership.decode(row)
        expiry_s = member.renew_s * EXPIRY_RENEWALS
        if isinstance(member, membership.EntryMember):
            removable = self._may_remove(member.incarnation)
            return expiry_s if removable else self._entry_expiry_s
        return expiry_s

    async def _remove(self, row: ports.Row) -> None:
        member = membership.decode(row)
        writes = [ports.Write(row.table, row.key, None)]
        if isinstance(member, membership.EntryMember):
            marker = membership.marker_key(member.incarnation)
            writes.append(ports.Write(marker.table, marker.key, None))
        check = ports.Check(row.table, row.key, row.version)
        try:
            await self._client.commit(
                ports.Transaction((check,), tuple(writes))
            )
        except (errors.TableConflict, errors.OutcomeUnknown):
            return
