"""Malformed messages end at most the exchange that they belong to."""

import asyncio
import contextlib
import time

import attrs
import msgspec
import pytest

from bilberrydeal import link

from .. import _hello
from .. import _requests
from . import freeports
from . import harness

TIMEOUT_S = 0.2
HELLO = link.Hello(
    protocol_version=link.PROTOCOL_VERSION, entry="a", failure_domain="d1"
)
_ENCODED = msgspec.msgpack.encode(HELLO)
#: Bytes of no hello and of no reply.
MALFORMED = [
    pytest.param(b"", id="empty"),
    pytest.param(_ENCODED[:-3], id="cut"),
    pytest.param(_ENCODED + b"\x01", id="extra bytes"),
    pytest.param(_ENCODED.replace(b"d1", b"\xff\xfe"), id="not UTF-8"),
    pytest.param(b"\x91" * 100_000, id="nested"),
    pytest.param(b"\xdf\xff\xff\xff\xff", id="huge map"),
    pytest.param(b"\xc6\xff\xff\xff\xff", id="huge text"),
    pytest.param(b"GET / HTTP/1.1\r\n\r\n", id="HTTP"),
]


@pytest.mark.parametrize("data", MALFORMED)
async def test_malformed_hello_leaves_the_agent_reachable(
    data: bytes,
) -> None:
    async with harness.agent() as agent:
        port = agent.settings.control_port
        with contextlib.suppress(_requests.RequestFailed):
            await _requests.send_request(
                harness.ADDRESS, port, data, TIMEOUT_S
            )
        reply = await _hello.send_hello(
            harness.ADDRESS, port, HELLO, harness.TIMEOUT_S
        )
    assert reply.agent == "agent-1"


@pytest.mark.parametrize("data", MALFORMED)
async def test_malformed_reply_to_a_hello_is_followed_by_another_one(
    data: bytes,
) -> None:
    port = freeports.allocate_ports()
    responder = _requests.Responder(harness.ADDRESS, port)
    hellos = 0

    def reply(_request: bytes) -> bytes:
        nonlocal hellos
        hellos += 1
        return data

    serving = asyncio.create_task(responder.serve(reply))
    settings = attrs.evolve(harness.LINK_SETTINGS, hello_timeout_s=TIMEOUT_S)
    agent_link = link.AgentLink(
        harness.ADDRESS, port, "a", "d1", settings, time.monotonic
    )
    task = asyncio.create_task(agent_link.run())
    await harness.wait_until(lambda: hellos > 1 or task.done())
    assert not task.done()
    await agent_link.close()
    await task
    responder.close()
    await serving


async def test_unexpected_error_leaves_a_responder_serving() -> None:
    port = freeports.allocate_ports()
    responder = _requests.Responder(harness.ADDRESS, port)

    def reply(request: bytes) -> bytes:
        if request == b"bad":
            raise ZeroDivisionError
        return request

    serving = asyncio.create_task(responder.serve(reply))
    with pytest.raises(_requests.RequestFailed):
        await _requests.send_request(harness.ADDRESS, port, b"bad", TIMEOUT_S)
    answer = await _requests.send_request(
        harness.ADDRESS, port, b"good", harness.TIMEOUT_S
    )
    responder.close()
    await serving
    assert answer == b"good"
