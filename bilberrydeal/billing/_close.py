"""Reads and closes recorders."""

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _rows


@attrs.frozen
class VersionedRow:
    """A recorder's row with its version."""

    #: Version of the row, 0 if it is absent.
    version: int
    #: Content of the row.
    row: _rows.RecorderRow


async def read_recorder(client: store.StoreClient, name: str) -> VersionedRow:
    """Return a recorder's row; an absent one is returned as closed."""
    row = await client.read_one(_rows.recorder_key(name))
    if row is None:
        closed = _rows.RecorderRow(_rows.RecorderState.CLOSED, passed=0)
        return VersionedRow(0, closed)
    return VersionedRow(
        row.version, store.decode(row.value, _rows.RecorderRow)
    )


async def close_recorder(
    client: store.StoreClient, name: str, wall_s: float
) -> None:
    """Close a recorder permanently; late writes of its entry then fail.

    A recorder that never opened is closed as well, so that it cannot open.
    """
    while True:
        found = await read_recorder(client, name)
        if found.version and found.row.state is _rows.RecorderState.CLOSED:
            return
        try:
            await _write_closed(client, name, found, wall_s)
        except errors.TableConflict:
            continue
        return


async def _write_closed(
    client: store.StoreClient, name: str, found: VersionedRow, wall_s: float
) -> None:
    closed = attrs.evolve(
        found.row,
        state=_rows.RecorderState.CLOSED,
        closed_at_s=wall_s,
        nonce=client.nonce(),
    )
    key = _rows.recorder_key(name)
    await client.commit_resolved(
        ports.Transaction(
            checks=(ports.Check(key.table, key.key, found.version),),
            writes=(ports.Write(key.table, key.key, store.encode(closed)),),
        ),
        key,
        closed.nonce,
    )
