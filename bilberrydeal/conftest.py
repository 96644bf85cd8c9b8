"""Keeps tests apart that share a process, and chooses their event loops."""

import asyncio
import collections.abc

import pytest
import structlog

from .tests import own_time

LoopFactory = collections.abc.Callable[[], asyncio.AbstractEventLoop]


@pytest.fixture(autouse=True)
def default_logging() -> collections.abc.Iterator[None]:
    """Undo a configuration of the logs, which all tests share.

    Tests read log lines as they are written by default. One that runs a
    daemon's main function configures them for the whole process.
    """
    yield
    structlog.reset_defaults()


def pytest_asyncio_loop_factories(
    item: pytest.Item,
) -> collections.abc.Mapping[str, LoopFactory]:
    """Run marked tests on the time that their process has."""
    if item.get_closest_marker("real_time"):
        return {"real time": asyncio.new_event_loop}
    if item.get_closest_marker("own_time"):
        return {"own time": own_time.OwnTimeLoop}
    return {"real time": asyncio.new_event_loop}
