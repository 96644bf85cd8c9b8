"""Exchanges state with peer entries."""

import asyncio
import collections.abc
import math
import random

import attrs

from ... import configuration
from ... import decoding
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
#: Timeout for a peer's answer.
EXCHANGE_TIMEOUT_S = 1.0
#: Peers asked in each round, besides those with limit messages to send.
PEERS_PER_ROUND = 2
#: Up to this number of peers, all are asked in each round.
ASK_ALL_MAX_PEERS = 6
#: Maximum rounds per second, over all entries together.
MAX_ROUNDS_PER_S = 330.0
#: Maximum number of concurrent exchanges.
MAX_CONCURRENT_EXCHANGES = 32

# JSON, because a revision contains its change as the JSON of its row.
_REQUEST_CODEC = peers.ArrayCodec(peers.ExchangeRequest)
_REPLY_CODEC = peers.ArrayCodec(peers.ExchangeReply)


@attrs.frozen
class PeerStatus:
    """The last known state of a peer."""

    #: Newest revision that the peer had applied.
    revision: int
    #: Earliest time at which that was true, monotonic.
    at_s: float


class PeerExchange:
    """Asks peers for their state and answers their questions."""

    def __init__(
        self,
        sender: peers.EntryAddress,
        entry_settings: settings.EntrySettings,
        authenticator: peers.MessageAuthenticator,
        follower: configuration.Follower,
        freshness: keys.Freshness,
        directory: membership.MemberDirectory,
        hosts: _hosts.LeavingHosts,
        limiter: limits.Limiter,
        tables: systems.Tables,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._sender = sender
        self._authenticator = authenticator
        self._follower = follower
        self._freshness = freshness
        self._directory = directory
        self._hosts = hosts
        self._limiter = limiter
        self._tables = tables
        self._clock = clock
        self._random = random.Random(sender.entry)
        self._responder = link.Responder(
            entry_settings.listen_address, entry_settings.peer_port
        )
        self._next_round_s = -math.inf
        #: Last known state of each peer, by incarnation.
        self.peer_statuses: dict[str, PeerStatus] = {}

    async def serve(self) -> None:
        """Answer peers until :meth:`close`."""
        await self._responder.serve(self._answer)

    def close(self) -> None:
        """Stop answering."""
        self._responder.close()

    async def run_round(self) -> None:
        """Ask a selection of peers, less often in a large fleet."""
        now_s = self._clock()
        if now_s < self._next_round_s:
            return
        self._next_round_s = (
            now_s + len(self._other_entries()) / MAX_ROUNDS_PER_S
        )
        outgoing = self._limiter.exchange(self._tables, now_s)
        messages: dict[str, list[limits.OutgoingMessage]] = {}
        for message in outgoing:
            messages.setdefault(message.entry, []).append(message)
        other_entries = self._other_entries()
        chosen = self._choose(other_entries, now_s)
        asked = [
            p
            for p in other_entries
            if p in chosen or p.incarnation in messages
        ]
        await self._exchange_with(asked, messages)

    async def ask_all(self) -> None:
        """Ask every peer now, for an operator."""
        await self._exchange_with(self._other_entries(), {})

    def _other_entries(self) -> list[membership.EntryMember]:
        return [
            member
            for member in self._directory.entries()
            if member.incarnation != self._sender.entry
        ]

    def _choose(
        self, other_entries: list[membership.EntryMember], now_s: float
    ) -> list[membership.EntryMember]:
        """Return all peers while freshness is unconfirmed, else a sample."""
        unconfirmed = not self._freshness.is_confirmed(now_s)
        if unconfirmed or len(other_entries) <= ASK_ALL_MAX_PEERS:
            return other_entries
        return self._random.sample(other_entries, PEERS_PER_ROUND)

    async def _exchange_with(
        self,
        members: list[membership.EntryMember],
        messages: dict[str, list[limits.OutgoingMessage]],
    ) -> None:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_EXCHANGES)

        async def exchange(member: membership.EntryMember) -> None:
            async with semaphore:
                await self._exchange(
                    member, messages.get(member.incarnation, [])
                )

        await asyncio.gather(*(exchange(member) for member in members))

    async def _exchange(
        self,
        member: membership.EntryMember,
        outgoing: list[limits.OutgoingMessage],
    ) -> None:
        sent_s = self._clock()
        request = self._build_request(outgoing, sent_s)
        signed = self._authenticator.sign(_REQUEST_CODEC.encode(request))
        try:
            answer = await link.send_request(
                member.address, member.peer_port, signed, EXCHANGE_TIMEOUT_S
            )
            reply = _REPLY_CODEC.decode(self._authenticator.verify(answer))
        except (
            link.RequestFailed,
            peers.SealBroken,
            *decoding.DECODE_ERRORS,
        ) as error:
            LOG.debug(
                "No valid answer from peer.",
                peer=member.incarnation,
                error=str(error),
            )
            return
        if reply.nonce == request.nonce:
            self._apply_reply(reply, sent_s)

    def _build_request(
        self, outgoing: list[limits.OutgoingMessage], now_s: float
    ) -> peers.ExchangeRequest:
        request = peers.ExchangeRequest(
            sender=self._sender,
            nonce=f"{self._random.getrandbits(64):x}",
            revision=self._follower.current.revision,
            ages=self._directory.shard_ages(now_s),
        )
        for message in outgoing:
            request = _with_limit_message(request, message.message)
        return request

    def _apply_reply(self, reply: peers.ExchangeReply, sent_s: float) -> None:
        if reply.changes is not None:
            self._follower.apply_relayed(reply.changes.revisions)
        self._freshness.applied(self._follower.current.revision)
        self._freshness.learn(reply.knowledge, sent_s)
        self._directory.apply_relay(reply.members, sent_s, self._clock())
        self._hosts.update_from_peer(reply.hosts, sent_s)
        self._record_peer(
            reply.knowledge.incarnation, reply.knowledge.revision, sent_s
        )

    def _answer(self, signed: bytes) -> bytes:
        try:
            request = _REQUEST_CODEC.decode(self._authenticator.verify(signed))
        except decoding.DECODE_ERRORS as error:
            raise peers.SealBroken(size_bytes=len(signed)) from error
        now_s = self._clock()
        self._record_peer(request.sender.entry, request.revision, now_s)
        if request.need is not None:
            self._limiter.receive_need(request.need, now_s)
        if request.grant is not None:
            self._limiter.receive_grant(request.grant, now_s)
        if request.need_report_request is not None:
            self._limiter.receive_report_request(
                request.need_report_request, now_s
            )
        reply = peers.ExchangeReply(
            nonce=request.nonce,
            knowledge=self._freshness.answer(request.sender.entry, now_s),
            changes=self._follower.relay_changes(request.revision),
            members=self._directory.updates_for(request.ages, now_s),
            hosts=self._hosts.relay(now_s),
        )
        return self._authenticator.sign(_REPLY_CODEC.encode(reply))

    def _record_peer(self, entry: str, revision: int, at_s: float) -> None:
        before = self.peer_statuses.get(entry)
        if before is None or before.at_s <= at_s:
            self.peer_statuses[entry] = PeerStatus(revision, at_s)


def _with_limit_message(
    request: peers.ExchangeRequest,
    message: limits.NeedReport | limits.ShareGrant | limits.NeedReportRequest,
) -> peers.ExchangeRequest:
    if isinstance(message, limits.NeedReport):
        return attrs.evolve(request, need=message)
    if isinstance(message, limits.ShareGrant):
        return attrs.evolve(request, grant=message)
    return attrs.evolve(request, need_report_request=message)
