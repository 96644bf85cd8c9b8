"""Interface of duties."""

import typing

import attrs

from .. import leases


@attrs.frozen
class RoundContext:
    """Lease and clock readings of one round of a duty."""

    #: The lease, held when the round started.
    lease: leases.Lease
    #: Monotonic time at the start, in seconds.
    now_s: float
    #: Wall clock time at the start, in seconds since the epoch.
    wall_s: float


class Duty(typing.Protocol):
    """Periodic work under a lease.

    A round may stop at any point because the lease expires or the process
    is paused; the next holder continues from the stored rows.
    """

    @property
    def name(self) -> str:
        """Return the name of the lease."""

    async def run_round(self, context: RoundContext) -> None:
        """Run one round; a ``BilberrydealError`` ends it early."""
