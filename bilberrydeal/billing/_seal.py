"""Seals the figures of windows in order.

A window is sealed once every recorder has passed it or is closed, so that
none of them adds to it any longer. Recorders that open meanwhile rewrite the
openings row, which the seal checks, and start after the sealed windows.
"""

import attrs

from .. import errors
from .. import leases
from .. import ports
from .. import store
from . import _codec
from . import _figures
from . import _rows
from . import _windows


@attrs.frozen
class _CheckedRows:
    """Rows that the seal checks, read before the recorders."""

    #: Newest sealed window.
    window: int
    #: Version of the row with the newest sealed window.
    sealed: int
    #: Version of the openings row.
    openings: int


class Sealer:
    """Seals one window per step, under a lease."""

    def __init__(
        self,
        client: store.StoreClient,
        lease: leases.Lease,
        rule: _windows.WindowRule,
    ) -> None:
        #: Open recorders that have not passed the next window yet. The caller
        #: must close those of dead entries.
        self.lagging_recorders: tuple[str, ...] = ()
        #: Number of sealed windows with usage of earlier ones.
        self.adjusted = 0
        self._client = client
        self._lease = lease
        self._rule = rule

    async def step(self, now_s: float, wall_s: float) -> bool:
        """Seal the next window if possible; return whether it was sealed.

        Raises ``LeaseLost``, ``TableConflict``, ``StoreUnavailable`` and
        ``OutcomeUnknown``; the next step reads the rows again.
        """
        self._lease.checks(now_s)
        checked = await self._read_checked_rows()
        if checked is None:
            return False
        window = checked.window + 1
        if window > self._rule.last_ended(wall_s):
            return False
        self.lagging_recorders = await self._lagging_recorders(window)
        if self.lagging_recorders:
            return False
        seal = await self._merge_window(window, wall_s)
        await self._write(seal, checked)
        self.adjusted += bool(seal.adjustments)
        return True

    async def _read_checked_rows(self) -> _CheckedRows | None:
        sealed, openings = await self._client.read(
            [_rows.SEALED, _rows.OPENINGS]
        )
        if sealed is None or openings is None:
            return None
        head = store.decode(sealed.value, _rows.WindowHead)
        return _CheckedRows(head.window, sealed.version, openings.version)

    async def _lagging_recorders(self, window: int) -> tuple[str, ...]:
        """Return the open recorders that have not passed a window."""
        found = []
        for row in await self._client.scan_all(_rows.RECORDERS, ""):
            recorder = store.decode(row.value, _rows.RecorderRow)
            is_open = recorder.state is _rows.RecorderState.OPEN
            if is_open and recorder.passed < window:
                found.append(row.key)
        return tuple(found)

    async def _merge_window(self, window: int, wall_s: float) -> _rows.SealRow:
        rows = await self._client.scan_all(
            _rows.USAGE, _rows.window_prefix(window)
        )
        usage = _figures.merge_rows(
            _codec.decode_usage(row.value) for row in rows
        )
        return _rows.SealRow(
            window=window,
            figures=_figures.total(usage),
            adjustments=usage.adjustments,
            sealed_at_s=wall_s,
            fence=self._lease.fence(self._client.now_s()),
            nonce=self._client.nonce(),
        )

    async def _write(self, seal: _rows.SealRow, checked: _CheckedRows) -> None:
        key = _rows.seal_key(seal.window)
        head = _rows.WindowHead(seal.window, seal.nonce)
        sealed = _rows.SEALED
        openings = _rows.OPENINGS
        transaction = ports.Transaction(
            checks=(
                *self._lease.checks(self._client.now_s()),
                ports.Check(key.table, key.key, 0),
                ports.Check(sealed.table, sealed.key, checked.sealed),
                ports.Check(openings.table, openings.key, checked.openings),
            ),
            writes=(
                ports.Write(key.table, key.key, _codec.encode(seal)),
                ports.Write(sealed.table, sealed.key, store.encode(head)),
            ),
        )
        # Seals are never overwritten, so the row is conclusive.
        await self._client.commit_resolved(
            transaction, key, seal.nonce, marker_is_immutable=True
        )


def decode_required_seal(row: ports.Row | None, window: int) -> _rows.SealRow:
    """Decode a seal; raise ``StoreUnavailable`` if its row is missing."""
    if row is None:
        raise errors.StoreUnavailable(operation=f"read seal {window}")
    return _codec.decode_seal(row.value)
