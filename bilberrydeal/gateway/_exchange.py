"""Tells other gateways by datagram what is under way at each engine.

Besides how much is under way it tells which prompts were sent where: so each
gateway follows what an engine keeps from the prompts of all of them.
"""

import asyncio
import collections.abc

from ..systems import placement
from . import _datagrams
from . import _cluster_state
from . import _uplink

#: Shortest time between two datagrams to a gateway.
MIN_INTERVAL_S = 0.012
#: Datagrams that a gateway sends a second at most, to all others together:
#: with many gateways each hears less often.
DATAGRAMS_PER_S = 500.0
#: Share of the host's own link that datagrams may take.
UPLINK_SHARE = 0.04
#: Longest time between two datagrams, while something is under way.
REFRESH_INTERVAL_S = 0.4
#: Datagrams that may be lost in a row before figures are dropped.
STALE_INTERVALS = 4.0
#: Change of waiting tokens that is told at once.
CHANGE_TOKENS = 1_000

Clock = collections.abc.Callable[[], float]


class LoadExchange:
    """Sends own figures and takes those of others."""

    def __init__(
        self,
        datagrams: _datagrams.Datagrams,
        cluster: _cluster_state.ClusterState,
        gateway: str,
        peers: _datagrams.Peers,
        uplink: _uplink.Uplink,
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._peers = peers
        self._uplink = uplink
        #: Bytes that were last told to all others.
        self._last_sent_bytes = 0
        self._cluster = cluster
        self._gateway = gateway
        self._clock = clock
        self._loads = placement.PeerLoads()
        self._sequence = 0
        self._sent: tuple[placement.EngineShare, ...] = ()
        self._sent_s = float("-inf")
        datagrams.subscribe(self._take)

    def _take(self, datagram: _datagrams.Datagram) -> None:
        """Take figures of another gateway."""
        load = datagram.load
        if load is None:
            return
        now_s = self._clock()
        for share in load.shares:
            self._cache_prompts(share)
        if self._loads.take(
            datagram.gateway, load.sequence, load.shares, now_s
        ):
            self._loads.apply(self._cluster.load_of)

    def _cache_prompts(self, share: placement.EngineShare) -> None:
        """Note what another gateway sent to an engine, which keeps it."""
        engine = self._cluster.load_of(share.engine_id)
        if engine is None:
            return
        for prompt in share.prompts:
            engine.cache.use(prompt)

    async def run(self) -> None:
        """Tell what changed, again and again."""
        while True:
            pause_s = self._pause_s()
            self._loads.stale_s = max(
                placement.STALE_S, pause_s * STALE_INTERVALS
            )
            await asyncio.sleep(pause_s)
            self.run_once()

    def run_once(self) -> None:
        """Tell what changed, and drop what others told long ago."""
        now_s = self._clock()
        shares = self._shares()
        if self._due(shares, now_s):
            self._send(shares, now_s)
        self._loads.drop_stale(now_s)
        self._loads.apply(self._cluster.load_of)

    def _pause_s(self) -> float:
        transfer_s = self._uplink.transfer_s(self._last_sent_bytes)
        return max(
            MIN_INTERVAL_S,
            len(self._peers()) / DATAGRAMS_PER_S,
            min(transfer_s / UPLINK_SHARE, REFRESH_INTERVAL_S),
        )

    def _shares(self) -> tuple[placement.EngineShare, ...]:
        return tuple(
            placement.EngineShare(
                load.engine_id,
                int(load.own.urgent),
                int(load.own.deferred),
                list(load.own_counts.by_rank),
                tuple(load.untold),
            )
            for load in self._cluster.loads()
            if load.own_counts.total or load.untold
        )

    def _due(
        self, shares: tuple[placement.EngineShare, ...], now_s: float
    ) -> bool:
        if not shares and not self._sent:
            return False
        if now_s - self._sent_s >= REFRESH_INTERVAL_S:
            return True
        if any(share.prompts for share in shares):
            return True
        before = {share.engine_id: share for share in self._sent}
        after = {share.engine_id: share for share in shares}
        return any(
            abs(_tokens(before.get(name)) - _tokens(after.get(name)))
            >= CHANGE_TOKENS
            for name in before.keys() | after.keys()
        )

    def _send(
        self, shares: tuple[placement.EngineShare, ...], now_s: float
    ) -> None:
        self._sequence += 1
        self._sent = shares
        self._sent_s = now_s
        for share in shares:
            engine = self._cluster.load_of(share.engine_id)
            if engine is not None:
                engine.untold.clear()
        load = _datagrams.LoadReport(self._sequence, shares)
        self._last_sent_bytes = self._datagrams.send(
            _datagrams.Datagram(self._gateway, load=load), self._peers()
        )
        self._uplink.note(self._last_sent_bytes)


def _tokens(share: placement.EngineShare | None) -> int:
    if share is None:
        return 0
    return share.urgent_tokens + share.deferred_tokens
