"""Datagrams between two gateways without a network, and one engine."""

import collections.abc

from ... import catalogue
from ... import ports
from ...systems import health
from ..cluster_state import _cluster_state
from ..messaging import _datagrams


class LoopbackDatagrams(_datagrams.Datagrams):
    """Delivers encoded datagrams to another gateway directly."""

    def __init__(self) -> None:
        super().__init__()
        self.other: LoopbackDatagrams | None = None
        self.sent = 0

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Deliver a datagram."""
        assert self.other is not None
        self.sent += 1
        data = self.encode(datagram)
        self.other.datagram_received(data, ("127.0.0.1", 1))
        return len(data)


def engine(role: ports.EngineRole) -> catalogue.Endpoint:
    """Return the registration of an engine."""
    return catalogue.Endpoint(
        endpoint_id="e1",
        service="llm",
        host="127.0.0.1",
        port=9,
        failure_domain="d1",
        ready=True,
        role=role,
        slots=8,
        started_ms=1,
    )


def cluster(role: ports.EngineRole) -> _cluster_state.ClusterState:
    """Return the state of a gateway with one engine."""
    cluster = _cluster_state.ClusterState(health.HEALTH.get("outlier")(1))
    cluster.set_endpoint(engine(role))
    return cluster


def connect(one: LoopbackDatagrams, other: LoopbackDatagrams) -> None:
    """Connect two gateways."""
    one.other = other
    other.other = one
