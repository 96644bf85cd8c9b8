"""Tells usage counts by datagram to the gateways that may settle them.

The row in the store is written seldom; what was counted since then reaches
the holder of the lease by datagram, also from a gateway that is cut off from
the store or is killed before it writes its row again.
"""

import attrs

from . import _clock
from . import _datagrams
from . import _usage

#: Time between two datagrams of a window's counts, in seconds.
BROADCAST_INTERVAL_S = 0.4
#: The counts of a window are told for so long after its end, in seconds.
BROADCAST_AFTER_END_S = 1.5
#: Windows that are kept of each gateway.
WINDOWS_KEPT = 4
#: A gateway that has told nothing for so long is forgotten, in seconds; its
#: windows were settled long before.
GATEWAY_EXPIRY_S = 60.0


class PeerCounts:
    """Keeps the counts that gateways told.

    Counts of a window only grow, so that the larger one is the newer one,
    whichever way it came.
    """

    def __init__(self) -> None:
        self._by_gateway: dict[str, dict[int, _datagrams.WindowCounts]] = {}

    def add(self, datagram: _datagrams.Datagram) -> None:
        """Take what a gateway told."""
        counts = datagram.counts
        if counts is None:
            return
        windows = self._by_gateway.setdefault(datagram.gateway, {})
        before = windows.get(counts.window)
        if before is None or before.told_s < counts.told_s:
            windows[counts.window] = counts
        for old in sorted(windows)[:-WINDOWS_KEPT]:
            del windows[old]
        self._forget(counts.told_s - GATEWAY_EXPIRY_S)

    def _forget(self, before_s: float) -> None:
        """Forget gateways that told nothing since."""
        for gateway, windows in list(self._by_gateway.items()):
            if all(counts.told_s < before_s for counts in windows.values()):
                del self._by_gateway[gateway]

    def windows(self) -> set[int]:
        """Return the windows of which any gateway told."""
        return {
            window
            for peer_counts in self._by_gateway.values()
            for window in peer_counts
        }

    def merged_into(
        self, rows: dict[str, _usage.GatewayRow], window: int
    ) -> dict[str, _usage.GatewayRow]:
        """Return the rows of gateways with what they told of one window."""
        return {
            gateway: _with_peer_counts(
                row, window, self._by_gateway.get(gateway, {}).get(window)
            )
            for gateway, row in rows.items()
        }


class CountBroadcaster:
    """Tells the own counts."""

    def __init__(
        self,
        datagrams: _datagrams.Datagrams,
        gateway: str,
        counter: _usage.UsageCounter,
        peer_counts: PeerCounts,
        recipients: _datagrams.Peers,
        clock: _clock.ClusterClock,
    ) -> None:
        self._datagrams = datagrams
        self._gateway = gateway
        self._counter = counter
        self._peer_counts = peer_counts
        self._lease_candidates = recipients
        self._clock = clock
        datagrams.subscribe(peer_counts.add)

    async def run_once(self) -> None:
        """Tell the counts of the present window, and of one just over."""
        store_s = self._clock.store_s()
        if store_s is None:
            return
        present = self._counter.window()
        over = self._counter.window(BROADCAST_AFTER_END_S)
        for window in range(over, present + 1):
            self._send(window, store_s)

    def _send(self, window: int, store_s: float) -> None:
        counts = _datagrams.WindowCounts(
            window, self._counter.counts(window), store_s
        )
        datagram = _datagrams.Datagram(self._gateway, counts=counts)
        self._peer_counts.add(datagram)
        self._datagrams.send(datagram, self._lease_candidates())


def _with_peer_counts(
    row: _usage.GatewayRow,
    window: int,
    peer_counts: _datagrams.WindowCounts | None,
) -> _usage.GatewayRow:
    if peer_counts is None:
        return row
    counts = _larger(row.windows.get(str(window), {}), peer_counts.counts)
    return attrs.evolve(
        row,
        windows={**row.windows, str(window): counts},
        written_s=max(row.written_s, peer_counts.told_s),
    )


def _larger(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    """Return the larger count of each organisation."""
    return {
        name: max(one.get(name, 0), other.get(name, 0))
        for name in one.keys() | other.keys()
    }
