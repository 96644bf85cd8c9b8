"""Hands the sealed figures to the platform."""

import asyncio
import typing

import attrs

from .. import leases
from .. import ports
from .. import store
from . import _rows
from . import _seal
from . import _windows

#: Reports under way at once.
REPORTS_AT_ONCE = 16
#: Part of what is left of the lease that one report may take.
LEASE_SHARE = 0.8
#: A window is late when it was reported so many windows after its end.
LATE_WINDOWS = 2

Item = typing.TypeVar("Item")


@attrs.define
class ReportStats:
    """What the reporter of this process has done."""

    #: Windows reported whole.
    windows: int = 0
    #: Reports that the platform took.
    reported: int = 0
    #: Reports that the platform refused, because it holds other figures.
    refused: int = 0
    #: Windows reported late.
    late: int = 0


class Reporter:
    """Reports sealed windows in order, under a lease.

    The seal is the intent: whoever holds the lease reports the same
    figures under the same identities until an outcome row stands.
    """

    def __init__(
        self,
        client: store.StoreClient,
        lease: leases.Lease,
        usage: ports.UsageInterface,
        rule: _windows.WindowRule,
        stats: ReportStats | None = None,
    ) -> None:
        self.stats = stats or ReportStats()
        self._client = client
        self._lease = lease
        self._usage = usage
        self._rule = rule

    async def step(self, now_s: float, wall_s: float) -> bool:
        """Report the next sealed window; return whether there was one.

        Raises ``LeaseLost``, ``StoreUnavailable``, ``OutcomeUnknown`` and
        ``TableConflict``; the window is then reported again.
        """
        self._lease.checks(now_s)
        sealed, reported = await self._client.read(
            [_rows.SEALED, _rows.REPORTED]
        )
        if sealed is None or reported is None:
            return False
        last = store.decode(reported.value, _rows.WindowHead).window
        if store.decode(sealed.value, _rows.WindowHead).window <= last:
            return False
        window = last + 1
        row = await self._client.read_one(_rows.seal_key(window))
        seal = _seal.seal_in(row, window)
        taken = await self._report_all(seal)
        await self._write(seal, taken, reported.version, wall_s)
        self._count(seal, taken, wall_s)
        return True

    async def _report_all(self, seal: _rows.SealRow) -> dict[str, bool]:
        """Report every organisation; tell whose report was taken."""
        names = sorted(seal.figures)
        taken: dict[str, bool] = {}
        for start in range(0, len(names), REPORTS_AT_ONCE):
            part = names[start : start + REPORTS_AT_ONCE]
            results = await asyncio.gather(
                *(self._report(seal, name) for name in part)
            )
            taken.update(zip(part, results, strict=True))
        return taken

    async def _report(self, seal: _rows.SealRow, name: str) -> bool:
        now_s = self._client.now_s()
        report = ports.UsageReport(
            report_id=f"{seal.window}-{name}",
            window_start_s=self._rule.start_s(seal.window),
            window_length_s=self._rule.window_s,
            organisation=name,
            figures=seal.figures[name],
            fence=self._lease.fence(now_s),
        )
        left_s = self._lease.time_left_s(now_s) * LEASE_SHARE
        timeout_s = min(left_s, self._client.call_timeout_s)
        try:
            await self._usage.report(report, timeout_s)
        except ports.ReportConflict:
            return False
        return True

    async def _write(
        self,
        seal: _rows.SealRow,
        taken: dict[str, bool],
        reported: int,
        wall_s: float,
    ) -> None:
        now_s = self._client.now_s()
        nonce = self._client.nonce()
        outcome = _rows.OutcomeRow(
            window=seal.window,
            reported=tuple(name for name, good in taken.items() if good),
            refused=tuple(name for name, good in taken.items() if not good),
            reported_at_s=wall_s,
            fence=self._lease.fence(now_s),
            nonce=nonce,
        )
        key = _rows.outcome_key(seal.window)
        place = _rows.REPORTED
        head = _rows.WindowHead(seal.window, nonce)
        transaction = ports.Transaction(
            checks=(
                *self._lease.checks(now_s),
                ports.Check(key.table, key.key, 0),
                ports.Check(place.table, place.key, reported),
            ),
            writes=(
                ports.Write(key.table, key.key, store.encode(outcome)),
                ports.Write(place.table, place.key, store.encode(head)),
            ),
        )
        await self._client.commit_resolved(transaction, key, nonce, final=True)

    def _count(
        self, seal: _rows.SealRow, taken: dict[str, bool], wall_s: float
    ) -> None:
        self.stats.windows += 1
        self.stats.reported += sum(taken.values())
        self.stats.refused += len(taken) - sum(taken.values())
        late_s = self._rule.start_s(seal.window + LATE_WINDOWS)
        self.stats.late += wall_s > late_s + self._rule.grace_s
