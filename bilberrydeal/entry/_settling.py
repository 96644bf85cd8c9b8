"""Settles the usage that agents hand over."""

import collections.abc

from .. import billing
from .. import claims
from .. import errors
from .. import link
from .. import membership
from .. import ports
from .. import settings
from .. import store
from .. import telemetry
from . import _pool

LOG = telemetry.logger("settling")


def window_rule(chosen: settings.UsageSettings) -> billing.WindowRule:
    """Return how settings cut time into windows."""
    return billing.WindowRule(chosen.window_s, chosen.grace_s)


class Settling:
    """Keeps this entry's recorder and the endings of its claims."""

    def __init__(
        self,
        entry: str,
        chosen: settings.UsageSettings,
        client: store.StoreClient,
        rows: claims.Claims,
        pool: _pool.LinkPool,
        wall: collections.abc.Callable[[], float],
        lost: collections.abc.Callable[[], None],
    ) -> None:
        """``lost`` is called once another entry has closed the recorder."""
        self._recorder = billing.Recorder(client, entry, window_rule(chosen))
        self._rows = rows
        self._pool = pool
        self._wall = wall
        self._lost = lost
        self._open = False
        pool.on_usage = self._take

    def _take(
        self, agent_link: link.AgentLink, message: link.UsageRecords
    ) -> None:
        self._recorder.take(message)

    def bill_lost(
        self, number: link.RequestNumber, organisation: str, tokens: int
    ) -> None:
        """Bill the tokens that a caller got from an agent that is gone.

        What the prompt took is known to the agent only, so it is not
        billed: a figure that may be wrong is worse than a missing one.
        """
        if organisation:
            figures = ports.OrganisationFigures(output_tokens=tokens, calls=1)
            self._recorder.self_bill(
                number, organisation, figures, self._wall()
            )

    async def round(self) -> None:
        """Settle what waits."""
        try:
            if not self._open:
                await self._recorder.open(self._wall())
                self._open = True
            settled = await self._recorder.settle(self._wall())
        except billing.RecorderClosed:
            LOG.error("The recorder was closed by another entry.")
            self._lost()
            return
        for acknowledged in settled:
            self._acknowledge(acknowledged)
        await self._rows.settle(self._wall())

    def _acknowledge(self, acknowledged: billing.Acknowledged) -> None:
        for agent_link in self._pool:
            if agent_link.agent == acknowledged.agent:
                agent_link.settled(acknowledged.message.records)

    async def close(self) -> None:
        """Settle what waits for the last time and close the recorder."""
        if not self._open:
            return
        try:
            await self.round()
            await self._recorder.close(self._wall())
        except errors.BilberrydealError as error:
            LOG.warning("Recorder was not closed.", error=str(error))


def gone_test(
    directory: membership.MemberDirectory,
) -> collections.abc.Callable[[str], bool]:
    """Return a test of whether the entry of a recorder is no member."""
    return lambda name: (
        name not in {member.incarnation for member in directory.entries()}
    )
