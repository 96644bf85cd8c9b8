"""Provides each scenario with its own context."""

import collections.abc
import pathlib

import pytest

from scenarios import _context


@pytest.fixture
def context(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[_context.Context]:
    created = _context.Context(tmp_path)
    yield created
    created.close()
