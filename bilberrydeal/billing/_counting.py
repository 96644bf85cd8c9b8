"""Which usage records count, and in which window."""

import collections.abc

import attrs

from .. import link
from .. import ports
from . import _rows
from . import _waiting
from . import _windows


def uncounted(
    row: _rows.RecorderRow,
    items: list[_waiting.WaitingRecord],
    known: collections.abc.Container[int],
) -> list[_waiting.WaitingRecord]:
    """Return the records that have not been counted yet.

    ``known`` contains the requests that were settled before. Two agents may
    send records of one request if the first died after counting it and its
    successor resumed the request. Only the first record is counted.
    """
    billed = set(row.self_billed)
    by_agents: set[int] = set()
    found = []
    for item in sorted(items, key=lambda item: not item.agent):
        sequence = item.record.number.sequence
        if sequence in billed or _is_settled(row, item):
            continue
        if sequence in known or sequence in by_agents:
            continue
        if item.agent:
            by_agents.add(sequence)
        found.append(item)
    return found


def _is_settled(row: _rows.RecorderRow, item: _waiting.WaitingRecord) -> bool:
    if not item.agent:
        return False
    return item.record.record in row.settled.get(
        item.agent, _rows.NO_POSITIONS
    )


def with_settled(
    row: _rows.RecorderRow,
    items: list[_waiting.WaitingRecord],
    counted: list[_waiting.WaitingRecord],
    acked: collections.abc.Mapping[str, int],
) -> _rows.RecorderRow:
    """Return a recorder's row with the records marked as settled.

    ``acked`` is the last record that each agent has dropped.
    """
    by_agent: dict[str, list[int]] = {}
    for item in items:
        if item.agent:
            by_agent.setdefault(item.agent, []).append(item.record.record)
    settled = dict(row.settled)
    for agent, records in by_agent.items():
        known = settled.get(agent, _rows.NO_POSITIONS).with_positions(records)
        settled[agent] = known.with_floor(acked.get(agent, 0))
    billed = {i.record.number.sequence for i in counted if not i.agent}
    return attrs.evolve(
        row,
        settled=settled,
        self_billed=tuple(sorted(billed.union(row.self_billed))),
    )


def usage_of(
    rule: _windows.WindowRule,
    record: link.UsageRecord,
    before: int,
    passed: int,
    wall_s: float,
) -> tuple[int, _rows.UsageRow]:
    """Return the usage of one record and the window to add it to.

    Windows up to ``before`` were passed earlier. Those up to ``passed``
    are passed by this transaction, which may still add to them.
    """
    figures = {
        record.organisation: ports.OrganisationFigures(
            prompt_tokens=record.prompt_tokens,
            cached_tokens=record.cached_tokens,
            output_tokens=record.output_tokens,
            calls=record.calls,
        )
    }
    newest = max(rule.window_at(wall_s), passed + 1)
    window = min(rule.window_at(record.counted_at_s), newest)
    if window > before:
        return window, _rows.UsageRow(figures=figures)
    adjustment = _rows.Adjustment(window, figures)
    return newest, _rows.UsageRow(adjustments=(adjustment,))
