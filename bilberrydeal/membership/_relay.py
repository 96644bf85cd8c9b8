"""Messages by which entries exchange updates of the members table.

Only a few entries read each shard of the table; the others receive it from
them, so that store reads do not grow with the square of the fleet. Mere
renewals are not relayed: an update from the entry that read a shard also
confirms that the rows it does not list are alive.
"""

import typing

import attrs

#: Age of each shard at the requester in seconds, in the order of the shards;
#: ``None`` if it has no data, 0 to request no update.
ShardAges: typing.TypeAlias = tuple[float | None, ...]


@attrs.frozen
class RelayedRow:
    """One row that changed."""

    #: Key of the row.
    key: str
    #: Version of the row; the last known version if it was removed.
    version: int
    #: Content of the row, ``None`` if it was removed or has expired.
    value: str | None


@attrs.frozen
class RelayedShard:
    """Update of one shard."""

    #: Prefix of the shard's keys.
    shard: str
    #: Age of the sender's data when it was sent, in seconds.
    age_s: float
    #: Whether all rows are included rather than only changed ones.
    whole: bool
    #: The rows.
    rows: tuple[RelayedRow, ...]


@attrs.frozen
class MemberRelay:
    """Updates of all shards for which the sender has newer data."""

    #: The shards.
    shards: tuple[RelayedShard, ...]
