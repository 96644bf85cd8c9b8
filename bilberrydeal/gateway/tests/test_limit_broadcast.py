"""Request limits of endpoints that gateways tell each other."""

import math

import attrs
import pytest

from ... import platform
from ... import ports
from ..messaging import _datagrams
from ..peer_exchange import _limit_broadcast
from . import loopback


class _Gateway:
    """A gateway with one engine."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.now_s = 100.0
        self.datagrams = loopback.LoopbackDatagrams()
        self.cluster = loopback.cluster(ports.EngineRole.DECODE)
        self.cluster.set_gateways(self.name, ("g1", "g2"))
        self.broadcast = _limit_broadcast.LimitBroadcast(
            self.datagrams,
            self.cluster,
            self.name,
            lambda: (("127.0.0.1", 1),),
            lambda: self.now_s,
        )

    @property
    def limit_per_s(self) -> float:
        """Return the limit of the engine as this gateway knows it."""
        return self.cluster.endpoints["e1"].limit.limit_per_s

    def hear(
        self, limit_per_s: float | None, sent_s: float | None = None
    ) -> None:
        """Get a response of the engine."""
        self.cluster.note_signals(
            self.cluster.endpoints["e1"],
            platform.EndpointSignals(limit_per_s=limit_per_s),
            self.now_s if sent_s is None else sent_s,
            self.now_s,
        )


def _pair() -> tuple[_Gateway, _Gateway]:
    one, other = _Gateway("g1"), _Gateway("g2")
    loopback.connect(one.datagrams, other.datagrams)
    return one, other


async def _pass(one: _Gateway, other: _Gateway, seconds: float) -> None:
    for _ in range(
        round(seconds / _limit_broadcast.LIMIT_BROADCAST_INTERVAL_S)
    ):
        for gateway in (one, other):
            gateway.now_s += _limit_broadcast.LIMIT_BROADCAST_INTERVAL_S
            await gateway.broadcast.run_once()


async def test_limit_binds_a_gateway_that_the_endpoint_has_not_told() -> None:
    one, other = _pair()
    one.hear(2.0)
    await _pass(one, other, 0.2)
    assert other.limit_per_s == 2.0
    assert not other.cluster.endpoints["e1"].usable(other.now_s)


async def test_end_of_a_limit_is_told() -> None:
    one, other = _pair()
    one.hear(2.0)
    await _pass(one, other, 0.5)
    one.hear(math.inf)
    await _pass(one, other, 0.2)
    assert math.isinf(other.limit_per_s)


async def test_response_older_than_the_named_limit_does_not_end_it() -> None:
    one, _other = _pair()
    sent_s = one.now_s
    one.now_s += 0.1
    one.hear(2.0)
    one.now_s += 0.1
    one.hear(math.inf, sent_s)
    assert one.limit_per_s == 2.0


async def test_response_that_tells_nothing_changes_nothing() -> None:
    one, _other = _pair()
    one.hear(2.0)
    one.now_s += 1.0
    one.hear(None)
    assert one.limit_per_s == 2.0


async def test_older_report_does_not_replace_a_newer_one() -> None:
    one, other = _pair()
    one.hear(2.0)
    await one.broadcast.run_once()
    one.now_s += 5.0
    one.hear(4.0)
    other.datagrams.send(
        _datagrams.Datagram(
            "g2", limits=(_datagrams.EndpointLimitReport("e1", 1, 2.0, 3.0),)
        ),
        (),
    )
    assert one.limit_per_s == 4.0


@pytest.mark.parametrize(
    "report",
    [
        _datagrams.EndpointLimitReport("e1", 1, -1.0, 0.0),
        _datagrams.EndpointLimitReport("e1", 1, math.nan, 0.0),
        _datagrams.EndpointLimitReport("e1", 1, 2.0, -1.0),
        _datagrams.EndpointLimitReport("e1", 1, 2.0, math.nan),
        # Another process of the endpoint.
        _datagrams.EndpointLimitReport("e1", 2, 2.0, 0.0),
        _datagrams.EndpointLimitReport("e9", 1, 2.0, 0.0),
    ],
)
async def test_report_that_cannot_be_used_is_ignored(
    report: _datagrams.EndpointLimitReport,
) -> None:
    one, other = _pair()
    other.datagrams.send(_datagrams.Datagram("g2", limits=(report,)), ())
    assert math.isinf(one.limit_per_s)


async def test_limit_in_force_is_told_once_a_second_by_one_gateway() -> None:
    one, other = _pair()
    for _ in range(50):
        one.hear(2.0)
        other.hear(2.0)
        await _pass(one, other, 0.1)
    assert one.datagrams.sent + other.datagrams.sent <= 8


async def test_restarted_endpoint_has_no_limit() -> None:
    one, other = _pair()
    one.hear(2.0)
    await _pass(one, other, 0.2)
    engine = attrs.evolve(
        loopback.engine(ports.EngineRole.DECODE), started_ms=2
    )
    for gateway in (one, other):
        gateway.cluster.set_endpoint(engine)
        await gateway.broadcast.run_once()
    assert math.isinf(one.limit_per_s)
    assert math.isinf(other.limit_per_s)
