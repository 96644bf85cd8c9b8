"""Responses of endpoints that have neither length nor chunks."""

import asyncio
import collections.abc
import enum
import socket
import struct
import time

import pytest

from ...systems import quarantine
from . import harness
from . import scripted

SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
EVENTS = b"".join(scripted.event(n) for n in range(1, 6))
TWO = scripted.event(1) + scripted.event(2)
PAUSE_S = 0.1
LENGTH = b"content-length: 4\r\n"


class Ending(enum.Enum):
    """How an endpoint ends the connection after its response."""

    CLOSE = "close"
    RESET = "reset"
    RESET_AFTER_SILENCE = "reset after silence"


HEADS = [
    pytest.param(b"1.1", b"", id="1.1"),
    pytest.param(b"1.1", b"connection: close\r\n", id="1.1 close"),
    pytest.param(b"1.0", b"", id="1.0"),
]


def _head(
    call: scripted.Call,
    version: bytes = b"1.1",
    fields: bytes = b"",
    status: int = 200,
    request_id: bytes = b"",
) -> bytes:
    return (
        b"HTTP/%b %d X\r\nrequest-id: %b\r\nserver-signature: s.%b\r\n%b\r\n"
        % (
            version,
            status,
            request_id or call.request_id,
            call.endpoint_id.encode(),
            fields,
        )
    )


async def _end(call: scripted.Call, data: bytes, ending: Ending) -> bytes:
    """Send bytes and end the connection."""
    await call.send(data)
    if ending is Ending.RESET_AFTER_SILENCE:
        await asyncio.sleep(PAUSE_S)
    if ending is Ending.CLOSE:
        call.writer.close()
        return b""
    # Closing with a linger time of 0 sends a reset.
    call.writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    call.writer.transport.abort()
    return b""


def _script(
    response: collections.abc.Callable[[scripted.Call], bytes], ending: Ending
) -> scripted.Script:
    async def script(call: scripted.Call) -> bytes:
        return await _end(call, response(call), ending)

    return script


async def _decode(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


@pytest.mark.parametrize("body", [b"", b"ours"])
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize(("version", "fields"), HEADS)
@pytest.mark.parametrize("path", ["/once/1", "/read/1"])
async def test_plain_response_is_whole_only_after_a_clean_end(
    path: str, version: bytes, fields: bytes, ending: Ending, body: bytes
) -> None:
    def response(call: scripted.Call) -> bytes:
        return _head(call, version, fields) + body

    first = scripted.plain("e1", _script(response, ending))
    second = scripted.plain("e2", _script(response, Ending.CLOSE))
    async with harness.running(first, second) as running:
        running.cluster.endpoints["e2"].pool.busy = 1
        reply = await running.send(path)
    if ending is Ending.CLOSE:
        expected = (200, body, 0)
    elif path == "/read/1":
        expected = (200, body, 1)
    else:
        expected = (502, b"", 0)
    assert (reply.status, reply.body, len(second.calls)) == expected
    assert reply.complete
    assert reply.field("content-length") == b"%d" % len(expected[1])


@pytest.mark.parametrize(("version", "fields"), HEADS)
async def test_connection_without_a_length_is_not_used_again(
    version: bytes, fields: bytes
) -> None:
    def response(call: scripted.Call) -> bytes:
        return _head(call, version, fields) + b"ours"

    endpoint = scripted.plain("e1", _script(response, Ending.CLOSE))
    async with harness.running(endpoint) as running:
        for _ in range(3):
            assert (await running.send("/once/1")).body == b"ours"
        assert running.cluster.endpoints["e1"].pool.opened == 3


@pytest.mark.parametrize(
    ("tail", "late", "status"),
    [
        pytest.param(b"", b"late", 200, id="late response first"),
        pytest.param(b"extra", b"", 502, id="extra response after it"),
    ],
)
async def test_plain_response_holds_no_other_response(
    tail: bytes, late: bytes, status: int
) -> None:
    def response(call: scripted.Call) -> bytes:
        parts = [_head(call) + b"ours"]
        if late:
            parts.insert(0, _head(call, fields=LENGTH, request_id=b"x") + late)
        if tail:
            parts.append(_head(call, fields=LENGTH) + tail)
        return b"".join(parts)

    endpoint = scripted.plain("e1", _script(response, Ending.CLOSE))
    async with harness.running(endpoint) as running:
        reply = await running.send("/once/1")
    assert reply.status == status
    assert reply.body == (b"ours" if status == 200 else b"")


@pytest.mark.parametrize("path", ["/once/1", "/read/1", "/chat/1"])
@pytest.mark.parametrize("status", [204, 304])
async def test_response_without_a_body_has_no_framing(
    status: int, path: str
) -> None:
    async def script(call: scripted.Call) -> bytes:
        return _head(call, status=status)

    endpoints = [
        scripted.plain("e1", script),
        scripted.engine("d1", "decode", script),
    ]
    async with harness.running(*endpoints) as running:
        reply = await running.stream(path, **SHORT)
    assert reply.status == status
    assert reply.body == b""
    assert reply.field("content-length") is None
    assert reply.field("transfer-encoding") is None


#: Bytes of a stream that has no length, and how the first engine ends it;
#: then the id after which another engine goes on, ``None`` if none does.
STREAMS = [
    pytest.param(EVENTS, Ending.CLOSE, None, id="whole"),
    pytest.param(TWO + b"id: 3\nda", Ending.CLOSE, b"2", id="in an event"),
    pytest.param(TWO + b"i", Ending.CLOSE, b"2", id="in an id line"),
    pytest.param(TWO + b"id: 33", Ending.CLOSE, b"2", id="in an id"),
    pytest.param(TWO + b"id: 3\n", Ending.CLOSE, b"2", id="after an id line"),
    pytest.param(
        TWO + b"id: 3\ndata: e3\n", Ending.CLOSE, b"2", id="no blank line"
    ),
    pytest.param(TWO, Ending.RESET, b"2", id="reset after an event"),
    pytest.param(
        TWO, Ending.RESET_AFTER_SILENCE, b"2", id="reset after silence"
    ),
    pytest.param(TWO + b"id: 3\nda", Ending.RESET, b"2", id="reset in event"),
    pytest.param(EVENTS, Ending.RESET, b"5", id="reset after the last event"),
    pytest.param(b"", Ending.CLOSE, b"", id="no event"),
    pytest.param(b"", Ending.RESET, b"", id="reset before an event"),
]


@pytest.mark.parametrize(("data", "ending", "resumed_after"), STREAMS)
@pytest.mark.parametrize(("version", "fields"), HEADS)
async def test_broken_stream_without_length_is_resumed(
    version: bytes,
    fields: bytes,
    data: bytes,
    ending: Ending,
    resumed_after: bytes | None,
) -> None:
    def response(call: scripted.Call) -> bytes:
        return _head(call, version, fields) + data

    first = scripted.engine("d1", "decode", _script(response, ending))
    second = scripted.engine("d2", "decode", _decode)
    async with harness.running(first, second) as running:
        running.set_peer_tokens("d2", 3_000)
        reply = await running.stream(**SHORT)
    assert reply.status == 200
    assert reply.body == EVENTS
    assert reply.complete
    assert reply.field("transfer-encoding") == b"chunked"
    resumed = [call.field("last-event-id") or b"" for call in second.calls]
    assert resumed == ([] if resumed_after is None else [resumed_after])


@pytest.mark.parametrize(("data", "ending", "resumed_after"), STREAMS)
@pytest.mark.parametrize("path", ["/chat-once/1", "/chat-one/1"])
async def test_broken_stream_without_length_never_looks_complete(
    path: str, data: bytes, ending: Ending, resumed_after: bytes | None
) -> None:
    def response(call: scripted.Call) -> bytes:
        return _head(call) + data

    engine = scripted.engine("d1", "decode", _script(response, ending))
    async with harness.running(engine) as running:
        reply = await running.stream(path, **SHORT)
    assert reply.complete == (resumed_after is None)
    assert EVENTS.startswith(reply.body)


async def test_empty_rest_without_length_is_no_proof_of_an_end() -> None:
    """An engine that ends before the first event looks the same."""
    broken = scripted.engine(
        "d1", "decode", _script(lambda call: _head(call) + TWO, Ending.RESET)
    )
    empty = scripted.engine("d2", "decode", _script(_head, Ending.CLOSE))
    async with harness.running(broken, empty) as running:
        running.set_peer_tokens("d2", 3_000)
        reply = await running.stream(**SHORT)
    assert len(empty.calls) == 1
    assert reply.body == TWO
    assert not reply.complete


@pytest.mark.parametrize("apart", [False, True])
async def test_stream_holds_no_extra_response(apart: bool) -> None:
    """The extra response may arrive with the events or after them."""

    async def mixed(call: scripted.Call) -> bytes:
        call.writer.write(_head(call) + TWO)
        if apart:
            await call.writer.drain()
            await asyncio.sleep(PAUSE_S)
        extra = _head(call, fields=LENGTH) + b"more"
        return await _end(call, extra, Ending.CLOSE)

    first = scripted.engine("d1", "decode", mixed)
    second = scripted.engine("d2", "decode", _decode)
    async with harness.running(first, second) as running:
        running.set_peer_tokens("d2", 3_000)
        reply = await running.stream(**SHORT)
    assert reply.body == EVENTS
    assert reply.complete
    assert len(second.calls) == 1


@pytest.mark.parametrize(
    ("ending", "goes_on", "refuses"),
    [
        (Ending.CLOSE, True, False),
        (Ending.CLOSE, False, True),
        (Ending.RESET, True, True),
    ],
)
async def test_whole_streams_of_an_engine_that_goes_on_prove_their_parts(
    ending: Ending, goes_on: bool, refuses: bool
) -> None:
    """Guards against quarantine of the part that all prompts begin with."""

    def response(call: scripted.Call) -> bytes:
        return _head(call) + TWO

    engine = scripted.engine("d1", "decode", _script(response, ending))
    async with harness.running(engine) as running:
        system = running.quarantine._system
        await running.stream("/chat-one/1", **SHORT)
        await asyncio.sleep(0.15)
        if goes_on:
            await running.stream(
                "/chat-one/1", token_usage="50,9", prefix_hash="cc:50"
            )
        now_s = time.monotonic()
        for number in range(5):
            lost = quarantine.SuspectPrompt(b"r%d" % number, (b"aa",), True)
            system.observe_loss(
                quarantine.EngineLoss(
                    f"e{number}@1", f"d{number}", lost, now_s + number
                ),
                now_s + number,
            )
            system.run(now_s + number)
        system.run(now_s + 10.0)
        found = system.find((b"aa", b"own"), now_s + 10.0)
    assert (found is not None) == refuses
