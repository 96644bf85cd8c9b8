"""Links that are idle or silent."""

import asyncio
import time
import typing

import pytest

from bilberrydeal import link

from .. import _pulse
from .. import _session
from .. import _transport
from . import harness
from . import relay
from . import steps


async def test_idle_link_is_asked_before_work_is_sent() -> None:
    async with (
        harness.agent(link=steps.IDLE) as agent,
        harness.entry(agent.settings.control_port, "a", steps.IDLE) as entry,
    ):
        await steps.idle(entry)
        calls = [entry.submit(harness.submit(n)) for n in (1, 2)]
        assert [call.sent for call in calls] == [False, False]
        cancelled = asyncio.create_task(entry.cancel(2, harness.PATIENCE_S))
        for _ in calls:
            (await agent.work()).finish(status=200)
        assert [call.sent for call in calls] == [True, True]
        assert len(await harness.answer(calls[0])) == 1
        assert await cancelled is not None


@steps.FAULTS
async def test_work_does_not_leave_for_an_agent_that_went_silent(
    fault: steps.Fault,
) -> None:
    async with (
        harness.agent(link=steps.IDLE) as agent,
        harness.relayed(agent) as between,
        harness.entry(
            agent.settings.control_port, "a", steps.IDLE, relay.ADDRESS
        ) as entry,
    ):
        await steps.idle(entry)
        between.refusing = True
        fault(between)
        with pytest.raises((link.CallLost, link.LinkDown)) as failed:
            await harness.answer(entry.submit(harness.submit(1)))
        if isinstance(failed.value, link.CallLost):
            assert not failed.value.started
        assert agent.executor.arrivals.empty()
        between.refusing = False
        await harness.until(lambda: entry.connected)
        call = entry.submit(harness.submit(2))
        (await agent.work()).finish(status=200)
        assert len(await harness.answer(call)) == 1


async def test_asked_link_is_heard() -> None:
    async with (
        harness.agent(link=steps.IDLE) as agent,
        harness.entry(agent.settings.control_port, "a", steps.IDLE) as entry,
    ):
        before_s = entry.heard_at_s
        entry.check()
        await harness.until(lambda: entry.heard_at_s > before_s)


class OneWay:
    """Stands in for a socket whose peer is heard but hears nothing."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    async def send(self, frame: bytes) -> None:
        """Lose it."""

    async def receive(self) -> bytes:
        """Return a frame that echoes no heartbeat."""
        await asyncio.sleep(harness.LINK.idle_heartbeat_s)
        return link.encode_frame([harness.STATUS])

    def close(self) -> None:
        """End."""
        self.ended.set()


async def test_session_ends_when_no_heartbeat_is_echoed() -> None:
    session = _session.Session(
        typing.cast(_transport.PairSocket, OneWay()),
        harness.LINK,
        time.monotonic,
        lambda message: None,
        _pulse.Asker(harness.LINK, lambda: True, time.monotonic()),
    )
    async with asyncio.timeout(harness.PATIENCE_S):
        await session.run()
