"""Tells other gateways by datagram what is under way at each engine.

Figures are hints: a lost datagram is made good by the next, and nothing is
agreed on here.
"""

import asyncio
import collections.abc
import typing

import attrs
import msgspec

from .. import telemetry
from ..systems import placement
from . import _knowledge

LOG = telemetry.logger("exchange")
#: Shortest time between two datagrams to a gateway.
CHANGE_S = 0.03
#: Datagrams that a gateway sends a second at most, to all others together:
#: with many gateways each hears less often.
DATAGRAMS_PER_S = 250.0
#: Longest time between two datagrams, while something is under way.
REFRESH_S = 0.3
#: Datagrams that may be lost in a row before figures are dropped.
STALE_PAUSES = 4.0
#: Change of waiting tokens that is told at once.
CHANGE_TOKENS = 1_000

Clock = collections.abc.Callable[[], float]
#: Returns the addresses of the other gateways.
Peers = collections.abc.Callable[[], tuple[tuple[str, int], ...]]


@attrs.frozen
class Figures:
    """One datagram."""

    #: Incarnation of the gateway that tells.
    gateway: str
    #: Grows with each datagram of an incarnation.
    sequence: int
    #: What it has under way.
    shares: tuple[placement.EngineShare, ...]


class Exchange(asyncio.DatagramProtocol):
    """Sends own figures and takes those of others."""

    def __init__(
        self,
        knowledge: _knowledge.Knowledge,
        gateway: str,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._knowledge = knowledge
        self._gateway = gateway
        self._clock = clock
        self._loads = placement.PeerLoads()
        self._sequence = 0
        self._sent: tuple[placement.EngineShare, ...] = ()
        self._sent_s = float("-inf")
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Figures)
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, host: str, port: int) -> None:
        """Take datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Take figures of another gateway."""
        try:
            figures = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            LOG.warning("Datagram unreadable.", sender=addr[0], error=error)
            return
        now_s = self._clock()
        if self._loads.take(
            figures.gateway, figures.sequence, figures.shares, now_s
        ):
            self._apply(now_s)

    async def run(self) -> None:
        """Tell what changed, again and again."""
        while True:
            pause_s = max(CHANGE_S, len(self._peers()) / DATAGRAMS_PER_S)
            self._loads.stale_s = max(
                placement.STALE_S, pause_s * STALE_PAUSES
            )
            await asyncio.sleep(pause_s)
            now_s = self._clock()
            shares = self._shares()
            if self._due(shares, now_s):
                self._tell(shares, now_s)
            self._apply(now_s)

    def _apply(self, now_s: float) -> None:
        self._loads.apply(self._knowledge.loads(), now_s)

    def _shares(self) -> tuple[placement.EngineShare, ...]:
        return tuple(
            placement.EngineShare(
                load.engine_id,
                int(load.own.urgent),
                int(load.own.deferred),
                load.own_requests,
            )
            for load in self._knowledge.loads()
            if load.own_requests
        )

    def _due(
        self, shares: tuple[placement.EngineShare, ...], now_s: float
    ) -> bool:
        if not shares and not self._sent:
            return False
        if now_s - self._sent_s >= REFRESH_S:
            return True
        before = {share.engine_id: share for share in self._sent}
        after = {share.engine_id: share for share in shares}
        return any(
            abs(_tokens(before.get(name)) - _tokens(after.get(name)))
            >= CHANGE_TOKENS
            for name in before.keys() | after.keys()
        )

    def _tell(
        self, shares: tuple[placement.EngineShare, ...], now_s: float
    ) -> None:
        self._sequence += 1
        self._sent = shares
        self._sent_s = now_s
        data = self._encoder.encode(
            Figures(self._gateway, self._sequence, shares)
        )
        if self._transport is None:
            return
        for peer in self._peers():
            self._transport.sendto(data, peer)


def _tokens(share: placement.EngineShare | None) -> int:
    if share is None:
        return 0
    return share.urgent_tokens + share.deferred_tokens
