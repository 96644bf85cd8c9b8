"""Keeps tests apart that share a process."""

import collections.abc

import pytest
import structlog


@pytest.fixture(autouse=True)
def default_logging() -> collections.abc.Iterator[None]:
    """Undo a configuration of the logs, which all tests share.

    Tests read log lines as they are written by default. One that runs a
    daemon's main function configures them for the whole process.
    """
    yield
    structlog.reset_defaults()
