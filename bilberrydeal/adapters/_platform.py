"""The set of platform adapters that a process uses."""

import aiohttp
import attrs

from .. import ports
from .. import settings
from . import _registries


@attrs.frozen
class Platform:
    """Adapters of the platform's services."""

    table: ports.TableService
    objects: ports.ObjectStore
    endpoints: ports.EndpointInterface
    usage: ports.UsageInterface
    hosts: ports.HostList
    weights: ports.WeightStore


def connect(
    session: aiohttp.ClientSession, chosen: settings.PlatformSettings
) -> Platform:
    """Return the configured adapters; raises ``UnknownName``."""
    return Platform(
        table=_registries.TABLES.get(chosen.table.adapter)(
            session, chosen.table.url
        ),
        objects=_registries.OBJECTS.get(chosen.objects.adapter)(
            session, chosen.objects.url
        ),
        endpoints=_registries.ENDPOINTS.get(chosen.endpoints.adapter)(
            session, chosen.endpoints.url
        ),
        usage=_registries.USAGE.get(chosen.usage.adapter)(
            session, chosen.usage.url
        ),
        hosts=_registries.HOSTS.get(chosen.hosts.adapter)(
            session, chosen.hosts.url
        ),
        weights=_registries.WEIGHTS.get(chosen.weights.adapter)(
            session, chosen.weights.url
        ),
    )
