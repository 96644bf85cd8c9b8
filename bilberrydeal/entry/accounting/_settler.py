"""Settles the usage records that agents deliver."""

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
#: Longest period over which entries resume settling after a store outage.
RECOVERY_SPREAD_MAX_S = 10.0
#: Entries that resume per second, in smaller fleets.
RECOVERIES_PER_S = 41.0
#: Maximum number of lost requests that wait for their agent's record.
MAX_LOST_REQUESTS = 10_000


def window_rule(usage_settings: settings.UsageSettings) -> billing.WindowRule:
    """Return the rule that divides time into usage windows."""
    return billing.WindowRule(usage_settings.window_s, usage_settings.grace_s)


class UsageSettler:
    """Settles usage records and claims whose answers are not stored yet."""

    def __init__(
        self,
        entry: str,
        usage_settings: settings.UsageSettings,
        client: store.StoreClient,
        claim_manager: claims.ClaimManager,
        pool: core.LinkPool,
        wall_clock: collections.abc.Callable[[], float],
        is_agent: collections.abc.Callable[[str], bool],
        count_entries: collections.abc.Callable[[], int],
        clock: collections.abc.Callable[[], float],
        on_recorder_closed: collections.abc.Callable[[], None],
    ) -> None:
        """Register as the pool's receiver of usage records.

        ``is_agent`` tells whether an endpoint is a member, ``count_entries``
        returns the number of entries; ``on_recorder_closed`` is called when
        another entry has closed the recorder.
        """
        self._settle_s = usage_settings.settle_s
        self._count_entries = count_entries
        self._clock = clock
        self._next_round_s = -math.inf
        #: Whether the last settlement failed or none was tried yet.
        self._disconnected = True
        self._recorder = billing.Recorder(
            client, entry, window_rule(usage_settings)
        )
        self._claim_manager = claim_manager
        self._pool = pool
        self._wall_clock = wall_clock
        self._is_agent = is_agent
        self._on_recorder_closed = on_recorder_closed
        self._lost_requests: list[core.LostRequest] = []
        self._unbilled = _unbilled.UnbilledAnswers()
        self._open = False
        pool.on_usage = self._receive_records

    @property
    def waiting(self) -> int:
        """Number of records that wait to be settled."""
        return self._recorder.waiting

    def _receive_records(
        self, agent_link: link.AgentLink, message: link.UsageRecords
    ) -> None:
        for record in message.records:
            if record.number.entry == self._recorder.name:
                self._unbilled.recorded(record.number)
        self._recorder.enqueue(message)

    def on_request_lost(self, lost: core.LostRequest) -> None:
        """Bill the tokens that a caller received from a lost agent.

        An agent that is only disconnected has the exact figures and delivers
        them later, so billing waits until its endpoint is no longer a member.
        """
        if lost.organisation and len(self._lost_requests) < MAX_LOST_REQUESTS:
            self._lost_requests.append(lost)

    def on_request_answered(self, answer: core.AnsweredRequest) -> None:
        """Bill an answer if its agent dies before delivering the record.

        If the record arrives after all, the recorder drops it.
        """
        self._unbilled.answered(answer)

    def _bill_lost_answers(self) -> None:
        """Bill answers whose records were lost with their agents."""
        for lost in self._unbilled.pop_lost(self._agent_gone, self._clock()):
            self._recorder.self_bill(
                lost.number,
                lost.organisation,
                lost.figures,
                self._wall_clock(),
            )

    def _agent_gone(self, answer: core.AnsweredRequest) -> bool:
        """Return whether the agent of an answer is permanently gone."""
        present = self._pool.get(answer.endpoint_id)
        if present is not None and present.agent:
            return present.agent != answer.agent
        return not self._is_agent(answer.endpoint_id)

    def _bill_lost_requests(self) -> None:
        """Bill lost requests that no agent will bill.

        Only the agent knows the prompt tokens, so they are not billed: a
        figure that may be wrong is worse than a missing one.
        """
        lost_requests, self._lost_requests = self._lost_requests, []
        for lost in lost_requests:
            if not lost.agent_replaced and self._is_agent(lost.endpoint_id):
                self._lost_requests.append(lost)
                continue
            figures = ports.OrganisationFigures(
                output_tokens=lost.tokens, calls=1
            )
            self._recorder.self_bill(
                lost.number, lost.organisation, figures, self._wall_clock()
            )

    async def run_round(self) -> None:
        """Settle waiting records, less often in a large fleet."""
        now_s = self._clock()
        if now_s < self._next_round_s:
            return
        entry_count = max(1, self._count_entries())
        self._next_round_s = now_s + billing.settle_period_s(
            self._settle_s, entry_count
        )
        if self._disconnected:
            await asyncio.sleep(_recovery_wait_s(entry_count, now_s))
        self._disconnected = True
        await self._settle()
        self._disconnected = False

    async def _settle(self) -> None:
        try:
            if not self._open:
                await self._recorder.open(self._wall_clock())
                self._open = True
            self._bill_lost_requests()
            self._bill_lost_answers()
            settled = await self._recorder.settle(self._wall_clock())
        except billing.RecorderClosed:
            LOG.error("Usage recorder closed by another entry.")
            self._on_recorder_closed()
            return
        for acknowledged in settled:
            self._acknowledge(acknowledged)
        await self._claim_manager.flush_pending(self._wall_clock())

    def _acknowledge(self, acknowledged: billing.Acknowledged) -> None:
        for agent_link in self._pool:
            if agent_link.agent == acknowledged.agent:
                agent_link.acknowledge_usage(acknowledged.message.records)

    async def close(self) -> None:
        """Settle waiting records once more and close the recorder."""
        if not self._open:
            return
        try:
            await self._settle()
            await self._recorder.close(self._wall_clock())
        except errors.BilberrydealError as error:
            LOG.warning("Usage recorder not closed.", error=str(error))


def _recovery_wait_s(entry_count: int, now_s: float) -> float:
    """Return the delay of the first settlement after a store outage.

    All entries reconnect to the store at once, and usage must not delay what
    callers wait for.
    """
    spread_s = min(RECOVERY_SPREAD_MAX_S, entry_count / RECOVERIES_PER_S)
    rules = pacing.PacingRules(deferrable_spread_s=spread_s)
    pacer = pacing.RecoveryPacer(
        rules, entry_count, random.SystemRandom().getrandbits(32), now_s
    )
    return pacer.wait_s(pacing.RecoveryWork.DEFERRABLE, now_s)


def entry_gone_predicate(
    directory: membership.MemberDirectory,
) -> collections.abc.Callable[[str], bool]:
    """Return a test of whether a recorder's entry is no longer a member."""
    return lambda name: (
        name not in {member.incarnation for member in directory.entries()}
    )
