"""Cancels generations at the engine that this agent does not own."""

import asyncio
import collections.abc

from .. import ports
from .. import telemetry

LOG = telemetry.logger("orphans")

#: Timeout of one call to the engine.
TIMEOUT_S = 2.0


class OrphanCanceller:
    """Periodically cancels running generations unknown to this agent.

    They were left by a crashed predecessor or by a lost cancel. An entry may
    ask to resume one of a predecessor within the resume window, so the first
    check happens only after a full period.

    Example::

        canceller = OrphanCanceller(engine, executor.has_request, 10.0)
        await canceller.run()
    """

    def __init__(
        self,
        engine: ports.Engine,
        has_request: collections.abc.Callable[[str], bool],
        period_s: float,
    ) -> None:
        """``has_request`` returns whether the agent owns a request."""
        self._engine = engine
        self._has_request = has_request
        self._period_s = period_s
        #: Number of generations cancelled.
        self.cancelled = 0

    async def run(self) -> None:
        """Cancel orphans once per period; never returns."""
        while True:
            await asyncio.sleep(self._period_s)
            try:
                await self.cancel_orphans()
            except ports.EngineFailure as error:
                LOG.warning("Engine did not respond.", reason=str(error))

    async def cancel_orphans(self) -> None:
        """Cancel all orphans now; raises ``EngineFailure``."""
        for request_id in await self._engine.running(TIMEOUT_S):
            if not self._has_request(request_id):
                LOG.info("Cancelling orphaned generation.", request=request_id)
                await self._engine.cancel(request_id, TIMEOUT_S)
                self.cancelled += 1
