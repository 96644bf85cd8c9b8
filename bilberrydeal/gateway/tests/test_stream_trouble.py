"""Streams of engines that are slow, stall or send bytes without end."""

import asyncio

import pytest

from . import harness
from . import scripted

SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
EVENTS = b"".join(scripted.event(n) for n in range(1, 6))
#: Bytes of an event that never ends, in all.
ENDLESS_BYTES = 64_000_000


async def _decode(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


async def _slow(call: scripted.Call) -> bytes:
    """Send an event each 0.9 s, later than a stall is noticed."""
    call.writer.write(scripted.stream_head(call))
    for number in range(1, 4):
        await call.send(scripted.chunk(scripted.event(number)))
        await asyncio.sleep(0.9)
    return (
        scripted.chunk(scripted.event(4))
        + scripted.chunk(scripted.event(5))
        + b"0\r\n\r\n"
    )


async def _trickling(call: scripted.Call) -> bytes:
    """Send an event, then a byte now and then that completes no other."""
    call.writer.write(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    for _ in range(300):
        await call.send(scripted.chunk(b"i"))
        await asyncio.sleep(0.1)
    return b""


async def _endless(call: scripted.Call) -> bytes:
    """Send an event, then bytes that never complete another one."""
    call.writer.write(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    piece = scripted.chunk(b"x" * 65_536)
    for _ in range(ENDLESS_BYTES // 65_536):
        await call.send(piece)
    await asyncio.sleep(30.0)
    return b""


async def _silent(_call: scripted.Call) -> bytes:
    await asyncio.sleep(30.0)
    return b""


async def _endless_head(call: scripted.Call) -> bytes:
    """Send a head that never ends."""
    call.writer.write(b"HTTP/1.1 200 OK\r\n")
    for _ in range(ENDLESS_BYTES // 65_536):
        await call.send(b"x-a: " + b"y" * 65_529 + b"\r\n")
    await asyncio.sleep(30.0)
    return b""


async def _interim_answers(call: scripted.Call) -> bytes:
    """Send interim responses without end."""
    for _ in range(200_000):
        await call.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        # Draining yields only once the kernel takes no more.
        await asyncio.sleep(0)
    await asyncio.sleep(30.0)
    return b""


async def test_slow_but_sound_stream_stays_where_it_is() -> None:
    """Guards against cutting a stream that no engine would continue sooner.

    It was once moved after a fixed time without an event.
    """
    slow = scripted.engine("d1", "decode", _slow)
    busy = scripted.engine("d2", "decode", _decode)
    async with harness.running(slow, busy) as running:
        running.set_peer_tokens("d2", 10_000_000)
        reply = await running.stream(
            "/chat-long/1", deadline_ms=10_000, **SHORT
        )
    assert reply.complete
    assert reply.body == EVENTS
    assert slow.aborted_count == 0
    assert busy.calls == []


@pytest.mark.parametrize("script", [_trickling, _endless])
async def test_stream_without_events_is_continued_elsewhere(
    script: scripted.Script,
) -> None:
    """Bytes that complete no event are no progress."""
    stalled = scripted.engine("d1", "decode", script)
    healthy = scripted.engine("d2", "decode", _decode)
    async with harness.running(stalled, healthy) as running:
        running.set_peer_tokens("d2", 3_000)
        async with asyncio.timeout(5.0):
            reply = await running.stream(**SHORT)
    assert reply.complete
    assert reply.body == EVENTS
    assert len(stalled.calls) == 1


@pytest.mark.parametrize("script", [_endless_head, _interim_answers])
async def test_head_without_end_is_given_up(script: scripted.Script) -> None:
    endless = scripted.engine("d1", "decode", script)
    healthy = scripted.engine("d2", "decode", _decode)
    async with harness.running(endless, healthy) as running:
        running.set_peer_tokens("d2", 3_000)
        async with asyncio.timeout(5.0):
            reply = await running.stream(**SHORT)
    assert reply.status == 200
    assert reply.complete
    assert reply.body == EVENTS
    assert len(endless.calls) == 1


async def test_late_prefill_is_not_begun_anew_in_vain() -> None:
    """A decode engine once prefilled what its caller no longer waited for.

    The caller is told that nothing ran, with time left to come back.
    """
    silent = scripted.engine("p1", "prefill", _silent)
    free = scripted.engine("d1", "decode", _silent)
    async with harness.running(silent, free) as running:
        began_s = asyncio.get_running_loop().time()
        reply = await running.stream("/chat-once/1")
        took_s = asyncio.get_running_loop().time() - began_s
    assert reply.status == 503
    assert reply.field("retry-after") is not None
    assert took_s < 1.7
    assert not free.calls


@pytest.mark.parametrize("path", ["/chat-once/1", "/chat-one/1", "/chat/1"])
async def test_silent_prefill_is_refused_before_the_caller_leaves(
    path: str,
) -> None:
    """Callers once waited until they closed the stream, and did not return.

    A prefill runs nothing, so the refusal is true on any route.
    """
    silent = scripted.engine("p1", "prefill", _silent)
    busy = scripted.engine("d1", "decode", _decode)
    async with harness.running(silent, busy) as running:
        running.set_peer_tokens("d1", 10_000_000)
        began_s = asyncio.get_running_loop().time()
        reply = await running.stream(path)
        took_s = asyncio.get_running_loop().time() - began_s
        async with asyncio.timeout(2.0):
            await silent.disconnected.wait()
    assert reply.status == 503
    assert reply.field("retry-after") is not None
    assert took_s < 2.0
    assert busy.calls == []
