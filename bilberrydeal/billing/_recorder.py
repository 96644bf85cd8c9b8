"""Settles usage records in the table exactly once.

A record belongs to the entry that accepted its request, and the row of that
entry's recorder lists the settled records. Every transaction replaces this
row and the row of the recorder that counts, so that retries, late writes and
concurrent writers cannot count a record twice.
"""

import collections
import contextlib
import typing

import attrs

from .. import errors
from .. import link
from .. import ports
from .. import store
from . import _close
from . import _codec
from . import _counting
from . import _figures
from . import _rows
from . import _waiting
from . import _windows

#: Maximum number of records settled by one transaction.
SETTLE_BATCH_SIZE = 2_000
#: Number of recently settled requests remembered, so that the entry does not
#: bill them itself.
MAX_REMEMBERED_REQUESTS = 100_000
#: Maximum rate of settlements of all entries together, per second.
MAX_SETTLEMENTS_PER_S = 50.0


def settle_period_s(settle_s: float, entries: int) -> float:
    """Return the settlement period, which grows with the fleet."""
    return max(settle_s, entries / MAX_SETTLEMENTS_PER_S)


@attrs.define(slots=False, eq=False)
class RecorderClosed(errors.BilberrydealError):
    """Another entry closed this recorder; open one with a new name."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: Name of the recorder.
    recorder: str


class Recorder:
    """Settles usage records for one incarnation of an entry.

    The recorder has the name of the incarnation, which is part of request
    numbers. After :class:`RecorderClosed` a recorder with a new name replaces
    it: it settles records of the incarnation's requests like those of any
    closed recorder, but bills none of them itself.

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
        self._own_row: _close.VersionedRow | None = None
        self._usage: dict[int, _rows.UsageRow] = {}
        self._waiting = _waiting.WaitingRecords()
        self._acked: dict[str, int] = {}
        self._settled_sequences: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    @property
    def waiting(self) -> int:
        """Return the number of records waiting to be settled."""
        return len(self._waiting)

    def other_entries(self) -> tuple[str, ...]:
        """Return the other entries whose records are waiting here.

        Pass dead ones to :meth:`close_entry` before the next settlement.
        """
        return tuple(
            entry for entry in self._waiting.entries() if entry != self.name
        )

    # Incoming records.

    def enqueue(self, message: link.UsageRecords) -> None:
        """Enqueue records; agents resend those that exceed the limit."""
        self._acked[message.agent] = max(
            self._acked.get(message.agent, 0), message.acked
        )
        for record in message.records:
            self._waiting.add(_waiting.WaitingRecord(message.agent, record))

    def self_bill(
        self,
        number: link.RequestNumber,
        organisation: str,
        figures: ports.OrganisationFigures,
        wall_s: float,
    ) -> bool:
        """Bill the observed usage of a request whose agent is gone.

        A record of the agent that still arrives is not counted. Returns
        ``False`` if the request is already settled or belongs to another
        recorder.
        """
        if (
            number.entry != self.name
            or number.sequence in self._settled_sequences
        ):
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
        self._waiting.add(_waiting.WaitingRecord("", record))
        return True

    # Lifecycle.

    async def open(self, wall_s: float) -> None:
        """Open the recorder, with all sealed windows already passed.

        Continues with the row of an earlier call with unknown outcome.
        Raises :class:`RecorderClosed` if the recorder was closed.
        """
        while True:
            found = await _close.read_recorder(self._client, self.name)
            if found.version:
                await self._load_own_row()
                return
            sealed, openings = await self._client.read(
                [_rows.SEALED, _rows.OPENINGS]
            )
            passed = self._rule.window_at(wall_s) - 1
            if sealed is not None:
                passed = max(passed, _decode_window(sealed))
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
            self._own_row = _close.VersionedRow(committed.versions[0], row)
            return

    async def settle(self, wall_s: float) -> tuple[_waiting.Acknowledged, ...]:
        """Settle waiting records and pass windows that have ended.

        Returns the acknowledgements to send to agents. Raises
        :class:`RecorderClosed`, ``StoreUnavailable`` and ``OutcomeUnknown``;
        the records then remain queued for the next call.
        """
        await self._load_own_row()
        done: list[_waiting.WaitingRecord] = []
        for entry in sorted(
            self._waiting.entries(), key=lambda name: name != self.name
        ):
            items = self._waiting.batch(entry, SETTLE_BATCH_SIZE)
            try:
                done.extend(await self._settle_entry(entry, items, wall_s))
            except errors.TableConflict:
                # Another writer changed one of the rows; reread the own row
                # and retry in the next call.
                await self._load_own_row()
        own = await self._load_own_row()
        if self._rule.last_ended(wall_s) > own.row.passed:
            with contextlib.suppress(errors.TableConflict):
                await self._settle_own([], wall_s)
        return _waiting.group_by_agent(done)

    async def _settle_entry(
        self, entry: str, items: list[_waiting.WaitingRecord], wall_s: float
    ) -> list[_waiting.WaitingRecord]:
        """Settle records of one entry's requests; return the settled ones."""
        if entry == self.name:
            await self._settle_own(items, wall_s)
        elif not await self._settle_closed(entry, items, wall_s):
            # The entry is alive, and the agent sends them to it.
            self._waiting.remove(entry, items)
            return []
        self._waiting.remove(entry, items)
        return items

    async def close_entry(self, entry: str, wall_s: float) -> None:
        """Close the recorder of a dead entry.

        Its late writes then fail, and any entry that receives records of its
        requests from agents settles them.
        """
        await _close.close_recorder(self._client, entry, wall_s)

    async def close(self, wall_s: float) -> None:
        """Close this recorder; call it after the last settlement."""
        self._own_row = None
        await _close.close_recorder(self._client, self.name, wall_s)

    # The own row and the rows of other recorders.

    async def _load_own_row(self) -> _close.VersionedRow:
        """Return the own row, reread after an unknown outcome."""
        if self._own_row is None:
            self._usage.clear()
            found = await _close.read_recorder(self._client, self.name)
            if found.row.state is _rows.RecorderState.CLOSED:
                raise RecorderClosed(recorder=self.name)
            self._own_row = found
        return self._own_row

    async def _settle_own(
        self, items: list[_waiting.WaitingRecord], wall_s: float
    ) -> None:
        """Settle records of this entry's requests."""
        own = await self._load_own_row()
        counted = _counting.uncounted(own.row, items, self._settled_sequences)
        settled = _counting.with_settled(own.row, items, counted, self._acked)
        await self._commit(own, settled, counted, wall_s, ())
        for item in items:
            self._remember(item.record.number.sequence)

    async def _settle_closed(
        self, entry: str, items: list[_waiting.WaitingRecord], wall_s: float
    ) -> bool:
        """Settle records of a closed recorder's requests."""
        closed = await _close.read_recorder(self._client, entry)
        if closed.row.state is _rows.RecorderState.OPEN or not closed.version:
            return False
        own = await self._load_own_row()
        counted = _counting.uncounted(closed.row, items, ())
        updated = attrs.evolve(
            _counting.with_settled(closed.row, items, counted, self._acked),
            nonce=self._client.nonce(),
        )
        key = _rows.recorder_key(entry)
        extra = (_check(key, closed.version), _write(key, updated))
        await self._commit(own, own.row, counted, wall_s, extra)
        return True

    async def _commit(
        self,
        own: _close.VersionedRow,
        row: _rows.RecorderRow,
        counted: list[_waiting.WaitingRecord],
        wall_s: float,
        extra: tuple[ports.Check, ports.Write] | tuple[()],
    ) -> None:
        """Replace the own row and update the figures in one transaction."""
        passed = max(own.row.passed, self._rule.last_ended(wall_s))
        usage = await self._updated_usage(
            counted, own.row.passed, passed, wall_s
        )
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
        # After any failure the rows are reread before the next write.
        self._own_row = None
        committed = await self._client.commit_resolved(
            ports.Transaction(tuple(checks), tuple(writes)), key, nonce
        )
        self._own_row = _close.VersionedRow(committed.versions[0], new)
        self._usage.update(usage)
        for window in [w for w in self._usage if w <= passed]:
            del self._usage[window]

    async def _updated_usage(
        self,
        items: list[_waiting.WaitingRecord],
        before: int,
        passed: int,
        wall_s: float,
    ) -> dict[int, _rows.UsageRow]:
        """Return the new usage row of each window that changes."""
        parts: dict[int, list[_rows.UsageRow]] = {}
        for item in items:
            window, part = _counting.usage_of(
                self._rule, item.record, before, passed, wall_s
            )
            parts.setdefault(window, []).append(part)
        return {
            window: _figures.merge_rows(
                [await self._window_usage(window), *found]
            )
            for window, found in parts.items()
        }

    async def _window_usage(self, window: int) -> _rows.UsageRow:
        """Return the own usage of a window, from the table if not cached."""
        if window not in self._usage:
            key = _rows.usage_key(window, self.name)
            row = await self._client.read_one(key)
            self._usage[window] = (
                _codec.decode_usage(row.value) if row else _rows.UsageRow()
            )
        return self._usage[window]

    # Settled records.

    def _remember(self, sequence: int) -> None:
        self._settled_sequences[sequence] = None
        if len(self._settled_sequences) > MAX_REMEMBERED_REQUESTS:
            self._settled_sequences.popitem(last=False)


def _decode_window(row: ports.Row) -> int:
    return store.decode(row.value, _rows.WindowHead).window


def _check(key: ports.RowKey, version: int) -> ports.Check:
    return ports.Check(key.table, key.key, version)


def _write(key: ports.RowKey, row: object) -> ports.Write:
    return ports.Write(key.table, key.key, _codec.encode(row))
