"""Port to a change feed of table rows."""

import collections.abc
import typing

import attrs


@attrs.frozen
class StoreVersion:
    """A version of the store, unique only together with its era.

    A store that comes back from an older copy begins a new era, in which it
    gives out versions again. So versions of two eras have no order.

    Example::

        StoreVersion(7, era=1).newer_than(StoreVersion(6, era=1))  # true
        StoreVersion(7, era=2).newer_than(StoreVersion(6, era=1))  # false
    """

    #: Increases with each transaction of an era.
    number: int
    #: Increases with each restore, ``None`` if the store does not tell it.
    era: int | None = None

    def newer_than(self, other: "StoreVersion") -> bool:
        """Return whether it is newer than another one of the same era."""
        return self.era == other.era and self.number > other.number

    def of_later_era_than(self, other: "StoreVersion") -> bool:
        """Return whether its era began after that of another one."""
        if self.era is None or other.era is None:
            return self.era is not None and other.era is None
        return self.era > other.era


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
class Transfer:
    """How a response of the store arrived."""

    #: Size of its body, in bytes.
    size_bytes: int = 0
    #: Time from its head to its end, in seconds.
    took_s: float = 0.0

    def plus(self, other: "Transfer") -> "Transfer":
        """Return this transfer followed by another one."""
        return Transfer(
            self.size_bytes + other.size_bytes, self.took_s + other.took_s
        )


@attrs.frozen
class Changes:
    """Changed rows in order of their versions."""

    #: Version from which to continue.
    version: StoreVersion
    #: The changed rows.
    rows: tuple[Change, ...]
    #: How they arrived.
    transfer: Transfer = attrs.field(factory=Transfer)


@attrs.frozen
class ClockReading:
    """A remote monotonic clock paired with the local one."""

    #: Remote monotonic clock, in seconds.
    remote_s: float
    #: Local boot-time clock when the reading arrived, in seconds.
    local_s: float


#: Called when rows begin to arrive.
OnRows = collections.abc.Callable[[], None]


class ChangeFeed(typing.Protocol):
    """Reads the changes of tables.

    Calls raise :class:`bilberrydeal.errors.StoreUnavailable`; ``changes``
    raises ``HistoryGone`` if the changes are no longer kept, or if the
    version is of another era, and the caller must read a new snapshot.
    """

    async def snapshot(
        self, table: str, timeout_s: float, on_rows: OnRows | None = None
    ) -> Changes:
        """Return all rows of a table and the version to continue from.

        A response has to begin within ``timeout_s``. ``on_rows`` is as in
        :meth:`changes`.
        """

    async def changes(
        self,
        table: str,
        after: StoreVersion,
        wait_s: float,
        timeout_s: float,
        on_rows: OnRows | None = None,
    ) -> Changes:
        """Return the changes after a version, waiting up to ``wait_s``.

        The response has to begin within ``timeout_s``, which includes that
        wait. ``on_rows`` is called, perhaps repeatedly, when it is clear that
        rows are arriving, which may be long before all have.
        """
