"""Maintains the agent's row in the members table."""

import asyncio
import time

import attrs

from .. import errors
from .. import membership
from .. import settings
from .. import store
from .. import telemetry
from . import _agent

LOG = telemetry.logger("presence")

#: Interval at which the row is checked for changes.
CHECK_INTERVAL_S = 0.25
#: Additional delay after a failure.
RETRY_DELAY_S = 1.0


class AgentRegistration:
    """Writes the row on start, on changes, on shutdown and periodically.

    The row contains the agent's address and what it serves. Entries with a
    link receive changes over the link first; the row serves those without.
    """

    def __init__(
        self,
        agent: _agent.Agent,
        agent_settings: settings.AgentSettings,
        client: store.StoreClient,
    ) -> None:
        self._agent = agent
        self._client = client
        self._member = membership.AgentMember(
            endpoint_id=agent_settings.endpoint_id,
            incarnation=agent.name,
            host_id=agent_settings.host_id,
            address=agent_settings.advertise_address,
            control_port=agent_settings.control_port,
            failure_domain=agent_settings.failure_domain,
            service=agent_settings.service,
            region=agent_settings.region,
        )
        self._registration: membership.Registration | None = None
        self._leaving = False
        self._written_at_s = 0.0
        self._write_lock = asyncio.Lock()

    async def run(self) -> None:
        """Keep the row up to date; never returns."""
        while True:
            try:
                await self._synchronise()
            except membership.RowTaken:
                # The instance lock excludes another running agent of this
                # endpoint: the row is a late write of a predecessor, or it
                # was swept.
                LOG.warning("Member row overwritten or removed.")
                self._registration = None
            except errors.BilberrydealError as error:
                LOG.warning("Member row not written.", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def mark_leaving(self) -> None:
        """Mark the row as leaving if the store is available."""
        self._leaving = True
        try:
            await self._synchronise()
        except errors.BilberrydealError as error:
            LOG.warning("Member row not marked as leaving.", reason=str(error))

    async def remove(self) -> None:
        """Remove the row if the store is available."""
        if self._registration is None:
            return
        try:
            await self._registration.remove()
        except errors.BilberrydealError as error:
            LOG.warning("Member row not removed.", reason=str(error))

    async def _synchronise(self) -> None:
        async with self._write_lock:
            await self._write_if_due()

    async def _write_if_due(self) -> None:
        member = self._current_member()
        if self._registration is None:
            registration = membership.Registration(self._client, member)
            await registration.join(time.time())
            self._registration = registration
        elif self._needs_write(member):
            await self._registration.renew(
                time.time(),
                service=member.service,
                role=member.role,
                order_version=member.order_version,
                state=member.state,
            )
        else:
            return
        self._member = member
        self._written_at_s = self._client.now_s()

    def _current_member(self) -> membership.AgentMember:
        """Return the current content of the row."""
        state = membership.MemberState.LIVE
        if self._leaving:
            state = membership.MemberState.LEAVING
        reconciler = self._agent.reconciler
        return attrs.evolve(
            self._member,
            service=self._agent.service,
            role=self._agent.role,
            order_version=reconciler.order_version if reconciler else 0,
            state=state,
        )

    def _needs_write(self, member: membership.AgentMember) -> bool:
        age_s = self._client.now_s() - self._written_at_s
        return member != self._member or age_s >= self._member.renew_s
