"""What entries tell each other about members.

Only a few entries read each shard of the members table; the others take it
from them, so that reads of the store do not grow with the square of the
fleet. Renewals without news are not handed on: the entry that read a shard
vouches for the rows that it takes to be alive.
"""

import typing

import attrs

#: How old the asker's knowledge of each shard is, in the shards' order and
#: in seconds; ``None`` without any knowledge, 0 where it wants no news.
ShardAges: typing.TypeAlias = tuple[float | None, ...]


@attrs.frozen
class RelayedRow:
    """One row that changed."""

    #: Key of the row.
    key: str
    #: Version of the row, of the last one known for a row that is gone.
    version: int
    #: The content, ``None`` for a row that is gone or expired.
    value: str | None


@attrs.frozen
class RelayedShard:
    """News of one shard."""

    #: Prefix of the shard's keys.
    shard: str
    #: Age of the sender's knowledge when it was sent.
    age_s: float
    #: Whether all rows are here, rather than those that changed.
    whole: bool
    #: The rows.
    rows: tuple[RelayedRow, ...]


@attrs.frozen
class MemberRelay:
    """News of all shards of which the sender knows more."""

    #: The shards.
    shards: tuple[RelayedShard, ...]
