"""Datagrams between gateways.

What they carry is a hint or repeats what its sender knows: one that is lost
is made good by the next, and nothing is agreed on here.
"""

import asyncio
import collections.abc
import typing

import attrs
import msgspec

from .. import telemetry
from ..systems import placement

LOG = telemetry.logger("datagrams")

#: Bytes of the headers of a packet.
PACKET_BYTES = 42

#: Where a gateway takes datagrams.
Address = tuple[str, int]


@attrs.frozen
class LoadFigures:
    """What a gateway has under way at the engines."""

    #: Grows with each datagram of an incarnation.
    sequence: int
    #: What it has under way.
    shares: tuple[placement.EngineShare, ...]


@attrs.frozen
class WindowCounts:
    """Requests that a gateway counted in one usage window."""

    #: Number of the window.
    window: int
    #: Requests that began, by organisation.
    counts: dict[str, int]
    #: The store's clock when they were told, in seconds.
    told_s: float


@attrs.frozen
class Datagram:
    """What one gateway tells another."""

    #: Incarnation of the gateway that tells.
    gateway: str
    load: LoadFigures | None = None
    counts: WindowCounts | None = None
    #: Engines that are changing their roles by its order.
    changing: tuple[str, ...] = ()


Taker = collections.abc.Callable[[Datagram], None]


class Datagrams(asyncio.DatagramProtocol):
    """Sends datagrams, and hands those that come in to all takers."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Datagram)
        self._transport: asyncio.DatagramTransport | None = None
        self._takers: list[Taker] = []

    def hand_to(self, taker: Taker) -> None:
        """Hand datagrams that come in to one more taker."""
        self._takers.append(taker)

    async def listen(self, host: str, port: int) -> None:
        """Take datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def send(
        self,
        datagram: Datagram,
        addresses: collections.abc.Iterable[Address],
    ) -> int:
        """Send a datagram to some gateways; return the bytes of all."""
        if self._transport is None:
            return 0
        data = self._encoder.encode(datagram)
        sent_bytes = 0
        for address in addresses:
            self._transport.sendto(data, address)
            sent_bytes += len(data) + PACKET_BYTES
        return sent_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Hand a datagram on."""
        try:
            datagram = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            LOG.warning("Datagram unreadable.", sender=addr[0], error=error)
            return
        for take in self._takers:
            take(datagram)
