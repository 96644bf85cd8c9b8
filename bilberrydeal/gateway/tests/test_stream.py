"""Responses to streaming requests when engines fail."""

import asyncio

import pytest
import structlog

from ... import http1
from ..serving import _request_handler
from . import configurations
from . import harness
from . import scripted


async def _prefill(call: scripted.Call) -> bytes:
    return scripted.handle(call)


async def _decode(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


async def _full(call: scripted.Call) -> bytes:
    return scripted.not_run(call)


async def _reset(_call: scripted.Call) -> None:
    return None


async def _broken_off(call: scripted.Call) -> None:
    """Send two events and part of a third, then close the connection."""
    await call.send(
        scripted.stream_head(call)
        + scripted.chunk(scripted.event(1))
        + scripted.chunk(scripted.event(2) + b"id: 3\nda")
    )
    await asyncio.sleep(0.05)


async def _stalled(call: scripted.Call) -> bytes:
    await call.send(
        scripted.stream_head(call) + scripted.chunk(scripted.event(1))
    )
    await asyncio.sleep(30.0)
    return b""


EVENTS = b"".join(scripted.event(n) for n in range(1, 6))


def _freed_paths(endpoint: scripted.Endpoint) -> list[bytes]:
    return [
        call.head.split()[1]
        for call in endpoint.calls
        if call.head.startswith(b"DELETE")
    ]


async def test_long_prompt_is_prefilled_separately_and_transferred() -> None:
    prefiller = scripted.engine("p1", "prefill", _prefill)
    decoder = scripted.engine("d1", "decode", _decode)
    async with harness.running(prefiller, decoder) as running:
        reply = await running.stream(kv_source="1.1.1.1:1/forged")
    assert reply.status == 200
    assert reply.complete
    assert reply.body == EVENTS
    assert reply.field("server-signature") == b"s.d1"
    (prefilled,) = prefiller.calls
    (decoded,) = decoder.calls
    assert prefilled.prefill
    assert not decoded.prefill
    source = b"127.0.0.1:%d/hr1" % prefiller.port
    assert decoded.field("kv-source") == source
    assert decoded.field("expect-instance") == b"d1"
    assert running.usage_counter.by_organisation == {"o1": 1}


async def test_short_prompt_is_prefilled_by_its_decode_engine() -> None:
    prefiller = scripted.engine("p1", "prefill", _prefill)
    decoder = scripted.engine("d1", "decode", _decode)
    async with harness.running(prefiller, decoder) as running:
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.body == EVENTS
    assert prefiller.calls == []


async def test_broken_stream_resumes_after_its_last_complete_event() -> None:
    broken = scripted.engine("d1", "decode", _broken_off)
    healthy = scripted.engine("d2", "decode", _decode)
    async with harness.running(broken, healthy) as running:
        running.cluster.endpoints["d2"].view.in_flight = 0
        running.set_peer_tokens("d2", 3_000)
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.complete
    assert reply.body == EVENTS
    assert reply.field("server-signature") == b"s.d1"
    assert healthy.calls[0].field("last-event-id") == b"2"
    assert running.usage_counter.by_organisation == {"o1": 1}


async def test_stalled_stream_resumes_after_its_run_is_aborted() -> None:
    stalled = scripted.engine("d1", "decode", _stalled)
    healthy = scripted.engine("d2", "decode", _decode)
    async with harness.running(stalled, healthy) as running:
        running.set_peer_tokens("d2", 3_000)
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.complete
    assert reply.body == EVENTS
    assert stalled.aborted_count == 1


async def test_broken_stream_that_cannot_resume_is_incomplete() -> None:
    broken = scripted.engine("d1", "decode", _broken_off)
    async with harness.running(broken) as running:
        for path in ("/chat/1", "/chat-once/1", "/chat-one/1"):
            reply = await running.stream(
                path, token_usage="120,10", prefix_hash="aa:50,bb:70"
            )
            assert reply.status == 200
            assert not reply.complete
            assert reply.body == scripted.event(1) + scripted.event(2)


@pytest.mark.parametrize(
    ("script", "interrupted"),
    [(_broken_off, True), (_decode, False), (_reset, False)],
)
async def test_response_that_is_cut_is_told_from_a_caller_that_left(
    script: scripted.Script,
    interrupted: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = structlog.testing.LogCapture()
    monkeypatch.setattr(
        _request_handler,
        "LOG",
        structlog.wrap_logger(structlog.PrintLogger(), processors=[log]),
    )
    engine = scripted.engine("d1", "decode", script)
    async with harness.running(engine) as running:
        await running.stream("/chat-one/1")
    (ended,) = log.entries
    assert ended["event"] == "Request ended."
    assert ended["interrupted"] is interrupted


async def test_non_resumable_stream_that_may_have_run_is_not_retried() -> None:
    engines = [scripted.engine(f"d{n}", "decode", _reset) for n in range(3)]
    async with harness.running(*engines) as running:
        reply = await running.stream(
            "/chat-once/1", token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.status == 502
    assert sum(len(each.calls) for each in engines) == 1


async def test_lost_prefill_counts_as_not_run() -> None:
    """Guards against a lost prefill being reported as a possible run."""
    prefiller = scripted.engine("p1", "prefill", _reset)
    decoder = scripted.engine("d1", "decode", _decode)
    async with harness.running(prefiller, decoder) as running:
        load = running.cluster.endpoints["d1"].load
        assert load is not None
        load.peer_counts.add(0, load.slots * 2)
        reply = await running.stream("/chat-one/1")
    assert reply.status == 503
    assert reply.field("retry-after") is not None
    assert decoder.calls == []


async def test_lost_prefill_is_no_attempt_to_run() -> None:
    """With a single attempt the request may still run once elsewhere.

    A second prefill would count as an attempt, so the engine that decodes
    prefills too although another one could do it sooner.
    """
    prefillers = [scripted.engine(f"p{n}", "prefill", _reset) for n in (1, 2)]
    decoder = scripted.engine("d1", "decode", _decode)
    async with harness.running(*prefillers, decoder) as running:
        reply = await running.stream("/chat-one/1")
    assert reply.status == 200
    assert reply.complete
    assert sum(len(each.calls) for each in prefillers) == 1
    assert len(decoder.calls) == 1


async def test_refused_connection_does_not_repeat_the_prefill() -> None:
    prefillers = [
        scripted.engine(f"p{n}", "prefill", _prefill) for n in (1, 2)
    ]
    gone = scripted.engine("d1", "decode", _decode)
    healthy = scripted.engine("d2", "decode", _decode)
    async with harness.running(*prefillers, gone, healthy) as running:
        running.cluster.endpoints["d1"].pool = http1.Pool("127.0.0.1", 1)
        running.cluster.endpoints["d1"].pool.limit = 8
        load = running.cluster.endpoints["d2"].load
        assert load is not None
        load.peer_counts.add(0, 10)
        reply = await running.stream()
    assert reply.complete
    assert sum(len(each.calls) for each in prefillers) == 1
    assert len(healthy.calls) == 1


async def test_unused_kv_handle_is_freed() -> None:
    prefiller = scripted.engine("p1", "prefill", _prefill)
    decoder = scripted.engine("d1", "decode", _full)
    async with harness.running(prefiller, decoder) as running:
        reply = await running.stream("/chat-one/1")
        await asyncio.sleep(0.1)
    assert reply.status == 503
    assert _freed_paths(prefiller) == [b"/bilberrydeal/kv-handle/hr1"]


async def test_sends_are_limited_by_the_route() -> None:
    engines = [scripted.engine(f"d{n}", "decode", _full) for n in range(4)]
    async with harness.running(*engines) as running:
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.status == 503
    assert sum(len(each.calls) for each in engines) == 2


async def test_unreachable_deadline_is_refused_immediately() -> None:
    decoder = scripted.engine("d1", "decode", _decode)
    async with harness.running(decoder) as running:
        running.set_peer_tokens("d1", 3_000_000)
        began = asyncio.get_running_loop().time()
        reply = await running.stream()
        took_s = asyncio.get_running_loop().time() - began
    assert reply.status == 503
    assert float(reply.field("retry-after") or 0) > 0
    assert took_s < 0.3
    assert decoder.calls == []


async def test_only_extra_sends_are_charged_to_the_budget() -> None:
    """A second prefill and a second decode engine are two extra sends."""
    prefiller = scripted.engine("p1", "prefill", _prefill)
    other = scripted.engine("p2", "prefill", _prefill)
    full = scripted.engine("d1", "decode", _full)
    healthy = scripted.engine("d2", "decode", _decode)
    async with harness.running(prefiller, other, full, healthy) as running:
        load = running.cluster.endpoints["d2"].load
        assert load is not None
        load.peer_counts.add(0, 10)

        def remaining() -> int:
            left = 0
            while running.budget.permits("llm", left + 1, 1, 0.0):
                left += 1
            return left

        before = remaining()
        reply = await running.stream()
        assert reply.status == 200
        assert len(prefiller.calls) + len(other.calls) == 3
        assert before - remaining() == 2


async def test_request_queued_for_the_uplink_skips_a_draining_engine() -> None:
    """Guards against a send to an engine that began to drain meanwhile.

    The request body was queued for the uplink when the engine announced it.
    """
    decoder = scripted.engine("d1", "decode", _decode)
    async with harness.running(decoder, uplink_mbps=0.5) as running:
        requests = [
            asyncio.create_task(running.stream(body=b"b" * 20_000))
            for _ in range(2)
        ]
        await decoder.arrived.wait()
        draining = configurations.registration(decoder, ready=False)
        running.cluster.set_endpoint(draining)
        replies = await asyncio.gather(*requests)
    assert sorted(reply.status for reply in replies) == [200, 503]
    assert len(decoder.calls) == 1
