"""Statuses of agents that an entry can't use."""

import collections.abc
import time
import typing

import attrs
import pytest

from bilberrydeal import link
from bilberrydeal import systems
from bilberrydeal.entry.core import _pool
from bilberrydeal.entry.tests import fakes
from bilberrydeal.systems import routing

STATUS = link.EndpointStatus(3, "both", "m", True, 2, 1, 40, 7, 0.25)


@pytest.fixture
async def pool() -> collections.abc.AsyncIterator[_pool.LinkPool]:
    """Return a pool with the agents a and b, which are never reached."""
    router: typing.Any = routing.Router(routing.RouterOptions("fd1"))
    tables = systems.Tables()
    pool = _pool.LinkPool(
        "entry-1", fakes.entry_settings(), tables, router, time.monotonic
    )
    pool.sync(
        _pool.AgentLocation(name, "127.0.0.1", 1, "fd1", "m")
        for name in ("a", "b")
    )
    yield pool
    await pool.close()


def _receive(pool: _pool.LinkPool, name: str, role: str = "both") -> None:
    agent_link = pool.get(name)
    assert agent_link is not None
    agent_link._handle_status(attrs.evolve(STATUS, role=role))


async def test_unknown_role_leaves_other_agents_in_use(
    pool: _pool.LinkPool,
) -> None:
    """Guards against checks of all endpoints that fail by one status."""
    _receive(pool, "a", role="embed")
    _receive(pool, "b")
    pool.refresh()
    assert pool._views.get("b") is not None


async def test_unknown_role_ends_the_use_of_its_endpoint(
    pool: _pool.LinkPool,
) -> None:
    _receive(pool, "a")
    view = pool._views.get("a")
    assert view is not None
    view.accepting = True
    _receive(pool, "a", role="embed")
    assert not view.accepting
