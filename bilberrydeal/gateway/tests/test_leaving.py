"""Endpoints that say in their responses that they leave."""

import asyncio

import attrs
import pytest

from ... import catalogue
from ... import ports
from ...systems import health
from ...systems import placement
from ..cluster_state import _cluster_state
from . import configurations
from . import harness
from . import scripted

SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
EVENTS = b"".join(scripted.event(n) for n in range(1, 6))


def _leaving(response: bytes) -> bytes:
    """Return a response that says that its endpoint leaves."""
    line, _end, rest = response.partition(b"\r\n")
    return line + b"\r\nserver-leaving: 1\r\n" + rest


async def _ok(call: scripted.Call) -> bytes:
    return _leaving(scripted.signed_response(call))


async def _failure(call: scripted.Call) -> bytes:
    return _leaving(scripted.signed_response(call, 500))


async def _full(call: scripted.Call) -> bytes:
    return _leaving(scripted.not_run(call))


async def _unsigned(call: scripted.Call) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\ncontent-length: 0\r\n\r\n"
    return _leaving(head % call.request_id)


async def _early_hint(call: scripted.Call) -> bytes:
    """Say it in the head of a response whose body never ends."""
    await call.send(_leaving(scripted.signed_response(call, body=b"ab"))[:-1])
    await asyncio.sleep(30.0)
    return b""


async def _stream(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


async def _leaving_stream(call: scripted.Call) -> bytes:
    """Say it in the head of a stream that goes on for a while."""
    await call.send(
        _leaving(scripted.stream_head(call))
        + scripted.chunk(scripted.event(1))
    )
    await asyncio.sleep(0.3)
    return scripted.rest_of_stream(2, 5)


async def _prefill(call: scripted.Call) -> bytes:
    return scripted.handle(call)


async def _leaving_prefill(call: scripted.Call) -> bytes:
    return _leaving(scripted.handle(call))


@pytest.mark.parametrize(
    "script", [_ok, _failure, _full, _unsigned, _early_hint]
)
async def test_leaving_endpoint_gets_no_further_request(
    script: scripted.Script,
) -> None:
    leaving = scripted.plain("e1", script)
    async with harness.running(leaving) as running:
        first = asyncio.create_task(running.send("/brief/1"))
        async with asyncio.timeout(3.0):
            await leaving.arrived.wait()
        await asyncio.sleep(0.05)
        later = [await running.send("/read/1") for _ in range(3)]
        await first
    assert len(leaving.calls) == 1
    assert [reply.status for reply in later] == [503] * 3


async def test_running_stream_of_a_leaving_engine_ends_in_peace() -> None:
    leaving = scripted.engine("d1", "decode", _leaving_stream)
    other = scripted.engine("d2", "decode", _stream)
    async with harness.running(leaving, other) as running:
        running.set_peer_tokens("d2", 3_000)
        running_stream = asyncio.create_task(running.stream(**SHORT))
        async with asyncio.timeout(3.0):
            await leaving.arrived.wait()
        await asyncio.sleep(0.05)
        later = await running.stream(**SHORT)
        first = await running_stream
    assert (first.body, first.complete) == (EVENTS, True)
    assert (later.body, later.complete) == (EVENTS, True)
    assert (len(leaving.calls), len(other.calls)) == (1, 1)


async def test_prompt_prefilled_by_a_leaving_engine_is_still_decoded() -> None:
    leaving = scripted.engine("p1", "prefill", _leaving_prefill)
    other = scripted.engine("p2", "prefill", _prefill)
    decoder = scripted.engine("d1", "decode", _stream)
    async with harness.running(leaving, other, decoder) as running:
        running.set_peer_tokens("p2", 3_000)
        replies = [await running.stream() for _ in range(3)]
    assert [reply.complete for reply in replies] == [True] * 3
    assert len(leaving.calls) == 1
    sources = [call.field("kv-source") or b"" for call in decoder.calls]
    assert sources[0].startswith(b"127.0.0.1:%d/" % leaving.port)


async def test_queued_request_does_not_fetch_from_a_leaving_engine() -> None:
    leaving = scripted.engine("p1", "prefill", _prefill)
    other = scripted.engine("p2", "prefill", _prefill)
    decoder = scripted.engine("d1", "decode", _stream)
    parts = [
        placement.PromptPart(b"aa", 2_000),
        placement.PromptPart(b"bb", 3_000),
    ]
    async with harness.running(
        leaving, other, decoder, uplink_mbps=0.5
    ) as running:
        load = running.cluster.endpoints["p1"].load
        assert load is not None
        load.record_prompt(placement.Prompt(tuple(parts), 10))
        load.peer_tokens.urgent = 30_000
        requests = [
            asyncio.create_task(running.stream(body=b"b" * 6_000))
            for _ in range(2)
        ]
        async with asyncio.timeout(3.0):
            await other.arrived.wait()
        running.cluster.note_leaving(running.cluster.endpoints["p1"])
        await asyncio.gather(*requests)
    fetches = [c.field("kv-fetch") for c in other.calls if c.prefill]
    assert fetches == [b"127.0.0.1:%d" % leaving.port, None]


async def test_request_queued_for_the_uplink_skips_a_leaving_engine() -> None:
    decoder = scripted.engine("d1", "decode", _leaving_stream)
    async with harness.running(decoder, uplink_mbps=0.5) as running:
        replies = await asyncio.gather(
            *(running.stream(body=b"b" * 20_000) for _ in range(2))
        )
    assert sorted(reply.status for reply in replies) == [200, 503]
    assert len(decoder.calls) == 1


@attrs.frozen
class Row:
    """A row of the endpoint after it said that it leaves."""

    endpoint_id: str = "e1"
    started_ms: int = 5
    port: int = 9
    ready: bool = True


def _endpoint(row: Row) -> catalogue.Endpoint:
    return catalogue.Endpoint(
        endpoint_id=row.endpoint_id,
        service="llm",
        host="127.0.0.1",
        port=row.port,
        failure_domain="d1",
        ready=row.ready,
        role=ports.EngineRole("decode"),
        slots=8,
        started_ms=row.started_ms,
    )


@pytest.mark.parametrize(
    ("row", "usable"),
    [
        (Row(), False),
        (Row(ready=False), False),
        (Row(started_ms=4), False),
        (Row(started_ms=0), False),
        (Row(port=10), False),
        (Row(started_ms=6), True),
        (Row(started_ms=6, ready=False), False),
        (Row(endpoint_id="e2"), True),
        (Row(endpoint_id="e2", started_ms=4), True),
    ],
)
@pytest.mark.parametrize("removed_before", [False, True])
def test_only_a_newer_registration_ends_a_departure(
    row: Row, usable: bool, removed_before: bool
) -> None:
    cluster = _cluster_state.ClusterState(health.HEALTH.get("outlier")(1))
    cluster.set_configuration(configurations.configuration())
    cluster.set_endpoint(_endpoint(Row()))
    cluster.note_leaving(cluster.endpoints["e1"])
    if removed_before:
        cluster.remove_endpoint("e1", "no longer listed")
    cluster.set_configuration(configurations.configuration(2))
    cluster.set_endpoint(_endpoint(row))
    assert cluster.endpoints[row.endpoint_id].usable(0.0) is usable


def test_older_row_does_not_return_after_a_newer_registration() -> None:
    cluster = _cluster_state.ClusterState(health.HEALTH.get("outlier")(1))
    cluster.set_configuration(configurations.configuration())
    cluster.set_endpoint(_endpoint(Row()))
    cluster.note_leaving(cluster.endpoints["e1"])
    cluster.set_endpoint(_endpoint(Row(started_ms=6)))
    cluster.set_endpoint(_endpoint(Row()))
    assert not cluster.endpoints["e1"].usable(0.0)
