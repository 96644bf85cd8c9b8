"""Checks that settings name only implementations that exist."""

import collections.abc
import typing

import attrs

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


@attrs.frozen
class _Choice:
    """A name in the settings and the registry that must hold it."""

    path: str
    name: str
    registry: _Registry


def problems(chosen: Settings) -> tuple[settings.Problem, ...]:
    """Return a problem for each name that nobody registered."""
    return tuple(
        settings.Problem(
            path=choice.path,
            given=choice.name,
            allowed=" or ".join(choice.registry.names()),
        )
        for choice in _choices(chosen)
        if choice.name not in choice.registry.names()
    )


def _choices(chosen: Settings) -> collections.abc.Iterator[_Choice]:
    for field, policies in _POLICIES.items():
        name = getattr(chosen.policy, field)
        yield _Choice(f"policy.{field}", name, policies)
    for field, adapted in _PLATFORM.items():
        name = getattr(chosen.platform, field).adapter
        yield _Choice(f"platform.{field}.adapter", name, adapted)
    if isinstance(chosen, settings.AgentSettings):
        engine = chosen.endpoint_kind == "engine"
        yield _Choice(
            "endpoint.adapter",
            chosen.endpoint.adapter,
            adapters.ENGINES if engine else adapters.PLAIN,
        )
