"""Settles usage windows and reports them, while holding the lease."""

import typing

import attrs

from ... import errors
from ... import leases
from ... import store
from ... import telemetry
from . import _clock
from . import _usage
from . import _usage_broadcast
from . import _window_rows

LOG = telemetry.logger("reporting")
#: Name of the lease for settling and reporting windows.
DUTY = "usage"
#: Shortest time between the end of a window and its settling, in seconds.
SETTLE_DELAY_S = 0.5
#: Share of the time until a report is due that is spent waiting for gateways
#: whose counts are missing.
SETTLE_DUE_SHARE = 0.55
#: A gateway whose row is older than this is not waited for, in seconds.
ABSENT_S = 30.0
#: Timeout of a report, in seconds.
REPORT_TIMEOUT_S = 0.9
#: A report is sent only with more time left on the lease, in seconds, so
#: that the call does not outlive the lease.
MIN_LEASE_LEFT_S = 1.2
#: A settled window is reported once its row is so old, in seconds, so that a
#: copy from which the store comes back has it.
COPY_AGE_S = 5.0
#: Share of the time until a report is due after which it waits no longer.
REPORT_DUE_SHARE = 0.85
#: Largest difference between the clocks of two lease holders, in seconds.
CLOCK_ERROR_S = 0.5


class UsageInterface(typing.Protocol):
    """Receives usage reports."""

    async def report(
        self,
        window: int,
        counts: dict[str, int],
        holder: str,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Report a window; return whether the report was accepted."""


class Reporter:
    """Settles each window once and reports exactly the settled counts."""

    def __init__(
        self,
        client: store.StoreClient,
        lease: leases.Lease,
        rows: _usage.UsageRows,
        peer_counts: _usage_broadcast.PeerCounts,
        told: _usage_broadcast.SettledWindows,
        usage: UsageInterface,
        clock: _clock.ClusterClock,
        host_id: str,
        window_s: float,
        due_s: float,
    ) -> None:
        self._due_s = due_s
        self._client = client
        self._lease = lease
        self._rows = rows
        self._peer_counts = peer_counts
        self._told = told
        self._usage = usage
        self._clock = clock
        self._host_id = host_id
        self._window_s = window_s
        self._windows = _window_rows.WindowRows(client, lease)
        self._settled: dict[int, _window_rows.WindowRow] = {}
        #: Windows of which a report may have been sent, as far as known.
        self._sent: set[int] = set()
        #: Windows that are left out, as they may have been reported before the
        #: store came back from a copy.
        self._left_out: set[int] = set()
        #: Token of the lease under which the windows were read.
        self._loaded_token = 0
        #: The store's clock when its present era was first seen by a lease
        #: holder, in seconds.
        self._era_begun_s = 0.0

    async def run_once(self) -> None:
        """Report the windows that are settled, and settle those that ended.

        Settling needs the store; a report needs only the lease. So reports go
        first, and are sent also while the store is away.
        """
        now_s = self._client.now_s()
        if not self._lease.is_held(now_s):
            return
        token = self._lease.fence(now_s)
        if token != self._loaded_token:
            await self._load()
            self._loaded_token = token
        for window, row in sorted(self._settled.items()):
            if not row.reported and self._may_report(window, row):
                await self._report(window, row)
        last = (
            int((self._clock.now_s() - SETTLE_DELAY_S) // self._window_s) - 1
        )
        if last not in self._settled:
            await self._settle(last)

    async def _load(self) -> None:
        """Read the windows that earlier lease holders settled.

        Those that this process has settled, or heard of, are written again
        if a restore of the store took them away.
        """
        found = await self._windows.read()
        store_s = self._clock.store_s()
        if store_s is None:
            raise errors.StoreUnavailable(operation="clock")
        self._era_begun_s = await self._windows.begin_era(store_s)
        heard = {
            window: _window_rows.WindowRow(counts, False, store_s)
            for window, counts in self._told.known.items()
        }
        self._sent |= heard.keys()
        lost = {
            window: attrs.evolve(row, settled_s=store_s)
            for window, row in sorted({**heard, **self._settled}.items())
            if self._is_lost(window, row, found.get(window))
        }
        self._settled = {**found, **lost}
        self._sent &= self._settled.keys()
        for window, row in lost.items():
            await self._write(window, row, None)
            LOG.info("Window written again.", window=window)

    def _is_lost(
        self,
        window: int,
        known: _window_rows.WindowRow,
        found: _window_rows.WindowRow | None,
    ) -> bool:
        """Return whether the store lacks what this process knows.

        Counts that may have been reported hold against those of a holder
        that settled the window again and has not reported it.
        """
        if found is None:
            return True
        return (
            window in self._sent
            and not found.reported
            and found.counts != known.counts
        )

    async def _settle(self, last: int) -> None:
        """Settle the windows up to ``last`` whose counts are complete."""
        written = await self._rows.read()
        counted = _counted(written) | self._peer_counts.windows()
        self._left_out &= counted
        for window in sorted(counted - self._settled.keys()):
            if window > last:
                continue
            if self._may_have_been_reported(window):
                self._leave_out(window)
                continue
            rows = self._peer_counts.merged_into(written, window)
            if not self._complete(rows, window):
                continue
            counts = _sum(rows, window)
            settled_s = self._clock.store_s() or 0.0
            row = _window_rows.WindowRow(counts, False, settled_s)
            await self._write(window, row, 0)
            LOG.info("Window settled.", window=window, counts=counts)

    def is_over(self, row: _usage.GatewayRow, age_s: float) -> bool:
        """Return whether all windows of a gateway's row are done.

        A window is done if the row that settled it is older than ``age_s``,
        so that each copy from which the store may come back has it, and the
        platform has accepted its report; or if it is left out.
        """
        now_s = self._client.now_s()
        store_s = self._clock.store_s()
        if store_s is None or not self._lease.is_held(now_s):
            return False
        if self._lease.fence(now_s) != self._loaded_token:
            return False
        return all(
            window in self._left_out or self._is_done(window, store_s - age_s)
            for window in _counted({"": row})
        )

    def _is_done(self, window: int, before_s: float) -> bool:
        """Return whether a window was settled before, and is reported."""
        row = self._settled.get(window)
        return row is not None and row.reported and row.settled_s < before_s

    def _may_have_been_reported(self, window: int) -> bool:
        """Return whether a window without a row may have been reported.

        A restore may have taken the row away, and all processes that knew its
        counts may have ended. A second report with other counts is worse than
        a missing one.
        """
        store_s = self._clock.store_s()
        if store_s is None:
            return True
        wait_s = min(
            SETTLE_DELAY_S + COPY_AGE_S, self._due_s * REPORT_DUE_SHARE
        )
        reportable_s = store_s - self._since_end_s(window) + wait_s
        return reportable_s <= self._era_begun_s + CLOCK_ERROR_S

    def _leave_out(self, window: int) -> None:
        if window not in self._left_out:
            LOG.warning("Window may have been reported.", window=window)
        self._left_out.add(window)

    def _since_end_s(self, window: int) -> float:
        """Return the time since the end of a window."""
        return self._clock.now_s() - (window + 1) * self._window_s

    def _may_report(self, window: int, row: _window_rows.WindowRow) -> bool:
        """Return whether a restore would keep the row, or time is up."""
        store_s = self._clock.store_s()
        if store_s is not None and store_s - row.settled_s >= COPY_AGE_S:
            return True
        return self._since_end_s(window) >= self._due_s * REPORT_DUE_SHARE

    def _complete(
        self, rows: dict[str, _usage.GatewayRow], window: int
    ) -> bool:
        """Return whether all gateways' counts arrived, or time is up."""
        since_end_s = self._since_end_s(window)
        if since_end_s >= self._due_s * SETTLE_DUE_SHARE:
            return True
        store_s = self._clock.store_s()
        if store_s is None:
            return False
        ended_s = store_s - since_end_s
        return all(
            row.written_s > ended_s
            for row in _newest_of_hosts(rows)
            if row.peer_address and store_s - row.written_s < ABSENT_S
        )

    async def _report(self, window: int, row: _window_rows.WindowRow) -> None:
        now_s = self._client.now_s()
        if self._lease.remaining_s(now_s) < MIN_LEASE_LEFT_S:
            return
        self._sent.add(window)
        self._told.tell(window, row.counts)
        taken = await self._usage.report(
            window,
            row.counts,
            self._host_id,
            self._lease.fence(now_s),
            REPORT_TIMEOUT_S,
        )
        LOG.info("Usage reported.", window=window, taken=taken)
        if taken:
            done = attrs.evolve(row, reported=True)
            self._settled[window] = done
            await self._write(window, done, None)

    async def _write(
        self, window: int, row: _window_rows.WindowRow, version: int | None
    ) -> None:
        try:
            await self._windows.write(window, row, version)
        except (errors.OutcomeUnknown, errors.TableConflict):
            # This or another holder may have written: the rows are read again.
            self._loaded_token = 0
            raise
        self._settled[window] = row


def _newest_of_hosts(
    rows: dict[str, _usage.GatewayRow],
) -> list[_usage.GatewayRow]:
    """Return the row of each host's last process; earlier ones have ended."""
    newest: dict[str, _usage.GatewayRow] = {}
    for incarnation, row in rows.items():
        host_id = _usage.host_of(incarnation)
        before = newest.get(host_id)
        if before is None or before.written_s < row.written_s:
            newest[host_id] = row
    return list(newest.values())


def _counted(rows: dict[str, _usage.GatewayRow]) -> set[int]:
    """Return the windows that have counts."""
    return {
        int(window)
        for row in rows.values()
        for window in row.windows
        if window.isascii() and window.isdecimal()
    }


def _sum(rows: dict[str, _usage.GatewayRow], window: int) -> dict[str, int]:
    """Return the counts of all gateways for a window."""
    total: dict[str, int] = {}
    for row in rows.values():
        for name, count in row.windows.get(str(window), {}).items():
            total[name] = total.get(name, 0) + count
    return total
