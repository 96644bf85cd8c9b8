"""Helpers shared by the link tests."""

import collections.abc
import time

import attrs
import pytest

from bilberrydeal import link

from . import harness
from . import relay

#: All messages of a complete answer.
ANSWER: list[link.Message] = [
    *[
        link.Chunk(sequence=1, chunk=number, text=str(number), tokens=1)
        for number in range(1, 7)
    ],
    link.Finished(sequence=1, chunk=7, status=200),
]

Fault = collections.abc.Callable[[relay.Relay], None]

#: Number of a request of entry ``a``, for queries by another entry.
OTHER_REQUEST = link.RequestNumber(entry="a", sequence=1)


async def emit(
    execution: link.RequestExecution, first: int, last: int
) -> None:
    """Add the parts of ``ANSWER`` with these numbers."""
    for number in range(first, last + 1):
        await execution.emit(str(number), 1)


def cut(link_relay: relay.Relay) -> None:
    link_relay.cut()


def silent_to_agent(link_relay: relay.Relay) -> None:
    link_relay.silence(relay.Direction.TO_AGENT)


def silent_to_entry(link_relay: relay.Relay) -> None:
    link_relay.silence(relay.Direction.TO_ENTRY)


def silent(link_relay: relay.Relay) -> None:
    link_relay.silence(*relay.Direction)


FAULTS = pytest.mark.parametrize(
    "fault", [cut, silent_to_agent, silent_to_entry, silent]
)

#: Settings for a link that sends no heartbeats while it is idle.
IDLE_SETTINGS = attrs.evolve(
    harness.LINK_SETTINGS, idle_heartbeat_s=60.0, resume_window_s=60.0
)


async def wait_until_idle(entry: link.AgentLink) -> None:
    """Wait until a link has received nothing for the silence timeout."""
    session = entry._session
    assert session is not None
    idle_s = IDLE_SETTINGS.silent_bound_s
    await harness.wait_until(
        lambda: (
            time.monotonic() - session._liveness.received_at_s > idle_s  # noqa
        )
    )


def start(execution: link.RequestExecution) -> None:
    execution.start()
