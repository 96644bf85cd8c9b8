"""What gateways tell each other of streams while software versions differ."""

import asyncio
import random
import time
import typing

import attrs
import msgspec
import pytest

from ...systems import limits
from ..messaging import _datagrams
from ..origins import _announcer
from ..origins import _memory
from . import gateway_network
from . import origin_gateways

#: A prompt that its decode engine prefills itself.


# Which gateways are told.


def test_order_of_gateways_outlives_the_end_of_some() -> None:
    names = [f"g{number}" for number in range(25)]
    for number in range(50):
        stream = _memory.digest(b"%d" % number)
        before = limits.first_entries(stream, tuple(names), 25)
        left = names[::2]
        after = limits.first_entries(stream, tuple(left), 25)
        assert after == [name for name in before if name in left]


@pytest.mark.parametrize("relists", [False, True], ids=["old", "new"])
def test_those_left_of_25_gateways_know_nearly_all_streams(
    relists: bool,
) -> None:
    """60 % of all end at once, as their lists still name them or not."""
    rng = random.Random(5)
    names = [f"g{number}.{rng.getrandbits(48)}" for number in range(25)]
    ended = set(rng.sample(names, 15))
    left = [name for name in names if name not in ended]
    known = 0
    for number in range(2_000):
        stream = _memory.digest(b"%d" % number)
        begins, asked = rng.choice(sorted(ended)), rng.choice(left)
        told = _told(stream, names, begins)
        listed = left if relists else names
        others = _told(stream, listed, asked) - ended
        known += bool((others | {asked}) & told)
    assert known / 2_000 > 0.97


def _told(stream: str, names: list[str], by: str) -> set[str]:
    others = tuple(name for name in names if name != by)
    return set(limits.first_entries(stream, others, _announcer.REPLICAS))


# What is sent.


def test_announcement_and_question_are_read_as_they_were_written() -> None:
    sent = _datagrams.Datagram(
        "g1",
        origins=(_report(),),
        origin_question=_datagrams.StreamOriginQuestion(
            "127.0.0.1:1", (b"12345678",)
        ),
    )
    assert _received(_datagrams.Datagrams().encode(sent)) == [sent]


def test_gateways_of_the_version_before_read_the_rest_and_are_read() -> None:
    datagrams = _datagrams.Datagrams()
    sent = _datagrams.Datagram("g1", asks="a", origins=(_report(),))
    fields = msgspec.structs.fields(_datagrams._WireDatagram)[:-2]
    before = msgspec.defstruct(
        "_Before",
        [
            (each.name, each.type)
            if each.default is msgspec.NODEFAULT
            and each.default_factory is msgspec.NODEFAULT
            else (each.name, each.type, None)
            for each in fields
        ],
        array_like=True,
    )
    read: typing.Any = msgspec.msgpack.decode(
        datagrams.encode(sent), type=before
    )
    assert (read.gateway, read.asks) == ("g1", "a")
    written = msgspec.msgpack.encode(
        msgspec.msgpack.decode(
            datagrams.encode(_datagrams.Datagram("g1", asks="a"))
        )[:-2]
    )
    assert _received(written) == [_datagrams.Datagram("g1", asks="a")]


def _received(data: bytes) -> list[_datagrams.Datagram]:
    datagrams = _datagrams.Datagrams()
    received: list[_datagrams.Datagram] = []
    datagrams.subscribe(received.append)
    datagrams.datagram_received(data, ("127.0.0.1", 1))
    return received


def _report(**changes: object) -> _datagrams.StreamOriginReport:
    report = _announcer._report(origin_gateways.STREAM, origin_gateways.ORIGIN)
    return attrs.evolve(report, **changes)  # type: ignore[arg-type]


async def test_announcement_goes_to_a_few_gateways_once() -> None:
    network = gateway_network.GatewayNetwork()
    gateways = [
        origin_gateways.join(network, f"g{number}") for number in range(25)
    ]
    gateways[0].begin(b"r1")
    await asyncio.sleep(0)
    know = [
        each for each in gateways[1:] if each.knows() == origin_gateways.ORIGIN
    ]
    assert len(know) == _announcer.REPLICAS
    assert len(gateways[0].datagrams.sent) == _announcer.REPLICAS
    assert not any(each.datagrams.sent for each in gateways[1:])


@pytest.mark.parametrize(
    "report",
    [
        _report(stream=b""),
        _report(stream=b"1234567"),
        _report(stream=b"1" * 9),
        _report(service=""),
        _report(service="s" * 201),
        _report(endpoint_id="s" * 201),
        _report(software_version="s" * 10_000),
        _report(started_ms=-1),
    ],
)
async def test_announcement_that_cannot_be_true_is_ignored(
    report: _datagrams.StreamOriginReport,
) -> None:
    network = gateway_network.GatewayNetwork()
    gateway, other = origin_gateways.join(network, "g1"), network.join("g2")
    sent = _datagrams.Datagram("g2", origins=(report, _report()))
    other.send(sent, [gateway.datagrams.address])
    await asyncio.sleep(0)
    assert gateway.knows() == origin_gateways.ORIGIN
    assert gateway.count("learned") == 1


@pytest.mark.parametrize(
    "value",
    [
        [[]],
        [["text", "llm", "d1", 1, "v1"]],
        [[b"12345678", "llm", "d1", 1]],
        [[b"12345678", "llm", "d1", 1.5e300, "v1"]],
        [[b"12345678", b"llm", "d1", 1, "v1"]],
        {"a": 1},
        7,
    ],
)
def test_announcement_of_other_types_is_dropped(value: object) -> None:
    before: list[object] = ["g1", 0, [], None, [], [], None, "", [], []]
    data = msgspec.msgpack.encode([*before, None, [], value])
    assert _received(data) == []
    assert len(_received(msgspec.msgpack.encode([*before, None, [], []]))) == 1


@pytest.mark.parametrize(
    ("reply_to", "streams"),
    [
        ("", (b"12345678",)),
        ("host.example:1", (b"12345678",)),
        ("127.0.0.1:99999", (b"12345678",)),
        ("127.0.0.1:2", ()),
        ("127.0.0.1:2", (b"", b"x" * 10_000)),
        ("127.0.0.1:2", (b"x",) * 5_000),
    ],
)
async def test_question_that_makes_no_sense_is_not_answered(
    reply_to: str, streams: tuple[bytes, ...]
) -> None:
    network = gateway_network.GatewayNetwork()
    gateway = origin_gateways.join(network, "g1")
    gateway.memory.learn_stream(
        "3132333435363738", origin_gateways.ORIGIN, time.monotonic()
    )
    gateway.announcer._on_datagram(
        _datagrams.Datagram(
            "g2",
            origin_question=_datagrams.StreamOriginQuestion(reply_to, streams),
        )
    )
    assert not gateway.datagrams.sent


def test_memory_of_what_others_say_is_bounded() -> None:
    known = _memory.OriginMemory(lambda: 30.0)
    for number in range(_memory.LEARNED_LIMIT + 10):
        known.learn_stream(f"{number:016x}", origin_gateways.ORIGIN, 1.0)
    assert known.find_stream(f"{9:016x}", 1.0) is None
    assert known.find_stream(f"{10:016x}", 1.0) == origin_gateways.ORIGIN
    assert known.find_stream(f"{10:016x}", 31.0) is None


def test_version_of_a_stream_never_changes() -> None:
    known = _memory.OriginMemory(lambda: 30.0)
    known.learn_stream(origin_gateways.STREAM, origin_gateways.ORIGIN, 1.0)
    other = attrs.evolve(origin_gateways.ORIGIN, software_version="v2")
    known.learn_stream(origin_gateways.STREAM, other, 2.0)
    assert known.find(b"r1", 2.0) == origin_gateways.ORIGIN


async def test_stream_that_began_before_others_were_known_is_announced() -> (
    None
):
    network = gateway_network.GatewayNetwork()
    first = origin_gateways.join(network, "g1")
    first.begin(b"r1")
    assert not first.datagrams.sent
    second = origin_gateways.join(network, "g2")
    first.announcer.announce(time.monotonic())
    first.announcer.announce(time.monotonic())
    await asyncio.sleep(0)
    assert second.knows() == origin_gateways.ORIGIN
    assert len(first.datagrams.sent) == 1
