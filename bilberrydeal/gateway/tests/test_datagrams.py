"""Datagrams that are malformed or hold unlikely values."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from ..messaging import _datagrams
from . import test_exchange

_SMALL = strategies.integers(-(2**40), 2**40)
_LOADS = strategies.tuples(
    strategies.sampled_from(["e1", "e2", ""]),
    _SMALL,
    _SMALL,
    strategies.lists(_SMALL, max_size=14),
    strategies.lists(
        strategies.lists(
            strategies.tuples(strategies.binary(max_size=4), _SMALL),
            max_size=3,
        ),
        max_size=3,
    ),
    strategies.lists(strategies.tuples(_SMALL, _SMALL, _SMALL), max_size=5),
)
_DATAGRAMS = strategies.tuples(
    strategies.text(max_size=4),
    _SMALL,
    strategies.lists(_LOADS, max_size=4),
    strategies.none(),
    strategies.lists(strategies.text(max_size=3), max_size=2),
    strategies.lists(
        strategies.tuples(
            strategies.text(max_size=4), _SMALL, strategies.floats()
        ),
        max_size=2,
    ),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=60), _DATAGRAMS.map(msgspec.msgpack.encode)
    )
)
def test_no_datagram_raises(data: bytes) -> None:
    gateway = test_exchange.Gateway("g1")
    gateway.datagrams.datagram_received(data, ("127.0.0.1", 1))
    assert gateway.engine.prefill_s(1_000.0) > 0.0
    assert gateway.engine.speed.factor > 0.0


def test_error_in_a_handler_stops_no_other() -> None:
    """An error once reached the event loop and skipped other handlers."""
    datagrams = _datagrams.Datagrams()
    seen: list[str] = []

    def failing(_datagram: _datagrams.Datagram) -> None:
        raise KeyError("malformed")

    datagrams.subscribe(failing)
    datagrams.subscribe(lambda datagram: seen.append(datagram.gateway))
    data = datagrams.encode(_datagrams.Datagram("g2"))
    datagrams.datagram_received(data, ("127.0.0.1", 1))
    assert seen == ["g2"]


@pytest.mark.parametrize(
    "data", [b"\x91" * 20_000, b"\x81\xa1a" * 20_000, b"\x91" * 9 + b"\xc1"]
)
def test_datagram_nested_too_deep_is_dropped(data: bytes) -> None:
    """Guards against an error that reaches the event loop."""
    datagrams = _datagrams.Datagrams()
    seen: list[_datagrams.Datagram] = []
    datagrams.subscribe(seen.append)
    datagrams.datagram_received(data, ("127.0.0.1", 1))
    array = msgspec.msgpack.encode(
        ["g1", 0, [], None, [], [], None, "", [], []]
    )
    # A field that only a later version knows.
    nested = b"\x9b" + array[1:] + b"\x91" * 20_000
    datagrams.datagram_received(nested, ("127.0.0.1", 1))
    assert seen == []
    datagrams.datagram_received(array, ("127.0.0.1", 1))
    assert [each.gateway for each in seen] == ["g1"]
