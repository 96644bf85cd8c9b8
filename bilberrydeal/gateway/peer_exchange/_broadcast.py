"""What all exchanges between gateways by datagram have in common."""

import abc
import collections.abc

from .. import cluster_state
from .. import messaging

Clock = collections.abc.Callable[[], float]


class Broadcast(abc.ABC):
    """Sends datagrams to the other gateways and applies theirs."""

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        cluster: cluster_state.ClusterState,
        gateway: str,
        peers: messaging.Peers,
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._cluster = cluster
        #: Name of this gateway.
        self._gateway = gateway
        self._peers = peers
        self._clock = clock
        datagrams.subscribe(self._on_datagram)

    @abc.abstractmethod
    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        """Apply what another gateway has sent."""
