"""Sends learned permanent factors of engines to gateways that start later.

Running gateways learn alike, since samples travel with load reports. One that
starts uses the factors of others until it has enough samples itself.
"""

import itertools

from ... import telemetry
from .. import cluster_state
from .. import messaging
from . import _broadcast

LOG = telemetry.logger("capability")
#: Interval between checks for a change or a summary that is due, in seconds.
CAPABILITY_INTERVAL_S = 1.0
#: Interval between summaries of all gateways together, in seconds.
SUMMARY_INTERVAL_S = 5.0
#: Summaries of a gateway that name an engine whose factor has become 1 again.
ENDED_SUMMARIES = 2
#: Most engines of a summary, so that it fits a packet of 1,400 bytes. The
#: others follow in the next summary; further ones received are dropped.
MAX_SUMMARY_ENGINES = 24


class CapabilityBroadcast(_broadcast.Broadcast):
    """Sends, receives and applies permanent factors of engines.

    Nothing is sent while no engine differs from its service.
    """

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        cluster: cluster_state.ClusterState,
        gateway: str,
        peers: messaging.Peers,
        clock: _broadcast.Clock,
    ) -> None:
        super().__init__(datagrams, cluster, gateway, peers, clock)
        self._sent_s = clock()
        #: Number in the list of engines at which the next summary starts.
        self._position = 0
        #: Last logged factors by engine and start of its process, in Unix
        #: milliseconds.
        self._logged: dict[tuple[str, int], float] = {}
        #: Engines whose factor has become 1 again, with the number of
        #: summaries that still name them.
        self._ended: dict[tuple[str, int], int] = {}

    async def run_once(self) -> None:
        """Log changes, and send a summary if one is due."""
        self._log_changes()
        now_s = self._clock()
        addresses = self._peers()
        interval_s = SUMMARY_INTERVAL_S * (len(addresses) + 1)
        if now_s - self._sent_s < interval_s:
            return
        self._sent_s = now_s
        summary = self._summary()
        if summary:
            self._datagrams.send(
                messaging.Datagram(self._gateway, capabilities=summary),
                addresses,
            )

    def factors(self) -> dict[str, float]:
        """Return the factors in use that differ from 1, by engine."""
        return {
            load.engine_id: load.speed.capability.factor
            for load in self._cluster.loads()
            if load.speed.capability.factor != 1.0
        }

    def _summary(self) -> tuple[messaging.EngineCapabilityReport, ...]:
        """Return the next factors that this gateway has learned itself."""
        reports = [
            messaging.EngineCapabilityReport(
                upstream.endpoint.endpoint_id,
                upstream.endpoint.started_ms,
                upstream.load.speed.capability.factor,
            )
            for upstream in self._cluster.endpoints.values()
            if upstream.load is not None
            and upstream.load.speed.capability.known
            and (
                upstream.load.speed.capability.factor != 1.0
                or _key(upstream) in self._ended
            )
        ]
        self._ended = {
            key: left - 1 for key, left in self._ended.items() if left > 1
        }
        if len(reports) <= MAX_SUMMARY_ENGINES:
            return tuple(reports)
        start = self._position % len(reports)
        self._position = start + MAX_SUMMARY_ENGINES
        selected = itertools.islice(
            itertools.cycle(reports), start, start + MAX_SUMMARY_ENGINES
        )
        return tuple(selected)

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        for report in datagram.capabilities[:MAX_SUMMARY_ENGINES]:
            upstream = self._cluster.endpoints.get(report.endpoint_id)
            if upstream is None or upstream.load is None:
                continue
            if upstream.endpoint.started_ms == report.started_ms:
                upstream.load.speed.capability.use_peer_factor(report.factor)

    def _log_changes(self) -> None:
        before, self._logged = self._logged, {}
        for upstream in self._cluster.endpoints.values():
            if upstream.load is None:
                continue
            endpoint = upstream.endpoint
            key = _key(upstream)
            capability = upstream.load.speed.capability
            self._logged[key] = capability.factor
            if capability.factor != before.get(key, 1.0):
                if capability.factor == 1.0 and capability.known:
                    self._ended[key] = ENDED_SUMMARIES
                LOG.info(
                    "Engine capability changed.",
                    endpoint=endpoint.endpoint_id,
                    factor=round(capability.factor, 2),
                    factor_before=round(before.get(key, 1.0), 2),
                    told_by_a_gateway=capability.from_peer,
                )


def _key(upstream: cluster_state.Upstream) -> tuple[str, int]:
    """Return what identifies an engine and its process."""
    return (upstream.endpoint.endpoint_id, upstream.endpoint.started_ms)
