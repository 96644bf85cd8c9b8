"""Settles usage records in the table, each once.

A record belongs to the entry that took its request, and the row of that
entry's recorder says which records are settled. Every transaction replaces
that row and the row of the recorder that counts, so that a repeat, a late
write or two writers at once change nothing.
"""

import collections
import collections.abc
import contextlib
import typing

import attrs

from .. import errors
from .. import link
from .. import ports
from .. import store
from . import _close
from . import _codec
from . import _figures
from . import _rows
from . import _windows

#: Records that wait to be settled, at most; agents send the rest again.
WAITING_LIMIT = 20_000
#: Records settled by one transaction.
SETTLED_AT_ONCE = 2_000
#: Requests whose settling is remembered against billing them oneself.
REMEMBERED = 100_000
#: Settlements that all entries together make in a second, at most.
SETTLEMENTS_PER_S = 50.0


def settle_period_s(settle_s: float, entries: int) -> float:
    """Return the time between settlements, longer in a large fleet."""
    return max(settle_s, entries / SETTLEMENTS_PER_S)


@attrs.define(slots=False, eq=False)
class RecorderClosed(errors.BilberrydealError):
    """Another entry closed this recorder; open one of a new name."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: The recorder.
    recorder: str


@attrs.frozen
class Acknowledged:
    """Records that an agent may forget."""

    #: Incarnation of the agent.
    agent: str
    #: The records.
    message: link.Settled


@attrs.frozen
class _Item:
    """One record that waits."""

    #: Incarnation of the agent, empty for one billed by the entry itself.
    agent: str
    #: The record.
    record: link.UsageRecord


class Recorder:
    """Counts usage for one incarnation of an entry.

    The name is that of the incarnation, by which requests are numbered.
    After :class:`RecorderClosed` a recorder of a new name goes on: it
    settles records of the incarnation's requests as those of any closed
    recorder, but bills none of them itself.

    Example::

        recorder = Recorder(client, "h1.66a.1f", rule)
        await recorder.open(wall_s)
        recorder.take(message)
        for acknowledged in await recorder.settle(wall_s):
            send(acknowledged.agent, acknowledged.message)
    """

    def __init__(
        self,
        client: store.StoreClient,
        name: str,
        rule: _windows.WindowRule,
    ) -> None:
        self.name = name
        self._client = client
        self._rule = rule
        self._own: _close.Found | None = None
        self._usage: dict[int, _rows.UsageRow] = {}
        self._waiting: dict[str, dict[tuple[str, int], _Item]] = {}
        self._acked: dict[str, int] = {}
        self._count = 0
        self._settled: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    @property
    def waiting(self) -> int:
        """Return how many records wait to be settled."""
        return self._count

    def homes(self) -> tuple[str, ...]:
        """Return other entries whose records wait here.

        Those that are gone are to be adopted before the next settlement.
        """
        return tuple(home for home in self._waiting if home != self.name)

    # What is to be counted.

    def take(self, message: link.UsageRecords) -> None:
        """Take records; those past the bound are sent again later."""
        self._acked[message.agent] = max(
            self._acked.get(message.agent, 0), message.acked
        )
        for record in message.records:
            self._put(_Item(message.agent, record))

    def self_bill(
        self,
        number: link.RequestNumber,
        organisation: str,
        figures: ports.OrganisationFigures,
        wall_s: float,
    ) -> bool:
        """Bill what this entry saw of a request whose agent is gone.

        The agent's own record is dropped should it still arrive. ``False``
        where the request is settled or not of this recorder.
        """
        if number.entry != self.name or number.sequence in self._settled:
            return False
        record = link.UsageRecord(
            record=number.sequence,
            number=number,
            organisation=organisation,
            counted_at_s=wall_s,
            prompt_tokens=figures.prompt_tokens,
            cached_tokens=figures.cached_tokens,
            output_tokens=figures.output_tokens,
            calls=figures.calls,
        )
        self._put(_Item("", record))
        return True

    # Steps.

    async def open(self, wall_s: float) -> None:
        """Open the recorder; sealed windows are passed from the start.

        One that an earlier, doubtful call opened is gone on with. Raises
        :class:`RecorderClosed` where it was closed.
        """
        while True:
            found = await _close.read_recorder(self._client, self.name)
            if found.version:
                await self._loaded()
                return
            sealed, openings = await self._client.read(
                [_rows.SEALED, _rows.OPENINGS]
            )
            passed = self._rule.at(wall_s) - 1
            if sealed is not None:
                passed = max(passed, _window(sealed))
            nonce = self._client.nonce()
            row = _rows.RecorderRow(
                _rows.RecorderState.OPEN, passed, nonce=nonce
            )
            key = _rows.recorder_key(self.name)
            head = _rows.WindowHead(passed, nonce)
            writes = [_write(key, row), _write(_rows.OPENINGS, head)]
            if sealed is None:
                writes.append(_write(_rows.SEALED, head))
                writes.append(_write(_rows.REPORTED, head))
            transaction = ports.Transaction(
                checks=(
                    _check(key, 0),
                    _check(_rows.SEALED, sealed.version if sealed else 0),
                    _check(
                        _rows.OPENINGS, openings.version if openings else 0
                    ),
                ),
                writes=tuple(writes),
            )
            try:
                committed = await self._client.commit_resolved(
                    transaction, key, nonce
                )
            except errors.TableConflict:
                continue
            self._own = _close.Found(committed.versions[0], row)
            return

    async def settle(self, wall_s: float) -> tuple[Acknowledged, ...]:
        """Settle what waits and pass windows that are over.

        Returns what agents may forget. Raises :class:`RecorderClosed`,
        ``StoreUnavailable`` and ``OutcomeUnknown``; the records then wait
        for the next call.
        """
        await self._loaded()
        done: list[_Item] = []
        for home in sorted(self._waiting, key=lambda name: name != self.name):
            items = list(self._waiting[home].values())[:SETTLED_AT_ONCE]
            try:
                done.extend(await self._settle_home(home, items, wall_s))
            except errors.TableConflict:
                # Another wrote one of the rows: read them again next time.
                await self._loaded()
        own = await self._loaded()
        if self._rule.last_over(wall_s) > own.row.passed:
            with contextlib.suppress(errors.TableConflict):
                await self._write_own([], wall_s)
        return _acknowledged(done)

    async def _settle_home(
        self, home: str, items: list[_Item], wall_s: float
    ) -> list[_Item]:
        """Settle records of one entry's requests; return those settled."""
        if home == self.name:
            await self._write_own(items, wall_s)
        elif not await self._write_for(home, items, wall_s):
            # Its entry lives: the agent hands them to that one.
            self._drop(home, items)
            return []
        self._drop(home, items)
        return items

    async def adopt(self, entry: str, wall_s: float) -> None:
        """Close the recorder of an entry that is gone.

        From then on its own late writes fail, and records of its requests
        are settled by whoever gets them from the agents.
        """
        await _close.close_recorder(self._client, entry, wall_s)

    async def close(self, wall_s: float) -> None:
        """Close this recorder after its last settlement."""
        self._own = None
        await _close.close_recorder(self._client, self.name, wall_s)

    # The own row and those of others.

    async def _loaded(self) -> _close.Found:
        """Return the own row, read again after a doubtful outcome."""
        if self._own is None:
            self._usage.clear()
            found = await _close.read_recorder(self._client, self.name)
            if found.row.state is _rows.RecorderState.CLOSED:
                raise RecorderClosed(recorder=self.name)
            self._own = found
        return self._own

    async def _write_own(self, items: list[_Item], wall_s: float) -> None:
        """Settle records of this entry's requests."""
        own = await self._loaded()
        counted = _fresh(own.row, items, self._settled)
        settled = self._noted(own.row, items, counted)
        await self._commit(own, settled, counted, wall_s, ())
        for item in items:
            self._remember(item.record.number.sequence)

    async def _write_for(
        self, home: str, items: list[_Item], wall_s: float
    ) -> bool:
        """Settle records of a closed recorder's requests."""
        theirs = await _close.read_recorder(self._client, home)
        if theirs.row.state is _rows.RecorderState.OPEN or not theirs.version:
            return False
        own = await self._loaded()
        counted = _fresh(theirs.row, items, ())
        noted = attrs.evolve(
            self._noted(theirs.row, items, counted),
            nonce=self._client.nonce(),
        )
        key = _rows.recorder_key(home)
        extra = (_check(key, theirs.version), _write(key, noted))
        await self._commit(own, own.row, counted, wall_s, extra)
        return True

    async def _commit(
        self,
        own: _close.Found,
        row: _rows.RecorderRow,
        counted: list[_Item],
        wall_s: float,
        extra: tuple[ports.Check, ports.Write] | tuple[()],
    ) -> None:
        """Replace the own row and add to the figures, in one transaction."""
        passed = max(own.row.passed, self._rule.last_over(wall_s))
        usage = await self._added(counted, own.row.passed, passed, wall_s)
        nonce = self._client.nonce()
        key = _rows.recorder_key(self.name)
        new = attrs.evolve(row, passed=passed, nonce=nonce)
        checks = [_check(key, own.version)]
        writes = [_write(key, new)]
        for window, figures in usage.items():
            marked = attrs.evolve(figures, nonce=nonce)
            writes.append(_write(_rows.usage_key(window, self.name), marked))
        if extra:
            checks.append(extra[0])
            writes.append(extra[1])
        # Whatever goes wrong, the rows are read before the next write.
        self._own = None
        committed = await self._client.commit_resolved(
            ports.Transaction(tuple(checks), tuple(writes)), key, nonce
        )
        self._own = _close.Found(committed.versions[0], new)
        self._usage.update(usage)
        for window in [w for w in self._usage if w <= passed]:
            del self._usage[window]

    async def _added(
        self, items: list[_Item], before: int, passed: int, wall_s: float
    ) -> dict[int, _rows.UsageRow]:
        """Return the new figures of each window that gains some."""
        parts: dict[int, list[_rows.UsageRow]] = {}
        for item in items:
            window, part = self._part(item.record, before, passed, wall_s)
            parts.setdefault(window, []).append(part)
        return {
            window: _figures.merge_rows([await self._figures(window), *found])
            for window, found in parts.items()
        }

    def _part(
        self, record: link.UsageRecord, before: int, passed: int, wall_s: float
    ) -> tuple[int, _rows.UsageRow]:
        """Return one record as figures, and the window to add them to.

        Windows up to ``before`` were passed earlier; those up to
        ``passed`` are passed by this very transaction and may still gain.
        """
        figures = {
            record.organisation: ports.OrganisationFigures(
                prompt_tokens=record.prompt_tokens,
                cached_tokens=record.cached_tokens,
                output_tokens=record.output_tokens,
                calls=record.calls,
            )
        }
        newest = max(self._rule.at(wall_s), passed + 1)
        window = min(self._rule.at(record.counted_at_s), newest)
        if window > before:
            return window, _rows.UsageRow(figures=figures)
        adjustment = _rows.Adjustment(window, figures)
        return newest, _rows.UsageRow(adjustments=(adjustment,))

    async def _figures(self, window: int) -> _rows.UsageRow:
        """Return the own figures of a window, from the table if unknown."""
        if window not in self._usage:
            key = _rows.usage_key(window, self.name)
            row = await self._client.read_one(key)
            self._usage[window] = (
                _codec.decode_usage(row.value) if row else _rows.UsageRow()
            )
        return self._usage[window]

    # What is new.

    def _noted(
        self, row: _rows.RecorderRow, items: list[_Item], counted: list[_Item]
    ) -> _rows.RecorderRow:
        """Return the row that has all the records settled."""
        by_agent: dict[str, list[int]] = {}
        for item in items:
            if item.agent:
                by_agent.setdefault(item.agent, []).append(item.record.record)
        settled = dict(row.settled)
        for agent, records in by_agent.items():
            known = settled.get(agent, _rows.EMPTY).added(records)
            settled[agent] = known.raised(self._acked.get(agent, 0))
        billed = {i.record.number.sequence for i in counted if not i.agent}
        return attrs.evolve(
            row,
            settled=settled,
            self_billed=tuple(sorted(billed.union(row.self_billed))),
        )

    def _put(self, item: _Item) -> None:
        home = self._waiting.setdefault(item.record.number.entry, {})
        place = (item.agent, item.record.record)
        if place in home or self._count >= WAITING_LIMIT:
            return
        home[place] = item
        self._count += 1

    def _drop(self, home: str, items: list[_Item]) -> None:
        waiting = self._waiting[home]
        for item in items:
            del waiting[(item.agent, item.record.record)]
        self._count -= len(items)
        if not waiting:
            del self._waiting[home]

    def _remember(self, sequence: int) -> None:
        self._settled[sequence] = None
        if len(self._settled) > REMEMBERED:
            self._settled.popitem(last=False)


def _fresh(
    row: _rows.RecorderRow,
    items: list[_Item],
    known: collections.abc.Container[int],
) -> list[_Item]:
    """Return the records that nobody has counted.

    ``known`` holds the requests that were settled before. A request may come
    from two agents, if one died after it had counted and its successor took
    the request over: the first one counts.
    """
    billed = set(row.self_billed)
    by_agents: set[int] = set()
    fresh = []
    for item in sorted(items, key=lambda item: not item.agent):
        sequence = item.record.number.sequence
        if sequence in billed or _is_settled(row, item):
            continue
        if sequence in known or sequence in by_agents:
            continue
        if item.agent:
            by_agents.add(sequence)
        fresh.append(item)
    return fresh


def _is_settled(row: _rows.RecorderRow, item: _Item) -> bool:
    if not item.agent:
        return False
    return item.record.record in row.settled.get(item.agent, _rows.EMPTY)


def _acknowledged(items: list[_Item]) -> tuple[Acknowledged, ...]:
    by_agent: dict[str, list[int]] = {}
    for item in items:
        if item.agent:
            by_agent.setdefault(item.agent, []).append(item.record.record)
    return tuple(
        Acknowledged(agent, link.Settled(records=tuple(records)))
        for agent, records in by_agent.items()
    )


def _window(row: ports.Row) -> int:
    return store.decode(row.value, _rows.WindowHead).window


def _check(key: ports.RowKey, version: int) -> ports.Check:
    return ports.Check(key.table, key.key, version)


def _write(key: ports.RowKey, row: object) -> ports.Write:
    return ports.Write(key.table, key.key, _codec.encode(row))
