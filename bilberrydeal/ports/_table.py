"""Port to the platform's transactional table service."""

import typing

import attrs


@attrs.frozen
class RowKey:
    """Names one row."""

    #: Name of the table.
    table: str
    #: Key within the table; scans return keys in byte order.
    key: str


@attrs.frozen
class Row:
    """One row as it was read."""

    #: Name of the table.
    table: str
    #: Key within the table.
    key: str
    #: Grows with each write of the row; never 0.
    version: int
    #: The content, JSON in this product.
    value: bytes


@attrs.frozen
class Check:
    """Requires a row to have a version, 0 for a row that is absent."""

    #: Name of the table.
    table: str
    #: Key within the table.
    key: str
    #: The version that the row must have.
    version: int


@attrs.frozen
class Write:
    """Sets a row, or deletes it where ``value`` is ``None``."""

    #: Name of the table.
    table: str
    #: Key within the table.
    key: str
    #: The new content.
    value: bytes | None


@attrs.frozen
class Transaction:
    """Writes that all happen if all checks hold, else none does."""

    #: What must hold.
    checks: tuple[Check, ...]
    #: What is written.
    writes: tuple[Write, ...]


@attrs.frozen
class Committed:
    """The answer to a transaction that was carried out."""

    #: New versions in the order of the writes, 0 for a deletion.
    versions: tuple[int, ...]


class TableService(typing.Protocol):
    """Transactional rows.

    All calls raise :class:`bilberrydeal.errors.StoreUnavailable` when they
    certainly had no effect. ``commit`` raises ``TableConflict`` when a check
    failed and ``OutcomeUnknown`` when its answer was lost; reads raise
    ``StoreUnavailable`` in that case too.
    """

    async def read(
        self, keys: tuple[RowKey, ...], timeout_s: float
    ) -> tuple[Row | None, ...]:
        """Return the rows in the order of ``keys``, one snapshot."""

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[Row, ...]:
        """Return rows whose key starts with ``prefix``, past ``after``.

        Rows come in key order, ``limit`` at most; an empty ``after`` starts
        at the first.
        """

    async def commit(
        self, transaction: Transaction, timeout_s: float
    ) -> Committed:
        """Carry out a transaction."""
