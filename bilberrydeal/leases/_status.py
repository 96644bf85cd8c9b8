"""Leases as operators see them."""

import attrs

from .. import ports
from .. import store
from . import _rows


@attrs.frozen
class LeaseStatus:
    """One duty as the table has it."""

    #: The duty.
    duty: str
    #: Incarnation of the holder, empty for a duty that is free.
    holder: str
    #: The newest fencing number.
    fence: int


async def read_leases(
    client: store.StoreClient,
) -> tuple[LeaseStatus, ...]:
    """Return all duties, by name."""
    leases = await client.scan_all(_rows.LEASES, "")
    fences = await client.scan_all(_rows.FENCES, "")
    numbers = {row.key: _fence(row) for row in fences}
    return tuple(
        LeaseStatus(
            duty=row.key,
            holder=store.decode(row.value, _rows.LeaseRow).holder,
            fence=numbers.get(row.key, 0),
        )
        for row in leases
    )


def _fence(row: ports.Row) -> int:
    return store.decode(row.value, _rows.FenceRow).fence
