"""Checks that settings name only implementations that exist."""

import collections.abc
import typing

from . import _choices
from . import adapters
from . import registry
from . import settings
from .systems import admission
from .systems import fleet
from .systems import health
from .systems import limits
from .systems import queueing
from .systems import retries
from .systems import roles
from .systems import routing
from .systems import subsets

Settings = settings.EntrySettings | settings.AgentSettings
_Registry = registry.Registry[typing.Any]

_POLICIES: dict[str, _Registry] = {
    "routing": routing.ROUTERS,
    "admission": admission.ADMISSION,
    "queueing": queueing.QUEUES,
    "limits": limits.LIMITERS,
    "retries": retries.RETRIERS,
    "health": health.HEALTH,
    "roles": roles.ROLE_PLANNERS,
    "fleet": fleet.FLEET_PLANNERS,
    "subset": subsets.SUBSETS,
}
_PLATFORM: dict[str, _Registry] = {
    "table": adapters.TABLES,
    "objects": adapters.OBJECTS,
    "endpoints": adapters.ENDPOINTS,
    "usage": adapters.USAGE,
    "hosts": adapters.HOSTS,
    "weights": adapters.WEIGHTS,
}


def problems(chosen: Settings) -> tuple[settings.Problem, ...]:
    """Return a problem for each name that nobody registered."""
    return _choices.unregistered(_chosen(chosen))


def _chosen(
    chosen: Settings,
) -> collections.abc.Iterator[_choices.Choice]:
    for field, policies in _POLICIES.items():
        name = getattr(chosen.policy, field)
        yield _choices.Choice(f"policy.{field}", name, policies)
    for field, adapted in _PLATFORM.items():
        name = getattr(chosen.platform, field).adapter
        yield _choices.Choice(f"platform.{field}.adapter", name, adapted)
    if isinstance(chosen, settings.AgentSettings):
        engine = chosen.endpoint_kind == "engine"
        yield _choices.Choice(
            "endpoint.adapter",
            chosen.endpoint.adapter,
            adapters.ENGINES if engine else adapters.PLAIN,
        )
