"""Seals usage windows and reports them."""

import collections.abc

from .. import billing
from .. import ports
from .. import store
from .. import telemetry
from . import _duty

LOG = telemetry.logger("usage")
#: Maximum windows sealed or reported per round; more than one, to catch up
#: after an outage.
STEPS_PER_ROUND = 10


class UsageDuty:
    """Seals usage windows and reports them to the platform."""

    def __init__(
        self,
        client: store.StoreClient,
        usage: ports.UsageInterface,
        rule: billing.WindowRule,
        has_left: collections.abc.Callable[[str], bool],
    ) -> None:
        """``has_left`` returns whether the entry of a recorder has left."""
        #: Report counters, cumulative over all rounds.
        self.stats = billing.ReportStats()
        self._client = client
        self._usage = usage
        self._rule = rule
        self._has_left = has_left

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return "usage"

    async def run_round(self, context: _duty.RoundContext) -> None:
        """Seal the windows that are ready, then report sealed windows."""
        sealer = billing.Sealer(self._client, context.lease, self._rule)
        await self._seal_windows(sealer, context)
        reporter = billing.Reporter(
            self._client, context.lease, self._usage, self._rule, self.stats
        )
        for _ in range(STEPS_PER_ROUND):
            if not await reporter.step(self._client.now_s(), context.wall_s):
                return

    async def _seal_windows(
        self, sealer: billing.Sealer, context: _duty.RoundContext
    ) -> None:
        for _ in range(STEPS_PER_ROUND):
            if await sealer.step(self._client.now_s(), context.wall_s):
                continue
            departed = [
                name
                for name in sealer.lagging_recorders
                if self._has_left(name)
            ]
            for name in departed:
                LOG.info(
                    "Closing the recorder of a departed entry.", recorder=name
                )
                await billing.close_recorder(
                    self._client, name, context.wall_s
                )
            if not departed:
                return
