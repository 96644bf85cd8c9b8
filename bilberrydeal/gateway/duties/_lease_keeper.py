"""Keeps the lease of a gateway's duty, or tries to acquire it."""

import typing

from ... import telemetry

LOG = telemetry.logger("duties")


class Lease(typing.Protocol):
    """The lease of a duty."""

    async def tick(self, acquire: bool = True) -> bool:
        """Renew, observe or acquire the lease; return whether it is held."""


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
