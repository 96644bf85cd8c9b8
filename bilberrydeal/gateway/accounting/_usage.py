"""Counts requests that began to run and writes the counts to the store."""

import collections.abc

import attrs

from ... import decoding
from ... import errors
from ... import ports
from ... import store
from ... import telemetry
from .. import core
from . import _clock

LOG = telemetry.logger("usage")
#: Table with one row for each run of a gateway.
GATEWAYS = "gateways"
#: Windows kept in a gateway's row.
WINDOWS_KEPT = 8
#: A gateway that has not written its row for so long, while the store took
#: those of others, is not alive, in seconds.
ALIVE_S = 5.0
#: Write intervals without a new row until a gateway is not alive.
ALIVE_WRITES = 2.5
#: Rows of the era before are remembered for so long after the store came back
#: from an older copy, in seconds; usage is settled earlier.
REMEMBERED_S = 30.0


def incarnation_of(host_id: str, nonce: int) -> str:
    """Return the id of one run of a gateway on a host."""
    return f"{host_id}.{nonce:012x}"


def host_of(incarnation: str) -> str:
    """Return the host id of an incarnation."""
    return incarnation.rpartition(".")[0] or incarnation


@attrs.frozen
class GatewayRow:
    """A gateway's row, which all others read."""

    #: The host's wall clock minus the store's clock, in seconds.
    offset_s: float
    #: The store's clock when the row was written, in seconds.
    written_s: float
    #: Address for datagrams; empty once the gateway has shut down.
    peer_address: str
    #: Requests that began, by window and organisation.
    windows: dict[str, dict[str, int]]
    #: The store's clock since when none of the gateway's writes failed, in
    #: seconds; rows of earlier software lack it.
    since_s: float = 0.0


@attrs.frozen
class Members:
    """Live gateways, as last read."""

    #: Datagram addresses of the others by incarnation, sorted, so that all
    #: gateways have the same order.
    others: dict[str, str]
    #: Position of this gateway in that order.
    position: int

    @property
    def count(self) -> int:
        """Return the number of gateways, including this one."""
        return len(self.others) + 1


class UsageCounter:
    """Counts requests by the window in which they began."""

    def __init__(self, clock: _clock.ClusterClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._windows: dict[int, dict[str, int]] = {}

    def window(self, before_s: float = 0.0) -> int:
        """Return the number of the window ``before_s`` seconds ago."""
        return int((self._clock.now_s() - before_s) // self._window_s)

    def count(self, organisation: str | None) -> None:
        """Count a request of an organisation in the current window."""
        if organisation is None:
            return
        counts = self._windows.setdefault(self.window(), {})
        counts[organisation] = counts.get(organisation, 0) + 1

    def count_once(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> None:
        """Count a request once, however often it is sent."""
        if not progress.usage_counted:
            progress.usage_counted = True
            self.count(admitted.organisation_name)

    def counts(self, window: int) -> dict[str, int]:
        """Return the counts of one window."""
        return dict(self._windows.get(window, {}))

    def windows(self) -> dict[str, dict[str, int]]:
        """Drop old windows; return the counts of the others."""
        for expired in sorted(self._windows)[:-WINDOWS_KEPT]:
            del self._windows[expired]
        return {
            str(window): dict(counts)
            for window, counts in self._windows.items()
        }


class _RememberedRows:
    """Rows that were read before the store came back from an older copy."""

    def __init__(self) -> None:
        self._latest: dict[str, GatewayRow] = {}
        self._kept: dict[str, GatewayRow] = {}
        self._kept_until_s = float("-inf")
        self._era: int | None = None

    def merged_into(
        self, found: dict[str, GatewayRow], era: int | None, now_s: float
    ) -> dict[str, GatewayRow]:
        """Return the rows found, with what the store has lost."""
        if era != self._era:
            self._era = era
            self._kept = self._latest
            self._kept_until_s = now_s + REMEMBERED_S
        if now_s >= self._kept_until_s:
            self._kept = {}
        merged = dict(found)
        for incarnation, kept in self._kept.items():
            row = found.get(incarnation)
            merged[incarnation] = kept if row is None else _merge(row, kept)
        self._latest = merged
        return merged


class UsageRows:
    """Writes this gateway's row and reads those of all gateways."""

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
        #: The store's clock since when no write failed, in seconds; ``None``
        #: while the last one failed or has no response yet.
        self._since_s: float | None = None
        #: The store's clock at the last row that it took, in seconds; ``None``
        #: before the first.
        self.written_s: float | None = None
        self._remembered = _RememberedRows()

    async def write(self, final: bool = False) -> bool:
        """Write this gateway's row; return whether it could be written."""
        store_s = self._clock.store_s()
        offset_s = self._clock.local_offset_s()
        if store_s is None or offset_s is None:
            return False
        since_s = store_s if self._since_s is None else self._since_s
        self._since_s = None
        row = GatewayRow(
            offset_s=offset_s,
            written_s=store_s,
            peer_address="" if final else self._peer_address,
            windows=self._counter.windows(),
            since_s=since_s,
        )
        await self._put(store.encode(row))
        self._since_s = since_s
        self.written_s = store_s
        return True

    async def _put(self, value: bytes) -> None:
        """Replace the row on condition of the last known version.

        The condition keeps a write whose response was lost, and that is
        executed late, from overwriting a newer one.
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
        """Return all rows by incarnation; update the clock's offset.

        Rows that a restore of the store took away are included for a while.
        """
        rows = await self._client.scan_all(GATEWAYS, "")
        found = store.decode_rows(rows, GatewayRow)
        found = self._remembered.merged_into(
            found, self._client.era, self._client.now_s()
        )
        self._clock.set_offsets([row.offset_s for row in found.values()])
        return found

    def members(
        self, rows: dict[str, GatewayRow], row_pause_s: float
    ) -> Members:
        """Return the live gateways, given the interval between row writes.

        A gateway is alive until the store has taken rows of others for a time
        and none of its own: while the store is away nobody writes, and when
        it is back some write before others.
        """
        served = _service_spans(rows.values())
        silence_s = alive_s(row_pause_s)
        others = {
            incarnation: row.peer_address
            for incarnation, row in sorted(rows.items())
            if incarnation != self._incarnation
            and _is_reachable(incarnation, row)
            and _served_s(served, row.written_s) < silence_s
        }
        position = sum(name < self._incarnation for name in others)
        return Members(others=others, position=position)

    def was_missed(
        self,
        rows: dict[str, GatewayRow],
        row_pause_s: float,
        after_s: float,
    ) -> bool:
        """Return whether others may have taken this gateway for dead.

        ``after_s`` is the store's clock at its row before the present one.
        """
        others = [
            row
            for incarnation, row in rows.items()
            if incarnation != self._incarnation
        ]
        served_s = _served_s(_service_spans(others), after_s)
        return served_s >= alive_s(row_pause_s)


def alive_s(row_pause_s: float) -> float:
    """Return the time of service since a row was written that shows no life.

    ``row_pause_s`` is the interval between writes of a row.
    """
    return max(ALIVE_S, row_pause_s * ALIVE_WRITES)


def _service_spans(
    rows: collections.abc.Iterable[GatewayRow],
) -> list[tuple[float, float]]:
    """Return when the store took rows, as spans in order without overlap."""
    spans: list[tuple[float, float]] = []
    for begin_s, end_s in sorted((row.since_s, row.written_s) for row in rows):
        if spans and begin_s <= spans[-1][1]:
            begin_s, before_s = spans.pop()
            end_s = max(before_s, end_s)
        spans.append((begin_s, end_s))
    return spans


def _served_s(spans: list[tuple[float, float]], after_s: float) -> float:
    """Return for how long the store took rows after a time."""
    return sum(
        max(end_s - max(begin_s, after_s), 0.0) for begin_s, end_s in spans
    )


def _is_reachable(incarnation: str, row: GatewayRow) -> bool:
    """Return whether a gateway has an address for datagrams."""
    if not row.peer_address:
        return False
    try:
        decoding.split_address(row.peer_address)
    except decoding.AddressInvalid as error:
        LOG.warning(
            "Gateway row unreadable.", gateway=incarnation, reason=str(error)
        )
        return False
    return True


def _merge(one: GatewayRow, other: GatewayRow) -> GatewayRow:
    """Return the newer of two rows of a gateway with the counts of both."""
    newer = max(one, other, key=lambda row: row.written_s)
    windows = {
        window: larger_counts(
            one.windows.get(window, {}), other.windows.get(window, {})
        )
        for window in one.windows.keys() | other.windows.keys()
    }
    return attrs.evolve(newer, windows=windows)


def larger_counts(
    one: dict[str, int], other: dict[str, int]
) -> dict[str, int]:
    """Return the larger count of each organisation; counts only grow."""
    return {
        name: max(one.get(name, 0), other.get(name, 0))
        for name in one.keys() | other.keys()
    }
