"""Follows the configuration, members and hosts in the platform's tables."""

import asyncio
import collections.abc

from ... import adapters
from ... import configuration
from ... import errors
from ... import keys
from ... import membership
from ... import settings
from ... import store
from ... import telemetry
from .. import core
from . import _hosts

LOG = telemetry.logger("following")
#: Poll interval of the configuration, by entries that read it.
CONFIGURATION_POLL_S = 1.0
#: Poll interval of the host list.
HOSTS_POLL_S = 3.0
#: Longest time that an entry keeps serving without the store.
STORE_OUTAGE_MAX_S = 3600.0
#: Entries per failure domain that read the configuration's head and the
#: host list on behalf of the others.
READERS_PER_DOMAIN = 3


class SharedState:
    """Local copy of the shared tables, and this entry's membership row."""

    def __init__(
        self,
        entry: str,
        entry_settings: settings.EntrySettings,
        platform: adapters.Platform,
        pepper: bytes,
        clock: collections.abc.Callable[[], float],
        wall_clock: collections.abc.Callable[[], float],
    ) -> None:
        self._entry = entry
        self.settings = entry_settings
        self._platform = platform
        self._clock = clock
        self._wall_clock = wall_clock
        self.client = store.StoreClient(
            platform.table,
            entry_settings.store.call_timeout_s,
            entry_settings.store.call_rate_per_s,
        )
        #: Claims are limited separately, since callers determine their rate.
        self.claims_client = store.StoreClient(
            platform.table,
            entry_settings.store.call_timeout_s,
            entry_settings.store.claim_rate_per_s,
        )
        self.follower = configuration.Follower(self.client, platform.objects)
        self.freshness = keys.Freshness(
            own=entry,
            bound_s=entry_settings.key_stale_bound_s,
            margin_s=entry_settings.duties.margin_s,
            max_outage_s=STORE_OUTAGE_MAX_S,
            max_call_s=self.client.max_call_s,
        )
        self._committer = configuration.Committer(
            self.client,
            platform.objects,
            self.follower,
            guard=self.freshness,
            member_row=membership.marker_key(entry),
        )
        self.member = membership.EntryMember(
            incarnation=entry,
            host_id=entry_settings.host_id,
            address=entry_settings.advertise_address,
            peer_port=entry_settings.peer_port,
            failure_domain=entry_settings.failure_domain,
            region=entry_settings.region,
            renew_s=entry_settings.membership.renew_s,
        )
        self._registration = membership.Registration(self.client, self.member)
        self.directory = membership.MemberDirectory(
            self.client, entry, entry_settings.membership.read_s
        )
        self.hosts = _hosts.LeavingHosts(self.directory)
        self.demand = core.DemandMeter(clock())
        self.key_directory = keys.KeyDirectory(self.current, pepper)

    def current(self) -> configuration.Configuration:
        """Return the newest known configuration."""
        return self.follower.current

    def keys_age_s(self) -> float:
        """Return the age of the withdrawn keys as known here, -1 for none."""
        age_s = self.freshness.age_s(self._clock())
        return -1.0 if age_s is None else age_s

    async def maintain_row(self) -> None:
        """Join as soon as the store is reachable, then renew the row.

        Returns when another incarnation took over the row; this incarnation
        must then end.
        """
        joined = False
        while True:
            try:
                sent_s = await (self._renew() if joined else self._join())
                joined = True
                self.freshness.renewed(sent_s)
            except membership.RowTaken:
                LOG.error("Membership row taken over by another incarnation.")
                return
            except (errors.StoreUnavailable, errors.OutcomeUnknown) as error:
                LOG.warning("Membership row not renewed.", error=str(error))
            entries = len(self.directory.entries())
            await asyncio.sleep(self._registration.next_renewal_s(entries))

    async def leave(self) -> None:
        """Remove this entry's membership row."""
        try:
            await self._registration.remove()
        except errors.BilberrydealError as error:
            LOG.warning("Membership row not removed.", error=str(error))

    async def poll_configuration(self) -> None:
        """Poll the configuration's head.

        An entry that is no platform reader polls only if its freshness would
        not be confirmed until the next poll.
        """
        now_s = self._clock()
        if not self._is_platform_reader() and self.freshness.is_confirmed(
            now_s + CONFIGURATION_POLL_S
        ):
            return
        await self.follower.poll(now_s)
        self.freshness.applied(self.follower.current.revision)
        self.freshness.confirmed(now_s)

    async def poll_members(self) -> None:
        """Read the members whose rows are due."""
        await self.directory.poll(self._clock())
        now_s = self._clock()
        self.freshness.members(
            self.directory.registered_entries(),
            self.directory.recently_renewed(STORE_OUTAGE_MAX_S, now_s),
            now_s,
        )

    async def poll_hosts(self) -> None:
        """Read the host list, if this entry is a platform reader."""
        if not self._is_platform_reader():
            return
        sent_s = self._clock()
        host_records = await self._platform.hosts.hosts(
            self.client.call_timeout_s
        )
        self.hosts.update_from_platform(host_records, sent_s)

    async def commit(self, change: configuration.Change, author: str) -> int:
        """Commit an operator's change and return its revision."""
        revision = await self._committer.commit(
            change, author, self._wall_clock()
        )
        self.freshness.applied(revision)
        LOG.info("Change committed.", revision=revision, author=author)
        return revision

    def may_remove(self, entry: str) -> bool:
        """Return whether the row of a silent entry may be removed."""
        return self.freshness.may_remove(entry, self._clock())

    def is_agent(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is a member."""
        return any(
            member.endpoint_id == endpoint_id
            for member in self.directory.agents()
        )

    async def _join(self) -> float:
        sent_s = await self._registration.join(self._wall_clock())
        await self.directory.read_entries(self._clock())
        self.freshness.joined(
            self.directory.registered_entries(), self._clock()
        )
        return sent_s

    async def _renew(self) -> float:
        return await self._registration.renew(
            self._wall_clock(), demand=self.demand.report(self._clock())
        )

    def _is_platform_reader(self) -> bool:
        """Return whether this entry reads the platform for its domain."""
        domain_entries = sorted(
            member.incarnation
            for member in self.directory.entries()
            if member.failure_domain == self.settings.failure_domain
        )
        return (
            not domain_entries
            or self._entry in domain_entries[:READERS_PER_DOMAIN]
        )
