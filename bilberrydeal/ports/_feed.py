"""Port to a feed of changed rows."""

import typing

import attrs


@attrs.frozen
class Change:
    """A row as it is now."""

    #: Key within the table.
    key: str
    #: Version of the row.
    version: int
    #: The content, ``None`` once the row is gone.
    value: bytes | None


@attrs.frozen
class Changes:
    """Changed rows in their order."""

    #: Where the feed goes on.
    version: int
    #: The rows.
    rows: tuple[Change, ...]


@attrs.frozen
class ClockReading:
    """A steady clock elsewhere against one's own."""

    #: The clock elsewhere, in seconds.
    remote_s: float
    #: Own boot-time clock when the reading arrived, in seconds.
    local_s: float


class ChangeFeed(typing.Protocol):
    """Follows tables.

    Calls raise :class:`bilberrydeal.errors.StoreUnavailable`; ``changes``
    raises ``HistoryGone`` where only a new snapshot helps.
    """

    async def snapshot(self, table: str, timeout_s: float) -> Changes:
        """Return all rows of a table and the version to go on from."""

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Changes:
        """Return what changed since a version, after a wait at most."""
