"""Port to the platform's transactional table service."""

import typing

import attrs


@attrs.frozen
class RowKey:
    """Primary key of one row."""

    #: Name of the table.
    table: str
    #: Key within the table; scans return rows in byte order of keys.
    key: str


@attrs.frozen
class Row:
    """One row with its version at the time of the read."""

    #: Name of the table.
    table: str
    #: Key within the table.
    key: str
    #: Increases with each write of the row; never 0.
    version: int
    #: Content of the row, encoded as JSON.
    value: bytes


@attrs.frozen
class Check:
    """Requires a row to have a version, 0 for an absent row."""

    #: Name of the table.
    table: str
    #: Key within the table.
    key: str
    #: Required version.
    version: int


@attrs.frozen
class Write:
    """Sets a row, or deletes it if ``value`` is ``None``."""

    #: Name of the table.
    table: str
    #: Key within the table.
    key: str
    #: New content of the row.
    value: bytes | None


@attrs.frozen
class Transaction:
    """Writes that are applied atomically if all checks hold."""

    #: Preconditions.
    checks: tuple[Check, ...]
    #: Writes to apply.
    writes: tuple[Write, ...]
    #: Era in which the versions of the checks were read, if the store tells
    #: it: in another era they belong to other writes.
    era: int | None = None


@attrs.frozen
class Committed:
    """Result of a committed transaction."""

    #: New row versions in the order of the writes, 0 for a deletion.
    versions: tuple[int, ...]


class TableService(typing.Protocol):
    """Transactional access to table rows.

    All calls raise :class:`bilberrydeal.errors.StoreUnavailable` if they
    certainly had no effect. ``commit`` raises ``TableConflict`` if a check
    failed and ``OutcomeUnknown`` if its response was lost or is of another
    era than the transaction; reads raise ``StoreUnavailable`` if the response
    was lost.
    """

    async def read(
        self, keys: tuple[RowKey, ...], timeout_s: float
    ) -> tuple[Row | None, ...]:
        """Return the rows in the order of ``keys``, read in one snapshot."""

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[Row, ...]:
        """Return rows whose key starts with ``prefix`` and follows ``after``.

        At most ``limit`` rows are returned, in key order. An empty ``after``
        starts at the first row.
        """

    async def commit(
        self, transaction: Transaction, timeout_s: float
    ) -> Committed:
        """Commit a transaction."""
