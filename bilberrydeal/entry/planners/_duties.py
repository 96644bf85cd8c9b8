"""Sets up the duties that this entry may hold."""

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

#: After this many call timeouts a call can no longer take effect.
CALL_TIMEOUT_FACTOR = 2.0


@attrs.frozen
class EntryDuties:
    """The duty runner and the statistics of its duties."""

    runner: duties.DutyRunner
    #: Usage windows reported by this process, including late and refused ones.
    reports: billing.ReportStats


def build_duties(
    entry: str,
    entry_settings: settings.EntrySettings,
    client: store.StoreClient,
    platform: adapters.Platform,
    claim_manager: claims.ClaimManager,
    directory: membership.MemberDirectory,
    planning: _planning.Planning,
    pool: core.LinkPool,
    entry_expiry_s: float,
    may_remove: collections.abc.Callable[[str], bool],
    rng: random.Random,
) -> EntryDuties:
    """Return a runner of all duties that the settings enable."""
    rule = accounting.window_rule(entry_settings.usage)
    usage = duties.UsageDuty(
        client,
        platform.usage,
        rule,
        accounting.entry_gone_predicate(directory),
    )
    enabled_duties: list[duties.Duty] = [
        usage,
        duties.SweepDuty(
            client,
            platform.objects,
            claim_manager,
            rule,
            entry_expiry_s,
            may_remove,
        ),
        duties.RoleDuty(client, planning.decide_roles, _order_announcer(pool)),
    ]
    if entry_settings.fleet.services:
        enabled_duties += [
            duties.FleetDuty(
                client, platform.endpoints, domain, planning.decide_fleet
            )
            for domain in entry_settings.fleet.failure_domains
        ]
    bounds = leases.LeaseBounds(
        ttl_s=entry_settings.duties.lease_ttl_s,
        margin_s=entry_settings.duties.margin_s,
        max_call_s=client.call_timeout_s * CALL_TIMEOUT_FACTOR,
    )
    runner = duties.DutyRunner(
        client,
        entry,
        bounds,
        enabled_duties,
        entry_settings.duties.renew_s,
        entry_settings.duties.round_s,
        rng,
        count_entries=_live_entry_counter(entry, directory),
    )
    return EntryDuties(runner, usage.stats)


def _live_entry_counter(
    entry: str, directory: membership.MemberDirectory
) -> collections.abc.Callable[[], int]:
    """Return a function that counts the entries that could hold a duty."""

    def count() -> int:
        live = {
            member.incarnation
            for member in directory.entries()
            if member.state is membership.MemberState.LIVE
        }
        return len(live | {entry})

    return count


def _order_announcer(
    pool: core.LinkPool,
) -> collections.abc.Callable[[str, int], None]:
    def announce_order(endpoint_id: str, order_version: int) -> None:
        agent_link = pool.get(endpoint_id)
        if agent_link is not None:
            agent_link.announce_order(order_version)

    return announce_order
