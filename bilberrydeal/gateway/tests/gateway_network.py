"""Datagrams between several gateways without a network."""

import asyncio
import collections.abc

import attrs

from .. import origins
from ..messaging import _datagrams


@attrs.define
class GatewayNetwork:
    """Delivers datagrams to gateways by their address.

    Example::

        network = GatewayNetwork()
        one, other = network.join("g1"), network.join("g2")
        network.others("g1")  # {"g2": "127.0.0.1:2"}
    """

    #: Members by incarnation.
    members: dict[str, "NetworkDatagrams"] = attrs.field(factory=dict)
    #: Number of next datagrams to lose.
    lose_next: int = 0

    def join(self, incarnation: str) -> "NetworkDatagrams":
        """Return the datagrams of a gateway that has started."""
        joined = NetworkDatagrams(self, ("127.0.0.1", len(self.members) + 1))
        self.members[incarnation] = joined
        return joined

    def others(self, incarnation: str) -> dict[str, str]:
        """Return the addresses of the other gateways by incarnation."""
        return {
            name: f"{member.address[0]}:{member.address[1]}"
            for name, member in self.members.items()
            if name != incarnation
        }

    def peers(self, incarnation: str) -> origins.OriginPeers:
        """Return how a gateway that has joined reaches the others."""
        member = self.members[incarnation]
        return origins.OriginPeers(
            member,
            f"{member.address[0]}:{member.address[1]}",
            lambda: self.others(incarnation),
        )

    def leave(self, incarnation: str) -> None:
        """Let a gateway end; the others still list it."""
        self.members[incarnation].running = False

    def deliver(self, data: bytes, address: _datagrams.Address) -> None:
        """Deliver a datagram soon, unless it is lost."""
        if self.lose_next:
            self.lose_next -= 1
            return
        loop = asyncio.get_running_loop()
        for member in self.members.values():
            if member.address == address and member.running:
                loop.call_soon(member.datagram_received, data, address)


class NetworkDatagrams(_datagrams.Datagrams):
    """Datagrams of one gateway of a network."""

    def __init__(
        self, network: GatewayNetwork, address: _datagrams.Address
    ) -> None:
        super().__init__()
        self._network = network
        self.address = address
        #: Whether the gateway has not ended.
        self.running = True
        #: Datagrams that were sent, one for each recipient.
        self.sent: list[_datagrams.Datagram] = []

    @property
    def origins_sent(self) -> list[_datagrams.StreamOriginReport]:
        """Return the origins that were sent, one for each recipient."""
        return [report for each in self.sent for report in each.origins]

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Send a datagram to gateways."""
        data = self.encode(datagram)
        sent_bytes = 0
        for address in addresses:
            self.sent.append(datagram)
            self._network.deliver(data, address)
            sent_bytes += len(data)
        return sent_bytes
