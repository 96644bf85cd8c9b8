"""Ends generations at the engine that no entry waits for."""

import asyncio
import collections.abc

from .. import ports
from .. import telemetry

LOG = telemetry.logger("orphans")

#: Longest wait for an answer of the engine.
TIMEOUT_S = 2.0


class OrphanSweep:
    """Looks at times for generations that run but are not this agent's.

    They are what a dead predecessor left, or what a lost cancel did not end.
    An entry may ask for one of the former within the resume window, so the
    first look comes when that is over.

    Example::

        sweep = OrphanSweep(engine, executor.holds, period_s=10.0)
        await sweep.run()
    """

    def __init__(
        self,
        engine: ports.Engine,
        holds: collections.abc.Callable[[str], bool],
        period_s: float,
    ) -> None:
        """``holds`` tells whether the agent has a request."""
        self._engine = engine
        self._holds = holds
        self._period_s = period_s
        #: Generations that were ended.
        self.ended = 0

    async def run(self) -> None:
        """Look once a period; never ends."""
        while True:
            await asyncio.sleep(self._period_s)
            try:
                await self.look()
            except ports.EngineFailure as error:
                LOG.warning("Engine gave no answer.", reason=str(error))

    async def look(self) -> None:
        """End what the agent does not have; raises ``EngineFailure``."""
        for request_id in await self._engine.running(TIMEOUT_S):
            if not self._holds(request_id):
                LOG.info("Ending an orphan.", request=request_id)
                await self._engine.cancel(request_id, TIMEOUT_S)
                self.ended += 1
