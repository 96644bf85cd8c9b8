"""Tells other gateways which engines are changing their roles.

An engine that changes its role rejects all requests until it is back. Only
the gateway that gave the order knows of it; without being told, each of the
others would find out by requests that the engine rejects.
"""

import collections.abc

from .. import telemetry
from . import _datagrams
from . import _knowledge

LOG = telemetry.logger("changing")
#: Time for which what was told holds unless it is told again, in seconds.
TOLD_S = 1.6

Clock = collections.abc.Callable[[], float]


class ChangingEngines:
    """Takes the engines that are changing, from here or from others.

    Example::

        changing.tell(["engine-3"])  # each round until it is back
    """

    def __init__(
        self,
        datagrams: _datagrams.Datagrams,
        knowledge: _knowledge.Knowledge,
        gateway: str,
        peers: _datagrams.Peers,
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._knowledge = knowledge
        self._gateway = gateway
        self._peers = peers
        self._clock = clock
        datagrams.hand_to(self._take)

    def tell(self, engine_ids: collections.abc.Sequence[str]) -> None:
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
            known = self._knowledge.endpoints.get(engine_id)
            if known is None:
                continue
            if not known.changing(now_s):
                LOG.info(
                    "Engine changes its role.",
                    endpoint=engine_id,
                    told_by=datagram.gateway,
                )
            known.changing_until_s = now_s + TOLD_S
