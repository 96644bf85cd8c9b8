"""Removes the rows of revisions that no entry needs any longer."""

from .. import ports
from .. import store
from .. import telemetry
from . import _configuration
from . import _store

LOG = telemetry.logger("configuration")

#: Number of revisions before the newest snapshot whose rows are kept. It must
#: not be less than the number that a follower reads before it prefers a
#: snapshot.
RETAINED_REVISIONS = 200
#: Maximum number of rows removed per call.
ROWS_PER_ROUND = 100


async def sweep(client: store.StoreClient, objects: ports.ObjectStore) -> int:
    """Remove some rows of old revisions; return how many.

    The floor row is updated in the same transaction, so that a reader that
    misses a row finds the floor at or above it. Any number of processes may
    sweep concurrently. Raises the errors of the stores; the next call
    continues.
    """
    newest, floor = await client.read([_store.SNAPSHOT, _store.FLOOR])
    floor_revision = _store.stored_revision(floor)
    snapshot = _store.stored_revision(newest)
    last = min(snapshot - RETAINED_REVISIONS, floor_revision + ROWS_PER_ROUND)
    if last <= floor_revision:
        return 0
    if not await _is_snapshot_usable(client, objects, snapshot):
        LOG.error(
            "Snapshot is missing; old revisions were not removed.",
            revision=snapshot,
        )
        return 0
    removed_keys = [
        _store.revision_key(n) for n in range(floor_revision + 1, last + 1)
    ]
    new_floor = _store.Floor(last, client.nonce())
    place = _store.FLOOR
    version = floor.version if floor else 0
    await client.commit(
        ports.Transaction(
            checks=(ports.Check(place.table, place.key, version),),
            writes=(
                ports.Write(place.table, place.key, store.encode(new_floor)),
                *(
                    ports.Write(key.table, key.key, None)
                    for key in removed_keys
                ),
            ),
        )
    )
    return len(removed_keys)


async def _is_snapshot_usable(
    client: store.StoreClient, objects: ports.ObjectStore, revision: int
) -> bool:
    """Return whether an entry could load a snapshot."""
    data = await objects.get(
        _store.snapshot_name(revision), client.call_timeout_s
    )
    if data is None:
        return False
    loaded = store.decode(data, _configuration.Configuration)
    return loaded.revision == revision
