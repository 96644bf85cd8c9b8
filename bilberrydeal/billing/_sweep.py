"""Removes rows of windows that are long reported."""

from .. import errors
from .. import ports
from .. import store
from . import _rows
from . import _windows

#: Rows of usage, seals and closed recorders are kept so long, in seconds.
KEPT_S = 24 * 3600.0
#: Rows removed by one step.
ROWS_A_STEP = 100


async def sweep(
    client: store.StoreClient, rule: _windows.WindowRule, wall_s: float
) -> int:
    """Remove some old rows; return how many.

    Only windows whose reports have an outcome are touched.
    """
    reported = await client.read_one(_rows.REPORTED)
    if reported is None:
        return 0
    head = store.decode(reported.value, _rows.WindowHead)
    oldest = min(head.window, rule.at(wall_s - KEPT_S))
    old: list[ports.Row] = []
    for table in (_rows.USAGE, _rows.SEALS, _rows.REPORTS):
        page = await client.scan_page(table, "", limit=ROWS_A_STEP)
        old.extend(row for row in page if _window(row) < oldest)
    recorders = await client.scan_all(_rows.RECORDERS, "")
    old.extend(row for row in recorders if _long_closed(row, wall_s))
    await _remove(client, old[:ROWS_A_STEP])
    return len(old[:ROWS_A_STEP])


def _window(row: ports.Row) -> int:
    return int(row.key.partition("/")[0])


def _long_closed(row: ports.Row, wall_s: float) -> bool:
    found = store.decode(row.value, _rows.RecorderRow)
    closed = found.state is _rows.RecorderState.CLOSED
    return closed and wall_s - found.closed_at_s > KEPT_S


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
