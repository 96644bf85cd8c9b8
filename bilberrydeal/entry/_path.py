"""Puts together what requests pass through."""

import collections.abc

import attrs

from .. import claims
from . import _base
from . import _dispatch
from . import _gate
from . import _journal
from . import _numbers
from . import _policies
from . import _pool
from . import _settling


@attrs.frozen
class Path:
    """The parts that a request passes, from the gate to the link."""

    policies: _policies.Policies
    pool: _pool.LinkPool
    gate: _gate.Gate
    journal: _journal.Journal
    claims: claims.Claims
    settling: _settling.Settling
    dispatcher: _dispatch.Dispatcher


def build(
    base: _base.Base, lost_place: collections.abc.Callable[[], None]
) -> Path:
    """Return the path; ``lost_place`` is called when the entry was given up.

    The entry's place is lost once others settled in its name.
    """
    chosen = base.settings
    following = base.following
    numbers = _numbers.Numbers(base.entry)
    policies = _policies.build_policies(chosen, base.entry, base.random.getrandbits(32))
    pool = _pool.LinkPool(
        base.entry, chosen, base.tables, policies.router, base.clock
    )
    gate = _gate.Gate(
        numbers.next,
        chosen,
        following.current,
        following.key_directory,
        following.freshness,
        policies,
        base.tables,
        following.demand,
    )
    journal = _journal.Journal(base.clock)
    claim_rows = claims.Claims(following.claims_client, base.platform.objects)
    settling = _settling.Settling(
        base.entry,
        chosen.usage,
        following.client,
        claim_rows,
        pool,
        base.wall,
        following.is_agent,
        lambda: len(following.directory.entries()),
        base.clock,
        lost_place,
    )
    dispatcher = _dispatch.Dispatcher(
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
