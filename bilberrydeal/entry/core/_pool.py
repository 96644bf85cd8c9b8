"""The links that this entry keeps, and the endpoints behind them."""

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
class AgentPlace:
    """Where the agent of an endpoint is reached."""

    endpoint_id: str
    address: str
    control_port: int
    failure_domain: str
    service: str
    #: Whether the endpoint or its host is to go away.
    leaving: bool = False


@attrs.define
class _Member:
    place: AgentPlace
    link: link.AgentLink
    task: asyncio.Task[None]
    #: When the last report that was taken came in.
    reported_at_s: float = -math.inf
    #: Incarnation whose reports were taken.
    agent: str = ""


class LinkPool:
    """Keeps a link to each agent of the own subset.

    The pool writes what agents report into the ``EndpointView`` table, which
    the routing system reads.
    """

    def __init__(
        self,
        entry: str,
        chosen: settings.EntrySettings,
        tables: systems.Tables,
        router: routing.Router,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._entry = entry
        self._tables = tables
        self._router = router
        #: Keeps a start or a rejoined region from dialling all at once.
        self._pacer = pacing.RecoveryPacer(
            pacing.PacingRules(), 1, random.getrandbits(32), clock()
        )
        self._settings = chosen
        self._views = tables.of(systems.EndpointView)
        self._clock = clock
        self._members: dict[str, _Member] = {}
        #: Called with records that an agent wants settled.
        self.on_usage: collections.abc.Callable[
            [link.AgentLink, link.UsageRecords], None
        ] = lambda _link, _records: None

    def __iter__(self) -> collections.abc.Iterator[link.AgentLink]:
        return (member.link for member in list(self._members.values()))

    def get(self, endpoint_id: str) -> link.AgentLink | None:
        """Return the link to an endpoint's agent, if there is one."""
        member = self._members.get(endpoint_id)
        return member.link if member else None

    def connected(self) -> int:
        """Return how many agents answer."""
        return sum(member.link.connected for member in self._members.values())

    def probe(self, endpoint_id: str) -> bool | None:
        """Return whether an endpoint's agent answers and takes work.

        Returns ``None`` where it was not heard lately; it is asked then.
        """
        found = self.get(endpoint_id)
        if found is None or found.status is None or not found.connected:
            return False
        found.check()
        age_s = self._clock() - found.heard_at_s
        if age_s > self._settings.link.silent_bound_s:
            return None
        return found.status.accepting

    def sync(self, places: collections.abc.Iterable[AgentPlace]) -> None:
        """Open links to new agents and close those to agents that are gone.

        An agent that answers under another address is dialled anew. The
        link to an endpoint that only left the subset stays until its last
        request has ended; see :meth:`refresh`.
        """
        wanted = {place.endpoint_id: place for place in places}
        for endpoint_id, member in list(self._members.items()):
            place = wanted.get(endpoint_id)
            if place is None or not _same_process(place, member.place):
                self._close(endpoint_id)
            else:
                member.place = place
        for endpoint_id, place in wanted.items():
            if endpoint_id not in self._members:
                self._open(place)
        self.refresh()

    def refresh(self) -> None:
        """Bring ``accepting`` of all endpoints up to date."""
        for member in self._members.values():
            self._update(member)

    async def close(self) -> None:
        """Close all links."""
        tasks = [member.task for member in self._members.values()]
        for endpoint_id in list(self._members):
            self._close(endpoint_id)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _open(self, place: AgentPlace) -> None:
        opened = link.AgentLink(
            place.address,
            place.control_port,
            self._entry,
            self._settings.failure_domain,
            self._settings.link,
            self._clock,
        )
        opened.on_usage = lambda _link, usage: self.on_usage(_link, usage)
        wait_s = self._pacer.wait_s(pacing.Work.DIAL, self._clock())
        task = asyncio.create_task(_run_after(wait_s, opened))
        member = _Member(place, opened, task)
        opened.on_status = lambda _link: self._update(member)
        opened.on_cache = lambda _link, changes: self._take_changes(
            member, changes
        )
        self._members[place.endpoint_id] = member
        LOG.info("Agent added.", endpoint=place.endpoint_id)

    def _close(self, endpoint_id: str) -> None:
        member = self._members.pop(endpoint_id)
        self._views.remove(endpoint_id)
        member.task.cancel()
        LOG.info("Agent removed.", endpoint=endpoint_id)

    def _update(self, member: _Member) -> None:
        status = member.link.status
        endpoint_id = member.place.endpoint_id
        if status is None or endpoint_id not in self._members:
            return
        view = self._views.get(endpoint_id)
        if view is None:
            view = systems.EndpointView(
                endpoint_id=endpoint_id,
                failure_domain=member.place.failure_domain,
                service=status.service,
            )
            self._views.put(view)
        view.service = status.service
        view.role = ports.EngineRole(status.role or ports.EngineRole.BOTH)
        view.accepting = (
            status.accepting
            and member.link.connected
            and not member.place.leaving
        )
        if member.link.status_at_s > member.reported_at_s:
            member.reported_at_s = member.link.status_at_s
            self._take_report(endpoint_id, status, member)

    def _take_report(
        self, endpoint_id: str, status: link.EndpointStatus, member: _Member
    ) -> None:
        """Hand the load to the routing system."""
        now_s = self._clock()
        if member.agent != member.link.agent:
            member.agent = member.link.agent
            self._router.cache_lost(endpoint_id)
        figures = systems.LoadFigures(
            true_at_s=member.reported_at_s - status.load_age_s,
            running=status.running,
            waiting=status.waiting,
            queued_prompt_tokens=status.queued_prompt_tokens,
            queued_output_tokens=status.queued_output_tokens,
            kv_used_share=status.kv_used_share,
        )
        self._router.reported(self._tables, endpoint_id, figures, now_s)

    def _take_changes(
        self, member: _Member, changes: link.CacheChanges
    ) -> None:
        """Hand cache events to the routing system."""
        endpoint_id = member.place.endpoint_id
        if endpoint_id in self._members:
            self._router.cache_changed(
                endpoint_id, changes.stored, changes.evicted, self._clock()
            )


async def _run_after(wait_s: float, opened: link.AgentLink) -> None:
    await asyncio.sleep(wait_s)
    await opened.run()


def _same_process(one: AgentPlace, other: AgentPlace) -> bool:
    return (one.address, one.control_port) == (
        other.address,
        other.control_port,
    )
