"""Reports sealed windows to the platform."""

import asyncio
import typing

import attrs

from .. import leases
from .. import ports
from .. import store
from . import _rows
from . import _seal
from . import _windows

#: Maximum number of concurrent reports.
MAX_CONCURRENT_REPORTS = 16
#: Maximum timeout of one report, as a fraction of the remaining lease time.
MAX_LEASE_FRACTION = 0.8
#: A window is late if it is reported later than this many window lengths plus
#: the grace period after its start.
LATE_WINDOWS = 2

Item = typing.TypeVar("Item")


@attrs.define
class ReportStats:
    """Counters of this process's reporter."""

    #: Windows completely reported.
    windows: int = 0
    #: Reports accepted by the platform.
    reported: int = 0
    #: Reports rejected because the platform has other figures.
    refused: int = 0
    #: Windows reported late.
    late: int = 0


class Reporter:
    """Reports sealed windows in order, under a lease.

    The seal serves as a write-ahead record: every lease holder sends the same
    reports with the same identifiers until the outcome row is written.
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
        ``TableConflict``; the next call then reports the window again.
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
        seal = _seal.decode_required_seal(row, window)
        accepted = await self._report_all(seal)
        await self._write(seal, accepted, reported.version, wall_s)
        self._count(seal, accepted, wall_s)
        return True

    async def _report_all(self, seal: _rows.SealRow) -> dict[str, bool]:
        """Report every organisation; return whose report was accepted."""
        names = sorted(seal.figures)
        accepted: dict[str, bool] = {}
        for start in range(0, len(names), MAX_CONCURRENT_REPORTS):
            batch = names[start : start + MAX_CONCURRENT_REPORTS]
            results = await asyncio.gather(
                *(self._report(seal, name) for name in batch)
            )
            accepted.update(zip(batch, results, strict=True))
        return accepted

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
        remaining_s = self._lease.remaining_s(now_s) * MAX_LEASE_FRACTION
        timeout_s = min(remaining_s, self._client.call_timeout_s)
        try:
            await self._usage.report(report, timeout_s)
        except ports.ReportConflict:
            return False
        return True

    async def _write(
        self,
        seal: _rows.SealRow,
        accepted: dict[str, bool],
        reported: int,
        wall_s: float,
    ) -> None:
        now_s = self._client.now_s()
        nonce = self._client.nonce()
        outcome = _rows.OutcomeRow(
            window=seal.window,
            reported=tuple(name for name, ok in accepted.items() if ok),
            refused=tuple(name for name, ok in accepted.items() if not ok),
            reported_at_s=wall_s,
            fence=self._lease.fence(now_s),
            nonce=nonce,
        )
        key = _rows.outcome_key(seal.window)
        reported_key = _rows.REPORTED
        head = _rows.WindowHead(seal.window, nonce)
        transaction = ports.Transaction(
            checks=(
                *self._lease.checks(now_s),
                ports.Check(key.table, key.key, 0),
                ports.Check(reported_key.table, reported_key.key, reported),
            ),
            writes=(
                ports.Write(key.table, key.key, store.encode(outcome)),
                ports.Write(
                    reported_key.table, reported_key.key, store.encode(head)
                ),
            ),
        )
        await self._client.commit_resolved(
            transaction, key, nonce, marker_is_immutable=True
        )

    def _count(
        self, seal: _rows.SealRow, accepted: dict[str, bool], wall_s: float
    ) -> None:
        self.stats.windows += 1
        self.stats.reported += sum(accepted.values())
        self.stats.refused += len(accepted) - sum(accepted.values())
        late_s = self._rule.start_s(seal.window + LATE_WINDOWS)
        self.stats.late += wall_s > late_s + self._rule.grace_s
