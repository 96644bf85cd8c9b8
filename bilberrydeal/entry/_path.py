"""Puts together what requests pass through."""

import collections.abc

import attrs

from .. import claims
from . import _base
from . import accounting
from . import core


@attrs.frozen
class Path:
    """The parts that a request passes, from the gate to the link."""

    policies: core.Policies
    pool: core.LinkPool
    gate: core.RequestAdmitter
    journal: core.RequestTraces
    claims: claims.Claims
    settling: accounting.Settling
    dispatcher: core.Dispatcher


def build(
    base: _base.Base, lost_place: collections.abc.Callable[[], None]
) -> Path:
    """Return the path; ``lost_place`` is called when the entry was given up.

    The entry's place is lost once others settled in its name.
    """
    chosen = base.settings
    shared_state = base.shared_state
    numbers = core.RequestNumbers(base.entry)
    policies = core.build_policies(
        chosen, base.entry, base.random.getrandbits(32)
    )
    pool = core.LinkPool(
        base.entry, chosen, base.tables, policies.router, base.clock
    )
    gate = core.RequestAdmitter(
        numbers.next,
        chosen,
        shared_state.current,
        shared_state.key_directory,
        shared_state.freshness,
        policies,
        base.tables,
        shared_state.demand,
    )
    journal = core.RequestTraces(base.clock)
    claim_rows = claims.Claims(
        shared_state.claims_client, base.platform.objects
    )
    settling = accounting.Settling(
        base.entry,
        chosen.usage,
        shared_state.client,
        claim_rows,
        pool,
        base.wall,
        shared_state.is_agent,
        lambda: len(shared_state.directory.entries()),
        base.clock,
        lost_place,
    )
    dispatcher = core.Dispatcher(
        pool,
        base.tables,
        policies,
        numbers.next,
        settling,
        journal,
        base.tracing,
        base.clock,
    )
    return Path(
        policies, pool, gate, journal, claim_rows, settling, dispatcher
    )
