"""The platform's store as the product's table service, with a change feed."""

import base64
import binascii
import collections
import time
import urllib.parse

import msgspec

from .. import errors
from .. import ports
from . import _exchange

#: Table and key of the operators' configuration.
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
#: Table in which endpoints announce themselves, by their ids.
ENDPOINTS_TABLE = "servers"
#: Connections that calls may use at once.
CONNECTIONS_LIMIT = 16
#: Time that the answer of a waiting call may take beyond its wait.
FEED_SLACK_S = 0.7
#: Rows asked for in one call.
PAGE_ROWS = 500

_GET = b"GET"
_POST = b"POST"


class _Row(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: str | None = None
    row_version: int = 0
    deleted: bool = False


class _RowsAnswer(msgspec.Struct):
    #: Newest version of the store, not of a row.
    row_version: int
    now_ms: float
    rows: list[_Row] = []
    has_more: bool = False


class _ConflictAnswer(msgspec.Struct):
    rows: list[_Row] = []


class _Put(msgspec.Struct):
    table: str
    key: str
    value: str
    part: str = ""


class _Named(msgspec.Struct):
    table: str
    key: str
    part: str = ""


class _Expected(msgspec.Struct):
    table: str
    key: str
    row_version: int
    part: str = ""


class _TxCall(msgspec.Struct):
    expected: list[_Expected]
    puts: list[_Put]
    remove: list[_Named]


class PlatformStore:
    """Implements the table service and the change feed.

    All rows lie in one part, so that a transaction may cover any of them.
    """

    def __init__(self, host: str, port: int) -> None:
        self._pool = _exchange.pool(host, port, CONNECTIONS_LIMIT)
        #: Calls made, by kind and outcome.
        self.calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        #: The last reading of the store's steady clock.
        self.clock: ports.ClockReading | None = None

    def move(self, host: str, port: int) -> None:
        """Call another address from now on."""
        self._pool = _exchange.moved(self._pool, host, port)

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        """Return rows in the order of ``keys``, each as of its own call."""
        found: list[ports.Row | None] = []
        for key in keys:
            rows = await self._get(
                key.table, key.key, key.key + "\0", 1, timeout_s
            )
            found.append(_row(rows.rows[0]) if rows.rows else None)
        return tuple(found)

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[ports.Row, ...]:
        """Return rows of a prefix in key order."""
        first = max(prefix, after + "\0" if after else "")
        last = prefix + "\U0010ffff" if prefix else ""
        answer = await self._get(table, first, last, limit, timeout_s)
        return tuple(_row(row) for row in answer.rows)

    async def snapshot(self, table: str, timeout_s: float) -> ports.Changes:
        """Return all rows of a table and the version to go on from.

        The version is that of the first page, so that changes made while
        later pages are read come once more through the feed.
        """
        rows: list[ports.Change] = []
        version: int | None = None
        after = ""
        while True:
            answer = await self._get(table, after, "", PAGE_ROWS, timeout_s)
            version = answer.row_version if version is None else version
            rows.extend(_change(row) for row in answer.rows)
            if not answer.has_more or not answer.rows:
                return ports.Changes(version=version, rows=tuple(rows))
            after = answer.rows[-1].key + "\0"

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> ports.Changes:
        """Return what changed since a version, after a wait at most."""
        query = urllib.parse.urlencode(
            {
                "table": table,
                "after": after_version,
                "wait_ms": int(wait_s * 1000),
            }
        )
        target = f"/bilberrydeal/rows-feed?{query}"
        answer = await self._read_call(target, wait_s + FEED_SLACK_S)
        return ports.Changes(
            version=answer.row_version,
            rows=tuple(_change(row) for row in answer.rows),
        )

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Carry out a transaction."""
        call = _transaction(transaction)
        try:
            answer = await _exchange.call(
                self._pool,
                _POST,
                b"/bilberrydeal/rows-tx",
                call,
                timeout_s,
            )
        except _exchange.NotSent as error:
            self.calls["commit", "not sent"] += 1
            raise errors.StoreUnavailable("commit") from error
        except _exchange.NoAnswer as error:
            self.calls["commit", "no answer"] += 1
            raise errors.OutcomeUnknown("commit") from error
        self.calls["commit", str(answer.status)] += 1
        if answer.status == 412:
            raise _conflict(transaction, answer)
        if answer.status != 200:
            raise errors.StoreUnavailable(f"commit, status {answer.status}")
        found = self._decode(answer, "commit")
        return ports.Committed(
            versions=tuple(
                found.row_version if write.value is not None else 0
                for write in transaction.writes
            )
        )

    async def _get(
        self, table: str, first: str, last: str, limit: int, timeout_s: float
    ) -> _RowsAnswer:
        asked = {"table": table, "part": "", "limit": str(limit)}
        if first:
            asked["from"] = first
        if last:
            asked["to"] = last
        query = urllib.parse.urlencode(asked)
        return await self._read_call(
            f"/bilberrydeal/rows-get?{query}", timeout_s
        )

    async def _read_call(self, target: str, timeout_s: float) -> _RowsAnswer:
        try:
            answer = await _exchange.call(
                self._pool, _GET, target.encode(), None, timeout_s
            )
        except (_exchange.NotSent, _exchange.NoAnswer) as error:
            self.calls["read", "no answer"] += 1
            raise errors.StoreUnavailable(f"read, {error}") from error
        self.calls["read", str(answer.status)] += 1
        if answer.status == 410:
            raise errors.HistoryGone()
        if answer.status != 200:
            raise errors.StoreUnavailable(f"read, status {answer.status}")
        return self._decode(answer, "read")

    def _decode(self, answer: _exchange.Answer, operation: str) -> _RowsAnswer:
        try:
            found = msgspec.json.decode(answer.body, type=_RowsAnswer)
        except msgspec.DecodeError as error:
            if operation == "commit":
                raise errors.OutcomeUnknown(operation) from error
            raise errors.StoreUnavailable(operation) from error
        self.clock = ports.ClockReading(
            remote_s=found.now_ms / 1000,
            local_s=time.clock_gettime(time.CLOCK_BOOTTIME),
        )
        return found


def _transaction(transaction: ports.Transaction) -> _TxCall:
    return _TxCall(
        expected=[
            _Expected(check.table, check.key, check.version)
            for check in transaction.checks
        ],
        puts=[
            _Put(
                write.table,
                write.key,
                base64.b64encode(write.value).decode(),
            )
            for write in transaction.writes
            if write.value is not None
        ],
        remove=[
            _Named(write.table, write.key)
            for write in transaction.writes
            if write.value is None
        ],
    )


def _conflict(
    transaction: ports.Transaction, answer: _exchange.Answer
) -> errors.TableConflict:
    try:
        rows = msgspec.json.decode(answer.body, type=_ConflictAnswer).rows
    except msgspec.DecodeError:
        rows = []
    found = {(row.table, row.key): row.row_version for row in rows}
    failed = transaction.checks[0]
    for check in transaction.checks:
        if found.get((check.table, check.key), 0) != check.version:
            failed = check
            break
    return errors.TableConflict(
        table=failed.table,
        key=failed.key,
        found_version=found.get((failed.table, failed.key), 0),
    )


def _value(row: _Row) -> bytes:
    try:
        return base64.b64decode(row.value or "")
    except binascii.Error:
        return b""


def _row(row: _Row) -> ports.Row:
    return ports.Row(row.table, row.key, row.row_version, _value(row))


def _change(row: _Row) -> ports.Change:
    return ports.Change(
        key=row.key,
        version=row.row_version,
        value=None if row.deleted else _value(row),
    )
