"""Gateways ask others for the origins of streams."""

import asyncio
import time

from .. import origins
from ..core import _metrics
from ..messaging import _datagrams
from ..origins import _announcer
from ..origins import _memory
from ..origins import _version_history
from . import gateway_network
from . import origin_gateways

#: A prompt that its decode engine prefills itself.

#: Time that an answer is waited for, in seconds.
LIMIT_S = 0.3


async def test_question_is_answered_by_a_gateway_that_was_told() -> None:
    network = gateway_network.GatewayNetwork()
    gateways = [
        origin_gateways.join(network, f"g{number}") for number in range(25)
    ]
    gateways[0].begin(b"r1")
    await asyncio.sleep(0)
    network.leave("g0")
    for gateway in gateways[1:]:
        assert (
            await gateway.announcer.ask(origin_gateways.STREAM, LIMIT_S)
            == origin_gateways.ORIGIN
        )
        assert gateway.knows() == origin_gateways.ORIGIN
        assert gateway.count("told") == 1


async def test_question_that_was_lost_is_asked_again() -> None:
    network = gateway_network.GatewayNetwork()
    one, other = (
        origin_gateways.join(network, "g1"),
        origin_gateways.join(network, "g2"),
    )
    other.memory.note(b"r1", origin_gateways.ORIGIN, time.monotonic())
    network.lose_next = 1
    began_s = time.monotonic()
    assert (
        await one.announcer.ask(origin_gateways.STREAM, 5.0)
        == origin_gateways.ORIGIN
    )
    assert 5.0 * _announcer.ASK_AGAIN_SHARE <= time.monotonic() - began_s < 4.0
    assert one.count("asked") == 2


async def test_question_that_nobody_can_answer_ends_in_time() -> None:
    network = gateway_network.GatewayNetwork()
    one = origin_gateways.join(network, "g1")
    assert await one.announcer.ask(origin_gateways.STREAM, 60.0) is None
    assert one.count("asked") == 0
    origin_gateways.join(network, "g2")
    assert await one.announcer.ask(origin_gateways.STREAM, 0.0) is None
    assert one.count("asked") == 0
    began_s = time.monotonic()
    assert await one.announcer.ask(origin_gateways.STREAM, 0.1) is None
    assert time.monotonic() - began_s < 2.0
    assert one.count("not told") == 1
    assert not one.announcer._waiting


async def test_requests_for_one_stream_share_a_question() -> None:
    network = gateway_network.GatewayNetwork()
    one, other = (
        origin_gateways.join(network, "g1"),
        origin_gateways.join(network, "g2"),
    )
    other.memory.note(b"r1", origin_gateways.ORIGIN, time.monotonic())
    asking = [
        one.announcer.ask(origin_gateways.STREAM, LIMIT_S) for _ in range(20)
    ]
    assert await asyncio.gather(*asking) == [origin_gateways.ORIGIN] * 20
    assert one.count("asked") == 1
    assert not one.announcer._waiting


async def test_caller_that_leaves_ends_no_question_of_others() -> None:
    network = gateway_network.GatewayNetwork()
    one, other = (
        origin_gateways.join(network, "g1"),
        origin_gateways.join(network, "g2"),
    )
    first = asyncio.ensure_future(
        one.announcer.ask(origin_gateways.STREAM, 5.0)
    )
    second = asyncio.ensure_future(
        one.announcer.ask(origin_gateways.STREAM, 5.0)
    )
    await asyncio.sleep(0)
    first.cancel()
    await asyncio.sleep(0)
    other.begin(b"r1")
    assert await second == origin_gateways.ORIGIN
    assert not one.announcer._waiting


async def test_answers_of_a_gateway_are_bounded() -> None:
    network = gateway_network.GatewayNetwork()
    now_s = 100.0
    known = _memory.OriginMemory(lambda: 30.0)
    known.note(b"r1", origin_gateways.ORIGIN, now_s)
    datagrams = network.join("g1")
    announcer = _announcer.OriginAnnouncer(
        origins.OriginPeers(datagrams, "127.0.0.1:1", lambda: {}),
        "g1",
        known,
        _version_history.VersionHistory(lambda: 30.0),
        _metrics.GatewayMetrics(),
        lambda: now_s,
    )
    question = _datagrams.Datagram(
        "g2",
        origin_question=_datagrams.StreamOriginQuestion(
            "127.0.0.1:2", (bytes.fromhex(origin_gateways.STREAM),)
        ),
    )
    now_s += 1.0
    for _ in range(5_000):
        announcer._on_datagram(question)
    assert len(datagrams.sent) == _announcer.ANSWERS_PER_S
    now_s += 0.1
    announcer._on_datagram(question)
    assert len(datagrams.sent) == _announcer.ANSWERS_PER_S + 1
