"""Exchanges state with peer entries."""

import asyncio
import collections.abc
import math
import random

import attrs
import msgspec

from ... import configuration
from ... import keys
from ... import link
from ... import membership
from ... import peers
from ... import settings
from ... import systems
from ... import telemetry
from ...systems import limits
from . import _hosts

LOG = telemetry.logger("exchange")
#: Longest wait for a peer's answer.
ASK_TIMEOUT_S = 1.0
#: Peers asked in each round, besides those that limits are exchanged with.
PEERS_EACH_ROUND = 2
#: Up to so many peers are all asked in each round.
ASK_ALL_UP_TO = 6
#: Rounds of all entries together in a second, at most.
ENTRIES_PER_S = 330.0
#: Questions that run at once.
ASKS_AT_ONCE = 32

# JSON, because revisions hold their change as the JSON of their row.
_ASK = peers.ListCodec(peers.Ask)
_REPLY = peers.ListCodec(peers.Reply)


@attrs.frozen
class PeerSeen:
    """What was last heard of a peer."""

    #: Newest revision that it had applied.
    revision: int
    #: When that was true at the earliest, monotonic.
    at_s: float


class Exchange:
    """Asks peers and answers them."""

    def __init__(
        self,
        sender: peers.Introduction,
        chosen: settings.EntrySettings,
        seal: peers.Seal,
        follower: configuration.Follower,
        freshness: keys.Freshness,
        directory: membership.MemberDirectory,
        hosts: _hosts.LeavingHosts,
        limiter: limits.Limiter,
        tables: systems.Tables,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._sender = sender
        self._seal = seal
        self._follower = follower
        self._freshness = freshness
        self._directory = directory
        self._hosts = hosts
        self._limiter = limiter
        self._tables = tables
        self._clock = clock
        self._random = random.Random(sender.entry)
        self._responder = link.Responder(
            chosen.listen_address, chosen.peer_port
        )
        self._due_s = -math.inf
        #: What was last heard of each peer, by incarnation.
        self.seen: dict[str, PeerSeen] = {}

    async def serve(self) -> None:
        """Answer peers until :meth:`close`."""
        await self._responder.serve(self._answer)

    def close(self) -> None:
        """Stop answering."""
        self._responder.close()

    async def round(self) -> None:
        """Ask those peers whose turn it is, seldomer in a large fleet."""
        now_s = self._clock()
        if now_s < self._due_s:
            return
        self._due_s = now_s + len(self._others()) / ENTRIES_PER_S
        outgoing = self._limiter.exchange(self._tables, now_s)
        messages: dict[str, list[limits.Outgoing]] = {}
        for message in outgoing:
            messages.setdefault(message.entry, []).append(message)
        others = self._others()
        chosen = self._choose(others, now_s)
        asked = [p for p in others if p in chosen or p.incarnation in messages]
        await self._ask_many(asked, messages)

    async def ask_all(self) -> None:
        """Ask every peer now, for an operator."""
        await self._ask_many(self._others(), {})

    def _others(self) -> list[membership.EntryMember]:
        return [
            member
            for member in self._directory.entries()
            if member.incarnation != self._sender.entry
        ]

    def _choose(
        self, others: list[membership.EntryMember], now_s: float
    ) -> list[membership.EntryMember]:
        """Return all peers while this entry is cut off, else a few."""
        alone = not self._freshness.is_confirmed(now_s)
        if alone or len(others) <= ASK_ALL_UP_TO:
            return others
        return self._random.sample(others, PEERS_EACH_ROUND)

    async def _ask_many(
        self,
        members: list[membership.EntryMember],
        messages: dict[str, list[limits.Outgoing]],
    ) -> None:
        gate = asyncio.Semaphore(ASKS_AT_ONCE)

        async def ask(member: membership.EntryMember) -> None:
            async with gate:
                await self._ask(member, messages.get(member.incarnation, []))

        await asyncio.gather(*(ask(member) for member in members))

    async def _ask(
        self,
        member: membership.EntryMember,
        outgoing: list[limits.Outgoing],
    ) -> None:
        sent_s = self._clock()
        question = self._question(outgoing, sent_s)
        sealed = self._seal.close(_ASK.encode(question))
        try:
            answer = await link.ask(
                member.address, member.peer_port, sealed, ASK_TIMEOUT_S
            )
            reply = _REPLY.decode(self._seal.open(answer))
        except (
            link.RequestFailed,
            peers.SealBroken,
            msgspec.MsgspecError,
        ) as error:
            LOG.debug("No answer.", peer=member.incarnation, error=str(error))
            return
        if reply.nonce == question.nonce:
            self._learn(reply, sent_s)

    def _question(
        self, outgoing: list[limits.Outgoing], now_s: float
    ) -> peers.Ask:
        ask = peers.Ask(
            sender=self._sender,
            nonce=f"{self._random.getrandbits(64):x}",
            revision=self._follower.current.revision,
            ages=self._directory.ages(now_s),
        )
        for message in outgoing:
            ask = _with_limits(ask, message.message)
        return ask

    def _learn(self, reply: peers.Reply, sent_s: float) -> None:
        if reply.changes is not None:
            self._follower.offer(reply.changes.revisions)
        self._freshness.applied(self._follower.current.revision)
        self._freshness.learn(reply.knowledge, sent_s)
        self._directory.take_relay(reply.members, sent_s, self._clock())
        self._hosts.take_relay(reply.hosts, sent_s)
        self._note(
            reply.knowledge.incarnation, reply.knowledge.revision, sent_s
        )

    def _answer(self, question: bytes) -> bytes:
        try:
            ask = _ASK.decode(self._seal.open(question))
        except msgspec.MsgspecError as error:
            raise peers.SealBroken(size_bytes=len(question)) from error
        now_s = self._clock()
        self._note(ask.sender.entry, ask.revision, now_s)
        if ask.need is not None:
            self._limiter.receive_need(ask.need, now_s)
        if ask.grant is not None:
            self._limiter.receive_grant(ask.grant, now_s)
        if ask.need_ask is not None:
            self._limiter.receive_ask(ask.need_ask, now_s)
        reply = peers.Reply(
            nonce=ask.nonce,
            knowledge=self._freshness.answer(ask.sender.entry, now_s),
            changes=self._follower.relay_changes(ask.revision),
            members=self._directory.relay(ask.ages, now_s),
            hosts=self._hosts.relay(now_s),
        )
        return self._seal.close(_REPLY.encode(reply))

    def _note(self, entry: str, revision: int, at_s: float) -> None:
        before = self.seen.get(entry)
        if before is None or before.at_s <= at_s:
            self.seen[entry] = PeerSeen(revision, at_s)


def _with_limits(
    ask: peers.Ask,
    message: limits.NeedReport | limits.ShareGrant | limits.NeedAsk,
) -> peers.Ask:
    if isinstance(message, limits.NeedReport):
        return attrs.evolve(ask, need=message)
    if isinstance(message, limits.ShareGrant):
        return attrs.evolve(ask, grant=message)
    return attrs.evolve(ask, need_ask=message)
