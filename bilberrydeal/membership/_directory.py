"""Directory of the known members."""

import collections.abc
import hashlib
import math

import attrs

from .. import ports
from .. import store
from . import _members
from . import _relay
from . import _shard

#: Rows per second read by the first-ranked readers of all shards together.
ROWS_READ_PER_S = 700.0
#: Largest step of the observation clock, in read periods.
MAX_CLOCK_STEP_PERIODS = 2.0
#: Highest rank: the wait before a read doubles with each rank up to this one.
MAX_RANK = 4
#: Number of due shards from which the whole table is scanned at once.
FULL_SCAN_SHARDS = 8
#: With more entries than this, a starting entry reads only the shards that it
#: ranks for and receives the others from peers.
SMALL_FLEET_ENTRIES = 8
#: Peers are asked for shards older than this share of a read period.
REFRESH_AGE_SHARE = 0.5


class MemberDirectory:
    """Lists live entries and agents, from the store or from peers.

    Each shard of the table is read by the entry that ranks first for it. The
    next in rank reads it if no update arrives in time. The view does not
    change during an outage of the store.

    Example::

        directory = MemberDirectory(client, "h1.66a.1f", read_s=2.0)
        await directory.poll(now_s)
        directory.agents()
    """

    def __init__(
        self, client: store.StoreClient, incarnation: str, read_s: float
    ) -> None:
        self._client = client
        self._incarnation = incarnation
        self._read_s = read_s
        self._hosts: dict[str, ports.HostRecord] = {}
        self._renewal_seen_s = float("-inf")
        self._started_s: float | None = None
        prefixes = [_members.ENTRIES] + [
            f"{_members.AGENTS}{n:x}/" for n in range(_members.AGENT_SHARDS)
        ]
        step_s = read_s * MAX_CLOCK_STEP_PERIODS
        self._shards = {p: _shard.Shard(p, step_s) for p in prefixes}
        #: Time of the last applied scan of each shard.
        self._scanned_s = dict.fromkeys(prefixes, float("-inf"))

    # The view.

    def entries(self) -> tuple[_members.EntryMember, ...]:
        """Return the live entries, including this one."""
        members = self._shards[_members.ENTRIES].alive()
        found = [m for m in members if isinstance(m, _members.EntryMember)]
        return tuple(sorted(found, key=lambda member: member.key))

    def agents(self) -> tuple[_members.AgentMember, ...]:
        """Return the live agents; those on leaving hosts are ``LEAVING``."""
        found = [
            self._with_host_state(member)
            for prefix, shard in self._shards.items()
            if prefix != _members.ENTRIES
            for member in shard.alive()
            if isinstance(member, _members.AgentMember)
        ]
        return tuple(sorted(found, key=lambda member: member.key))

    def registered_entries(self) -> frozenset[str]:
        """Return the incarnations of all entries that have a row."""
        return frozenset(
            row.member.incarnation
            for row in self._shards[_members.ENTRIES].rows.values()
            if row.member is not None
        )

    def recently_renewed(self, limit_s: float, now_s: float) -> frozenset[str]:
        """Return entries whose row changed within ``limit_s``.

        Changes count from the time at which this process saw them.
        """
        return frozenset(
            row.member.incarnation
            for row in self._shards[_members.ENTRIES].rows.values()
            if row.member is not None and now_s - row.last_seen_s <= limit_s
        )

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the oldest shard, ``None`` if one is unknown."""
        ages = [shard.confirmed_s for shard in self._shards.values()]
        known = [age for age in ages if age is not None]
        return now_s - min(known) if len(known) == len(ages) else None

    def set_hosts(
        self, hosts: collections.abc.Iterable[ports.HostRecord]
    ) -> None:
        """Set the platform's host list, which may lag and miss hosts."""
        self._hosts = {host.host_id: host for host in hosts}

    # Reads of the store.

    async def poll(self, now_s: float) -> None:
        """Read the shards that are due, or raise ``StoreUnavailable``."""
        if self._shards[_members.ENTRIES].confirmed_s is None:
            await self.read_entries(now_s)
        due = self.due(now_s)
        if len(due) >= FULL_SCAN_SHARDS:
            await self._scan_table(now_s)
            return
        for prefix in due:
            await self._scan_shard(prefix, now_s)

    async def read_entries(self, now_s: float) -> None:
        """Read the entries now, as an entry does after joining."""
        await self._scan_shard(_members.ENTRIES, now_s)

    async def read_all(self, now_s: float) -> None:
        """Read the whole table now."""
        await self._scan_table(now_s)

    def due(self, now_s: float) -> tuple[str, ...]:
        """Return the shards that this process should read now."""
        if self._started_s is None:
            self._started_s = now_s
        entries = self._shards[_members.ENTRIES]
        if entries.confirmed_s is None:
            return (_members.ENTRIES,)
        return tuple(
            prefix
            for prefix, shard in self._shards.items()
            if self._is_due(shard, now_s)
        )

    def _is_due(self, shard: _shard.Shard, now_s: float) -> bool:
        period_s = self.period_s()
        wait_s = period_s * (1 << self._rank(shard.prefix))
        if shard.confirmed_s is not None:
            return now_s - shard.confirmed_s >= wait_s
        if len(self.entries()) <= SMALL_FLEET_ENTRIES:
            return True
        started_s = self._started_s or now_s
        return now_s - started_s >= wait_s - period_s

    def period_s(self) -> float:
        """Return the time between two reads of a shard by any entry."""
        rows = sum(len(shard.rows) for shard in self._shards.values())
        return max(self._read_s, rows / ROWS_READ_PER_S)

    # Exchange with peers.

    def shard_ages(self, now_s: float) -> _relay.ShardAges:
        """Return the shard ages to send to a peer, which answers with updates.

        The age of a recently confirmed shard is 0, which requests no update.
        """
        refresh_age_s = self.period_s() * REFRESH_AGE_SHARE
        found: list[float | None] = []
        for shard in self._shards.values():
            if shard.confirmed_s is None:
                found.append(None)
                continue
            age_s = now_s - shard.confirmed_s
            found.append(_round_up(age_s) if age_s >= refresh_age_s else 0.0)
        return tuple(found)

    def updates_for(
        self, ages: _relay.ShardAges, now_s: float
    ) -> _relay.MemberRelay:
        """Return updates of shards that are older at the requester."""
        found: list[_relay.RelayedShard] = []
        for age_s, shard in zip(ages, self._shards.values(), strict=False):
            if shard.confirmed_s is None:
                continue
            own_age_s = now_s - shard.confirmed_s
            if age_s is None or own_age_s < age_s:
                found.append(shard.update_since(age_s, now_s))
        return _relay.MemberRelay(shards=tuple(found))

    def apply_relay(
        self, relay: _relay.MemberRelay, sent_s: float, now_s: float
    ) -> None:
        """Apply a peer's updates, requested at ``sent_s``."""
        for relayed in relay.shards:
            shard = self._shards.get(relayed.shard)
            if shard is not None:
                shard.apply_update(relayed, sent_s, now_s)

    async def _scan_shard(self, prefix: str, now_s: float) -> None:
        rows = await self._client.scan_all(_members.TABLE, prefix)
        self._apply_scan(prefix, rows, now_s)

    async def _scan_table(self, now_s: float) -> None:
        rows = await self._client.scan_all(_members.TABLE, "")
        for prefix in self._shards:
            found = tuple(r for r in rows if r.key.startswith(prefix))
            self._apply_scan(prefix, found, now_s)

    def _apply_scan(
        self, prefix: str, rows: tuple[ports.Row, ...], now_s: float
    ) -> None:
        shard = self._shards[prefix]
        if prefix == _members.ENTRIES and _has_renewal(shard, rows):
            self._renewal_seen_s = now_s
        renewal_seen = self._renewal_seen_s > self._scanned_s[prefix]
        self._scanned_s[prefix] = now_s
        shard.apply_scan(rows, now_s, renewal_seen)

    def _rank(self, prefix: str) -> int:
        """Return this entry's rank for a shard, 0 for its first reader."""
        names = [entry.incarnation for entry in self.entries()]
        own_weight = _weight(prefix, self._incarnation)
        ahead = sum(1 for name in names if _weight(prefix, name) > own_weight)
        return min(ahead, MAX_RANK)

    def is_host_leaving(self, host_id: str) -> bool:
        """Return whether the platform is removing a host."""
        host = self._hosts.get(host_id)
        return host is not None and host.state is ports.HostState.LEAVING

    def _with_host_state(
        self, agent: _members.AgentMember
    ) -> _members.AgentMember:
        if not self.is_host_leaving(agent.host_id):
            return agent
        return attrs.evolve(agent, state=_members.MemberState.LEAVING)


def _has_renewal(shard: _shard.Shard, rows: tuple[ports.Row, ...]) -> bool:
    versions = {key: row.version for key, row in shard.rows.items()}
    return any(versions.get(row.key) != row.version for row in rows)


def _weight(prefix: str, incarnation: str) -> bytes:
    """Return the rendezvous hashing weight of an entry for a shard."""
    text = f"{prefix}|{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _round_up(age_s: float) -> float:
    """Return an age rounded up to tenths, so that it is never too young."""
    return math.ceil(age_s * 10) / 10
