"""Removes expired rows of reported windows and closed recorders."""

from .. import errors
from .. import ports
from .. import store
from . import _rows
from . import _windows

#: Retention of usage rows, seals, outcomes and closed recorders, in seconds.
RETENTION_S = 24 * 3600.0
#: Maximum number of rows removed per call.
ROWS_PER_STEP = 100


async def sweep(
    client: store.StoreClient, rule: _windows.WindowRule, wall_s: float
) -> int:
    """Remove some expired rows; return how many.

    Rows of a window are removed only after its reports have an outcome.
    """
    reported = await client.read_one(_rows.REPORTED)
    if reported is None:
        return 0
    head = store.decode(reported.value, _rows.WindowHead)
    oldest = min(head.window, rule.window_at(wall_s - RETENTION_S))
    old: list[ports.Row] = []
    for table in (_rows.USAGE, _rows.SEALS, _rows.REPORTS):
        page = await client.scan_page(table, "", limit=ROWS_PER_STEP)
        old.extend(row for row in page if _window(row) < oldest)
    recorders = await client.scan_all(_rows.RECORDERS, "")
    old.extend(row for row in recorders if _is_expired_recorder(row, wall_s))
    await _remove(client, old[:ROWS_PER_STEP])
    return len(old[:ROWS_PER_STEP])


def _window(row: ports.Row) -> int:
    return int(row.key.partition("/")[0])


def _is_expired_recorder(row: ports.Row, wall_s: float) -> bool:
    found = store.decode(row.value, _rows.RecorderRow)
    closed = found.state is _rows.RecorderState.CLOSED
    return closed and wall_s - found.closed_at_s > RETENTION_S


async def _remove(client: store.StoreClient, rows: list[ports.Row]) -> None:
    if not rows:
        return
    transaction = ports.Transaction(
        checks=tuple(ports.Check(r.table, r.key, r.version) for r in rows),
        writes=tuple(ports.Write(r.table, r.key, None) for r in rows),
    )
    try:
        await client.commit(transaction)
    except (errors.TableConflict, errors.OutcomeUnknown):
        return
