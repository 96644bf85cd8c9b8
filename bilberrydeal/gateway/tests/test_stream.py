"""What callers of streams get when engines fail at any moment."""

import asyncio

from . import harness


async def _read(call: harness.Call) -> bytes:
    return harness.handle(call)


async def _make(call: harness.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return harness.whole_stream(call, first, 5)


async def _full(call: harness.Call) -> bytes:
    return harness.not_run(call)


async def _reset(_call: harness.Call) -> None:
    return None


async def _torn(call: harness.Call) -> None:
    """Make two events and part of a third, then break off."""
    call.writer.write(
        harness.stream_head(call)
        + harness.chunk(harness.event(1))
        + harness.chunk(harness.event(2) + b"id: 3\nda")
    )
    await call.writer.drain()
    await asyncio.sleep(0.05)


async def _stalled(call: harness.Call) -> bytes:
    call.writer.write(
        harness.stream_head(call) + harness.chunk(harness.event(1))
    )
    await call.writer.drain()
    await asyncio.sleep(30.0)
    return b""


EVENTS = b"".join(harness.event(n) for n in range(1, 6))


def _freed(endpoint: harness.Endpoint) -> list[bytes]:
    return [
        call.head.split()[1]
        for call in endpoint.calls
        if call.head.startswith(b"DELETE")
    ]


async def test_a_long_prompt_is_read_apart_and_handed_over() -> None:
    reader = harness.engine("p1", "prefill", _read)
    maker = harness.engine("d1", "decode", _make)
    async with harness.running(reader, maker) as running:
        reply = await running.stream(kv_source="1.1.1.1:1/forged")
    assert reply.status == 200
    assert reply.whole
    assert reply.body == EVENTS
    assert reply.field("server-signature") == b"s.d1"
    (read,) = reader.calls
    (made,) = maker.calls
    assert read.prefill
    assert not made.prefill
    source = b"127.0.0.1:%d/hr1" % reader.port
    assert made.field("kv-source") == source
    assert made.field("expect-instance") == b"d1"
    assert running.usage_counter.by_name == {"o1": 1}


async def test_a_short_prompt_goes_to_where_its_tokens_are_made() -> None:
    reader = harness.engine("p1", "prefill", _read)
    maker = harness.engine("d1", "decode", _make)
    async with harness.running(reader, maker) as running:
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.body == EVENTS
    assert reader.calls == []


async def test_a_torn_stream_goes_on_after_its_last_whole_event() -> None:
    torn = harness.engine("d1", "decode", _torn)
    good = harness.engine("d2", "decode", _make)
    async with harness.running(torn, good) as running:
        running.cluster.endpoints["d2"].view.in_flight = 0
        load = running.cluster.endpoints["d2"].load
        assert load is not None
        load.others.urgent = 3_000
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.whole
    assert reply.body == EVENTS
    assert reply.field("server-signature") == b"s.d1"
    assert good.calls[0].field("last-event-id") == b"2"
    assert running.usage_counter.by_name == {"o1": 1}


async def test_a_stalled_stream_goes_on_once_its_run_is_over() -> None:
    stalled = harness.engine("d1", "decode", _stalled)
    good = harness.engine("d2", "decode", _make)
    async with harness.running(stalled, good) as running:
        load = running.cluster.endpoints["d2"].load
        assert load is not None
        load.others.urgent = 3_000
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.whole
    assert reply.body == EVENTS
    assert stalled.cut == 1


async def test_a_torn_stream_that_cannot_go_on_never_looks_whole() -> None:
    torn = harness.engine("d1", "decode", _torn)
    async with harness.running(torn) as running:
        for path in ("/chat/1", "/chat-once/1", "/chat-one/1"):
            reply = await running.stream(
                path, token_usage="120,10", prefix_hash="aa:50,bb:70"
            )
            assert reply.status == 200
            assert not reply.whole
            assert reply.body == harness.event(1) + harness.event(2)


async def test_a_stream_that_may_have_run_once_is_not_run_again() -> None:
    engines = [harness.engine(f"d{n}", "decode", _reset) for n in range(3)]
    async with harness.running(*engines) as running:
        reply = await running.stream(
            "/chat-once/1", token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.status == 502
    assert sum(len(each.calls) for each in engines) == 1


async def test_a_lost_reading_runs_nothing() -> None:
    """Reading a prompt is no run, so the refusal may say not run."""
    reader = harness.engine("p1", "prefill", _reset)
    maker = harness.engine("d1", "decode", _make)
    async with harness.running(reader, maker) as running:
        reply = await running.stream("/chat-one/1")
    assert reply.status == 503
    assert reply.field("retry-after") is not None
    assert maker.calls == []


async def test_a_handle_that_nobody_takes_is_freed() -> None:
    reader = harness.engine("p1", "prefill", _read)
    maker = harness.engine("d1", "decode", _full)
    async with harness.running(reader, maker) as running:
        reply = await running.stream("/chat-one/1")
        await asyncio.sleep(0.1)
    assert reply.status == 503
    assert _freed(reader) == [b"/bilberrydeal/kv-handle/hr1"]


async def test_no_more_engines_than_the_route_allows() -> None:
    engines = [harness.engine(f"d{n}", "decode", _full) for n in range(4)]
    async with harness.running(*engines) as running:
        reply = await running.stream(
            token_usage="120,10", prefix_hash="aa:50,bb:70"
        )
    assert reply.status == 503
    assert sum(len(each.calls) for each in engines) == 2


async def test_what_cannot_be_in_time_is_refused_at_once() -> None:
    maker = harness.engine("d1", "decode", _make)
    async with harness.running(maker) as running:
        load = running.cluster.endpoints["d1"].load
        assert load is not None
        load.others.urgent = 3_000_000
        began = asyncio.get_running_loop().time()
        reply = await running.stream()
        took_s = asyncio.get_running_loop().time() - began
    assert reply.status == 503
    assert float(reply.field("retry-after") or 0) > 0
    assert took_s < 0.3
    assert maker.calls == []


async def test_only_sends_that_count_are_charged() -> None:
    """A second reading and a second maker are two extra sends."""
    reader = harness.engine("p1", "prefill", _read)
    other = harness.engine("p2", "prefill", _read)
    full = harness.engine("d1", "decode", _full)
    good = harness.engine("d2", "decode", _make)
    async with harness.running(reader, other, full, good) as running:
        load = running.cluster.endpoints["d2"].load
        assert load is not None
        load.others_counts.add(0, 10)

        def spent() -> int:
            left = 0
            while running.budget.has_room("llm", left + 1, 1, 0.0):
                left += 1
            return left

        before = spent()
        reply = await running.stream()
        assert reply.status == 200
        assert len(reader.calls) + len(other.calls) == 3
        assert before - spent() == 2


async def test_who_waits_for_the_link_is_not_sent_to_an_engine_that_left() -> (
    None
):
    """The engine said that it leaves while the body waited here."""
    maker = harness.engine("d1", "decode", _make)
    async with harness.running(maker, uplink_mbps=0.5) as running:
        asked = [
            asyncio.create_task(running.stream(body=b"b" * 20_000))
            for _ in range(2)
        ]
        await maker.arrived.wait()
        leaving = harness.announced(maker, ready=False)
        running.cluster.set_endpoint(leaving)
        replies = await asyncio.gather(*asked)
    assert sorted(reply.status for reply in replies) == [200, 503]
    assert len(maker.calls) == 1
