"""The table service with retries, pacing and resolved outcomes."""

import asyncio
import collections.abc
import random
import time
import typing

import attrs
import tenacity

from .. import errors
from .. import ports
from . import _pacer

#: Stands for the version of a row that somebody wrote since; no check on it
#: ever holds.
CHANGED = -1
#: Rows asked for in one page of a scan.
PAGE_ROWS = 500
#: First bound of the jittered wait between tries, in seconds.
BACKOFF_FIRST_S = 0.05
#: Largest bound of that wait, in seconds.
BACKOFF_LARGEST_S = 2.0
#: Calls' timeouts that all tries of one operation may take together.
DEADLINE_TIMEOUTS = 4.0

Result = typing.TypeVar("Result")
Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]


@attrs.define(slots=False, eq=False)
class MarkerUnchecked(errors.BilberrydealError):
    """A transaction does not check its marker, so a repeat is unsafe."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.INTERNAL

    #: The marker row.
    marker: str


class StoreClient:
    """Calls the table service for one process.

    Each operation is tried until it succeeds or a deadline of some call
    timeouts has passed, with full jitter between the tries; all calls pass
    one token bucket, so that recovery never floods the store.

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
    ) -> None:
        self.call_timeout_s = call_timeout_s
        self._table = table
        self._rng = rng or random.SystemRandom()
        self._clock = clock
        self._sleep = sleep
        self._pacer = _pacer.Pacer(call_rate_per_s, clock, sleep)

    @property
    def longest_s(self) -> float:
        """Longest time that one operation takes, in seconds."""
        return self.call_timeout_s * (DEADLINE_TIMEOUTS + 1)

    def now_s(self) -> float:
        """Return monotonic time on the clock that this client uses."""
        return self._clock()

    def nonce(self) -> str:
        """Return a text that marks one write as this process's own."""
        return f"{self._rng.getrandbits(128):032x}"

    async def read(
        self, keys: collections.abc.Sequence[ports.RowKey]
    ) -> tuple[ports.Row | None, ...]:
        """Return rows in the order of ``keys``, one snapshot."""

        async def call() -> tuple[ports.Row | None, ...]:
            return await self._table.read(tuple(keys), self.call_timeout_s)

        return await self._retried("read", call)

    async def read_one(self, key: ports.RowKey) -> ports.Row | None:
        """Return one row."""
        (row,) = await self.read([key])
        return row

    async def scan_all(
        self, table: str, prefix: str, after: str = ""
    ) -> tuple[ports.Row, ...]:
        """Return all rows of a prefix, page by page."""
        rows: list[ports.Row] = []
        while True:
            page = await self.scan_page(table, prefix, after)
            rows.extend(page)
            if len(page) < PAGE_ROWS:
                return tuple(rows)
            after = page[-1].key

    async def scan_page(
        self, table: str, prefix: str, after: str = "", limit: int = PAGE_ROWS
    ) -> tuple[ports.Row, ...]:
        """Return one page of rows past a key."""

        async def call() -> tuple[ports.Row, ...]:
            return await self._table.scan(
                table, prefix, after, limit, self.call_timeout_s
            )

        return await self._retried("scan", call)

    async def commit(self, transaction: ports.Transaction) -> ports.Committed:
        """Carry out a transaction whose outcome the caller resolves.

        Tries again only after ``StoreUnavailable``, which had no effect;
        raises ``TableConflict`` and ``OutcomeUnknown`` as they come.
        """

        async def call() -> ports.Committed:
            return await self._table.commit(transaction, self.call_timeout_s)

        return await self._retried("commit", call)

    async def commit_resolved(
        self,
        transaction: ports.Transaction,
        marker: ports.RowKey,
        nonce: str,
        final: bool = False,
    ) -> ports.Committed:
        """Carry out a transaction and find out what a lost answer meant.

        Every value written holds ``nonce``. After a lost answer the written
        rows are read back: the nonce in the marker row proves the effect;
        the version that the transaction checks means that it had none yet,
        and it is sent again, which is safe because at most one of the two
        can pass the check. Another writer's marker proves that it had no
        effect only where the marker is never written twice (``final``);
        else ``OutcomeUnknown`` is raised.

        The versions returned are ``CHANGED`` where somebody has written a
        row since. Raises ``TableConflict``, ``doubted`` where the absence of
        an effect was read from rows, ``StoreUnavailable`` when no
        try was sent and ``OutcomeUnknown`` when the deadline came first.
        """
        expected = _checked_version(transaction, marker)
        deadline_s = self._clock() + self.call_timeout_s * DEADLINE_TIMEOUTS
        doubted = False
        while True:
            try:
                return await self.commit(transaction)
            except errors.TableConflict as error:
                if not doubted:
                    raise
                failed: errors.BilberrydealError = error
            except errors.OutcomeUnknown as error:
                doubted = True
                if self._clock() >= deadline_s:
                    raise
                failed = error
            except errors.StoreUnavailable as error:
                if not doubted:
                    raise
                raise errors.OutcomeUnknown(operation="commit") from error
            found = await self._read_back(transaction, marker, nonce)
            if isinstance(found, ports.Committed):
                return found
            if found != expected:
                raise _overwritten(marker, found, final) from failed
            if isinstance(failed, errors.TableConflict):
                # Another check failed, and it does so for every copy.
                failed.doubted = True
                raise failed

    async def _read_back(
        self, transaction: ports.Transaction, marker: ports.RowKey, nonce: str
    ) -> ports.Committed | int:
        """Return what was committed, or the marker's present version."""
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
                _own_version(write, row, own)
                for write, row in zip(
                    transaction.writes, rows[1:], strict=True
                )
            )
        )

    async def _retried(
        self,
        operation: str,
        call: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
    ) -> Result:
        deadline_s = self._clock() + self.call_timeout_s * DEADLINE_TIMEOUTS
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(errors.StoreUnavailable),
            stop=lambda state: (
                self._clock() + state.upcoming_sleep >= deadline_s
            ),
            wait=self._backoff_s,
            sleep=self._sleep,
            reraise=True,
        )
        return await retrying(self._once, operation, call, deadline_s)

    async def _once(
        self,
        operation: str,
        call: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
        deadline_s: float,
    ) -> Result:
        left_s = max(deadline_s - self._clock(), 0.0)
        if not await self._pacer.take(left_s):
            raise errors.StoreUnavailable(operation=operation)
        try:
            async with asyncio.timeout(self.call_timeout_s * 2):
                return await call()
        except TimeoutError as error:
            if operation == "commit":
                raise errors.OutcomeUnknown(operation=operation) from error
            raise errors.StoreUnavailable(operation=operation) from error

    def _backoff_s(self, state: tenacity.RetryCallState) -> float:
        """Return a wait with full jitter, at least what the store asks."""
        bound_s = BACKOFF_FIRST_S * 2 ** min(state.attempt_number, 10)
        jitter_s = self._rng.uniform(0, min(bound_s, BACKOFF_LARGEST_S))
        error = state.outcome.exception() if state.outcome else None
        asked_s = getattr(error, "retry_after_s", None)
        return jitter_s + (asked_s or 0.0)


def _overwritten(
    marker: ports.RowKey, found_version: int, final: bool
) -> errors.BilberrydealError:
    """Return what another writer's marker means."""
    if not final:
        return errors.OutcomeUnknown(operation="commit")
    return errors.TableConflict(
        table=marker.table, key=marker.key, found_version=found_version
    )


def _checked_version(
    transaction: ports.Transaction, marker: ports.RowKey
) -> int:
    for check in transaction.checks:
        if (check.table, check.key) == (marker.table, marker.key):
            return check.version
    raise MarkerUnchecked(marker=f"{marker.table}/{marker.key}")


def _own_version(write: ports.Write, row: ports.Row | None, own: bytes) -> int:
    if write.value is None:
        return 0
    if row is None or own not in row.value:
        return CHANGED
    return row.version
