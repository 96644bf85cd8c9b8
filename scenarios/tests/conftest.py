"""One stage a scenario."""

import collections.abc
import pathlib

import pytest

from scenarios import _stage


@pytest.fixture
def stage(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[_stage.Stage]:
    opened = _stage.Stage(tmp_path)
    yield opened
    opened.close()
