"""Steps that tests of a link share."""

import collections.abc
import time

import attrs
import pytest

from bilberrydeal import link

from . import harness
from . import relay

#: What a whole answer consists of.
ANSWER: list[link.Message] = [
    *[
        link.Chunk(sequence=1, chunk=number, text=str(number), tokens=1)
        for number in range(1, 7)
    ],
    link.Finished(sequence=1, chunk=7, status=200),
]

Fault = collections.abc.Callable[[relay.Relay], None]

#: A request of another entry.
OTHER = link.RequestNumber(entry="a", sequence=1)


async def emit(work: link.Work, first: int, last: int) -> None:
    """Add the parts of ``ANSWER`` with these numbers."""
    for number in range(first, last + 1):
        await work.emit(str(number), 1)


def cut(between: relay.Relay) -> None:
    between.cut()


def silent_to_agent(between: relay.Relay) -> None:
    between.silence(relay.Way.TO_AGENT)


def silent_to_entry(between: relay.Relay) -> None:
    between.silence(relay.Way.TO_ENTRY)


def silent(between: relay.Relay) -> None:
    between.silence(*relay.Way)


FAULTS = pytest.mark.parametrize(
    "fault", [cut, silent_to_agent, silent_to_entry, silent]
)

#: A link that sends no heartbeats while it is idle.
IDLE = attrs.evolve(harness.LINK, idle_heartbeat_s=60.0, resume_window_s=60.0)


async def idle(entry: link.AgentLink) -> None:
    """Wait until nothing has come over a link for longer than the bound."""
    session = entry._session
    assert session is not None
    ended_s = IDLE.silent_bound_s
    await harness.until(
        lambda: (
            time.monotonic() - session._pulse.received_at_s > ended_s  # noqa
        )
    )


def started(work: link.Work) -> None:
    work.start()
