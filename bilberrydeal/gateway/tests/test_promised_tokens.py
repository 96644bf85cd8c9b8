"""Tokens that requests hold at engines, as gateways tell each other."""

import msgspec
import pytest

from ...systems import placement
from ..messaging import _datagrams
from . import loopback
from . import test_exchange

COUNTS = [1] + [0] * 9


def _received(engine_load: list[object]) -> placement.EngineLoad:
    """Return the engine of a gateway that has received a load."""
    gateway = test_exchange.Gateway("g1")
    data = msgspec.msgpack.encode(["g2", 1, [engine_load], None, []])
    gateway.datagrams.datagram_received(data, ("127.0.0.1", 1))
    return gateway.engine


@pytest.mark.parametrize(
    ("fields", "promised"),
    [
        ([], [0, 0, 0, 0, 0]),
        ([[100, 0, 9_000]], [100, 0, 9_000, 0, 0]),
        ([[-5, 2**60]], [0, _datagrams.PROMISED_LIMIT_TOKENS, 0, 0, 0]),
        ([[1] * 50], [1, 1, 1, 1, 1]),
    ],
)
def test_promised_tokens_of_any_release_are_read(
    fields: list[object], promised: list[int]
) -> None:
    """Guards against reports without the field, or with false figures."""
    name = test_exchange.Gateway("g1").engine.engine_id
    engine = _received([name, 10, 5, COUNTS, [], [], *fields])
    assert engine.requests == 1
    assert engine.peer_promised == promised


def test_promised_tokens_are_sent_without_zeros_at_the_end() -> None:
    """Guards against figures that are lost on the way, and long datagrams."""
    engine_load = placement.GatewayEngineLoad(
        "e1", 1, 2, COUNTS, promised=(7, 0, 5, 0, 0)
    )
    data = loopback.LoopbackDatagrams().encode(
        _datagrams.Datagram("g1", _datagrams.LoadReport(7, (engine_load,)))
    )
    wire = msgspec.msgpack.decode(data)
    assert wire[2][0][6] == [7, 0, 5]
