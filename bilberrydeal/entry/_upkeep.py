"""Puts together what keeps an entry in step with the others."""

import attrs

from .. import duties
from .. import membership
from .. import peers
from .. import systems
from . import _base
from . import _path
from . import admin
from . import knowledge
from . import planners


@attrs.frozen
class Upkeep:
    """The parts that run beside the requests."""

    exchange: knowledge.Exchange
    #: Brings links and tables in line with the members.
    sync: knowledge.MemberSync
    planning: planners.Planning
    duties: duties.DutyRunner

    async def observe_demand(self, base: _base.Base) -> None:
        """Look at the demand of all entries, where a duty is held.

        The rows are read from the store: peers hand on news of members, and
        a renewal is none.
        """
        if not self.duties.held():
            return
        rows = await base.following.client.scan_all(
            membership.TABLE, membership.ENTRIES
        )
        members = [membership.decode(row) for row in rows]
        self.planning.observe(
            [m for m in members if isinstance(m, membership.EntryMember)],
            base.clock(),
        )


def build(base: _base.Base, path: _path.Path) -> Upkeep:
    """Return the parts, with their figures added to the metrics."""
    chosen = base.settings
    following = base.following
    exchange = knowledge.Exchange(
        peers.Introduction(
            base.entry,
            chosen.advertise_address,
            chosen.peer_port,
            chosen.failure_domain,
        ),
        chosen,
        peers.Seal(base.secrets.peer),
        following.follower,
        following.freshness,
        following.directory,
        following.hosts,
        path.policies.limiter,
        base.tables,
        base.clock,
    )
    sync = knowledge.MemberSync(
        following.member,
        chosen.membership,
        path.policies.subset,
        following.directory,
        path.pool,
        base.tables,
        base.clock,
    )
    planning = planners.Planning(
        chosen,
        following.directory,
        base.tables.of(systems.EndpointView),
        following.current,
    )
    authority = planners.build_authority(
        base.entry,
        chosen,
        following.client,
        base.platform,
        path.claims,
        following.directory,
        planning,
        path.pool,
        knowledge.PACT_LONGEST_S + chosen.duties.margin_s,
        following.may_remove,
        base.random,
    )
    admin.add_gauges(
        base.gauges,
        following,
        path.gate,
        path.pool,
        path.settling,
        authority,
    )
    return Upkeep(exchange, sync, planning, authority.runner)
