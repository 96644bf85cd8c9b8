"""Settles the usage that agents hand over."""

import asyncio
import collections.abc
import math
import random

from ... import billing
from ... import claims
from ... import errors
from ... import link
from ... import membership
from ... import ports
from ... import settings
from ... import store
from ... import telemetry
from ...systems import pacing
from .. import core
from . import _unbilled

LOG = telemetry.logger("settling")
#: Longest time over which entries begin to settle after a cut.
RECOVERY_SPREAD_S = 10.0
#: Entries that begin in a second, in smaller fleets.
RECOVERIES_PER_S = 41.0
#: Requests that wait for their agent's own record, at most.
DOUBTFUL_LIMIT = 10_000


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
        pool: core.LinkPool,
        wall: collections.abc.Callable[[], float],
        is_agent: collections.abc.Callable[[str], bool],
        entries: collections.abc.Callable[[], int],
        clock: collections.abc.Callable[[], float],
        lost: collections.abc.Callable[[], None],
    ) -> None:
        """Take what is needed.

        ``is_agent`` tells whether an endpoint is a member, ``entries`` how
        many entries there are; ``lost`` is called once another entry has
        closed the recorder.
        """
        self._settle_s = chosen.settle_s
        self._entries = entries
        self._clock = clock
        self._due_s = -math.inf
        #: Whether the store could not be reached, or was not tried yet.
        self._cut = True
        self._recorder = billing.Recorder(client, entry, window_rule(chosen))
        self._rows = rows
        self._pool = pool
        self._wall = wall
        self._is_agent = is_agent
        self._lost = lost
        self._doubtful: list[core.LostRequest] = []
        self._unbilled = _unbilled.Unbilled()
        self._open = False
        pool.on_usage = self._take

    @property
    def waiting(self) -> int:
        """Records that wait to be settled."""
        return self._recorder.waiting

    def _take(
        self, agent_link: link.AgentLink, message: link.UsageRecords
    ) -> None:
        for record in message.records:
            if record.number.entry == self._recorder.name:
                self._unbilled.recorded(record.number)
        self._recorder.take(message)

    def on_request_lost(self, lost: core.LostRequest) -> None:
        """Bill the tokens that a caller got from an agent that is gone.

        An agent that is only cut off has the true figures and hands them
        over later, so the bill waits until its endpoint is no member.
        """
        if lost.organisation and len(self._doubtful) < DOUBTFUL_LIMIT:
            self._doubtful.append(lost)

    def on_request_answered(self, answer: core.AnsweredRequest) -> None:
        """Bill an answer if its agent dies before it hands the record over.

        Should the record come all the same, the recorder drops it.
        """
        self._unbilled.answered(answer)

    def _bill_answers(self) -> None:
        """Bill answers whose agents took their records along."""
        for lost in self._unbilled.lost(self._replaced, self._clock()):
            self._recorder.self_bill(
                lost.number, lost.organisation, lost.figures, self._wall()
            )

    def _replaced(self, answer: core.AnsweredRequest) -> bool:
        """Return whether the agent of an answer is gone for good."""
        present = self._pool.get(answer.endpoint_id)
        if present is not None and present.agent:
            return present.agent != answer.agent
        return not self._is_agent(answer.endpoint_id)

    def _bill_doubtful(self) -> None:
        """Bill what no agent will.

        What the prompt took is known to the agent only, so it is not
        billed: a figure that may be wrong is worse than a missing one.
        """
        waiting, self._doubtful = self._doubtful, []
        for lost in waiting:
            if not lost.agent_replaced and self._is_agent(lost.endpoint_id):
                self._doubtful.append(lost)
                continue
            figures = ports.OrganisationFigures(
                output_tokens=lost.tokens, calls=1
            )
            self._recorder.self_bill(
                lost.number, lost.organisation, figures, self._wall()
            )

    async def round(self) -> None:
        """Settle what waits, seldomer in a large fleet."""
        now_s = self._clock()
        if now_s < self._due_s:
            return
        entries = max(1, self._entries())
        self._due_s = now_s + billing.settle_period_s(self._settle_s, entries)
        if self._cut:
            await asyncio.sleep(_recovery_wait_s(entries, now_s))
        self._cut = True
        await self._settle()
        self._cut = False

    async def _settle(self) -> None:
        try:
            if not self._open:
                await self._recorder.open(self._wall())
                self._open = True
            self._bill_doubtful()
            self._bill_answers()
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
            await self._settle()
            await self._recorder.close(self._wall())
        except errors.BilberrydealError as error:
            LOG.warning("Recorder was not closed.", error=str(error))


def _recovery_wait_s(entries: int, now_s: float) -> float:
    """Return how long to wait before the first settlement after a cut.

    All entries find the store again at once; usage can wait for what callers
    wait for.
    """
    spread_s = min(RECOVERY_SPREAD_S, entries / RECOVERIES_PER_S)
    rules = pacing.PacingRules(adopt_spread_s=spread_s)
    pacer = pacing.RecoveryPacer(
        rules, entries, random.SystemRandom().getrandbits(32), now_s
    )
    return pacer.wait_s(pacing.Work.ADOPT, now_s)


def gone_test(
    directory: membership.MemberDirectory,
) -> collections.abc.Callable[[str], bool]:
    """Return a test of whether the entry of a recorder is no member."""
    return lambda name: (
        name not in {member.incarnation for member in directory.entries()}
    )
