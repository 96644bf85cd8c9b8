"""Tells other gateways which engines are changing their roles.

An engine that changes its role rejects all requests until it is back. Only
the gateway that gave the order knows of it; without being told, each of the
others would find out by requests that the engine rejects.
"""

import collections.abc

from .. import telemetry
from . import _datagrams
from . import _cluster_state

LOG = telemetry.logger("changing")
#: Time for which what was told holds unless it is told again, in seconds.
ANNOUNCEMENT_TTL_S = 1.6

Clock = collections.abc.Callable[[], float]


class RoleChangeBroadcast:
    """Takes the engines that are changing, from here or from others.

    Example::

        changing.announce(["engine-3"])  # each round until it is back
    """

    def __init__(
        self,
        datagrams: _datagrams.Datagrams,
        cluster: _cluster_state.ClusterState,
        gateway: str,
        peers: _datagrams.Peers,
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._cluster = cluster
        self._gateway = gateway
        self._peers = peers
        self._clock = clock
        datagrams.subscribe(self._take)

    def announce(self, engine_ids: collections.abc.Sequence[str]) -> None:
        """Tell all gateways, this one too, that engines are changing."""
        if not engine_ids:
            return
        datagram = _datagrams.Datagram(
            self._gateway, changing=tuple(engine_ids)
        )
        self._take(datagram)
        self._datagrams.send(datagram, self._peers())

    def _take(self, datagram: _datagrams.Datagram) -> None:
        now_s = self._clock()
        for engine_id in datagram.changing:
            upstream = self._cluster.endpoints.get(engine_id)
            if upstream is None:
                continue
            if not upstream.changing_role(now_s):
                LOG.info(
                    "Engine changes its role.",
                    endpoint=engine_id,
                    told_by=datagram.gateway,
                )
            upstream.changing_until_s = now_s + ANNOUNCEMENT_TTL_S
