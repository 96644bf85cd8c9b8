"""The members that this process knows of."""

import collections.abc
import hashlib

import attrs

from .. import ports
from .. import store
from . import _members
from . import _relay
from . import _shard

#: Rows a second that the first readers of all shards read together.
ROWS_READ_PER_S = 700.0
#: The observation clock advances by so many read periods at most.
STEP_PERIODS = 2.0
#: Each entry in rank waits twice as long as the one before it, up to here.
RANKS = 4
#: From so many due shards on, the whole table is read at once.
READ_WHOLE_FROM = 8
#: With more entries than that, one that starts reads only the shards that
#: it ranks for and takes the rest from peers.
FEW_ENTRIES = 8
#: Peers are asked about shards older than this share of a read period.
ASK_SHARE = 0.5


class MemberDirectory:
    """Knows entries and agents, from the store or from peers.

    Each shard of the table is read by the entry that ranks first for it;
    the next in rank reads it when no news of it came in time. Without the
    store the view stays as it is.

    Example::

        directory = MemberDirectory(client, "h1.66a.1f", read_s=2.0)
        await directory.poll(now_s)
        directory.agents()
    """

    def __init__(
        self, client: store.StoreClient, own: str, read_s: float
    ) -> None:
        self._client = client
        self._own = own
        self._read_s = read_s
        self._hosts: dict[str, ports.HostRecord] = {}
        self._renewal_seen_s = float("-inf")
        self._started_s: float | None = None
        prefixes = [_members.ENTRIES] + [
            f"{_members.AGENTS}{n:x}/" for n in range(_members.AGENT_SHARDS)
        ]
        step_s = read_s * STEP_PERIODS
        self._shards = {p: _shard.Shard(p, step_s) for p in prefixes}
        #: When each shard's observation clock last advanced.
        self._advanced_s = dict.fromkeys(prefixes, float("-inf"))

    # The view.

    def entries(self) -> tuple[_members.EntryMember, ...]:
        """Return the entries that are alive, the own one included."""
        members = self._shards[_members.ENTRIES].alive()
        found = [m for m in members if isinstance(m, _members.EntryMember)]
        return tuple(sorted(found, key=lambda member: member.key))

    def agents(self) -> tuple[_members.AgentMember, ...]:
        """Return the agents that are alive, those of leaving hosts as such."""
        found = [
            self._merged(member)
            for prefix, shard in self._shards.items()
            if prefix != _members.ENTRIES
            for member in shard.alive()
            if isinstance(member, _members.AgentMember)
        ]
        return tuple(sorted(found, key=lambda member: member.key))

    def present(self) -> frozenset[str]:
        """Return the incarnations of all entries that have rows."""
        return frozenset(
            row.member.incarnation
            for row in self._shards[_members.ENTRIES].rows.values()
            if row.member is not None
        )

    def young(self, limit_s: float, now_s: float) -> frozenset[str]:
        """Return entries whose row this process saw change in some time."""
        return frozenset(
            row.member.incarnation
            for row in self._shards[_members.ENTRIES].rows.values()
            if row.member is not None and now_s - row.seen_s <= limit_s
        )

    def age_s(self, now_s: float) -> float | None:
        """Return the oldest shard's age, ``None`` before all are known."""
        ages = [shard.confirmed_s for shard in self._shards.values()]
        known = [age for age in ages if age is not None]
        return now_s - min(known) if len(known) == len(ages) else None

    def take_hosts(
        self, hosts: collections.abc.Iterable[ports.HostRecord]
    ) -> None:
        """Take the platform's list, which lags and may miss hosts."""
        self._hosts = {host.host_id: host for host in hosts}

    # Reads.

    async def poll(self, now_s: float) -> None:
        """Read the shards that are due; raises ``StoreUnavailable``."""
        if self._shards[_members.ENTRIES].confirmed_s is None:
            await self.read_entries(now_s)
        due = self.due(now_s)
        if len(due) >= READ_WHOLE_FROM:
            await self._read_whole(now_s)
            return
        for prefix in due:
            await self._read_shard(prefix, now_s)

    async def read_entries(self, now_s: float) -> None:
        """Read the entries now, as an entry does after it joined."""
        await self._read_shard(_members.ENTRIES, now_s)

    async def read_all(self, now_s: float) -> None:
        """Read everything now."""
        await self._read_whole(now_s)

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
        if len(self.entries()) <= FEW_ENTRIES:
            return True
        started_s = self._started_s or now_s
        return now_s - started_s >= wait_s - period_s

    def period_s(self) -> float:
        """Return the time between two reads of a shard by anybody."""
        rows = sum(len(shard.rows) for shard in self._shards.values())
        return max(self._read_s, rows / ROWS_READ_PER_S)

    # Peers.

    def ages(self, now_s: float) -> tuple[_relay.ShardAge, ...]:
        """Return what to tell a peer, so that it answers with news.

        Shards whose knowledge is young are left out.
        """
        old_s = self.period_s() * ASK_SHARE
        found = []
        for prefix, shard in self._shards.items():
            age_s = None
            if shard.confirmed_s is not None:
                age_s = now_s - shard.confirmed_s
            if age_s is None or age_s >= old_s:
                found.append(_relay.ShardAge(shard=prefix, age_s=age_s))
        return tuple(found)

    def relay(
        self, ages: collections.abc.Iterable[_relay.ShardAge], now_s: float
    ) -> _relay.MemberRelay:
        """Return the news of shards that the asker knows less of."""
        found: list[_relay.RelayedShard] = []
        for asked in ages:
            shard = self._shards.get(asked.shard)
            if shard is None or shard.confirmed_s is None:
                continue
            own_age_s = now_s - shard.confirmed_s
            if asked.age_s is None or own_age_s < asked.age_s:
                found.append(shard.news(asked.age_s, now_s))
        return _relay.MemberRelay(shards=tuple(found))

    def take_relay(
        self, relay: _relay.MemberRelay, sent_s: float, now_s: float
    ) -> None:
        """Take a peer's news, asked for at ``sent_s``."""
        for relayed in relay.shards:
            shard = self._shards.get(relayed.shard)
            if shard is not None:
                shard.take_news(relayed, sent_s, now_s)

    async def _read_shard(self, prefix: str, now_s: float) -> None:
        rows = await self._client.scan_all(_members.TABLE, prefix)
        self._take(prefix, rows, now_s)

    async def _read_whole(self, now_s: float) -> None:
        rows = await self._client.scan_all(_members.TABLE, "")
        for prefix in self._shards:
            found = tuple(r for r in rows if r.key.startswith(prefix))
            self._take(prefix, found, now_s)

    def _take(
        self, prefix: str, rows: tuple[ports.Row, ...], now_s: float
    ) -> None:
        shard = self._shards[prefix]
        if prefix == _members.ENTRIES and _renewed(shard, rows):
            self._renewal_seen_s = now_s
        renewals = self._renewal_seen_s > self._advanced_s[prefix]
        self._advanced_s[prefix] = now_s
        shard.take_read(rows, now_s, renewals)

    def _rank(self, prefix: str) -> int:
        """Return how many entries read a shard before this one."""
        names = [entry.incarnation for entry in self.entries()]
        own = _weight(prefix, self._own)
        ahead = sum(1 for name in names if _weight(prefix, name) > own)
        return min(ahead, RANKS)

    def host_leaves(self, host_id: str) -> bool:
        """Return whether the platform takes a host away."""
        host = self._hosts.get(host_id)
        return host is not None and host.state is ports.HostState.LEAVING

    def _merged(self, agent: _members.AgentMember) -> _members.AgentMember:
        if not self.host_leaves(agent.host_id):
            return agent
        return attrs.evolve(agent, state=_members.MemberState.LEAVING)


def _renewed(shard: _shard.Shard, rows: tuple[ports.Row, ...]) -> bool:
    versions = {key: row.version for key, row in shard.rows.items()}
    return any(versions.get(row.key) != row.version for row in rows)


def _weight(prefix: str, incarnation: str) -> bytes:
    """Return a weight for rendezvous hashing."""
    text = f"{prefix}|{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
