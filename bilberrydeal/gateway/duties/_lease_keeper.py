"""Keeps the lease of a gateway's duty, or tries to acquire it."""

import typing

from ... import telemetry

LOG = telemetry.logger("duties")
#: Interval between lease steps of the last holder and of a candidate, in
#: seconds.
HELD_INTERVAL_S = 1.2
CANDIDATE_INTERVAL_S = 2.0
#: Gateways that check the lease often; all others check it rarely.
CANDIDATES = 3
OTHER_INTERVAL_S = 8.0
#: Most checks of all these others together a second.
OTHER_CALLS_PER_S = 4.0


class Lease(typing.Protocol):
    """The lease of a duty."""

    async def tick(self, acquire: bool = True) -> bool:
        """Renew, observe or acquire the lease; return whether it is held."""

    def may_resume(self, now_s: float) -> bool:
        """Return whether this process held the lease last."""


class LeaseKeeper:
    """Renews the lease, and acquires it unless the gateway shuts down.

    A gateway that acquires the lease shortly before its end keeps the duty
    from all others until the lease has expired.
    """

    def __init__(self, lease: Lease, duty: str) -> None:
        self._lease = lease
        self._duty = duty
        self._held = False
        self._shutting_down = False

    def begin_shutdown(self) -> None:
        """Acquire the lease no more; one that is held is still renewed."""
        self._shutting_down = True

    async def run_once(self) -> None:
        """Renew or acquire the lease, and log a change."""
        held = await self._lease.tick(acquire=not self._shutting_down)
        if held != self._held:
            LOG.info(
                "Lease taken." if held else "Lease lost.", duty=self._duty
            )
        self._held = held

    def pause_s(self, now_s: float, position: int, members: int) -> float:
        """Return the pause until the next step.

        ``position`` is that of this gateway in the order of all ``members``.
        """
        if self._lease.may_resume(now_s):
            return HELD_INTERVAL_S
        if position < CANDIDATES:
            return CANDIDATE_INTERVAL_S
        return max(OTHER_INTERVAL_S, members / OTHER_CALLS_PER_S)
