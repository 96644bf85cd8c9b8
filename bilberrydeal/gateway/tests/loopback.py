"""Gateways' datagrams without a network, and an engine to tell about."""

import collections.abc

from ... import catalogue
from ... import ports
from ...systems import health
from .. import _cluster_state
from .. import _datagrams


class LoopbackDatagrams(_datagrams.Datagrams):
    """Hands datagrams to another gateway as they would be read there."""

    def __init__(self) -> None:
        super().__init__()
        self.other: LoopbackDatagrams | None = None
        self.sent = 0

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Hand a datagram over."""
        assert self.other is not None
        self.sent += 1
        data = self.encode(datagram)
        self.other.datagram_received(data, ("127.0.0.1", 1))
        return len(data)


def engine(role: ports.EngineRole) -> catalogue.Endpoint:
    """Return what an engine says of itself."""
    return catalogue.Endpoint(
        endpoint_id="e1",
        service="llm",
        host="127.0.0.1",
        port=9,
        failure_domain="d1",
        ready=True,
        role=role,
        slots=8,
        born_ms=1,
    )


def cluster(role: ports.EngineRole) -> _cluster_state.ClusterState:
    """Return what a gateway knows that knows one engine."""
    cluster = _cluster_state.ClusterState(health.HEALTH.get("outlier")(1))
    cluster.set_endpoint(engine(role))
    return cluster


def connect(one: LoopbackDatagrams, other: LoopbackDatagrams) -> None:
    """Let two gateways hear each other."""
    one.other = other
    other.other = one
