"""Lease status for operators."""

import attrs

from .. import ports
from .. import store
from . import _rows


@attrs.frozen
class LeaseStatus:
    """Stored holder and fencing token of one duty."""

    #: Name of the duty.
    duty: str
    #: Incarnation of the holder, empty if the lease is available.
    holder: str
    #: The latest fencing token.
    fence: int


async def read_leases(
    client: store.StoreClient,
) -> tuple[LeaseStatus, ...]:
    """Return the status of all duties, sorted by name."""
    leases = await client.scan_all(_rows.LEASES, "")
    fences = await client.scan_all(_rows.FENCES, "")
    fence_by_duty = {row.key: _fence(row) for row in fences}
    return tuple(
        LeaseStatus(
            duty=row.key,
            holder=store.decode(row.value, _rows.LeaseRow).holder,
            fence=fence_by_duty.get(row.key, 0),
        )
        for row in leases
    )


def _fence(row: ports.Row) -> int:
    return store.decode(row.value, _rows.FenceRow).fence
