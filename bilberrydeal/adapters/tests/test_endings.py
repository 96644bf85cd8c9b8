"""Answers without length or chunks, which end with their connection."""

import asyncio
import collections.abc
import enum
import typing

import pytest
import uvloop

from ... import adapters
from ... import ports
from . import peer

TIMEOUT_S = 3.0
PAUSE_S = 0.05
PLAIN_REQUEST = ports.PlainRequest("r", "PUT", "/x", "o", "text/plain", b"b")
ENGINE_REQUEST = ports.EngineRequest("r1", "m", "p", max_tokens=4)
EVENT = b'data: {"choices":[{"text":"a ","tokens":1}]}\n\n'
LAST = b'data: {"choices":[{"text":"","finish_reason":"length"}]}\n\n'

LoopFactory = collections.abc.Callable[[], asyncio.AbstractEventLoop]
LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


class Ending(enum.Enum):
    """How a peer ends the connection after its answer."""

    CLOSE = "close"
    RESET = "reset"
    RESET_AFTER_SILENCE = "reset after silence"


HEADS = [
    pytest.param(b"HTTP/1.1 200 OK\r\n", id="1.1"),
    pytest.param(b"HTTP/1.1 200 OK\r\nConnection: close\r\n", id="close"),
    pytest.param(b"HTTP/1.0 200 OK\r\n", id="1.0"),
]


def _script(answer: bytes, ending: Ending) -> peer.Script:
    async def script(writer: asyncio.StreamWriter, _number: int) -> None:
        writer.write(answer)
        await writer.drain()
        if ending is Ending.RESET_AFTER_SILENCE:
            await asyncio.sleep(PAUSE_S)
        if ending is Ending.CLOSE:
            writer.close()
        else:
            peer.reset(writer)

    return script


async def _call_plain(script: peer.Script) -> bytes | None:
    """Return the body of an answer, ``None`` if it was not complete."""
    async with peer.serving(script) as (session, url):
        client = adapters.PLAIN.get("http")(session, url)
        try:
            return (await client.call(PLAIN_REQUEST, TIMEOUT_S)).body
        except ports.PlainFailure as error:
            if not error.started:
                raise
            return None


async def _generate(script: peer.Script) -> tuple[str, bool]:
    """Return the text of a generation and whether it was complete."""
    text = ""
    async with peer.serving(script) as (session, url):
        client = adapters.ENGINES.get("openai_http")(session, url)
        try:
            async for event in client.generate(ENGINE_REQUEST, TIMEOUT_S):
                text += event.text
            return text, True
        except ports.EngineFailure as error:
            if not error.started:
                raise
            return text, False


def _run(
    loop: LoopFactory, work: collections.abc.Coroutine[None, None, typing.Any]
) -> typing.Any:
    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(work)


@pytest.mark.parametrize("body", [b"", b"ours"])
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("loop", LOOPS)
def test_plain_answer_is_whole_only_after_a_clean_end(
    loop: LoopFactory, ending: Ending, head: bytes, body: bytes
) -> None:
    script = _script(head + b"\r\n" + body, ending)
    expected = body if ending is Ending.CLOSE else None
    assert _run(loop, _call_plain(script)) == expected


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nours", None
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"4\r\nours\r\n",
            None,
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\n", None),
        pytest.param(b"HTTP/1.1 204 X\r\n\r\n", b""),
        pytest.param(b"HTTP/1.1 304 X\r\n\r\n", b""),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nours", b"ours"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nours"
            b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore",
            b"ours",
        ),
    ],
    ids=["length", "chunks", "head", "204", "304", "whole", "extra answer"],
)
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("loop", LOOPS)
def test_framed_answer_is_complete_by_its_framing(
    loop: LoopFactory, ending: Ending, answer: bytes, expected: bytes | None
) -> None:
    assert _run(loop, _call_plain(_script(answer, ending))) == expected


@pytest.mark.parametrize(
    ("data", "text", "complete"),
    [
        pytest.param(EVENT + LAST, "a ", True, id="whole"),
        pytest.param(EVENT, "a ", False, id="after an event"),
        pytest.param(EVENT + LAST[:-9], "a ", False, id="in the last event"),
        pytest.param(EVENT + LAST[:-1], "a ", False, id="no blank line"),
        pytest.param(EVENT + b"da", "a ", False, id="in a field name"),
        pytest.param(b"", "", False, id="no event"),
    ],
)
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("loop", LOOPS)
def test_stream_is_complete_only_with_its_last_event(
    loop: LoopFactory,
    ending: Ending,
    head: bytes,
    data: bytes,
    text: str,
    complete: bool,
) -> None:
    script = _script(head + b"\r\n" + data, ending)
    assert _run(loop, _generate(script)) == (text, complete)
