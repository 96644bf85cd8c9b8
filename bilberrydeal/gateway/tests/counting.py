"""The usage side of gateways that share a store, in simulated time."""

import collections.abc

import attrs

from ... import errors
from ... import leases
from ... import ports
from ... import store
from ..accounting import _clock
from ..accounting import _reporting
from ..accounting import _usage
from ..accounting import _usage_broadcast
from ..accounting import _window_rows
from ..messaging import _datagrams
from . import memory

WINDOW_S = 5.0
DUE_S = 10.0
#: Unix time at which the tests begin: the start of a window.
BEGIN_S = 1_000_000.0


@attrs.define
class Fixture:
    """Simulated time and a store that several gateways share."""

    now_s: float = 0.0
    table: memory.MemoryStore = attrs.field(factory=memory.MemoryStore)

    def steady_s(self) -> float:
        return self.now_s

    def reading(self) -> ports.ClockReading:
        return ports.ClockReading(self.now_s + 7.0, self.now_s)

    def client(self) -> store.StoreClient:
        async def sleep(seconds: float) -> None:
            self.now_s += seconds

        return store.StoreClient(
            self.table,
            0.1,
            1_000.0,
            clock=self.steady_s,
            sleep=sleep,
            era=lambda: self.table.era,
        )


class RecordingUsage:
    """Records reports, or rejects them while not available."""

    def __init__(self) -> None:
        self.reports_accepted: list[tuple[int, dict[str, int], int]] = []
        self.available = True

    async def report(
        self,
        window: int,
        counts: dict[str, int],
        holder: str,
        fence: int,
        timeout_s: float,
    ) -> bool:
        if self.available:
            self.reports_accepted.append((window, dict(counts), fence))
        return self.available


class RecordingDatagrams(_datagrams.Datagrams):
    """Keeps the datagrams that are sent, as encoded."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        self.sent.append(self.encode(datagram))
        return 0


class Gateway:
    """The usage side of one gateway."""

    def __init__(
        self, fixture: Fixture, name: str, ahead_s: float = 0.0
    ) -> None:
        self.fixture = fixture
        self.name = name
        self.client = fixture.client()
        self.cluster_clock = _clock.ClusterClock(
            fixture.reading,
            wall_s=lambda: BEGIN_S + fixture.now_s + ahead_s,
            steady_s=fixture.steady_s,
        )
        self.usage_counter = _usage.UsageCounter(self.cluster_clock, WINDOW_S)
        self.rows = _usage.UsageRows(
            self.client,
            name,
            "10.0.0.1:1",
            self.usage_counter,
            self.cluster_clock,
        )
        self.lease = leases.Lease(
            self.client,
            _reporting.DUTY,
            name,
            leases.LeaseBounds(ttl_s=4.5, margin_s=0.5, max_call_s=1.0),
        )
        self.usage = RecordingUsage()
        self.peer_counts = _usage_broadcast.PeerCounts()
        #: Windows that were told by datagram.
        self.datagrams = RecordingDatagrams()
        self.told = _usage_broadcast.SettledWindows(
            self.datagrams, name, lambda: (("127.0.0.1", 1),)
        )
        self.reporter = _reporting.Reporter(
            self.client,
            self.lease,
            self.rows,
            self.peer_counts,
            self.told,
            self.usage,
            self.cluster_clock,
            name,
            WINDOW_S,
            DUE_S,
        )


#: Time from the end of a window until its report, with time to spare.
REPORTED_S = _reporting.SETTLE_DELAY_S + _reporting.COPY_AGE_S + 0.5
#: Time after which the first lease of an era is taken.
FIRST_LEASE_S = 7.5
FIRST_WINDOW = int(BEGIN_S // WINDOW_S)
#: Interval between writes of a row.
ROW_INTERVAL_S = 1.0


def send_counts(one: Gateway, other: Gateway, window: int) -> None:
    """Deliver the counts of a window by datagram."""
    counts = _datagrams.WindowCounts(
        window,
        one.usage_counter.counts(window),
        one.cluster_clock.store_s() or 0.0,
    )
    other.peer_counts.add(_datagrams.Datagram(one.name, counts=counts))


def settled_windows(fixture: Fixture) -> dict[int, _window_rows.WindowRow]:
    """Return the settled windows that the store has."""
    return {
        int(key): store.decode(row.value, _window_rows.WindowRow)
        for (table, key), row in fixture.table.rows.items()
        if table == _window_rows.WINDOWS
    }


async def advance(
    fixture: Fixture, seconds: float, *gateways: Gateway
) -> None:
    """Advance time while gateways write, renew and report."""
    for _ in range(int(seconds / 0.5)):
        fixture.now_s += 0.5
        for gateway in gateways:
            for step in (
                gateway.rows.write,
                gateway.lease.tick,
                gateway.reporter.run_once,
            ):
                try:
                    await step()
                except errors.BilberrydealError:
                    continue


def reports_of(window: int, *gateways: Gateway) -> list[dict[str, int]]:
    """Return the counts of all accepted reports of a window."""
    return [
        report[1]
        for gateway in gateways
        for report in gateway.usage.reports_accepted
        if report[0] == window
    ]
