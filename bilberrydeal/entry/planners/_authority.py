"""The duties that this entry may hold."""

import collections.abc
import random

import attrs

from ... import adapters
from ... import billing
from ... import claims
from ... import duties
from ... import leases
from ... import membership
from ... import settings
from ... import store
from .. import accounting
from .. import core
from . import _planning

#: Calls' timeouts after which a call certainly has no effect any more.
CALL_TIMEOUTS = 2.0


@attrs.frozen
class Authority:
    """The duties and what their holders count."""

    runner: duties.DutyRunner
    #: What this process reported, late and refused windows among it.
    reports: billing.ReportStats


def build_authority(
    entry: str,
    chosen: settings.EntrySettings,
    client: store.StoreClient,
    platform: adapters.Platform,
    rows: claims.Claims,
    directory: membership.MemberDirectory,
    planning: _planning.Planning,
    pool: core.LinkPool,
    entry_unchanged_s: float,
    may_remove: collections.abc.Callable[[str], bool],
    rng: random.Random,
) -> Authority:
    """Return a runner of all duties that the settings call for."""
    rule = accounting.window_rule(chosen.usage)
    usage = duties.UsageDuty(
        client, platform.usage, rule, accounting.gone_test(directory)
    )
    found: list[duties.Duty] = [
        usage,
        duties.SweepDuty(
            client,
            platform.objects,
            rows,
            rule,
            entry_unchanged_s,
            may_remove,
        ),
        duties.RoleDuty(client, planning.decide_roles, _hint(pool)),
    ]
    if chosen.fleet.services:
        found += [
            duties.FleetDuty(
                client, platform.endpoints, domain, planning.decide_fleet
            )
            for domain in chosen.fleet.failure_domains
        ]
    bounds = leases.LeaseBounds(
        ttl_s=chosen.duties.lease_ttl_s,
        margin_s=chosen.duties.margin_s,
        call_longest_s=client.call_timeout_s * CALL_TIMEOUTS,
    )
    runner = duties.DutyRunner(
        client,
        entry,
        bounds,
        found,
        chosen.duties.renew_s,
        chosen.duties.round_s,
        rng,
        entries=_counter(entry, directory),
    )
    return Authority(runner, usage.stats)


def _counter(
    entry: str, directory: membership.MemberDirectory
) -> collections.abc.Callable[[], int]:
    """Return what counts the entries that could hold a duty."""

    def count() -> int:
        live = {
            member.incarnation
            for member in directory.entries()
            if member.state is membership.MemberState.LIVE
        }
        return len(live | {entry})

    return count


def _hint(
    pool: core.LinkPool,
) -> collections.abc.Callable[[str, int], None]:
    def hint(endpoint_id: str, order_version: int) -> None:
        agent_link = pool.get(endpoint_id)
        if agent_link is not None:
            agent_link.hint(order_version)

    return hint
