"""Sends usage counts by datagram to the gateways that may settle them.

Rows in the store are written rarely. Counts since the last write reach the
lease holder by datagram, also from a gateway that cannot reach the store or
is killed before its next write.
"""

import collections.abc

import attrs

from ... import decoding
from .. import messaging
from . import _clock
from . import _usage

#: Interval between datagrams with a window's counts, in seconds.
BROADCAST_INTERVAL_S = 0.4
#: Counts of a window are sent for so long after its end, in seconds.
BROADCAST_AFTER_END_S = 1.5
#: Windows kept for each gateway.
WINDOWS_KEPT = 4
#: A gateway that has sent no counts for so long is dropped, in seconds; its
#: windows were settled long before.
GATEWAY_EXPIRY_S = 60.0

#: Stands for the row of a gateway that has none; it is not waited for.
NO_ROW = _usage.GatewayRow(
    offset_s=0.0, written_s=0.0, peer_address="", windows={}
)


class PeerCounts:
    """Keeps the counts received from gateways, this one included.

    Counts of a window only grow, so the larger one is the newer one, whether
    it was read from the store or received by datagram.
    """

    def __init__(self) -> None:
        self._by_gateway: dict[str, dict[int, messaging.WindowCounts]] = {}

    def add(self, datagram: messaging.Datagram) -> None:
        """Store the counts of a datagram unless newer ones are known."""
        counts = datagram.counts
        if counts is None:
            return
        windows = self._by_gateway.setdefault(datagram.gateway, {})
        before = windows.get(counts.window)
        if before is None or before.told_s < counts.told_s:
            windows[counts.window] = counts
        for old in sorted(windows)[:-WINDOWS_KEPT]:
            del windows[old]
        self._expire(counts.told_s - GATEWAY_EXPIRY_S)

    def _expire(self, before_s: float) -> None:
        """Drop gateways that have sent nothing since ``before_s``."""
        for gateway, windows in list(self._by_gateway.items()):
            if all(counts.told_s < before_s for counts in windows.values()):
                del self._by_gateway[gateway]

    def windows(self) -> set[int]:
        """Return the windows for which any gateway sent counts."""
        return {
            window
            for windows in self._by_gateway.values()
            for window in windows
        }

    def merged_into(
        self, rows: dict[str, _usage.GatewayRow], window: int
    ) -> dict[str, _usage.GatewayRow]:
        """Return rows, with the received counts of one window merged in.

        A gateway may have sent counts and ended without a row in the store.
        """
        received = {
            gateway: windows.get(window)
            for gateway, windows in self._by_gateway.items()
        }
        return {
            gateway: _with_peer_counts(
                rows.get(gateway, NO_ROW), window, received.get(gateway)
            )
            for gateway in rows.keys() | received.keys()
        }


class SettledWindows:
    """Tells and keeps the windows that lease holders settled.

    A restore of the store may take away the row of a window that has been
    reported. The next lease holder must not settle it with other counts, also
    if it has started since: it asks others, and whoever was told tells it to
    gateways that may take the lease from then on.
    """

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        gateway: str,
        recipients: messaging.Peers,
    ) -> None:
        self._datagrams = datagrams
        self._gateway = gateway
        self._recipients = recipients
        #: Counts of the latest settled windows.
        self.known: dict[int, dict[str, int]] = {}
        #: Gateways that were told all of them.
        self._told: frozenset[messaging.Address] = frozenset()
        datagrams.subscribe(self.add)

    def tell(self, window: int, counts: dict[str, int]) -> None:
        """Tell the gateways that may take the lease of a settled window."""
        self._keep(window, counts)
        settled = (messaging.SettledWindow(window, counts),)
        datagram = messaging.Datagram(self._gateway, settled=settled)
        self._datagrams.send(datagram, self._recipients())

    def tell_new_recipients(self) -> None:
        """Tell gateways that may take the lease since a short time."""
        recipients = frozenset(self._recipients())
        self._tell_all(recipients - self._told)
        self._told = recipients

    def add(self, datagram: messaging.Datagram) -> None:
        """Keep the windows of a datagram; answer a gateway that asks."""
        for each in datagram.settled:
            self._keep(each.window, each.counts)
        if datagram.asks:
            self._tell_all([decoding.split_address(datagram.asks)])

    def _keep(self, window: int, counts: dict[str, int]) -> None:
        self.known[window] = counts
        for old in sorted(self.known)[: -_usage.WINDOWS_KEPT]:
            del self.known[old]

    def _tell_all(
        self, recipients: collections.abc.Collection[messaging.Address]
    ) -> None:
        if not self.known or not recipients:
            return
        settled = tuple(
            messaging.SettledWindow(window, counts)
            for window, counts in self.known.items()
        )
        self._datagrams.send(
            messaging.Datagram(self._gateway, settled=settled), recipients
        )


class CountBroadcaster:
    """Sends the counts of this gateway."""

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        gateway: str,
        counter: _usage.UsageCounter,
        peer_counts: PeerCounts,
        recipients: messaging.Peers,
        clock: _clock.ClusterClock,
    ) -> None:
        self._datagrams = datagrams
        self._gateway = gateway
        self._counter = counter
        self._peer_counts = peer_counts
        self._recipients = recipients
        self._clock = clock
        datagrams.subscribe(peer_counts.add)

    async def run_once(self) -> None:
        """Send the counts of the current window and one that just ended."""
        store_s = self._clock.store_s()
        if store_s is None:
            return
        present = self._counter.window()
        over = self._counter.window(BROADCAST_AFTER_END_S)
        for window in range(over, present + 1):
            self._send(window, store_s)

    def _send(self, window: int, store_s: float) -> None:
        counts = messaging.WindowCounts(
            window, self._counter.counts(window), store_s
        )
        datagram = messaging.Datagram(self._gateway, counts=counts)
        self._peer_counts.add(datagram)
        self._datagrams.send(datagram, self._recipients())


def _with_peer_counts(
    row: _usage.GatewayRow,
    window: int,
    received: messaging.WindowCounts | None,
) -> _usage.GatewayRow:
    if received is None:
        return row
    counts = _usage.larger_counts(
        row.windows.get(str(window), {}), received.counts
    )
    return attrs.evolve(
        row,
        windows={**row.windows, str(window): counts},
        written_s=max(row.written_s, received.told_s),
    )
