"""Synchronizes the tables and links with the members."""

import asyncio
import collections.abc
import functools

from ... import membership
from ... import settings
from ... import systems
from ...systems import subsets
from .. import core

#: Choosing among more endpoints runs in a thread, off the event loop.
MAX_INLINE_ENDPOINTS = 200


class MemberSync:
    """Updates the entry table and the links from the member directory."""

    def __init__(
        self,
        member: membership.EntryMember,
        membership_settings: settings.MembershipSettings,
        chooser: subsets.SubsetChooser,
        directory: membership.MemberDirectory,
        pool: core.LinkPool,
        tables: systems.Tables,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._member = member
        self._settings = membership_settings
        self._chooser = chooser
        self._directory = directory
        self._pool = pool
        self._entries = tables.of(systems.EntryView)
        self._clock = clock

    async def run(self) -> None:
        """Apply the current state of the directory."""
        now_s = self._clock()
        self._sync_entries(now_s)
        self._pool.sync(await self._subset(now_s))

    def _sync_entries(self, now_s: float) -> None:
        members = {m.incarnation: m for m in self._directory.entries()}
        members.setdefault(self._member.incarnation, self._member)
        for view in list(self._entries):
            if view.entry not in members:
                self._entries.remove(view.entry)
        for incarnation, member in members.items():
            view = self._entries.get(incarnation) or systems.EntryView(
                incarnation, member.failure_domain, now_s
            )
            view.live = member.state is membership.MemberState.LIVE
            self._entries.put(view)

    async def _subset(self, now_s: float) -> list[core.AgentLocation]:
        """Return the agents that this entry keeps links to.

        Agents of the entry's own region are preferred. The cost of choosing
        grows with the members, so a large choice runs in a thread.
        """
        known = self._directory.agents()
        own_region = [m for m in known if m.region == self._member.region]
        agents = {m.endpoint_id: m for m in own_region or known}
        own = subsets.EntryMember(
            self._member.host_id, self._member.failure_domain
        )
        entries = {own} | {
            subsets.EntryMember(m.host_id, m.failure_domain)
            for m in self._directory.entries()
            if m.region == self._member.region
        }
        endpoints = [
            subsets.EndpointMember(m.endpoint_id, m.failure_domain, m.service)
            for m in agents.values()
        ]
        choose = functools.partial(
            self._chooser.choose,
            own,
            sorted(entries, key=lambda member: member.key),
            endpoints,
            self._settings.subset_size,
            now_s,
        )
        inline = len(endpoints) <= MAX_INLINE_ENDPOINTS
        chosen = choose() if inline else await asyncio.to_thread(choose)
        return [_location(agents[endpoint.key]) for endpoint in chosen]


def _location(member: membership.AgentMember) -> core.AgentLocation:
    return core.AgentLocation(
        endpoint_id=member.endpoint_id,
        address=member.address,
        control_port=member.control_port,
        failure_domain=member.failure_domain,
        service=member.service,
        leaving=member.state is membership.MemberState.LEAVING,
    )
