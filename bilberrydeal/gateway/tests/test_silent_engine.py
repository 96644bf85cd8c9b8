"""Streams of engines that send nothing for a second and then go on."""

import ast
import asyncio
import collections.abc
import re
import time

import attrs
import pytest

from ... import http1
from ... import systems
from ...systems import retries
from ..core import _requests
from ..streams import _client_stream
from . import configurations
from . import harness
from . import scripted

SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
EVENTS = b"".join(scripted.event(n) for n in range(1, 6))
#: How long a silent engine sends nothing, in seconds.
SILENCE_S = 1.2
#: The same for one that is silent until its streams move.
LONG_SILENCE_S = 1.8


async def _silent_midway(call: scripted.Call) -> bytes:
    """Send an event, nothing for a while, then the rest."""
    await call.send(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    await asyncio.sleep(SILENCE_S)
    return scripted.rest_of_stream(2, 5)


async def _silent_for_good(call: scripted.Call) -> bytes:
    await call.send(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    await asyncio.sleep(30.0)
    return b""


async def _silent_before_head(call: scripted.Call) -> bytes:
    await asyncio.sleep(SILENCE_S)
    return scripted.complete_stream(call, 1, 5)


async def _long_silent_before_head(call: scripted.Call) -> bytes:
    await asyncio.sleep(LONG_SILENCE_S)
    return scripted.complete_stream(call, 1, 5)


async def _silent_then_reset(call: scripted.Call) -> None:
    """Send an event, nothing for a while, then reset the connection."""
    await call.send(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    await asyncio.sleep(SILENCE_S)


async def _silent_then_ended_within_an_event(call: scripted.Call) -> bytes:
    await call.send(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    await asyncio.sleep(SILENCE_S)
    return scripted.chunk(b"id: 2\nda") + scripted.chunk(b"")


async def _decode(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


async def _full(call: scripted.Call) -> bytes:
    return scripted.not_run(call)


async def _reset(_call: scripted.Call) -> None:
    return None


async def _failing(call: scripted.Call) -> bytes:
    return scripted.signed_response(call, status=500)


async def _slow_before_head(call: scripted.Call) -> bytes:
    await asyncio.sleep(SILENCE_S)
    return await _decode(call)


async def _broken_event(call: scripted.Call) -> None:
    """Start a stream and break it off within its first event."""
    await call.send(scripted.stream_head(call) + scripted.chunk(b"id: 2\nda"))
    await asyncio.sleep(0.05)


@pytest.fixture
def _early_moves(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let runs move after 0.7 s, so that they do while engines are silent."""
    monkeypatch.setattr(_client_stream, "RESUME_SHARE", 0.65)


def _prefer_first(running: harness.RequestPath) -> None:
    """Let the first request go to engine ``d1``."""
    running.set_peer_tokens("d2", 3_000)


async def _long_stream(running: harness.RequestPath) -> harness.Reply:
    """Send a request whose caller waits for long."""
    return await running.stream("/chat-long/1", deadline_ms=10_000, **SHORT)


@pytest.mark.parametrize(
    "other_engine",
    [_full, _reset, _failing, _broken_event, _silent_before_head, _decode],
)
async def test_stream_is_not_cut_when_its_engine_is_silent_for_a_second(
    other_engine: collections.abc.Callable[
        [scripted.Call], collections.abc.Awaitable[bytes | None]
    ],
) -> None:
    silent = scripted.engine("d1", "decode", _silent_midway)
    other = scripted.engine("d2", "decode", other_engine)
    async with harness.running(silent, other) as running:
        _prefer_first(running)
        reply = await _long_stream(running)
    assert reply.complete
    assert reply.body == EVENTS


@pytest.mark.parametrize("script", [_silent_midway, _silent_before_head])
async def test_stream_does_not_run_beside_a_sound_engine_that_is_silent(
    script: scripted.Script,
) -> None:
    silent = scripted.engine("d1", "decode", script)
    other = scripted.engine("d2", "decode", _decode)
    async with harness.running(silent, other) as running:
        _prefer_first(running)
        reply = await _long_stream(running)
    assert reply.complete
    assert reply.body == EVENTS
    assert other.calls == []


@pytest.mark.parametrize("script", [_silent_midway, _silent_before_head])
async def test_silent_engine_is_waited_for_without_a_retry_budget(
    script: scripted.Script,
) -> None:
    silent = scripted.engine("d1", "decode", script)
    other = scripted.engine("d2", "decode", _decode)
    async with harness.running(silent, other) as running:
        running.budget.limits = retries.WindowLimits(10.0, 0.0, 0.0)
        _prefer_first(running)
        reply = await _long_stream(running)
    assert reply.status == 200
    assert reply.complete
    assert reply.body == EVENTS
    assert other.calls == []


async def test_another_engine_is_asked_after_one_refused_the_connection() -> (
    None
):
    silent = scripted.engine("d1", "decode", _silent_for_good)
    gone = scripted.engine("d2", "decode", _decode)
    healthy = scripted.engine("d3", "decode", _decode)
    async with harness.running(silent, gone, healthy) as running:
        running.cluster.endpoints["d2"].pool = http1.Pool("127.0.0.1", 1)
        running.cluster.endpoints["d2"].pool.limit = 8
        for name, tokens in (("d2", 3_000), ("d3", 6_000)):
            running.set_peer_tokens(name, tokens)
        reply = await running.stream("/chat/1", **SHORT)
    assert reply.complete
    assert reply.body == EVENTS
    assert len(healthy.calls) == 1


async def test_engine_is_used_again_as_soon_as_it_goes_on() -> None:
    silent = scripted.engine("d1", "decode", _silent_midway)
    other = scripted.engine("d2", "decode", _full)
    async with harness.running(silent, other) as running:
        _prefer_first(running)
        stream = asyncio.create_task(_long_stream(running))
        await silent.arrived.wait()
        await asyncio.sleep(SILENCE_S / 2)
        upstream = running.cluster.endpoints["d1"]
        for _ in range(8):
            now_s = time.monotonic()
            running.cluster.observe(upstream, False, now_s, silent=True)
        running.cluster.sweep(time.monotonic())
        circuits = [upstream.view.circuit]
        await stream
        running.cluster.sweep(time.monotonic())
        circuits.append(upstream.view.circuit)
    assert circuits == [
        systems.CircuitState.OPEN,
        systems.CircuitState.HALF_OPEN,
    ]


@pytest.mark.parametrize(
    "script", [_silent_then_reset, _silent_then_ended_within_an_event]
)
async def test_other_engine_is_awaited_when_a_silent_one_breaks_off(
    script: scripted.Script,
) -> None:
    silent = scripted.engine("d1", "decode", script)
    other = scripted.engine("d2", "decode", _slow_before_head)
    async with harness.running(silent, other) as running:
        _prefer_first(running)
        reply = await _long_stream(running)
    assert reply.complete
    assert reply.body == EVENTS
    assert len(other.calls) == 1


def _allow_attempts(running: harness.RequestPath, attempts: int) -> None:
    """Let each request be sent to so many engines."""
    configuration = configurations.configuration(2)
    routes = tuple(
        attrs.evolve(route, max_attempts=attempts)
        for route in configuration.routes
    )
    running.cluster.set_configuration(
        attrs.evolve(configuration, routes=routes)
    )


async def _head_then_silent_for_good(call: scripted.Call) -> bytes:
    await call.send(scripted.stream_head(call))
    await asyncio.sleep(30.0)
    return b""


async def _silent_for_two_seconds(call: scripted.Call) -> bytes:
    """Send an event, nothing for longer than two stalls, then the rest."""
    await call.send(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    await asyncio.sleep(1.9)
    return scripted.rest_of_stream(2, 5)


async def _decode_slowly(call: scripted.Call) -> bytes:
    """Send the rest of a stream, with pauses between its events."""
    first = int(call.field("last-event-id") or 0) + 1
    call.writer.write(scripted.stream_head(call))
    for number in range(first, 6):
        await call.send(scripted.chunk(scripted.event(number)))
        await asyncio.sleep(0.3)
    return scripted.chunk(b"")


async def _head_then_silent(call: scripted.Call) -> bytes:
    """Send a head, nothing for a while, then the events."""
    await call.send(scripted.stream_head(call))
    await asyncio.sleep(LONG_SILENCE_S)
    return scripted.rest_of_stream(1, 5)


async def test_first_event_is_logged_for_the_engine_that_sent_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    silent = scripted.engine("d1", "decode", _head_then_silent)
    other = scripted.engine("d2", "decode", _head_then_silent_for_good)
    async with harness.running(silent, other) as running:
        _prefer_first(running)
        reply = await _long_stream(running)
    assert reply.body == EVENTS
    assert len(other.calls) == 1
    steps = re.search(r"steps=(\[.*\])", capsys.readouterr().out)
    assert steps is not None
    sends = ast.literal_eval(steps.group(1))
    assert [send["endpoint"] for send in sends] == ["d1", "d2"]
    assert sends[0]["first_ms"] >= LONG_SILENCE_S * 1000
    assert sends[1]["first_ms"] is None


@pytest.mark.usefixtures("_early_moves")
@pytest.mark.parametrize("last_engine", [_decode, _decode_slowly])
async def test_no_event_comes_twice_when_the_second_engine_is_silent_too(
    last_engine: scripted.Script,
) -> None:
    silent = scripted.engine("d1", "decode", _silent_for_two_seconds)
    also_silent = scripted.engine("d2", "decode", _head_then_silent_for_good)
    healthy = scripted.engine("d3", "decode", last_engine)
    async with harness.running(silent, also_silent, healthy) as running:
        _allow_attempts(running, 4)
        for name, tokens in (("d2", 3_000), ("d3", 6_000)):
            running.set_peer_tokens(name, tokens)
        reply = await _long_stream(running)
    assert reply.complete
    assert reply.body == EVENTS
    assert len(healthy.calls) == 1
    assert silent.aborted_count == 1


async def test_silent_engine_is_free_once_another_has_its_stream() -> None:
    silent = scripted.engine("d1", "decode", _silent_for_good)
    other = scripted.engine("d2", "decode", _decode_slowly)
    async with harness.running(silent, other) as running:
        _prefer_first(running)
        stream = asyncio.create_task(_long_stream(running))
        await silent.disconnected.wait()
        await asyncio.sleep(0.1)
        upstream = running.cluster.endpoints["d1"]
        assert upstream.load is not None
        assert not stream.done()
        assert upstream.pool.busy == 0
        assert upstream.load.own_counts.total == 0
        reply = await stream
    assert reply.complete
    assert reply.body == EVENTS


async def test_run_that_took_a_stream_over_ends_when_its_caller_leaves() -> (
    None
):
    silent = scripted.engine("d1", "decode", _silent_for_good)
    other = scripted.engine("d2", "decode", _decode_slowly)
    async with harness.running(silent, other) as running:
        _prefer_first(running)
        stream = asyncio.create_task(_long_stream(running))
        await silent.disconnected.wait()
        stream.cancel()
        async with asyncio.timeout(0.2):
            await other.disconnected.wait()
        await asyncio.sleep(0)
        for name in ("d1", "d2"):
            upstream = running.cluster.endpoints[name]
            assert upstream.load is not None
            assert upstream.pool.busy == 0
            assert upstream.load.own_counts.total == 0
        assert running.server.requests_open == 0


async def test_streams_beyond_the_retry_budget_wait_for_a_silent_engine() -> (
    None
):
    silent = scripted.engine("d1", "decode", _long_silent_before_head)
    other = scripted.engine("d2", "decode", _decode)
    async with harness.running(silent, other) as running:
        running.budget.limits = retries.WindowLimits(10.0, 0.0, 4.0)
        running.set_peer_tokens("d2", 50_000)
        streams = [
            asyncio.create_task(_long_stream(running)) for _ in range(12)
        ]
        await asyncio.sleep(0.3)
        assert len(silent.calls) == len(streams)
        running.set_peer_tokens("d2", 0)
        replies = await asyncio.gather(*streams)
    assert [reply.status for reply in replies] == [200] * len(streams)
    assert all(reply.body == EVENTS for reply in replies)
    assert 0 < len(other.calls) <= 4


@pytest.mark.parametrize("script", [_silent_midway, _silent_before_head])
async def test_silent_engine_is_waited_for_if_no_other_may_be_asked(
    script: scripted.Script,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def refuse_another_send(
        _admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
    ) -> None:
        if progress.may_have_run:
            raise _requests.failure_refusal(progress, "suspected prompt part")

    silent = scripted.engine("d1", "decode", script)
    other = scripted.engine("d2", "decode", _decode)
    async with harness.running(silent, other) as running:
        monkeypatch.setattr(running.quarantine, "check", refuse_another_send)
        _prefer_first(running)
        reply = await _long_stream(running)
    assert reply.status == 200
    assert reply.body == EVENTS
    assert other.calls == []
    assert "Send repeated." not in capsys.readouterr().out
