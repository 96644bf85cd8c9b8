"""Limits for the callers of a gateway."""

import attrs

from .. import catalogue
from .. import http1
from .. import settings

#: Share of the open files limit for callers' connections.
CALLERS_FILES_SHARE = 0.6
#: Share of the memory limit for what is held for callers.
CALLERS_MEMORY_SHARE = 0.3
#: Share of the memory limit for the objects of callers' connections.
CONNECTIONS_MEMORY_SHARE = 0.1
#: Memory of the objects of an idle connection, in bytes.
CONNECTION_BYTES = 8_000
#: Limits in force until the first configuration is loaded.
INITIAL_LIMITS = http1.ServerLimits(
    header_bytes=16_384,
    body_bytes=1_048_576,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class CallerLimits:
    """Derives the limits from the settings and the configuration.

    They are asked for with each request and derived anew only when one of
    the two has changed.
    """

    def __init__(self) -> None:
        self._limits = INITIAL_LIMITS
        self._configuration: catalogue.Configuration | None = None
        self._settings: settings.GatewaySettings | None = None

    def current(
        self,
        configuration: catalogue.Configuration | None,
        gateway_settings: settings.GatewaySettings,
    ) -> http1.ServerLimits:
        """Return the limits."""
        if (
            configuration is not self._configuration
            or gateway_settings is not self._settings
        ):
            self._configuration = configuration
            self._settings = gateway_settings
            self._limits = _derived(configuration, gateway_settings)
        return self._limits


def _derived(
    configuration: catalogue.Configuration | None,
    gateway_settings: settings.GatewaySettings,
) -> http1.ServerLimits:
    memory = gateway_settings.memory_limit_mb * 1e6
    limits = attrs.evolve(
        INITIAL_LIMITS,
        connections=int(
            min(
                gateway_settings.open_files_limit * CALLERS_FILES_SHARE,
                memory * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES,
            )
        ),
        memory_bytes=int(memory * CALLERS_MEMORY_SHARE),
    )
    if configuration is None:
        return limits
    return attrs.evolve(
        limits,
        header_bytes=configuration.limits.header_bytes,
        body_bytes=configuration.limits.body_bytes,
        header_timeout_s=configuration.limits.header_timeout_s,
        idle_timeout_s=configuration.limits.idle_timeout_s,
    )
