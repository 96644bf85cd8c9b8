"""Streams while engines of several software versions serve."""

import asyncio

import attrs
import pytest

from ... import ports
from . import harness
from . import loopback

EVENTS = b"".join(harness.event(n) for n in range(1, 6))
#: A prompt that its decode engine prefills itself.
SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}


async def _prefill(call: harness.Call) -> bytes:
    return harness.handle(call)


async def _decode(call: harness.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return harness.complete_stream(call, first, 5)


async def _broken_off(call: harness.Call) -> None:
    call.writer.write(
        harness.stream_head(call)
        + harness.chunk(harness.event(1))
        + harness.chunk(harness.event(2))
    )
    await call.writer.drain()
    await asyncio.sleep(0.05)


async def _failed(call: harness.Call) -> bytes:
    return harness.signed_response(call, 500)


async def _silent(call: harness.Call) -> bytes:
    call.writer.write(
        harness.stream_head(call) + harness.chunk(harness.event(1))
    )
    await call.writer.drain()
    await asyncio.sleep(30.0)
    return b""


def _engine(
    engine_id: str, version: str, script: harness.Script, role: str = "decode"
) -> harness.Endpoint:
    found = harness.engine(engine_id, role, script)
    found.software_version = version
    return found


def _burden(running: harness.RequestPath, engine_id: str, tokens: int) -> None:
    """Let an engine be chosen after those with fewer tokens."""
    load = running.cluster.endpoints[engine_id].load
    assert load is not None
    load.peer_tokens.urgent = tokens


def _runs(engine: harness.Endpoint) -> list[harness.Call]:
    return [
        call
        for call in engine.calls
        if call.head.startswith(b"POST") and not call.prefill
    ]


@pytest.mark.parametrize("prompt", [SHORT, {}], ids=["short", "long"])
@pytest.mark.parametrize("trouble", [_broken_off, _silent])
async def test_one_answer_holds_no_events_of_two_software_versions(
    trouble: harness.Script, prompt: dict[str, str]
) -> None:
    troubled = _engine("d1", "v1", trouble)
    other = _engine("d2", "v2", _decode)
    prefiller = _engine("p1", "v2", _prefill, "prefill")
    async with harness.running(troubled, other, prefiller) as running:
        _burden(running, "d2", 3_000)
        reply = await running.stream(**prompt)
    assert _runs(troubled)
    assert not _runs(other)
    assert not reply.complete


async def test_broken_stream_goes_on_at_an_engine_of_its_version() -> None:
    troubled = _engine("d1", "v1", _broken_off)
    other = _engine("d2", "v2", _decode)
    same = _engine("d3", "v1", _decode)
    async with harness.running(troubled, other, same) as running:
        _burden(running, "d2", 3_000)
        _burden(running, "d3", 6_000)
        reply = await running.stream(**SHORT)
    assert reply.complete
    assert reply.body == EVENTS
    assert not _runs(other)
    assert _runs(same)[0].field("last-event-id") == b"2"


async def test_stream_without_events_may_begin_at_another_version() -> None:
    troubled = _engine("d1", "v1", _failed)
    other = _engine("d2", "v2", _decode)
    async with harness.running(troubled, other) as running:
        _burden(running, "d2", 3_000)
        reply = await running.stream(**SHORT)
    assert reply.complete
    assert _runs(troubled)
    assert reply.body == EVENTS


@pytest.mark.parametrize(
    "fields", [{"resumes": "r-before"}, {}], ids=["named", "unnamed"]
)
async def test_take_up_of_an_unknown_version_is_refused_at_once(
    fields: dict[str, str],
) -> None:
    engines = [_engine("d1", "v1", _decode), _engine("d2", "v2", _decode)]
    async with harness.running(*engines) as running:
        reply = await running.stream(last_event_id="2", **fields, **SHORT)
    assert reply.status == 503
    assert reply.field("retry-after")
    assert not any(_runs(engine) for engine in engines)


async def test_take_up_goes_on_while_one_version_serves() -> None:
    engines = [_engine("d1", "v1", _decode), _engine("d2", "v1", _decode)]
    async with harness.running(*engines) as running:
        reply = await running.stream(
            last_event_id="2", resumes="r-before", **SHORT
        )
    assert reply.status == 200
    assert reply.body == b"".join(harness.event(n) for n in range(3, 6))


def test_version_of_few_engines_is_found_in_a_large_fleet() -> None:
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    for number in range(600):
        cluster.set_endpoint(
            attrs.evolve(
                loopback.engine(ports.EngineRole.DECODE),
                endpoint_id=f"n{number}",
                software_version="v2" if number < 2 else "v1",
            )
        )
    for affinity in (b"a", b"b", b"c", b"d"):
        found = cluster.engines("llm", affinity, 0.0, "v2")
        assert {load.engine_id for load in found} <= {"n0", "n1"}
        assert found
