"""Follows the platform's tables: configuration, members and hosts."""

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
#: Time between two polls of the configuration by an entry that reads it.
CONFIGURATION_POLL_S = 1.0
#: Time between two reads of the host list.
HOSTS_READ_S = 3.0
#: Longest time that an entry goes on without the store at all.
PACT_LONGEST_S = 3600.0
#: Entries of a failure domain that read the configuration's head and the
#: host list for the others.
READERS_PER_DOMAIN = 3


class Following:
    """What this entry knows from the tables, and its own row there."""

    def __init__(
        self,
        entry: str,
        chosen: settings.EntrySettings,
        platform: adapters.Platform,
        pepper: bytes,
        clock: collections.abc.Callable[[], float],
        wall: collections.abc.Callable[[], float],
    ) -> None:
        self._entry = entry
        self.settings = chosen
        self._platform = platform
        self._clock = clock
        self._wall = wall
        self.client = store.StoreClient(
            platform.table,
            chosen.store.call_timeout_s,
            chosen.store.call_rate_per_s,
        )
        #: Claims are written at the pace of callers, not of upkeep.
        self.claims_client = store.StoreClient(
            platform.table,
            chosen.store.call_timeout_s,
            chosen.store.claim_rate_per_s,
        )
        self.follower = configuration.Follower(self.client, platform.objects)
        self.freshness = keys.Freshness(
            own=entry,
            bound_s=chosen.key_stale_bound_s,
            margin_s=chosen.duties.margin_s,
            pact_longest_s=PACT_LONGEST_S,
            call_longest_s=self.client.longest_s,
        )
        self._committer = configuration.Committer(
            self.client,
            platform.objects,
            self.follower,
            guard=self.freshness,
            standing=membership.standing_key(entry),
        )
        self.member = membership.EntryMember(
            incarnation=entry,
            host_id=chosen.host_id,
            address=chosen.advertise_address,
            peer_port=chosen.peer_port,
            failure_domain=chosen.failure_domain,
            region=chosen.region,
            renew_s=chosen.membership.renew_s,
        )
        self._registration = membership.Registration(self.client, self.member)
        self.directory = membership.MemberDirectory(
            self.client, entry, chosen.membership.read_s
        )
        self.hosts = _hosts.LeavingHosts(self.directory)
        self.demand = core.DemandMeter(clock())
        self.key_directory = keys.KeyDirectory(self.current, pepper)

    def current(self) -> configuration.Configuration:
        """Return the newest configuration known here."""
        return self.follower.current

    def keys_age_s(self) -> float:
        """Return the age of what is known of withdrawn keys; -1 for none."""
        age_s = self.freshness.age_s(self._clock())
        return -1.0 if age_s is None else age_s

    async def keep_row(self) -> None:
        """Join as soon as the store can be reached, then renew the row.

        Returns when another incarnation took the row, which ends this one.
        """
        joined = False
        while True:
            try:
                sent_s = await (self._renew() if joined else self._join())
                joined = True
                self.freshness.renewed(sent_s)
            except membership.RowTaken:
                LOG.error("The own row was taken.")
                return
            except (errors.StoreUnavailable, errors.OutcomeUnknown) as error:
                LOG.warning("Row was not renewed.", error=str(error))
            entries = len(self.directory.entries())
            await asyncio.sleep(self._registration.renewal_s(entries))

    async def leave(self) -> None:
        """Remove the own row."""
        try:
            await self._registration.leave()
        except errors.BilberrydealError as error:
            LOG.warning("Row was not removed.", error=str(error))

    async def poll_configuration(self) -> None:
        """Read the head, where this entry is among its few readers."""
        now_s = self._clock()
        if not self._reads_platform() and self.freshness.is_confirmed(
            now_s + CONFIGURATION_POLL_S
        ):
            return
        await self.follower.poll(now_s)
        self.freshness.applied(self.follower.current.revision)
        self.freshness.confirmed(now_s)

    async def poll_members(self) -> None:
        """Read the members that are due."""
        await self.directory.poll(self._clock())
        now_s = self._clock()
        self.freshness.members(
            self.directory.present(),
            self.directory.young(PACT_LONGEST_S, now_s),
            now_s,
        )

    async def poll_hosts(self) -> None:
        """Read the host list, where this entry is among its few readers."""
        if not self._reads_platform():
            return
        sent_s = self._clock()
        found = await self._platform.hosts.hosts(self.client.call_timeout_s)
        self.hosts.take_list(found, sent_s)

    async def commit(self, change: configuration.Change, author: str) -> int:
        """Commit a change for an operator; return its revision."""
        revision = await self._committer.commit(change, author, self._wall())
        self.freshness.applied(revision)
        LOG.info("Change committed.", revision=revision, author=author)
        return revision

    def may_remove(self, entry: str) -> bool:
        """Return whether the row of an entry that is silent may go."""
        return self.freshness.may_remove(entry, self._clock())

    def is_agent(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is a member."""
        return any(
            member.endpoint_id == endpoint_id
            for member in self.directory.agents()
        )

    async def _join(self) -> float:
        sent_s = await self._registration.join(self._wall())
        await self.directory.read_entries(self._clock())
        self.freshness.joined(self.directory.present(), self._clock())
        return sent_s

    async def _renew(self) -> float:
        return await self._registration.renew(
            self._wall(), demand=self.demand.report(self._clock())
        )

    def _reads_platform(self) -> bool:
        """Whether this entry is one of the few that read for the others."""
        here = sorted(
            member.incarnation
            for member in self.directory.entries()
            if member.failure_domain == self.settings.failure_domain
        )
        return not here or self._entry in here[:READERS_PER_DOMAIN]
