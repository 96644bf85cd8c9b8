"""Port to a change feed of table rows."""

import typing

import attrs


@attrs.frozen
class Change:
    """Current state of a changed row."""

    #: Key within the table.
    key: str
    #: Version of the row.
    version: int
    #: Content of the row, ``None`` if it was deleted.
    value: bytes | None


@attrs.frozen
class Changes:
    """Changed rows in order of their versions."""

    #: Version from which to continue.
    version: int
    #: The changed rows.
    rows: tuple[Change, ...]


@attrs.frozen
class ClockReading:
    """A remote monotonic clock paired with the local one."""

    #: Remote monotonic clock, in seconds.
    remote_s: float
    #: Local boot-time clock when the reading arrived, in seconds.
    local_s: float


class ChangeFeed(typing.Protocol):
    """Reads the changes of tables.

    Calls raise :class:`bilberrydeal.errors.StoreUnavailable`; ``changes``
    raises ``HistoryGone`` if the changes are no longer kept and the caller
    must read a new snapshot.
    """

    async def snapshot(self, table: str, timeout_s: float) -> Changes:
        """Return all rows of a table and the version to continue from."""

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Changes:
        """Return the changes after a version, waiting up to ``wait_s``."""
