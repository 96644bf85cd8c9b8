"""Exchanges load reports with other gateways by datagram.

Besides the load at each engine a report lists which prompts were sent to it,
so that each gateway tracks the engine's cache over the prompts of all of them,
and the prefill times that were measured, so that all learn its speed.
"""

import asyncio

from ...systems import placement
from .. import _uplink
from .. import cluster_state
from .. import messaging
from . import _broadcast

#: Shortest interval between datagrams to a gateway.
MIN_INTERVAL_S = 0.012
#: Most datagrams a second that a gateway sends to all others together; with
#: many gateways each receives them less often.
DATAGRAMS_PER_S = 500.0
#: Share of the host's uplink for datagrams.
UPLINK_SHARE = 0.04
#: Longest interval between datagrams while requests are in flight.
REFRESH_INTERVAL_S = 0.4
#: Datagrams that may be lost in a row before a report is stale.
REPORT_AGE_INTERVALS = 4.0
#: Change of waiting tokens that is sent immediately.
CHANGE_TOKENS = 1_000


class LoadExchange(_broadcast.Broadcast):
    """Sends this gateway's load and receives that of the others."""

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        cluster: cluster_state.ClusterState,
        gateway: str,
        peers: messaging.Peers,
        uplink: _uplink.Uplink,
        clock: _broadcast.Clock,
    ) -> None:
        super().__init__(datagrams, cluster, gateway, peers, clock)
        self._uplink = uplink
        #: Bytes of the last report, over all recipients.
        self._last_sent_bytes = 0
        self._loads = placement.PeerLoads()
        self._sequence = 0
        self._sent: tuple[placement.GatewayEngineLoad, ...] = ()
        self._sent_s = float("-inf")

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        """Apply the load report of another gateway."""
        load = datagram.load
        if load is None:
            return
        now_s = self._clock()
        newest = self._loads.update(
            datagram.gateway, load.sequence, load.engine_loads, now_s
        )
        self._loads.learn(
            datagram.gateway,
            load.engine_loads,
            self._cluster.load_of,
            now_s,
            newest,
        )
        if newest:
            self._loads.apply(self._cluster.load_of)

    async def run(self) -> None:
        """Send load reports until cancelled."""
        while True:
            pause_s = self._pause_s()
            self._loads.max_report_age_s = max(
                placement.MAX_REPORT_AGE_S, pause_s * REPORT_AGE_INTERVALS
            )
            await asyncio.sleep(pause_s)
            self.run_once()

    def run_once(self) -> None:
        """Send a report if one is due, and drop stale ones of others."""
        now_s = self._clock()
        engine_loads = self._engine_loads()
        if self._due(engine_loads, now_s):
            self._send(engine_loads, now_s)
        self._loads.drop_stale(now_s)
        self._loads.apply(self._cluster.load_of)
        self._loads.observe(self._cluster.loads(), now_s)

    def _pause_s(self) -> float:
        transfer_s = self._uplink.transfer_s(self._last_sent_bytes)
        return max(
            MIN_INTERVAL_S,
            len(self._peers()) / DATAGRAMS_PER_S,
            min(transfer_s / UPLINK_SHARE, REFRESH_INTERVAL_S),
        )

    def _engine_loads(self) -> tuple[placement.GatewayEngineLoad, ...]:
        return tuple(
            placement.GatewayEngineLoad(
                load.engine_id,
                int(load.own_tokens.urgent),
                int(load.own_tokens.deferred),
                list(load.own_counts.by_rank),
                tuple(load.unreported_prompts),
                tuple(load.unreported_samples),
            )
            for load in self._cluster.loads()
            if load.own_counts.total
            or load.unreported_prompts
            or load.unreported_samples
        )

    def _due(
        self,
        engine_loads: tuple[placement.GatewayEngineLoad, ...],
        now_s: float,
    ) -> bool:
        if not engine_loads and not self._sent:
            return False
        if now_s - self._sent_s >= REFRESH_INTERVAL_S:
            return True
        if any(engine_load.prompts for engine_load in engine_loads):
            return True
        before = {
            engine_load.engine_id: engine_load for engine_load in self._sent
        }
        after = {
            engine_load.engine_id: engine_load for engine_load in engine_loads
        }
        return any(
            abs(_tokens(before.get(name)) - _tokens(after.get(name)))
            >= CHANGE_TOKENS
            for name in before.keys() | after.keys()
        )

    def _send(
        self,
        engine_loads: tuple[placement.GatewayEngineLoad, ...],
        now_s: float,
    ) -> None:
        self._sequence += 1
        self._sent = engine_loads
        self._sent_s = now_s
        for engine_load in engine_loads:
            engine = self._cluster.load_of(engine_load.engine_id)
            if engine is not None:
                engine.unreported_prompts.clear()
                engine.unreported_samples.clear()
        load = messaging.LoadReport(self._sequence, engine_loads)
        self._last_sent_bytes = self._datagrams.send(
            messaging.Datagram(self._gateway, load=load), self._peers()
        )
        self._uplink.record_sent(self._last_sent_bytes)


def _tokens(engine_load: placement.GatewayEngineLoad | None) -> int:
    if engine_load is None:
        return 0
    return engine_load.urgent_tokens + engine_load.deferred_tokens
