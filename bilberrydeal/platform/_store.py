"""Table service and change feed on top of the platform's store."""

import base64
import collections
import collections.abc
import contextlib
import time
import urllib.parse

import attrs
import msgspec

from .. import decoding
from .. import errors
from .. import http1
from .. import ports
from .. import telemetry
from . import _calls
from . import _eras
from . import _headers

LOG = telemetry.logger("store")
#: Table and key of the operators' configuration.
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
#: Table in which endpoints register themselves, keyed by endpoint id.
ENDPOINTS_TABLE = "servers"
#: Maximum number of concurrent connections for calls.
CONNECTIONS_LIMIT = 16
#: The same for polls of the change feed, so that no other call is in their
#: way: of two tables one read each, those beside it and one that ends.
FEED_CONNECTIONS_LIMIT = 12
#: Longest time between two parts of a response to a read, in seconds. How
#: long the whole takes depends on the size of the rows and on the link.
STALL_LIMIT_S = 2.0
#: Size of a response from which on it holds rows, in bytes.
ROWS_BYTES = 256
#: Rows requested per call.
PAGE_ROWS = 500

#: Statuses of a store that serves: success, history gone and conflict.
_SERVING_STATUSES = frozenset([_calls.SUCCESS, 410, 412])
_GET = b"GET"
_POST = b"POST"

#: Called at each response of a store that serves.
OnResponse = collections.abc.Callable[[], None]


class _Row(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: str | None = None
    row_version: int = 0
    deleted: bool = False


class _RowsResponse(msgspec.Struct):
    #: Latest version of the whole store, not of a row.
    row_version: int
    now_ms: float
    rows: list[_Row] = []
    has_more: bool = False


@attrs.frozen
class _Read:
    """A response to a read, with the era of the store."""

    found: _RowsResponse
    era: int | None
    transfer: ports.Transfer

    @property
    def version(self) -> ports.StoreVersion:
        """Return the latest version of the store."""
        return ports.StoreVersion(self.found.row_version, self.era)


class _ConflictResponse(msgspec.Struct):
    rows: list[_Row] = []


class _Put(msgspec.Struct):
    table: str
    key: str
    value: str
    part: str = ""


class _RowKey(msgspec.Struct):
    table: str
    key: str
    part: str = ""


class _ExpectedVersion(msgspec.Struct):
    table: str
    key: str
    row_version: int
    part: str = ""


class _TransactionRequest(msgspec.Struct):
    expected: list[_ExpectedVersion]
    puts: list[_Put]
    remove: list[_RowKey]


class PlatformStore:
    """Implements the table service and the change feed.

    All rows are in one partition (``part``), because a transaction may span
    any of them.
    """

    def __init__(self, host: str, port: int) -> None:
        self._pool = _calls.pool(host, port, CONNECTIONS_LIMIT)
        self._feed_pool = _calls.pool(host, port, FEED_CONNECTIONS_LIMIT)
        #: Number of calls by operation and outcome.
        self.calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        #: Latest reading of the store's monotonic clock.
        self.clock: ports.ClockReading | None = None
        self._eras = _eras.EraTracker()
        #: Number of reads under way by table, of those that may be repeated.
        self._reading: collections.Counter[str] = collections.Counter()
        self._on_response: list[OnResponse] = []

    @property
    def era(self) -> int | None:
        """Return the last known era of the store, if it tells one."""
        return self._eras.current

    def subscribe_responses(self, handler: OnResponse) -> None:
        """Register what is called at each response of a store that serves."""
        self._on_response.append(handler)

    def set_address(self, host: str, port: int) -> None:
        """Use another address for subsequent calls."""
        self._pool = _calls.pool_for_address(self._pool, host, port)
        self._feed_pool = _calls.pool_for_address(self._feed_pool, host, port)

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        """Return rows in the order of ``keys``.

        Each row is read by its own call, so the rows are not a snapshot.
        """
        found: list[ports.Row | None] = []
        for key in keys:
            read = await self._get(
                key.table, key.key, key.key + "\0", 1, timeout_s
            )
            rows = read.found
            found.append(_decode_row(rows.rows[0]) if rows.rows else None)
        return tuple(found)

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[ports.Row, ...]:
        """Return the rows whose keys have a prefix, in key order."""
        first = max(prefix, after + "\0" if after else "")
        last = prefix + "\U0010ffff" if prefix else ""
        read = await self._get(table, first, last, limit, timeout_s)
        return tuple(_decode_row(row) for row in read.found.rows)

    async def snapshot(
        self,
        table: str,
        timeout_s: float,
        on_rows: ports.OnRows | None = None,
    ) -> ports.Changes:
        """Return all rows of a table and the version to resume the feed from.

        The version is that of the first page, so that the feed repeats the
        changes made while later pages are read. Pages of two eras are no
        snapshot.
        """
        rows: list[ports.Change] = []
        transfer = ports.Transfer()
        version: ports.StoreVersion | None = None
        after = ""
        while True:
            with self._new_connection_if_repeated(table, self._pool):
                read = await self._get(
                    table, after, "", PAGE_ROWS, timeout_s, on_rows
                )
            version = version or read.version
            if read.era != version.era:
                raise errors.StoreUnavailable("read, era changed")
            response = read.found
            transfer = transfer.plus(read.transfer)
            rows.extend(_decode_change(row) for row in response.rows)
            if not response.has_more or not response.rows:
                return ports.Changes(version, tuple(rows), transfer)
            after = response.rows[-1].key + "\0"

    async def changes(
        self,
        table: str,
        after: ports.StoreVersion,
        wait_s: float,
        timeout_s: float,
        on_rows: ports.OnRows | None = None,
    ) -> ports.Changes:
        """Return the changes since a version, waiting at most ``wait_s``.

        A version of another era may have been given out again, so that its
        changes are not those that the caller lacks.
        """
        query = urllib.parse.urlencode(
            {
                "table": table,
                "after": after.number,
                "wait_ms": int(wait_s * 1000),
            }
        )
        target = f"/bilberrydeal/rows-feed?{query}"
        with self._new_connection_if_repeated(table, self._feed_pool):
            read = await self._read_call(
                target, timeout_s, self._feed_pool, on_rows
            )
        if read.era != after.era:
            raise errors.HistoryGone()
        return ports.Changes(
            version=read.version,
            rows=tuple(_decode_change(row) for row in read.found.rows),
            transfer=read.transfer,
        )

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Commit a transaction.

        One of an era that is over is not sent.
        """
        if transaction.era not in (None, self.era):
            raise errors.OutcomeUnknown("commit")
        call = _encode_transaction(transaction)
        start = self._eras.start_call()
        try:
            response = await _calls.call(
                self._pool,
                _POST,
                b"/bilberrydeal/rows-tx",
                call,
                timeout_s,
            )
        except _calls.NotSent as error:
            self.calls["commit", "not sent"] += 1
            raise errors.StoreUnavailable("commit") from error
        except _calls.NoResponse as error:
            self.calls["commit", "no answer"] += 1
            self._pool.close()
            raise errors.OutcomeUnknown("commit") from error
        self.calls["commit", str(response.status)] += 1
        found = self._decode_rows(response, "commit")
        era = self._note_era(response, found, "commit", start)
        if response.status == 412:
            raise _decode_conflict(transaction, response)
        if found is None:
            raise errors.StoreUnavailable(f"commit, status {response.status}")
        if transaction.era is not None and era != transaction.era:
            # Its checks held for other writes than those that it was made for.
            raise errors.OutcomeUnknown("commit")
        return ports.Committed(
            versions=tuple(
                found.row_version if write.value is not None else 0
                for write in transaction.writes
            )
        )

    @contextlib.contextmanager
    def _new_connection_if_repeated(
        self, table: str, pool: http1.Pool
    ) -> collections.abc.Iterator[None]:
        """Use a new connection if the table is being read already.

        What silenced the connection of that read may have silenced idle ones.
        """
        if self._reading[table]:
            pool.close()
        self._reading[table] += 1
        try:
            yield
        finally:
            self._reading[table] -= 1

    async def _get(
        self,
        table: str,
        first: str,
        last: str,
        limit: int,
        timeout_s: float,
        on_rows: ports.OnRows | None = None,
    ) -> _Read:
        parameters = {"table": table, "part": "", "limit": str(limit)}
        if first:
            parameters["from"] = first
        if last:
            parameters["to"] = last
        query = urllib.parse.urlencode(parameters)
        return await self._read_call(
            f"/bilberrydeal/rows-get?{query}", timeout_s, self._pool, on_rows
        )

    async def _read_call(
        self,
        target: str,
        timeout_s: float,
        pool: http1.Pool,
        on_rows: ports.OnRows | None = None,
    ) -> _Read:
        start = self._eras.start_call()
        try:
            response = await _calls.call(
                pool,
                _GET,
                target.encode(),
                None,
                timeout_s,
                stall_s=STALL_LIMIT_S,
                on_body=_rows_watch(on_rows),
            )
        except (_calls.NotSent, _calls.NoResponse) as error:
            self.calls["read", "no answer"] += 1
            # What silenced this connection may have silenced the idle ones.
            pool.close()
            raise errors.StoreUnavailable(f"read, {error}") from error
        self.calls["read", str(response.status)] += 1
        found = self._decode_rows(response, "read")
        era = self._note_era(response, found, "read", start)
        if response.status == 410:
            raise errors.HistoryGone()
        if found is None:
            raise errors.StoreUnavailable(f"read, status {response.status}")
        transfer = ports.Transfer(len(response.body), response.transfer_s)
        return _Read(found, era, transfer)

    def _note_era(
        self,
        response: _calls.Response,
        found: _RowsResponse | None,
        operation: str,
        start: _eras.CallStart,
    ) -> int | None:
        """Record the era of a response, and return it.

        A response of an era that was over when it arrived counts as lost.
        """
        value = response.head.header(_headers.HEADERS.store_era)
        version = found.row_version if found is not None else None
        try:
            era = self._eras.note(value, version, start)
        except _eras.LateResponse as error:
            LOG.info(
                "Store response is late.",
                operation=operation,
                reason=str(error),
            )
            if operation == "commit":
                raise errors.OutcomeUnknown(operation) from error
            raise errors.StoreUnavailable(f"read, {error}") from error
        if response.status in _SERVING_STATUSES:
            for handler in self._on_response:
                handler()
        return era

    def _decode_rows(
        self, response: _calls.Response, operation: str
    ) -> _RowsResponse | None:
        """Return the rows of a response, ``None`` if it is an error."""
        if response.status != _calls.SUCCESS:
            return None
        try:
            found = msgspec.json.decode(response.body, type=_RowsResponse)
        except decoding.DECODE_ERRORS as error:
            if operation == "commit":
                raise errors.OutcomeUnknown(operation) from error
            raise errors.StoreUnavailable(operation) from error
        self._note_clock(found.now_ms / 1000, response.transfer_s)
        return found

    def _note_clock(self, remote_s: float, transfer_s: float) -> None:
        """Record the store's clock as of the head of a response.

        A response that took long does not replace a newer reading.
        """
        local_s = time.clock_gettime(time.CLOCK_BOOTTIME) - transfer_s
        if self.clock is None or local_s >= self.clock.local_s:
            self.clock = ports.ClockReading(remote_s, local_s)


def _rows_watch(
    on_rows: ports.OnRows | None,
) -> collections.abc.Callable[[int], None] | None:
    """Return what calls ``on_rows`` once a response must hold rows."""
    if on_rows is None:
        return None

    def watch(size_bytes: int) -> None:
        if size_bytes >= ROWS_BYTES:
            on_rows()

    return watch


def _encode_transaction(transaction: ports.Transaction) -> _TransactionRequest:
    return _TransactionRequest(
        expected=[
            _ExpectedVersion(check.table, check.key, check.version)
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
            _RowKey(write.table, write.key)
            for write in transaction.writes
            if write.value is None
        ],
    )


def _decode_conflict(
    transaction: ports.Transaction, response: _calls.Response
) -> errors.TableConflict:
    try:
        rows = msgspec.json.decode(response.body, type=_ConflictResponse).rows
    except decoding.DECODE_ERRORS as error:
        LOG.warning("Conflict unreadable.", reason=str(error))
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


def _decode_value(row: _Row) -> bytes:
    """Return the value, empty if it is not encoded as it should be."""
    try:
        return base64.b64decode(row.value or "")
    except ValueError as error:
        LOG.warning(
            "Row unreadable.",
            table=row.table,
            key=row.key,
            reason=str(error),
        )
        return b""


def _decode_row(row: _Row) -> ports.Row:
    return ports.Row(row.table, row.key, row.row_version, _decode_value(row))


def _decode_change(row: _Row) -> ports.Change:
    return ports.Change(
        key=row.key,
        version=row.row_version,
        value=None if row.deleted else _decode_value(row),
    )
