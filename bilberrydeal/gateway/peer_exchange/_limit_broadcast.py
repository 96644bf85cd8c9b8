"""Tells other gateways which request limits endpoints name.

A gateway that has not been told by the endpoint itself keeps to the limit too,
and all of them learn when it ends.
"""

import math

import attrs

from .. import cluster_state
from .. import messaging
from . import _broadcast

#: Interval between checks for something to tell, in seconds.
LIMIT_BROADCAST_INTERVAL_S = 0.1
#: Interval at which a limit in force is told again by any gateway, in seconds.
REFRESH_INTERVAL_S = 1.0
#: Time for which the end of a limit is told again, in seconds.
ENDED_TOLD_S = 3.0


@attrs.define
class _Told:
    """What was last told about an endpoint, by this or another gateway."""

    limit_per_s: float = math.inf
    #: When it was told, monotonic seconds.
    at_s: float = -math.inf
    #: When the endpoint had said it.
    said_s: float = -math.inf
    #: When it changed last.
    changed_s: float = -math.inf

    def changed(self, limit_per_s: float) -> bool:
        """Return whether a limit differs enough to be told at once."""
        return cluster_state.limits_differ(limit_per_s, self.limit_per_s)


class LimitBroadcast(_broadcast.Broadcast):
    """Sends, receives and applies what endpoints say about their limits.

    One gateway that hears from an endpoint suffices to refresh its limit.
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
        self._told: dict[str, _Told] = {}

    async def run_once(self) -> None:
        """Tell the other gateways what is due."""
        now_s = self._clock()
        endpoints = self._cluster.endpoints
        for endpoint_id in self._told.keys() - endpoints.keys():
            del self._told[endpoint_id]
        due = tuple(
            self._report(upstream, now_s)
            for upstream in endpoints.values()
            if upstream.limit.named and self._due(upstream, now_s)
        )
        if due:
            self._datagrams.send(
                messaging.Datagram(self._gateway, limits=due), self._peers()
            )

    def _due(self, upstream: cluster_state.Upstream, now_s: float) -> bool:
        limit = upstream.limit
        told = self._told.get(upstream.endpoint.endpoint_id, _Told())
        if limit.said_s <= told.said_s:
            return False
        if told.changed(limit.limit_per_s):
            return True
        ended = math.isinf(limit.limit_per_s)
        if ended and now_s - told.changed_s >= ENDED_TOLD_S:
            return False
        return now_s - told.at_s >= REFRESH_INTERVAL_S

    def _report(
        self, upstream: cluster_state.Upstream, now_s: float
    ) -> messaging.EndpointLimitReport:
        limit = upstream.limit
        endpoint = upstream.endpoint
        self._note_told(endpoint.endpoint_id, limit, now_s)
        return messaging.EndpointLimitReport(
            endpoint.endpoint_id,
            endpoint.started_ms,
            limit.limit_per_s,
            now_s - limit.said_s,
        )

    def _note_told(
        self,
        endpoint_id: str,
        limit: cluster_state.EndpointLimit,
        now_s: float,
    ) -> None:
        told = self._told.setdefault(endpoint_id, _Told())
        if told.changed(limit.limit_per_s):
            told.changed_s = now_s
        told.limit_per_s = limit.limit_per_s
        told.at_s = now_s
        told.said_s = limit.said_s

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        now_s = self._clock()
        for report in datagram.limits:
            upstream = self._cluster.endpoints.get(report.endpoint_id)
            if upstream is None or not report.valid:
                continue
            if upstream.endpoint.started_ms != report.started_ms:
                continue
            newer = upstream.limit.learn(
                report.limit_per_s,
                now_s - report.age_s,
                now_s,
                datagram.gateway,
            )
            if newer or report.limit_per_s == upstream.limit.limit_per_s:
                self._note_told(report.endpoint_id, upstream.limit, now_s)
