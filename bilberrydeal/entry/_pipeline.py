"""Assembles the parts that process requests."""

import collections.abc

import attrs

from .. import claims
from . import _context
from . import accounting
from . import core


@attrs.frozen
class RequestPipeline:
    """The parts that process a request, from admission to the link."""

    policies: core.Policies
    pool: core.LinkPool
    admitter: core.RequestAdmitter
    request_traces: core.RequestTraces
    claim_manager: claims.ClaimManager
    settler: accounting.UsageSettler
    dispatcher: core.Dispatcher


def build(
    context: _context.EntryContext,
    on_recorder_closed: collections.abc.Callable[[], None],
) -> RequestPipeline:
    """Return the pipeline.

    ``on_recorder_closed`` is called when another entry has closed this
    entry's usage recorder; this incarnation must then end.
    """
    entry_settings = context.settings
    shared_state = context.shared_state
    request_numbers = core.RequestNumbers(context.entry)
    policies = core.build_policies(
        entry_settings, context.entry, context.random.getrandbits(32)
    )
    pool = core.LinkPool(
        context.entry,
        entry_settings,
        context.tables,
        policies.router,
        context.clock,
    )
    admitter = core.RequestAdmitter(
        request_numbers.next,
        entry_settings,
        shared_state.current,
        shared_state.key_directory,
        shared_state.freshness,
        policies,
        context.tables,
        shared_state.demand,
    )
    request_traces = core.RequestTraces(context.clock)
    claim_manager = claims.ClaimManager(
        shared_state.claims_client, context.platform.objects
    )
    settler = accounting.UsageSettler(
        context.entry,
        entry_settings.usage,
        shared_state.client,
        claim_manager,
        pool,
        context.wall_clock,
        shared_state.is_agent,
        lambda: len(shared_state.directory.entries()),
        context.clock,
        on_recorder_closed,
    )
    dispatcher = core.Dispatcher(
        pool,
        context.tables,
        policies,
        request_numbers.next,
        settler,
        request_traces,
        context.tracing,
        context.clock,
    )
    return RequestPipeline(
        policies,
        pool,
        admitter,
        request_traces,
        claim_manager,
        settler,
        dispatcher,
    )
