"""Links that are idle or whose peer is silent."""

import asyncio
import time
import typing

import pytest

from bilberrydeal import link

from .. import _liveness
from .. import _session
from .. import _transport
from . import harness
from . import relay
from . import steps


async def test_idle_link_awaits_echo_before_request_is_sent() -> None:
    async with (
        harness.agent(link=steps.IDLE_SETTINGS) as agent,
        harness.entry(
            agent.settings.control_port, "a", steps.IDLE_SETTINGS
        ) as entry,
    ):
        await steps.wait_until_idle(entry)
        calls = [entry.submit(harness.make_submit(n)) for n in (1, 2)]
        assert [call.sent for call in calls] == [False, False]
        cancelled = asyncio.create_task(entry.cancel(2, harness.TIMEOUT_S))
        for _ in calls:
            (await agent.next_execution()).finish(status=200)
        assert [call.sent for call in calls] == [True, True]
        assert len(await harness.collect_events(calls[0])) == 1
        assert await cancelled is not None


@steps.FAULTS
async def test_request_is_not_sent_to_silent_agent(
    fault: steps.Fault,
) -> None:
    async with (
        harness.agent(link=steps.IDLE_SETTINGS) as agent,
        harness.relayed(agent) as link_relay,
        harness.entry(
            agent.settings.control_port,
            "a",
            steps.IDLE_SETTINGS,
            relay.ADDRESS,
        ) as entry,
    ):
        await steps.wait_until_idle(entry)
        link_relay.refusing = True
        fault(link_relay)
        with pytest.raises((link.CallLost, link.LinkDown)) as caught:
            await harness.collect_events(entry.submit(harness.make_submit(1)))
        if isinstance(caught.value, link.CallLost):
            assert not caught.value.started
        assert agent.executor.arrivals.empty()
        link_relay.refusing = False
        await harness.wait_until(lambda: entry.connected)
        call = entry.submit(harness.make_submit(2))
        (await agent.next_execution()).finish(status=200)
        assert len(await harness.collect_events(call)) == 1


async def test_check_updates_time_of_last_echo() -> None:
    async with (
        harness.agent(link=steps.IDLE_SETTINGS) as agent,
        harness.entry(
            agent.settings.control_port, "a", steps.IDLE_SETTINGS
        ) as entry,
    ):
        before_s = entry.last_echo_at_s
        entry.request_heartbeat()
        await harness.wait_until(lambda: entry.last_echo_at_s > before_s)


class OneWaySocket:
    """Fakes a socket whose peer sends frames but receives none."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    async def send(self, frame: bytes) -> None:
        """Drop the frame."""

    async def receive(self) -> bytes:
        """Return a frame without an echo."""
        await asyncio.sleep(harness.LINK_SETTINGS.idle_heartbeat_s)
        return link.encode_frame([harness.STATUS])

    def close(self) -> None:
        """Mark the connection as ended."""
        self.ended.set()


async def test_session_ends_when_no_heartbeat_is_echoed() -> None:
    session = _session.Session(
        typing.cast(_transport.PairSocket, OneWaySocket()),
        harness.LINK_SETTINGS,
        time.monotonic,
        lambda message: None,
        _liveness.HeartbeatSender(
            harness.LINK_SETTINGS, lambda: True, time.monotonic()
        ),
    )
    async with asyncio.timeout(harness.TIMEOUT_S):
        await session.run()
