"""The members that this process knows of."""

import collections.abc
import hashlib

import attrs

from .. import ports
from .. import store
from . import _members
from . import _relay
from . import _shard

#: Rows that all entries of a region together read in a second, at most.
ROWS_READ_PER_S = 1_000.0
#: The observation clock advances by so many read periods at most.
STEP_PERIODS = 2.0
#: Entries that would read a shard before the rest, one after the other.
RANKS = 4
#: From so many due shards on, the whole table is read at once.
READ_WHOLE_FROM = 8


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
        prefixes = [_members.ENTRIES] + [
            f"{_members.AGENTS}{n:x}/" for n in range(_members.AGENT_SHARDS)
        ]
        step_s = read_s * STEP_PERIODS
        self._shards = {p: _shard.Shard(p, step_s) for p in prefixes}
        #: Last version seen of each entry's row, to notice renewals.
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
        due = self.due(now_s)
        if len(due) >= READ_WHOLE_FROM:
            await self._read_whole(now_s)
            return
        for prefix in due:
            rows = await self._client.scan_all(_members.TABLE, prefix)
            self._take(prefix, rows, now_s)

    async def read_all(self, now_s: float) -> None:
        """Read everything now, as an entry does after it joined."""
        await self._read_whole(now_s)

    def due(self, now_s: float) -> tuple[str, ...]:
        """Return the shards that this process should read now."""
        period_s = self.period_s()
        return tuple(
            prefix
            for prefix, shard in self._shards.items()
            if shard.confirmed_s is None
            or now_s - shard.confirmed_s >= period_s * (1 + self._rank(prefix))
        )

    def period_s(self) -> float:
        """Return the time between two reads of a shard by anybody."""
        rows = sum(len(shard.rows) for shard in self._shards.values())
        return max(self._read_s, rows / ROWS_READ_PER_S)

    # Peers.

    def ages(self, now_s: float) -> tuple[_relay.ShardAge, ...]:
        """Return what to tell a peer, so that it answers with news."""
        return tuple(
            _relay.ShardAge(
                shard=prefix,
                age_s=None
                if shard.confirmed_s is None
                else now_s - shard.confirmed_s,
            )
            for prefix, shard in self._shards.items()
        )

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

    def _merged(self, agent: _members.AgentMember) -> _members.AgentMember:
        host = self._hosts.get(agent.host_id)
        if host is None or host.state is not ports.HostState.LEAVING:
            return agent
        return attrs.evolve(agent, state=_members.MemberState.LEAVING)


def _renewed(shard: _shard.Shard, rows: tuple[ports.Row, ...]) -> bool:
    versions = {key: row.version for key, row in shard.rows.items()}
    return any(versions.get(row.key) != row.version for row in rows)


def _weight(prefix: str, incarnation: str) -> bytes:
    """Return a weight for rendezvous hashing."""
    text = f"{prefix}|{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
