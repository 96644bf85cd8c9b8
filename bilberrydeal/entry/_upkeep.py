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

    exchange: knowledge.PeerExchange
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
        rows = await base.shared_state.client.scan_all(
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
    shared_state = base.shared_state
    exchange = knowledge.PeerExchange(
        peers.Introduction(
            base.entry,
            chosen.advertise_address,
            chosen.peer_port,
            chosen.failure_domain,
        ),
        chosen,
        peers.Seal(base.secrets.peer),
        shared_state.follower,
        shared_state.freshness,
        shared_state.directory,
        shared_state.hosts,
        path.policies.limiter,
        base.tables,
        base.clock,
    )
    sync = knowledge.MemberSync(
        shared_state.member,
        chosen.membership,
        path.policies.subset,
        shared_state.directory,
        path.pool,
        base.tables,
        base.clock,
    )
    planning = planners.Planning(
        chosen,
        shared_state.directory,
        base.tables.of(systems.EndpointView),
        shared_state.current,
    )
    entry_duties = planners.build_duties(
        base.entry,
        chosen,
        shared_state.client,
        base.platform,
        path.claims,
        shared_state.directory,
        planning,
        path.pool,
        knowledge.STORE_OUTAGE_MAX_S + chosen.duties.margin_s,
        shared_state.may_remove,
        base.random,
    )
    admin.add_gauges(
        base.gauges,
        shared_state,
        path.gate,
        path.pool,
        path.settling,
        entry_duties,
    )
    return Upkeep(exchange, sync, planning, entry_duties.runner)
