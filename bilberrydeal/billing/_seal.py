"""Seals the figures of windows, one after the other.

A window is sealed when every recorder has passed it or is closed, so that
none of them adds to it any more. Recorders that open meanwhile change the
row of openings, which the seal checks, and pass sealed windows at once.
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
class _Heads:
    """What the seal checks, read before the recorders."""

    #: The newest sealed window.
    window: int
    #: Version of the row that names it.
    sealed: int
    #: Version of the row of openings.
    openings: int


class Sealer:
    """Seals one window a step, under a lease."""

    def __init__(
        self,
        client: store.StoreClient,
        lease: leases.Lease,
        rule: _windows.WindowRule,
    ) -> None:
        #: Open recorders that the next window waits for; those of entries
        #: that are gone must be closed.
        self.waits_for: tuple[str, ...] = ()
        #: Windows sealed that hold usage of earlier ones.
        self.adjusted = 0
        self._client = client
        self._lease = lease
        self._rule = rule

    async def step(self, now_s: float, wall_s: float) -> bool:
        """Seal the next window if that can be; return whether it was.

        Raises ``LeaseLost``, ``TableConflict``, ``StoreUnavailable`` and
        ``OutcomeUnknown``; the next step begins anew from the rows.
        """
        self._lease.checks(now_s)
        heads = await self._heads()
        if heads is None:
            return False
        window = heads.window + 1
        if window > self._rule.last_over(wall_s):
            return False
        self.waits_for = await self._behind(window)
        if self.waits_for:
            return False
        seal = await self._seal(window, wall_s)
        await self._write(seal, heads)
        self.adjusted += bool(seal.adjustments)
        return True

    async def _heads(self) -> _Heads | None:
        sealed, openings = await self._client.read(
            [_rows.SEALED, _rows.OPENINGS]
        )
        if sealed is None or openings is None:
            return None
        head = store.decode(sealed.value, _rows.WindowHead)
        return _Heads(head.window, sealed.version, openings.version)

    async def _behind(self, window: int) -> tuple[str, ...]:
        """Return the open recorders that have not passed a window."""
        found = []
        for row in await self._client.scan_all(_rows.RECORDERS, ""):
            recorder = store.decode(row.value, _rows.RecorderRow)
            is_open = recorder.state is _rows.RecorderState.OPEN
            if is_open and recorder.passed < window:
                found.append(row.key)
        return tuple(found)

    async def _seal(self, window: int, wall_s: float) -> _rows.SealRow:
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

    async def _write(self, seal: _rows.SealRow, heads: _Heads) -> None:
        key = _rows.seal_key(seal.window)
        head = _rows.WindowHead(seal.window, seal.nonce)
        sealed = _rows.SEALED
        openings = _rows.OPENINGS
        transaction = ports.Transaction(
            checks=(
                *self._lease.checks(self._client.now_s()),
                ports.Check(key.table, key.key, 0),
                ports.Check(sealed.table, sealed.key, heads.sealed),
                ports.Check(openings.table, openings.key, heads.openings),
            ),
            writes=(
                ports.Write(key.table, key.key, _codec.encode(seal)),
                ports.Write(sealed.table, sealed.key, store.encode(head)),
            ),
        )
        # A seal is never written twice.
        await self._client.commit_resolved(
            transaction, key, seal.nonce, final=True
        )


def seal_in(row: ports.Row | None, window: int) -> _rows.SealRow:
    """Return the seal in a row that must be there."""
    if row is None:
        raise errors.StoreUnavailable(operation=f"read seal {window}")
    return _codec.decode_seal(row.value)
