"""The agent's row among the members."""

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

#: Time between two looks at whether the row has to change.
LOOK_S = 0.25
#: Pause after a failure.
PAUSE_S = 1.0


class Presence:
    """Writes the row when the agent starts, changes, leaves, and in between.

    The row says where the agent is and what it serves. Entries learn of a
    change over their links first; the row is for those without one.
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
        self._row: membership.Registration | None = None
        self._leaving = False
        self._renewed_at_s = 0.0
        self._writing = asyncio.Lock()

    async def run(self) -> None:
        """Keep the row; never ends."""
        while True:
            try:
                await self._keep()
            except membership.RowTaken:
                # The guard says that no other agent of this endpoint lives:
                # the row is a predecessor's late write, or was swept.
                LOG.warning("Row was taken.")
                self._row = None
            except errors.BilberrydealError as error:
                LOG.warning("Row is not written.", reason=str(error))
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(LOOK_S)

    async def leaving(self) -> None:
        """Mark the row, if the store can be reached."""
        self._leaving = True
        try:
            await self._keep()
        except errors.BilberrydealError as error:
            LOG.warning("Row is not marked.", reason=str(error))

    async def leave(self) -> None:
        """Remove the row, if the store can be reached."""
        if self._row is None:
            return
        try:
            await self._row.leave()
        except errors.BilberrydealError as error:
            LOG.warning("Row is not removed.", reason=str(error))

    async def _keep(self) -> None:
        async with self._writing:
            await self._write_if_due()

    async def _write_if_due(self) -> None:
        member = self._present()
        if self._row is None:
            row = membership.Registration(self._client, member)
            await row.join(time.time())
            self._row = row
        elif self._due(member):
            await self._row.renew(
                time.time(),
                service=member.service,
                role=member.role,
                order_version=member.order_version,
                state=member.state,
            )
        else:
            return
        self._member = member
        self._renewed_at_s = self._client.now_s()

    def _present(self) -> membership.AgentMember:
        """Return what the row should say now."""
        state = membership.MemberState.LIVE
        if self._leaving:
            state = membership.MemberState.LEAVING
        keeper = self._agent.keeper
        return attrs.evolve(
            self._member,
            service=self._agent.service,
            role=self._agent.role,
            order_version=keeper.order_version if keeper else 0,
            state=state,
        )

    def _due(self, member: membership.AgentMember) -> bool:
        age_s = self._client.now_s() - self._renewed_at_s
        return member != self._member or age_s >= self._member.renew_s
