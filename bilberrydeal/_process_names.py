"""Checks the implementation names in the settings of entries and agents."""

import collections.abc
import typing

from . import _selected_names
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

_POLICY_REGISTRIES: dict[str, _Registry] = {
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
_ADAPTER_REGISTRIES: dict[str, _Registry] = {
    "table": adapters.TABLES,
    "objects": adapters.OBJECTS,
    "endpoints": adapters.ENDPOINTS,
    "usage": adapters.USAGE,
    "hosts": adapters.HOSTS,
    "weights": adapters.WEIGHTS,
}


def problems(settings_: Settings) -> tuple[settings.Problem, ...]:
    """Return a problem for each name that is not registered."""
    return _selected_names.unregistered(_iter_names(settings_))


def _iter_names(
    settings_: Settings,
) -> collections.abc.Iterator[_selected_names.SelectedName]:
    for field, policy_registry in _POLICY_REGISTRIES.items():
        name = getattr(settings_.policy, field)
        yield _selected_names.SelectedName(
            f"policy.{field}", name, policy_registry
        )
    for field, adapter_registry in _ADAPTER_REGISTRIES.items():
        name = getattr(settings_.platform, field).adapter
        yield _selected_names.SelectedName(
            f"platform.{field}.adapter", name, adapter_registry
        )
    if isinstance(settings_, settings.AgentSettings):
        is_engine = settings_.endpoint_kind == "engine"
        yield _selected_names.SelectedName(
            "endpoint.adapter",
            settings_.endpoint.adapter,
            adapters.ENGINES if is_engine else adapters.PLAIN,
        )
