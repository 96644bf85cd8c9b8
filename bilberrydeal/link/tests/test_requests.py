"""A request takes no longer than its limit, whatever takes the time."""

import asyncio

import pytest

from .. import _requests
from . import freeports
from . import harness

#: Limit of a request, in seconds.
LIMIT_S = 1.0
#: Time after which the peer listens, in seconds; it never answers.
LISTENS_S = 0.8
#: Time of the test besides, in seconds; less than ``LISTENS_S``.
TOLERANCE_S = 0.4


async def test_late_connection_leaves_a_request_its_limit() -> None:
    """Guards against a limit that counts anew once the request was sent."""
    port = freeports.allocate_ports()

    async def listen() -> _requests.Responder:
        await asyncio.sleep(LISTENS_S)
        return _requests.Responder(harness.ADDRESS, port)

    listening = asyncio.create_task(listen())
    async with asyncio.timeout(LIMIT_S + TOLERANCE_S):
        with pytest.raises(_requests.RequestFailed):
            await _requests.send_request(harness.ADDRESS, port, b"?", LIMIT_S)
    (await listening).close()
