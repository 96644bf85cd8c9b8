"""Builds an agent from its settings."""

import random
import time

import aiohttp

from .. import adapters
from .. import membership
from .. import settings
from .. import store
from . import _agent
from . import _drivers
from . import _engine_poller
from . import _orders
from . import _orphans


def store_client(
    agent_settings: settings.AgentSettings, session: aiohttp.ClientSession
) -> store.StoreClient:
    """Return a client of the platform's table service."""
    table = agent_settings.platform.table
    return store.StoreClient(
        adapters.TABLES.get(table.adapter)(session, table.url),
        call_timeout_s=agent_settings.store.call_timeout_s,
        call_rate_per_s=agent_settings.store.call_rate_per_s,
    )


def new_incarnation(agent_settings: settings.AgentSettings) -> str:
    """Return a name that is unique to this process."""
    return membership.new_incarnation(
        agent_settings.host_id, time.time(), random.SystemRandom()
    )


def build(
    name: str,
    agent_settings: settings.AgentSettings,
    session: aiohttp.ClientSession,
    client: store.StoreClient,
) -> _agent.Agent:
    """Return an agent for the configured kind of endpoint."""
    if agent_settings.endpoint_kind == "engine":
        return _engine_agent(name, agent_settings, session, client)
    return _plain_agent(name, agent_settings, session)


def _plain_agent(
    name: str,
    agent_settings: settings.AgentSettings,
    session: aiohttp.ClientSession,
) -> _agent.Agent:
    endpoint = agent_settings.endpoint
    service = adapters.PLAIN.get(endpoint.adapter)(session, endpoint.url)
    driver = _drivers.DRIVERS.get("plain")(service)
    return _agent.Agent(name, agent_settings, driver)


def _engine_agent(
    name: str,
    agent_settings: settings.AgentSettings,
    session: aiohttp.ClientSession,
    client: store.StoreClient,
) -> _agent.Agent:
    endpoint = agent_settings.endpoint
    engine = adapters.ENGINES.get(endpoint.adapter)(session, endpoint.url)
    weights = agent_settings.platform.weights
    agent = _agent.Agent(
        name, agent_settings, _drivers.DRIVERS.get("engine")(engine)
    )
    agent.reconciler = _orders.OrderReconciler(
        endpoint_id=agent_settings.endpoint_id,
        engine=engine,
        weights=adapters.WEIGHTS.get(weights.adapter)(session, weights.url),
        client=client,
        poll_s=agent_settings.order_poll_s,
        drain=agent.executor.wait_idle,
        on_readiness_change=agent.update_availability,
    )
    agent.engine_poller = _engine_poller.EnginePoller(
        engine, agent.reconciler.mark_state_unknown
    )
    agent.orphan_canceller = _orphans.OrphanCanceller(
        engine,
        agent.executor.has_request,
        agent_settings.link.resume_window_s,
    )
    return agent
