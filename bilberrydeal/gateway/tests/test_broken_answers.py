"""Answers of endpoints in trouble that callers must not get."""

import asyncio
import time

import pytest

from . import harness
from . import scripted

SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
EVENTS = b"".join(scripted.event(n) for n in range(1, 6))


def _status_line(call: scripted.Call, status: bytes) -> bytes:
    return (
        b"HTTP/1.1 %b X\r\nrequest-id: %b\r\nserver-signature: s.%b\r\n"
        b"content-length: 2\r\n\r\nok"
        % (status, call.request_id, call.endpoint_id.encode())
    )


async def _ok(call: scripted.Call) -> bytes:
    return scripted.signed_response(call)


async def _decode(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


@pytest.mark.parametrize("path", ["/once/1", "/read/1", "/chat/1"])
@pytest.mark.parametrize(
    "status", [b"000", b"001", b"099", b"600", b"999", b"0200", b"20", b"-20"]
)
async def test_status_that_is_none_is_no_answer_and_ends_the_wait(
    status: bytes, path: str
) -> None:
    async def script(call: scripted.Call) -> bytes:
        return _status_line(call, status)

    broken = scripted.plain("e1", script)
    sound = scripted.plain("e2", _ok)
    if path.startswith("/chat"):
        broken = scripted.engine("e1", "decode", script)
        sound = scripted.engine("e2", "decode", _decode)
    began_s = time.monotonic()
    async with harness.running(broken, sound) as running:
        running.cluster.endpoints["e2"].pool.busy = 1
        load = running.cluster.endpoints["e2"].load
        if load is not None:
            load.peer_tokens.urgent = 3_000
        reply = await running.stream(path, **SHORT)
    assert broken.calls
    assert time.monotonic() - began_s < 1.0
    if path == "/once/1":
        assert (reply.status, reply.body) == (502, b"")
        assert not sound.calls
    else:
        assert reply.status == 200
        assert reply.body == (EVENTS if "chat" in path else b"ok")


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize("after", [0.0, 0.02])
async def test_earlier_refusal_written_again_refuses_no_later_request(
    status: int, after: float
) -> None:
    refused: list[scripted.Call] = []
    ran: list[bytes] = []

    async def script(call: scripted.Call) -> bytes:
        if not refused:
            refused.append(call)
            return scripted.not_run(call, status)
        ran.append(call.request_id)
        await call.send(scripted.not_run(refused[0], status))
        await asyncio.sleep(after)
        return scripted.signed_response(call)

    endpoint = scripted.plain("e1", script)
    async with harness.running(endpoint) as running:
        first = await running.send()
        running.cluster.endpoints["e1"].paused_until_s = 0.0
        second = await running.send()
    assert first.status == 503
    assert (second.status, second.body) == (200, b"ok")
    assert ran == [b"r2"]


@pytest.mark.parametrize("named", [True, False], ids=["id", "no id"])
@pytest.mark.parametrize("path", ["/once/1", "/chat-once/1"])
async def test_refusal_written_twice_lets_no_request_run_at_two_endpoints(
    path: str, named: bool
) -> None:
    """The second copy waits on the kept connection before the next request."""
    ran: list[bytes] = []

    def refusal(call: scripted.Call) -> bytes:
        answer = scripted.not_run(call)
        if not named:
            field = b"request-id: " + call.request_id + b"\r\n"
            answer = answer.replace(field, b"")
        return answer

    async def doubled(call: scripted.Call) -> bytes:
        if len(troubled.calls) == 1:
            refused = refusal(call)
            asyncio.get_running_loop().call_later(
                0.03, call.writer.write, refused
            )
            return refused
        ran.append(call.request_id)
        await asyncio.sleep(0.1)
        return await sound_script(call)

    async def sound(call: scripted.Call) -> bytes:
        ran.append(call.request_id)
        return await sound_script(call)

    streams = "chat" in path
    sound_script = _decode if streams else _ok
    if streams:
        troubled = scripted.engine("e1", "decode", doubled)
        other = scripted.engine("e2", "decode", sound)
    else:
        troubled = scripted.plain("e1", doubled)
        other = scripted.plain("e2", sound)
    async with harness.running(troubled, other) as running:
        for _request in range(4):
            await running.stream(path, **SHORT)
            running.cluster.endpoints["e1"].paused_until_s = 0.0
            running.cluster.endpoints["e2"].pool.busy = 1
    assert len(ran) == len(set(ran))


async def test_failure_written_twice_is_no_answer_to_the_next_request() -> (
    None
):
    async def script(call: scripted.Call) -> bytes:
        if len(endpoint.calls) > 1:
            await asyncio.sleep(0.2)
            return scripted.signed_response(call)
        field = b"request-id: " + call.request_id + b"\r\n"
        failure = scripted.signed_response(call, 500).replace(field, b"")
        asyncio.get_running_loop().call_later(0.05, call.writer.write, failure)
        return failure

    endpoint = scripted.plain("e1", script)
    async with harness.running(endpoint) as running:
        first = await running.send()
        second = await running.send()
    assert (first.status, first.body) == (500, b"ok")
    assert (second.status, second.body) == (502, b"")


async def _broken_off(call: scripted.Call) -> None:
    await call.send(
        scripted.stream_head(call)
        + scripted.chunk(scripted.event(1) + scripted.event(2))
    )
    await asyncio.sleep(0.05)


async def _error(call: scripted.Call) -> bytes:
    return scripted.signed_response(call, 500, b"error: full\n\n")


async def _endless_error(call: scripted.Call) -> bytes:
    return (
        b"HTTP/1.1 500 X\r\nrequest-id: %b\r\nserver-signature: s.%b\r\n"
        b"\r\nid: 3\ndata: error\n\n"
        % (call.request_id, call.endpoint_id.encode())
    )


async def _chunked_error(call: scripted.Call) -> bytes:
    head = scripted.stream_head(call).replace(b"200 OK", b"503 X")
    return (
        head + scripted.chunk(b"id: 3\ndata: error\n\n") + scripted.chunk(b"")
    )


async def _refusal(call: scripted.Call) -> bytes:
    return scripted.not_run(call)


@pytest.mark.parametrize(
    "answer", [_error, _endless_error, _chunked_error, _refusal]
)
async def test_error_of_the_next_engine_is_no_part_of_a_begun_stream(
    answer: scripted.Script,
) -> None:
    broken = scripted.engine("d1", "decode", _broken_off)
    failing = scripted.engine("d2", "decode", answer)
    async with harness.running(broken, failing) as running:
        running.set_peer_tokens("d2", 3_000)
        reply = await running.stream(**SHORT)
    assert failing.calls
    assert reply.status == 200
    assert reply.body == scripted.event(1) + scripted.event(2)
    assert not reply.complete
