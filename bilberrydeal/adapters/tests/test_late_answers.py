"""Second copies of answers that arrive when their connection is idle."""

import asyncio
import json

from ... import adapters
from ... import ports
from . import peer

TIMEOUT_S = 3.0
PAUSE_S = 0.05
OTHER_STATE = {
    "role": "decode",
    "model": "m",
    "model_version": "1",
    "order_version": 7,
    "orders_taken": 7,
}
STATE = {**OTHER_STATE, "order_version": 8}
COMMITTED = {"versions": [4]}
OTHER_COMMITTED = {"versions": [3]}


def _twice(first: object, second: object) -> peer.Script:
    """Answer the first request twice, the copy late, and others once."""

    async def script(writer: asyncio.StreamWriter, number: int) -> None:
        body = json.dumps(first if number == 1 else second).encode()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        writer.write(answer + body)
        if number == 1:
            await asyncio.sleep(PAUSE_S)
            writer.write(answer + body)

    return script


async def test_late_copy_is_not_taken_for_the_state_of_an_engine() -> None:
    script = _twice(OTHER_STATE, STATE)
    async with peer.serving(script) as (session, url):
        client = adapters.ENGINES.get("openai_http")(session, url)
        assert (await client.state(TIMEOUT_S)).order_version == 7
        await asyncio.sleep(2 * PAUSE_S)
        assert (await client.state(TIMEOUT_S)).order_version == 8


async def test_late_copy_is_not_taken_for_another_transaction() -> None:
    script = _twice(OTHER_COMMITTED, COMMITTED)
    transaction = ports.Transaction((), (ports.Write("t", "k", b"v"),))
    async with peer.serving(script) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        assert (await table.commit(transaction, TIMEOUT_S)).versions == (3,)
        await asyncio.sleep(2 * PAUSE_S)
        assert (await table.commit(transaction, TIMEOUT_S)).versions == (4,)


async def test_late_copy_is_not_taken_for_a_generation() -> None:
    """The copy arrives while the second generation is under way."""
    last = b'data: {"choices":[{"text":"%b","finish_reason":"length"}]}\n\n'

    async def script(writer: asyncio.StreamWriter, number: int) -> None:
        body = last % (b"theirs" if number == 1 else b"ours")
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        if number == 1:
            writer.write(answer + body)
            await asyncio.sleep(PAUSE_S)
            writer.write(answer + body)
            return
        await asyncio.sleep(PAUSE_S)
        writer.write(answer + body)

    request = ports.EngineRequest("r1", "m", "p", max_tokens=4)
    async with peer.serving(script) as (session, url):
        client = adapters.ENGINES.get("openai_http")(session, url)
        texts = []
        for _ in range(2):
            events = client.generate(request, TIMEOUT_S)
            texts.append("".join([event.text async for event in events]))
    assert texts == ["theirs", "ours"]
