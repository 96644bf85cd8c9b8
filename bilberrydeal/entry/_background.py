"""Assembles the services that run besides request processing."""

import attrs

from .. import duties
from .. import membership
from .. import peers
from .. import systems
from . import _context
from . import _pipeline
from . import admin
from . import cluster_state
from . import planners


@attrs.frozen
class BackgroundServices:
    """Services that run independently of requests."""

    exchange: cluster_state.PeerExchange
    #: Synchronizes links and tables with the members.
    sync: cluster_state.MemberSync
    planning: planners.Planning
    duties: duties.DutyRunner

    async def observe_demand(self, context: _context.EntryContext) -> None:
        """Record the demand of all entries while this entry holds a duty.

        The rows are read from the store, because peers relay only changes of
        members, and a renewal does not count as one.
        """
        if not self.duties.held():
            return
        rows = await context.shared_state.client.scan_all(
            membership.TABLE, membership.ENTRIES
        )
        members = [membership.decode(row) for row in rows]
        self.planning.observe(
            [m for m in members if isinstance(m, membership.EntryMember)],
            context.clock(),
        )


def build(
    context: _context.EntryContext, pipeline: _pipeline.RequestPipeline
) -> BackgroundServices:
    """Return the services and register the gauges."""
    entry_settings = context.settings
    shared_state = context.shared_state
    exchange = cluster_state.PeerExchange(
        peers.EntryAddress(
            context.entry,
            entry_settings.advertise_address,
            entry_settings.peer_port,
            entry_settings.failure_domain,
        ),
        entry_settings,
        peers.MessageAuthenticator(context.secrets.peer),
        shared_state.follower,
        shared_state.freshness,
        shared_state.directory,
        shared_state.hosts,
        pipeline.policies.limiter,
        context.tables,
        context.clock,
    )
    sync = cluster_state.MemberSync(
        shared_state.member,
        entry_settings.membership,
        pipeline.policies.subset,
        shared_state.directory,
        pipeline.pool,
        context.tables,
        context.clock,
    )
    planning = planners.Planning(
        entry_settings,
        shared_state.directory,
        context.tables.of(systems.EndpointView),
        shared_state.current,
    )
    entry_duties = planners.build_duties(
        context.entry,
        entry_settings,
        shared_state.client,
        context.platform,
        pipeline.claim_manager,
        shared_state.directory,
        planning,
        pipeline.pool,
        cluster_state.STORE_OUTAGE_MAX_S + entry_settings.duties.margin_s,
        shared_state.may_remove,
        context.random,
    )
    admin.add_gauges(
        context.gauges,
        shared_state,
        pipeline.admitter,
        pipeline.pool,
        pipeline.settler,
        entry_duties,
    )
    return BackgroundServices(exchange, sync, planning, entry_duties.runner)
