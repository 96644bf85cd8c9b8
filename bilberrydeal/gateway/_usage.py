"""Counts requests that began to run and hands the counts to the store."""

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _clock
from . import _requests

#: Table in which each gateway keeps its own row.
GATEWAYS = "gateways"
#: Windows that a gateway's row holds.
WINDOWS_KEPT = 8
#: A gateway whose row is older than the newest by this is not alive, in
#: seconds.
ALIVE_S = 5.0
#: Writes of a row that may fail in a row before its gateway is not alive.
ALIVE_WRITES = 2.5


def incarnation_of(host_id: str, nonce: int) -> str:
    """Return the name of one run of a gateway on a host."""
    return f"{host_id}.{nonce:012x}"


def host_of(incarnation: str) -> str:
    """Return the host of a gateway's run."""
    return incarnation.rpartition(".")[0] or incarnation


@attrs.frozen
class GatewayRow:
    """What a gateway tells all others."""

    #: Own time of day less the store's clock, in seconds.
    offset_s: float
    #: The store's clock when the row was written, in seconds.
    written_s: float
    #: Where other gateways reach it, by datagram.
    peer_address: str
    #: Requests that began, by window and organisation.
    windows: dict[str, dict[str, int]]


@attrs.frozen
class Members:
    """Gateways that are alive, as last read."""

    #: Datagram addresses of the others by incarnation, in the order that all
    #: agree on.
    others: dict[str, str]
    #: Place of this one in that order.
    position: int

    @property
    def count(self) -> int:
        """Return how many there are, this one among them."""
        return len(self.others) + 1


class UsageCounter:
    """Counts requests by the window in which they began."""

    def __init__(self, clock: _clock.ClusterClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._windows: dict[int, dict[str, int]] = {}

    def window(self, before_s: float = 0.0) -> int:
        """Return the number of the window at some time before now."""
        return int((self._clock.now_s() - before_s) // self._window_s)

    def count(self, organisation: str | None) -> None:
        """Count a request that began now."""
        if organisation is None:
            return
        counts = self._windows.setdefault(self.window(), {})
        counts[organisation] = counts.get(organisation, 0) + 1

    def count_once(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
    ) -> None:
        """Count a request that began, however often it is sent."""
        if not progress.usage_counted:
            progress.usage_counted = True
            self.count(admitted.organisation_name)

    def counts(self, window: int) -> dict[str, int]:
        """Return the counts of one window."""
        return dict(self._windows.get(window, {}))

    def windows(self) -> dict[str, dict[str, int]]:
        """Return the counts of the last windows."""
        for expired in sorted(self._windows)[:-WINDOWS_KEPT]:
            del self._windows[expired]
        return {
            str(window): dict(counts)
            for window, counts in self._windows.items()
        }


class UsageRows:
    """Keeps this gateway's row and reads all others'."""

    def __init__(
        self,
        client: store.StoreClient,
        incarnation: str,
        peer_address: str,
        counter: UsageCounter,
        clock: _clock.ClusterClock,
    ) -> None:
        self._client = client
        self._incarnation = incarnation
        self._peer_address = peer_address
        self._counter = counter
        self._clock = clock
        self._version = 0

    async def write(self, final: bool = False) -> None:
        """Write the own row."""
        store_s = self._clock.store_s()
        offset_s = self._clock.local_offset_s()
        if store_s is None or offset_s is None:
            return
        row = GatewayRow(
            offset_s=offset_s,
            written_s=store_s,
            peer_address="" if final else self._peer_address,
            windows=self._counter.windows(),
        )
        await self._put(store.encode(row))

    async def _put(self, value: bytes) -> None:
        """Write the row over the version that was last seen.

        The condition keeps a write whose answer was lost, and that is
        carried out late, from undoing a newer one.
        """
        try:
            await self._put_if_version(self._version, value)
        except errors.TableConflict as conflict:
            await self._put_if_version(conflict.found_version, value)

    async def _put_if_version(self, version: int, value: bytes) -> None:
        check = ports.Check(GATEWAYS, self._incarnation, version)
        write = ports.Write(GATEWAYS, self._incarnation, value)
        committed = await self._client.commit(
            ports.Transaction((check,), (write,))
        )
        self._version = committed.versions[0]

    async def read(self) -> dict[str, GatewayRow]:
        """Return all rows by incarnation, and set the clock by them."""
        rows = await self._client.scan_all(GATEWAYS, "")
        found = {row.key: store.decode(row.value, GatewayRow) for row in rows}
        self._clock.set_offsets([row.offset_s for row in found.values()])
        return found

    def members(
        self, rows: dict[str, GatewayRow], row_pause_s: float
    ) -> Members:
        """Return who is alive, where a row is written after each pause.

        Ages count from the newest row: none is written while the store is
        away.
        """
        newest_s = max((row.written_s for row in rows.values()), default=0.0)
        alive_s = max(ALIVE_S, row_pause_s * ALIVE_WRITES)
        others = {
            incarnation: row.peer_address
            for incarnation, row in sorted(rows.items())
            if incarnation != self._incarnation
            and row.peer_address
            and newest_s - row.written_s < alive_s
        }
        position = sum(name < self._incarnation for name in others)
        return Members(others=others, position=position)
