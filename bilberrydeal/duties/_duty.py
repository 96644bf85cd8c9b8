"""What a duty is."""

import typing

import attrs

from .. import leases


@attrs.frozen
class Round:
    """What a duty has for one round of its work."""

    #: The lease, held when the round began.
    lease: leases.Lease
    #: Monotonic time.
    now_s: float
    #: Time since the epoch.
    wall_s: float


class Duty(typing.Protocol):
    """Work under a lease, a round at a time.

    A round may be ended at any point, when the lease runs out or the
    process is paused; the next holder goes on from the rows.
    """

    @property
    def name(self) -> str:
        """Return the name of the lease."""

    async def round(self, work: Round) -> None:
        """Do one round; typed errors end it."""
