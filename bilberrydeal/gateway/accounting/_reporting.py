"""Settles usage windows and reports them, while holding the lease."""

import typing

import attrs

from ... import errors
from ... import leases
from ... import ports
from ... import store
from ... import telemetry
from . import _clock
from . import _usage
from . import _usage_broadcast

LOG = telemetry.logger("reporting")
#: Table with one row for each settled window.
WINDOWS = "windows"
#: Name of the lease for settling and reporting windows.
DUTY = "usage"
#: Shortest time between the end of a window and its report, in seconds.
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
#: Digits of a window's number in its key, so that keys sort by number.
KEY_DIGITS = 14


@attrs.frozen
class WindowRow:
    """A settled window; its counts never change."""

    #: Requests that began, by organisation.
    counts: dict[str, int]
    #: Whether the platform accepted the report.
    reported: bool


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
        self._settled: dict[int, WindowRow] = {}
        #: Windows of which a report may have been sent, as far as known.
        self._sent: set[int] = set()
        #: Token of the lease under which the windows were read.
        self._loaded_token = 0

    async def run_once(self) -> None:
        """Settle the windows that have ended and report them."""
        now_s = self._client.now_s()
        if not self._lease.is_held(now_s):
            return
        token = self._lease.fence(now_s)
        if token != self._loaded_token:
            await self._load_settled()
            self._loaded_token = token
        last = (
            int((self._clock.now_s() - SETTLE_DELAY_S) // self._window_s) - 1
        )
        if last not in self._settled:
            await self._settle(last)
        for window, row in sorted(self._settled.items()):
            if not row.reported:
                await self._report(window, row)

    async def _load_settled(self) -> None:
        """Read the windows that earlier lease holders settled.

        Those that this process has settled, or heard of, are written again
        if a restore of the store took them away.
        """
        rows = await self._client.scan_all(WINDOWS, "")
        found = {
            int(row.key): store.decode(row.value, WindowRow) for row in rows
        }
        heard = {
            window: WindowRow(counts, False)
            for window, counts in self._told.known.items()
        }
        self._sent |= heard.keys()
        lost = {
            window: row
            for window, row in sorted({**heard, **self._settled}.items())
            if self._is_lost(window, row, found.get(window))
        }
        self._settled = {**found, **lost}
        self._sent &= self._settled.keys()
        for window, row in lost.items():
            await self._write(window, row, None)
            LOG.info("Window written again.", window=window)

    def _is_lost(
        self, window: int, known: WindowRow, found: WindowRow | None
    ) -> bool:
        """Return whether the store lacks what this process knows.

        Counts that may have been reported hold against those of a holder
        that settled the window again and has not reported it.
        """
        if found is None:
            return True
        return window in self._sent and not found.reported and found != known

    async def _settle(self, last: int) -> None:
        """Settle the windows up to ``last`` whose counts are complete."""
        written = await self._rows.read()
        counted = _counted(written) | self._peer_counts.windows()
        for window in sorted(counted - self._settled.keys()):
            if window > last:
                continue
            rows = self._peer_counts.merged_into(written, window)
            if not self._complete(rows, window):
                continue
            counts = _sum(rows, window)
            await self._write(window, WindowRow(counts, False), 0)
            LOG.info("Window settled.", window=window, counts=counts)

    def _complete(
        self, rows: dict[str, _usage.GatewayRow], window: int
    ) -> bool:
        """Return whether all gateways' counts arrived, or time is up."""
        end_s = (window + 1) * self._window_s
        now_s = self._clock.now_s()
        if now_s - end_s >= self._due_s * SETTLE_DUE_SHARE:
            return True
        store_s = self._clock.store_s()
        if store_s is None:
            return False
        ended_s = store_s - (now_s - end_s)
        return all(
            row.written_s > ended_s
            for row in _newest_of_hosts(rows)
            if row.peer_address and store_s - row.written_s < ABSENT_S
        )

    async def _report(self, window: int, row: WindowRow) -> None:
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
        self, window: int, row: WindowRow, version: int | None
    ) -> None:
        key = f"{window:0{KEY_DIGITS}d}"
        checks: tuple[ports.Check, ...] = ()
        if version is not None:
            checks = (ports.Check(WINDOWS, key, version),)
        write = ports.Write(WINDOWS, key, store.encode(row))
        transaction = self._lease.transaction(
            self._client.now_s(), (write,), checks
        )
        try:
            await self._client.commit(transaction)
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
    return {int(window) for row in rows.values() for window in row.windows}


def _sum(rows: dict[str, _usage.GatewayRow], window: int) -> dict[str, int]:
    """Return the counts of all gateways for a window."""
    total: dict[str, int] = {}
    for row in rows.values():
        for name, count in row.windows.get(str(window), {}).items():
            total[name] = total.get(name, 0) + count
    return total
