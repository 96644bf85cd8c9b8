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
    session: aiohttp.ClientSession,
    platform_settings: settings.PlatformSettings,
) -> Platform:
    """Return the configured adapters; raises ``UnknownName``."""
    return Platform(
        table=_registries.TABLES.get(platform_settings.table.adapter)(
            session, platform_settings.table.url
        ),
        objects=_registries.OBJECTS.get(platform_settings.objects.adapter)(
            session, platform_settings.objects.url
        ),
        endpoints=_registries.ENDPOINTS.get(
            platform_settings.endpoints.adapter
        )(session, platform_settings.endpoints.url),
        usage=_registries.USAGE.get(platform_settings.usage.adapter)(
            session, platform_settings.usage.url
        ),
        hosts=_registries.HOSTS.get(platform_settings.hosts.adapter)(
            session, platform_settings.hosts.url
        ),
        weights=_registries.WEIGHTS.get(platform_settings.weights.adapter)(
            session, platform_settings.weights.url
        ),
    )
