"""Seals and reports usage."""

import collections.abc

from .. import billing
from .. import ports
from .. import store
from .. import telemetry
from . import _duty

LOG = telemetry.logger("usage")
#: Windows sealed or reported in one round, to catch up after an outage.
STEPS_A_ROUND = 10


class UsageDuty:
    """The duty of sealing windows and reporting them."""

    def __init__(
        self,
        client: store.StoreClient,
        usage: ports.UsageInterface,
        rule: billing.WindowRule,
        gone: collections.abc.Callable[[str], bool],
    ) -> None:
        """``gone`` tells whether the entry of a recorder is no member."""
        #: Counts over all rounds of this process.
        self.stats = billing.ReportStats()
        self._client = client
        self._usage = usage
        self._rule = rule
        self._gone = gone

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return "usage"

    async def round(self, work: _duty.Round) -> None:
        """Seal what can be sealed, then report what is sealed."""
        sealer = billing.Sealer(self._client, work.lease, self._rule)
        await self._seal(sealer, work)
        reporter = billing.Reporter(
            self._client, work.lease, self._usage, self._rule, self.stats
        )
        for _ in range(STEPS_A_ROUND):
            if not await reporter.step(self._client.now_s(), work.wall_s):
                return

    async def _seal(self, sealer: billing.Sealer, work: _duty.Round) -> None:
        for _ in range(STEPS_A_ROUND):
            if await sealer.step(self._client.now_s(), work.wall_s):
                continue
            dead = [name for name in sealer.waits_for if self._gone(name)]
            for name in dead:
                LOG.info("Closing a recorder.", recorder=name)
                await billing.close_recorder(self._client, name, work.wall_s)
            if not dead:
                return
