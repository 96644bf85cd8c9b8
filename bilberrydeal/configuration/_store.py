"""Where revisions live in the table service and the object store."""

import attrs

from .. import ports
from .. import store
from . import _changes
from . import _codec

#: Names the newest revision.
HEAD = ports.RowKey(table="config", key="head")
#: Names the newest snapshot.
SNAPSHOT = ports.RowKey(table="config", key="snapshot")
#: Names the newest revision whose row was removed, with all before it.
FLOOR = ports.RowKey(table="config", key="floor")
#: Holds one row a revision.
REVISIONS = "config_revisions"


@attrs.frozen
class Head:
    """The newest revision."""

    #: Its number.
    revision: int
    #: Marks the write that set it.
    nonce: str


@attrs.frozen
class Snapshot:
    """The newest revision that lies whole in the object store."""

    #: Its number.
    revision: int
    #: Marks the write that set it.
    nonce: str


@attrs.frozen
class Floor:
    """Up to which revision no rows are kept."""

    #: The newest revision whose row was removed.
    revision: int
    #: Marks the write that set it.
    nonce: str


@attrs.frozen
class Revision:
    """One change with its number."""

    #: Number, from 1 without gaps.
    revision: int
    #: The change.
    change: _codec.Envelope
    #: Marks the write that set it.
    nonce: str
    #: Who made it.
    author: str = ""
    #: When it was made, seconds since the epoch.
    committed_at_s: float = 0.0

    def opened(self) -> _changes.Change:
        """Return the change."""
        return _codec.opened(self.change)


def revision_key(revision: int) -> ports.RowKey:
    """Return where a revision lies."""
    return ports.RowKey(table=REVISIONS, key=f"{revision:012d}")


def snapshot_name(revision: int) -> str:
    """Return the name of a snapshot in the object store."""
    return f"config-snapshots/{revision:012d}"


def head_revision(row: ports.Row | None) -> int:
    """Return the number in a head, snapshot or floor row, 0 without one."""
    return store.decode(row.value, Head).revision if row else 0
