"""Endpoints that ask for a time without requests."""

import asyncio
import time

import pytest

from . import harness
from . import scripted

SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
#: The pause for which endpoints ask, in seconds.
PAUSE_S = 0.9
#: Time between two requests, in seconds.
INTERVAL_S = 0.15


async def _ok(call: scripted.Call) -> bytes:
    return scripted.signed_response(call)


async def _decode(call: scripted.Call) -> bytes:
    return scripted.complete_stream(call, 1, 5)


async def _pausing(call: scripted.Call) -> bytes:
    return scripted.not_run(call).replace(
        b"\r\n", b"\r\nretry-after: %.1f\r\n" % PAUSE_S, 1
    )


@pytest.mark.parametrize("path", ["/once/1", "/read/1"])
async def test_pausing_endpoint_gets_no_request(path: str) -> None:
    pausing = scripted.plain("e1", _pausing)
    other = scripted.plain("e2", _ok)
    async with harness.running(pausing, other) as running:
        replies = []
        for _ in range(4):
            replies.append(await running.send(path))
            await asyncio.sleep(INTERVAL_S)
    assert [reply.status for reply in replies] == [200] * 4
    assert len(pausing.calls) <= 1


@pytest.mark.parametrize("role", ["prefill", "decode"])
async def test_pausing_engine_gets_no_request(role: str) -> None:
    pausing = scripted.engine("e1", role, _pausing)
    other = scripted.engine("e2", "decode", _decode)
    async with harness.running(pausing, other) as running:
        replies = []
        for _ in range(4):
            replies.append(await running.stream("/chat/1"))
            await asyncio.sleep(INTERVAL_S)
    assert [reply.status for reply in replies] == [200] * 4
    assert len(pausing.calls) <= 1


async def test_caller_is_told_to_come_back_after_the_shortest_pause() -> None:
    pausing = scripted.plain("e1", _pausing)
    async with harness.running(pausing) as running:
        await running.send("/once/1")
        began_s = time.monotonic()
        reply = await running.send("/once/1")
        took_s = time.monotonic() - began_s
    assert reply.status == 503
    assert len(pausing.calls) == 1
    retry_after_s = float(reply.field("retry-after") or 0)
    assert PAUSE_S - took_s - 0.2 < retry_after_s < PAUSE_S * 1.25
    assert took_s < PAUSE_S / 2


async def test_endpoint_gets_few_requests_after_its_pause() -> None:
    """Until it has accepted one."""
    release = asyncio.Event()

    async def pausing_once(call: scripted.Call) -> bytes:
        if len(endpoint.calls) == 1:
            return await _pausing(call)
        await release.wait()
        return scripted.signed_response(call)

    endpoint = scripted.plain("e1", pausing_once)
    async with harness.running(endpoint) as running:
        await running.send("/once-one/1")
        await asyncio.sleep(PAUSE_S + 0.1)
        tasks = [
            asyncio.create_task(running.send("/once-one/1")) for _ in range(9)
        ]
        await asyncio.sleep(0.2)
        arrived = len(endpoint.calls) - 1
        release.set()
        replies = await asyncio.gather(*tasks)
        last = await running.send("/once-one/1")
    assert arrived == 2
    assert sorted(reply.status for reply in replies) == [200] * 2 + [503] * 7
    assert last.status == 200
