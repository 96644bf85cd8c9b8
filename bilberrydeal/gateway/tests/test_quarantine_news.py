"""News of crashing prompt parts between gateways."""

import asyncio
import collections.abc

import msgspec
import pytest

from ...systems import quarantine
from ..messaging import _datagrams
from . import harness
from . import loopback
from . import scripted
from . import test_quarantine

NEWS = quarantine.News(
    (
        quarantine.LossReport(
            "e1@1",
            "d1",
            0.25,
            (quarantine.SuspectPrompt(b"x1", (b"aa", b"bad0"), True),),
        ),
    ),
    (b"cc",),
    ("e2@1",),
    (quarantine.QuarantineReport((b"bad0",), 2.5, 1.5, 4, ("e1@1",)),),
)


class _OldDatagram(msgspec.Struct, array_like=True):
    """A datagram as gateways without quarantines decode it."""

    gateway: str
    sequence: int
    engine_loads: list[msgspec.Raw]
    counts: _datagrams.WindowCounts | None
    changing: tuple[str, ...]
    hints: tuple[_datagrams.TableHint, ...] = ()


def test_news_arrive_as_they_were_sent() -> None:
    datagrams = _datagrams.Datagrams()
    seen: list[_datagrams.Datagram] = []
    datagrams.subscribe(seen.append)
    sent = _datagrams.Datagram("g1", news=NEWS, asks="10.0.0.1:5")
    datagrams.datagram_received(datagrams.encode(sent), ("127.0.0.1", 1))
    assert seen == [sent]


def test_gateways_without_quarantines_decode_datagrams_with_news() -> None:
    hint = _datagrams.TableHint("endpoints", 7, 0.5)
    sent = _datagrams.Datagram("g1", changing=("e1",), hints=(hint,))
    for news in (None, NEWS):
        data = _datagrams.Datagrams().encode(
            _datagrams.Datagram("g1", None, None, ("e1",), (hint,), news)
        )
        old = msgspec.msgpack.decode(data, type=_OldDatagram)
        assert (old.gateway, old.changing) == (sent.gateway, sent.changing)
        assert old.hints == sent.hints


def test_datagrams_of_gateways_without_quarantines_are_decoded() -> None:
    datagrams = _datagrams.Datagrams()
    seen: list[_datagrams.Datagram] = []
    datagrams.subscribe(seen.append)
    data = msgspec.msgpack.encode(_OldDatagram("g1", 0, [], None, ("e1",)))
    datagrams.datagram_received(data, ("127.0.0.1", 1))
    assert seen == [_datagrams.Datagram("g1", changing=("e1",))]


class _Lossy(loopback.LoopbackDatagrams):
    """Loses every second datagram."""

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Deliver a datagram or lose it."""
        self.sent += 1
        if self.sent % 2:
            return 0
        return super().send(datagram, addresses)


@pytest.mark.parametrize(
    "kind", [loopback.LoopbackDatagrams, _Lossy], ids=["all", "half"]
)
async def test_part_is_refused_where_no_engine_crashed(
    kind: type[loopback.LoopbackDatagrams],
) -> None:
    links = kind(), kind()
    loopback.connect(*links)
    seeing = test_quarantine.CrashingFleet()
    engines = [seeing.engine(number) for number in range(6)]
    spared: list[scripted.Call] = []

    async def serve(call: scripted.Call) -> bytes:
        spared.append(call)
        return scripted.complete_stream(call, 1, 3)

    sound = scripted.engine("s1", "both", serve)
    peers = (("127.0.0.1", 1),)
    async with (
        harness.running(
            *engines, datagrams=links[0], name="g1", peers=peers
        ) as first,
        harness.running(
            sound, datagrams=links[1], name="g2", peers=peers
        ) as second,
    ):
        seeing.running = first
        for number in range(len(engines)):
            seeing.register(number)
        for number in range(test_quarantine.KNOWN_AFTER_CRASHES):
            await seeing.send(test_quarantine.CRASHING, number)
            await seeing.send(test_quarantine.SOUND, 100 + number)
            await asyncio.sleep(0.15)
        await asyncio.sleep(test_quarantine.KNOWN_WITHIN_S)
        seeing.running = second
        refused = await seeing.send(test_quarantine.CRASHING, 10)
        assert refused.status == 503
        assert (await seeing.send(test_quarantine.SOUND, 200)).complete
    assert [call.field("prefix-hash") for call in spared] == [
        (test_quarantine.SOUND % 200).encode()
    ]
