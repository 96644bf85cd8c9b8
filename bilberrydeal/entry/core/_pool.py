"""The links from this entry to agents of endpoints."""

import asyncio
import collections.abc
import math
import random

import attrs

from ... import link
from ... import ports
from ... import settings
from ... import systems
from ... import telemetry
from ...systems import pacing
from ...systems import routing

LOG = telemetry.logger("pool")


@attrs.frozen
class AgentLocation:
    """The network location of an endpoint's agent."""

    endpoint_id: str
    address: str
    control_port: int
    failure_domain: str
    service: str
    #: Whether the endpoint or its host is about to be removed.
    leaving: bool = False


@attrs.define
class _Member:
    location: AgentLocation
    link: link.AgentLink
    task: asyncio.Task[None]
    #: Arrival time of the last load report passed to the router.
    reported_at_s: float = -math.inf
    #: Incarnation of the agent that sent it.
    agent: str = ""
    #: Role of its last status if this version does not know it.
    unknown_role: str = ""


class LinkPool:
    """Maintains a link to each agent of this entry's subset.

    The pool writes the reports of agents to the ``EndpointView`` table, which
    the router reads.
    """

    def __init__(
        self,
        entry: str,
        entry_settings: settings.EntrySettings,
        tables: systems.Tables,
        router: routing.Router,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._entry = entry
        self._tables = tables
        self._router = router
        #: Spreads connection attempts after a start or a region's return.
        self._pacer = pacing.RecoveryPacer(
            pacing.PacingRules(), 1, random.getrandbits(32), clock()
        )
        self._settings = entry_settings
        self._views = tables.of(systems.EndpointView)
        self._clock = clock
        self._members: dict[str, _Member] = {}
        #: Called with usage records that an agent wants settled.
        self.on_usage: collections.abc.Callable[
            [link.AgentLink, link.UsageRecords], None
        ] = lambda _link, _records: None

    def __iter__(self) -> collections.abc.Iterator[link.AgentLink]:
        return (member.link for member in list(self._members.values()))

    def get(self, endpoint_id: str) -> link.AgentLink | None:
        """Return the link to an endpoint's agent, ``None`` without one."""
        member = self._members.get(endpoint_id)
        return member.link if member else None

    def connected(self) -> int:
        """Return the number of connected agents."""
        return sum(member.link.connected for member in self._members.values())

    def probe(self, endpoint_id: str) -> bool | None:
        """Return whether an endpoint's agent is connected and accepting.

        Returns ``None`` if its last message is too old. Each call on a
        connected link also requests a new message.
        """
        agent_link = self.get(endpoint_id)
        if (
            agent_link is None
            or agent_link.status is None
            or not agent_link.connected
        ):
            return False
        agent_link.request_heartbeat()
        age_s = self._clock() - agent_link.last_echo_at_s
        if age_s > self._settings.link.silent_bound_s:
            return None
        return agent_link.status.accepting

    def sync(self, locations: collections.abc.Iterable[AgentLocation]) -> None:
        """Open links to new agents and close links to removed ones.

        An agent whose address changed gets a new link.
        """
        locations_by_id = {
            location.endpoint_id: location for location in locations
        }
        for endpoint_id, member in list(self._members.items()):
            location = locations_by_id.get(endpoint_id)
            if location is None or not _same_address(
                location, member.location
            ):
                self._close(endpoint_id)
            else:
                member.location = location
        for endpoint_id, location in locations_by_id.items():
            if endpoint_id not in self._members:
                self._open(location)
        self.refresh()

    def refresh(self) -> None:
        """Update the views of all endpoints."""
        for member in self._members.values():
            self._update_view(member)

    async def close(self) -> None:
        """Close all links."""
        tasks = [member.task for member in self._members.values()]
        for endpoint_id in list(self._members):
            self._close(endpoint_id)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _open(self, location: AgentLocation) -> None:
        agent_link = link.AgentLink(
            location.address,
            location.control_port,
            self._entry,
            self._settings.failure_domain,
            self._settings.link,
            self._clock,
        )
        agent_link.on_usage = lambda _link, usage: self.on_usage(_link, usage)
        wait_s = self._pacer.wait_s(pacing.RecoveryWork.DIAL, self._clock())
        task = asyncio.create_task(_run_link_after(wait_s, agent_link))
        member = _Member(location, agent_link, task)
        agent_link.on_status = lambda _link: self._update_view(member)
        agent_link.on_cache = lambda _link, changes: (
            self._report_cache_changes(member, changes)
        )
        self._members[location.endpoint_id] = member
        LOG.info("Agent added.", endpoint=location.endpoint_id)

    def _close(self, endpoint_id: str) -> None:
        member = self._members.pop(endpoint_id)
        self._views.remove(endpoint_id)
        member.task.cancel()
        LOG.info("Agent removed.", endpoint=endpoint_id)

    def _update_view(self, member: _Member) -> None:
        status = member.link.status
        endpoint_id = member.location.endpoint_id
        if status is None or endpoint_id not in self._members:
            return
        view = self._views.get(endpoint_id)
        if view is None:
            view = systems.EndpointView(
                endpoint_id=endpoint_id,
                failure_domain=member.location.failure_domain,
                service=status.service,
            )
            self._views.put(view)
        view.service = status.service
        role = ports.role_or_none(status.role or ports.EngineRole.BOTH)
        if role is None and member.unknown_role != status.role:
            LOG.warning(
                "Role unknown.", endpoint=endpoint_id, role=status.role
            )
        member.unknown_role = "" if role else status.role
        view.role = role or ports.EngineRole.BOTH
        view.accepting = (
            status.accepting
            and role is not None
            and member.link.connected
            and not member.location.leaving
        )
        if member.link.status_at_s > member.reported_at_s:
            member.reported_at_s = member.link.status_at_s
            self._report_load(endpoint_id, status, member)

    def _report_load(
        self, endpoint_id: str, status: link.EndpointStatus, member: _Member
    ) -> None:
        """Pass a load report to the router."""
        now_s = self._clock()
        if member.agent != member.link.agent:
            member.agent = member.link.agent
            self._router.reset_cache(endpoint_id)
        load = systems.EndpointLoad(
            measured_at_s=member.reported_at_s - status.load_age_s,
            running=status.running,
            waiting=status.waiting,
            queued_prompt_tokens=status.queued_prompt_tokens,
            queued_output_tokens=status.queued_output_tokens,
            kv_used_share=status.kv_used_share,
        )
        self._router.record_load_report(self._tables, endpoint_id, load, now_s)

    def _report_cache_changes(
        self, member: _Member, changes: link.CacheChanges
    ) -> None:
        """Pass cache changes to the router."""
        endpoint_id = member.location.endpoint_id
        if endpoint_id in self._members:
            self._router.record_cache_events(
                endpoint_id, changes.stored, changes.evicted, self._clock()
            )


async def _run_link_after(wait_s: float, agent_link: link.AgentLink) -> None:
    await asyncio.sleep(wait_s)
    await agent_link.run()


def _same_address(first: AgentLocation, second: AgentLocation) -> bool:
    return (first.address, first.control_port) == (
        second.address,
        second.control_port,
    )
