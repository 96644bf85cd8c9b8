"""Removes the rows of revisions that no entry needs any more."""

from .. import ports
from .. import store
from .. import telemetry
from . import _configuration
from . import _store

LOG = telemetry.logger("configuration")

#: Revisions before the newest snapshot whose rows are kept; at least as many
#: as a follower reads singly before it takes a snapshot instead.
KEPT_REVISIONS = 200
#: Rows removed in one round.
ROWS_A_ROUND = 100


async def sweep(client: store.StoreClient, objects: ports.ObjectStore) -> int:
    """Remove some rows of old revisions; return how many.

    The floor moves in the same transaction, so that whoever misses a row
    finds the floor at or above it. Any number of processes may sweep at
    once. Raises typed errors of the stores; the next round goes on.
    """
    newest, floor = await client.read([_store.SNAPSHOT, _store.FLOOR])
    removed = _store.head_revision(floor)
    snapshot = _store.head_revision(newest)
    last = min(snapshot - KEPT_REVISIONS, removed + ROWS_A_ROUND)
    if last <= removed:
        return 0
    if not await _lies_whole(client, objects, snapshot):
        LOG.error("A snapshot is missing; no rows go.", revision=snapshot)
        return 0
    gone = [_store.revision_key(n) for n in range(removed + 1, last + 1)]
    moved = _store.Floor(last, client.nonce())
    place = _store.FLOOR
    version = floor.version if floor else 0
    await client.commit(
        ports.Transaction(
            checks=(ports.Check(place.table, place.key, version),),
            writes=(
                ports.Write(place.table, place.key, store.encode(moved)),
                *(ports.Write(key.table, key.key, None) for key in gone),
            ),
        )
    )
    return len(gone)


async def _lies_whole(
    client: store.StoreClient, objects: ports.ObjectStore, revision: int
) -> bool:
    """Return whether an entry could start from a snapshot."""
    data = await objects.get(
        _store.snapshot_name(revision), client.call_timeout_s
    )
    if data is None:
        return False
    loaded = store.decode(data, _configuration.Configuration)
    return loaded.revision == revision
