"""Table rows and objects in which the configuration is stored."""

import attrs

from .. import ports
from .. import store
from . import _changes
from . import _codec

#: Row with the number of the newest revision.
HEAD = ports.RowKey(table="config", key="head")
#: Row with the revision of the newest snapshot.
SNAPSHOT = ports.RowKey(table="config", key="snapshot")
#: Row with the newest removed revision; all earlier ones are removed too.
FLOOR = ports.RowKey(table="config", key="floor")
#: Table with one row per revision.
REVISIONS = "config_revisions"


@attrs.frozen
class Head:
    """The newest revision."""

    #: Revision number.
    revision: int
    #: Identifies the write that set the row.
    nonce: str


@attrs.frozen
class Snapshot:
    """The newest snapshot in the object store."""

    #: Revision number.
    revision: int
    #: Identifies the write that set the row.
    nonce: str


@attrs.frozen
class Floor:
    """The revision up to which all rows have been removed."""

    #: Newest removed revision.
    revision: int
    #: Identifies the write that set the row.
    nonce: str


@attrs.frozen
class Revision:
    """A committed change."""

    #: Revision number, consecutive from 1.
    revision: int
    #: The change.
    change: _codec.Envelope
    #: Identifies the write that set the row.
    nonce: str
    #: Operator who made the change.
    author: str = ""
    #: Commit time, in seconds since the epoch.
    committed_at_s: float = 0.0

    def unwrap(self) -> _changes.Change:
        """Return the change."""
        return _codec.unwrap(self.change)


def revision_key(revision: int) -> ports.RowKey:
    """Return the key of a revision's row."""
    return ports.RowKey(table=REVISIONS, key=f"{revision:012d}")


def snapshot_name(revision: int) -> str:
    """Return the name of a snapshot in the object store."""
    return f"config-snapshots/{revision:012d}"


def stored_revision(row: ports.Row | None) -> int:
    """Return the revision in a head, snapshot or floor row, or 0."""
    return store.decode(row.value, Head).revision if row else 0
