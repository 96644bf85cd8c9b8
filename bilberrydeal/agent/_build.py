"""Builds an agent out of its settings."""

import random
import time

import aiohttp

from .. import adapters
from .. import membership
from .. import settings
from .. import store
from . import _agent
from . import _drivers
from . import _feed
from . import _orders
from . import _orphans


def store_client(
    agent_settings: settings.AgentSettings, session: aiohttp.ClientSession
) -> store.StoreClient:
    """Return access to the platform's table service."""
    chosen = agent_settings.platform.table
    return store.StoreClient(
        adapters.TABLES.get(chosen.adapter)(session, chosen.url),
        call_timeout_s=agent_settings.store.call_timeout_s,
        call_rate_per_s=agent_settings.store.call_rate_per_s,
    )


def incarnation(agent_settings: settings.AgentSettings) -> str:
    """Return a name that no other process ever had."""
    return membership.new_incarnation(
        agent_settings.host_id, time.time(), random.SystemRandom()
    )


def build(
    name: str,
    agent_settings: settings.AgentSettings,
    session: aiohttp.ClientSession,
    client: store.StoreClient,
) -> _agent.Agent:
    """Return an agent of the kind of endpoint that the settings name."""
    if agent_settings.endpoint_kind == "engine":
        return _engine_agent(name, agent_settings, session, client)
    return _plain_agent(name, agent_settings, session)


def _plain_agent(
    name: str,
    agent_settings: settings.AgentSettings,
    session: aiohttp.ClientSession,
) -> _agent.Agent:
    chosen = agent_settings.endpoint
    service = adapters.PLAIN.get(chosen.adapter)(session, chosen.url)
    driver = _drivers.DRIVERS.get("plain")(service)
    return _agent.Agent(name, agent_settings, driver)


def _engine_agent(
    name: str,
    agent_settings: settings.AgentSettings,
    session: aiohttp.ClientSession,
    client: store.StoreClient,
) -> _agent.Agent:
    chosen = agent_settings.endpoint
    engine = adapters.ENGINES.get(chosen.adapter)(session, chosen.url)
    weights = agent_settings.platform.weights
    agent = _agent.Agent(
        name, agent_settings, _drivers.DRIVERS.get("engine")(engine)
    )
    agent.keeper = _orders.OrderKeeper(
        endpoint_id=agent_settings.endpoint_id,
        engine=engine,
        weights=adapters.WEIGHTS.get(weights.adapter)(session, weights.url),
        client=client,
        poll_s=agent_settings.order_poll_s,
        drain=agent.executor.idle,
        changed=agent.update,
    )
    agent.feed = _feed.EngineFeed(engine, agent.keeper.suspect)
    agent.orphans = _orphans.OrphanSweep(
        engine,
        agent.executor.holds,
        agent_settings.link.resume_window_s,
    )
    return agent
