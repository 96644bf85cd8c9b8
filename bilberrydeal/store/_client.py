"""Table client with retries, rate limiting and resolved outcomes."""

import asyncio
import collections.abc
import random
import time
import typing

import attrs
import tenacity

from .. import errors
from .. import ports
from . import _token_bucket

#: Reported as the version of a row that another writer has changed since the
#: commit. A check against it always fails.
STALE_VERSION = -1
#: Rows requested per page of a scan.
PAGE_SIZE = 500
#: Upper bound of the first jittered backoff is twice this, in seconds.
BACKOFF_BASE_S = 0.05
#: Largest upper bound of a jittered backoff, in seconds.
BACKOFF_MAX_S = 2.0
#: Deadline of one operation with all its attempts, in call timeouts.
DEADLINE_FACTOR = 4.0
#: Shortest limit of an attempt, for table services that exceed the timeout of
#: a call, in call timeouts.
ATTEMPT_FACTOR = 2.0

Result = typing.TypeVar("Result")
Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]
#: Returns the last known era of the store, ``None`` if it tells none.
Era = collections.abc.Callable[[], int | None]


@attrs.define(slots=False, eq=False)
class MarkerUnchecked(errors.BilberrydealError):
    """A transaction does not check its marker row, so a retry is unsafe."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.INTERNAL

    #: The marker row.
    marker: str


class StoreClient:
    """Client of the table service, shared by one process.

    Each operation is retried unless its caller does that itself, with full
    jitter between attempts, until it succeeds or its deadline of
    ``DEADLINE_FACTOR`` call timeouts passes. All calls share one token bucket,
    so that retries after an outage do not overload the store.

    Example::

        client = StoreClient(table, call_timeout_s=1.0, call_rate_per_s=20.0)
        (row,) = await client.read([ports.RowKey("config", "head")])
    """

    def __init__(
        self,
        table: ports.TableService,
        call_timeout_s: float,
        call_rate_per_s: float,
        rng: random.Random | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        sleep: Sleep = asyncio.sleep,
        era: Era = lambda: None,
    ) -> None:
        self.call_timeout_s = call_timeout_s
        self._table = table
        self._rng = rng or random.SystemRandom()
        self._clock = clock
        self._sleep = sleep
        self._era = era
        self._bucket = _token_bucket.TokenBucket(call_rate_per_s, clock, sleep)

    @property
    def max_call_s(self) -> float:
        """Maximum duration of one operation, in seconds."""
        return self.call_timeout_s * (DEADLINE_FACTOR + 1)

    @property
    def era(self) -> int | None:
        """Return the last known era of the store, if it tells one."""
        return self._era()

    def now_s(self) -> float:
        """Return the monotonic time of this client's clock."""
        return self._clock()

    def nonce(self) -> str:
        """Return a random string that identifies one write of this process."""
        return f"{self._rng.getrandbits(128):032x}"

    async def read(
        self, keys: collections.abc.Sequence[ports.RowKey]
    ) -> tuple[ports.Row | None, ...]:
        """Return rows in the order of ``keys``, read in one snapshot."""

        async def call() -> tuple[ports.Row | None, ...]:
            return await self._table.read(tuple(keys), self.call_timeout_s)

        return await self._call_with_retries("read", call)

    async def read_one(self, key: ports.RowKey) -> ports.Row | None:
        """Return one row."""
        (row,) = await self.read([key])
        return row

    async def read_attempt(self, key: ports.RowKey) -> ports.Row | None:
        """Return one row by one call, whose answer may be late to begin."""
        timeout_s = self._attempt_timeout_s(retried=False)

        async def call() -> tuple[ports.Row | None, ...]:
            return await self._table.read((key,), timeout_s)

        (row,) = await self._call_with_retries("read", call, retried=False)
        return row

    async def scan_all(
        self, table: str, prefix: str, after: str = "", retried: bool = True
    ) -> tuple[ports.Row, ...]:
        """Return all rows whose key starts with ``prefix``, page by page.

        Without ``retried`` the first failure is raised, and answers may be
        later to begin.
        """
        rows: list[ports.Row] = []
        while True:
            page = await self.scan_page(
                table, prefix, after, PAGE_SIZE, retried
            )
            rows.extend(page)
            if len(page) < PAGE_SIZE:
                return tuple(rows)
            after = page[-1].key

    async def scan_page(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = PAGE_SIZE,
        retried: bool = True,
    ) -> tuple[ports.Row, ...]:
        """Return one page of rows whose keys follow ``after``."""
        timeout_s = self._attempt_timeout_s(retried)

        async def call() -> tuple[ports.Row, ...]:
            return await self._table.scan(
                table, prefix, after, limit, timeout_s
            )

        return await self._call_with_retries("scan", call, retried)

    async def commit(self, transaction: ports.Transaction) -> ports.Committed:
        """Commit a transaction; the caller resolves an unknown outcome.

        Retries only after ``StoreUnavailable``, which means that nothing was
        written. ``TableConflict`` and ``OutcomeUnknown`` are passed on.
        """

        async def call() -> ports.Committed:
            return await self._table.commit(transaction, self.call_timeout_s)

        return await self._call_with_retries("commit", call)

    async def commit_resolved(
        self,
        transaction: ports.Transaction,
        marker: ports.RowKey,
        nonce: str,
        marker_is_immutable: bool = False,
    ) -> ports.Committed:
        """Commit a transaction and resolve the outcome of a lost response.

        Every value written must contain ``nonce``. After a lost response the
        written rows are read back. The nonce in the marker row proves that
        the transaction was committed. If the marker still has the version
        that the transaction checks, nothing was committed yet and it is sent
        again, which is safe because at most one of the copies can pass the
        check. A marker written by another writer proves that nothing was
        committed only if marker rows are never overwritten
        (``marker_is_immutable``); otherwise ``OutcomeUnknown`` is raised.

        The version returned for a row that another writer has changed since
        is ``STALE_VERSION``. Raises ``TableConflict``, with
        ``outcome_inferred`` set if the failure was inferred from rows read
        back, ``StoreUnavailable``
        if no attempt was sent, and ``OutcomeUnknown`` if the deadline passed
        first or the transaction names an era that is over: rows read back in
        another era prove nothing.
        """
        expected = _checked_marker_version(transaction, marker)
        deadline_s = self._clock() + self.call_timeout_s * DEADLINE_FACTOR
        response_lost = False
        while True:
            try:
                return await self.commit(transaction)
            except errors.TableConflict as error:
                if not response_lost:
                    raise
                failed: errors.BilberrydealError = error
            except errors.OutcomeUnknown as error:
                response_lost = True
                if self._clock() >= deadline_s:
                    raise
                failed = error
            except errors.StoreUnavailable as error:
                if not response_lost:
                    raise
                raise errors.OutcomeUnknown(operation="commit") from error
            found = await self._read_back(transaction, marker, nonce)
            if transaction.era not in (None, self.era):
                raise errors.OutcomeUnknown(operation="commit") from failed
            if isinstance(found, ports.Committed):
                return found
            if found != expected:
                raise _marker_error(
                    marker, found, marker_is_immutable
                ) from failed
            if isinstance(failed, errors.TableConflict):
                # A check on another row failed; it fails for every copy.
                failed.outcome_inferred = True
                raise failed

    async def _read_back(
        self, transaction: ports.Transaction, marker: ports.RowKey, nonce: str
    ) -> ports.Committed | int:
        """Return the committed versions, or the marker's current version."""
        keys = [ports.RowKey(w.table, w.key) for w in transaction.writes]
        try:
            rows = await self.read([marker, *keys])
        except errors.StoreUnavailable as error:
            raise errors.OutcomeUnknown(operation="commit") from error
        own = nonce.encode()
        if rows[0] is None or own not in rows[0].value:
            return rows[0].version if rows[0] else 0
        return ports.Committed(
            versions=tuple(
                _committed_version(write, row, own)
                for write, row in zip(
                    transaction.writes, rows[1:], strict=True
                )
            )
        )

    async def _call_with_retries(
        self,
        operation: str,
        call: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
        retried: bool = True,
    ) -> Result:
        deadline_s = self._clock() + self.call_timeout_s * DEADLINE_FACTOR
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(errors.StoreUnavailable),
            stop=lambda state: (
                not retried
                or self._clock() + state.upcoming_sleep >= deadline_s
            ),
            wait=self._backoff_s,
            sleep=self._sleep,
            reraise=True,
        )
        return await retrying(self._call_once, operation, call, deadline_s)

    async def _call_once(
        self,
        operation: str,
        call: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
        deadline_s: float,
    ) -> Result:
        remaining_s = max(deadline_s - self._clock(), 0.0)
        if not await self._bucket.acquire(remaining_s):
            raise errors.StoreUnavailable(operation=operation)
        limit_s = self.call_timeout_s * ATTEMPT_FACTOR
        if operation != "commit":
            # Rows that are arriving are not asked for again.
            limit_s = max(limit_s, deadline_s - self._clock())
        try:
            async with asyncio.timeout(limit_s):
                return await call()
        except TimeoutError as error:
            if operation == "commit":
                raise errors.OutcomeUnknown(operation=operation) from error
            raise errors.StoreUnavailable(operation=operation) from error

    def _attempt_timeout_s(self, retried: bool) -> float:
        """Return the timeout of one attempt of a read."""
        factor = 1.0 if retried else ATTEMPT_FACTOR
        return self.call_timeout_s * factor

    def _backoff_s(self, state: tenacity.RetryCallState) -> float:
        """Return a jittered backoff, added to the store's Retry-After."""
        bound_s = BACKOFF_BASE_S * 2 ** min(state.attempt_number, 10)
        jitter_s = self._rng.uniform(0, min(bound_s, BACKOFF_MAX_S))
        error = state.outcome.exception() if state.outcome else None
        retry_after_s = getattr(error, "retry_after_s", None)
        return jitter_s + (retry_after_s or 0.0)


def _marker_error(
    marker: ports.RowKey, found_version: int, marker_is_immutable: bool
) -> errors.BilberrydealError:
    """Return the error for a marker that another writer has written."""
    if not marker_is_immutable:
        return errors.OutcomeUnknown(operation="commit")
    return errors.TableConflict(
        table=marker.table, key=marker.key, found_version=found_version
    )


def _checked_marker_version(
    transaction: ports.Transaction, marker: ports.RowKey
) -> int:
    for check in transaction.checks:
        if (check.table, check.key) == (marker.table, marker.key):
            return check.version
    raise MarkerUnchecked(marker=f"{marker.table}/{marker.key}")


def _committed_version(
    write: ports.Write, row: ports.Row | None, own: bytes
) -> int:
    if write.value is None:
        return 0
    if row is None or own not in row.value:
        return STALE_VERSION
    return row.version
