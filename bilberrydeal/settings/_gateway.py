"""Settings of a gateway."""

import typing

import attrs
import msgspec

from . import _model

#: IP number and port with a colon between.
SocketAddress = typing.Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")
]
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]


@attrs.frozen
class GatewayListenSettings:
    """Where a gateway listens."""

    #: For callers.
    callers: SocketAddress
    #: For the balancer's readiness checks.
    readiness: SocketAddress
    #: For metrics.
    metrics: SocketAddress
    #: For load figures of other gateways, by datagram.
    peers: SocketAddress


@attrs.frozen
class GatewayPlatformSettings:
    """Where the platform's services are."""

    #: The store.
    store: SocketAddress
    #: The interface for usage reports.
    usage: SocketAddress


@attrs.frozen
class GatewayBounds:
    """Bounds that the platform sets."""

    #: Time between SIGTERM and the end of the process.
    grace_s: _model.Seconds
    #: Extra sends to a service for each of its requests.
    extra_sends_ratio: _model.Share
    #: Extra sends to a service beside, in a window.
    extra_sends_slack: typing.Annotated[float, msgspec.Meta(ge=0)]
    #: Length of that window.
    extra_sends_window_s: _model.Seconds
    #: Shortest time between calls of two holders of a duty in turn.
    lease_ms: Milliseconds
    #: Length of a usage window.
    usage_window_s: _model.Seconds
    #: When the report of a window is due after its end.
    usage_due_s: _model.Seconds


@attrs.frozen
class GatewaySettings:
    """An entry of the system that speaks to endpoints itself."""

    role: typing.Literal["gateway"]
    #: Name of the host.
    host_id: _model.Name
    #: Failure domain of the host.
    failure_domain: _model.Name
    listen: GatewayListenSettings
    platform: GatewayPlatformSettings
    bounds: GatewayBounds
    #: Open files that the process may have.
    open_files_limit: _model.Count
    #: Memory that the process may have, in megabytes.
    memory_limit_mb: _model.Count
    #: Rate of the host's own link, in Mbit/s.
    uplink_mbps: typing.Annotated[float, msgspec.Meta(gt=0)] = 1_000.0
    #: Name of the placer.
    placer: _model.Name = "two_stage"
    #: Name of the plan of engines' roles.
    role_plan: _model.Name = "by_load"
    trace: _model.TraceSettings = attrs.field(factory=_model.TraceSettings)
    log: _model.LogSettings = attrs.field(factory=_model.LogSettings)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of a socket address."""
    host, _colon, port = address.rpartition(":")
    return host, int(port)
