"""Settings of a gateway."""

import typing

import attrs
import msgspec

from . import _model

#: IPv4 address and port, separated by a colon.
SocketAddress = typing.Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")
]
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]


@attrs.frozen
class GatewayListenSettings:
    """Addresses that a gateway listens on."""

    #: Address for callers.
    callers: SocketAddress
    #: Address for the load balancer's readiness checks.
    readiness: SocketAddress
    #: Address for metrics.
    metrics: SocketAddress
    #: Address for load reports from other gateways, sent as datagrams.
    peers: SocketAddress


@attrs.frozen
class GatewayPlatformSettings:
    """Addresses of the platform's services."""

    #: Address of the store.
    store: SocketAddress
    #: Address for usage reports.
    usage: SocketAddress


@attrs.frozen
class GatewayBounds:
    """Limits and intervals set by the platform."""

    #: Time from SIGTERM until the process must have ended.
    grace_s: _model.Seconds
    #: Allowed extra sends to a service per request.
    extra_sends_ratio: _model.Share
    #: Additional extra sends to a service allowed per window.
    extra_sends_slack: typing.Annotated[float, msgspec.Meta(ge=0)]
    #: Length of the window for extra sends.
    extra_sends_window_s: _model.Seconds
    #: Minimum time between calls of two successive holders of a duty.
    lease_ms: Milliseconds
    #: Length of a usage window.
    usage_window_s: _model.Seconds
    #: Time after the end of a usage window when its report is due.
    usage_due_s: _model.Seconds
    #: Time within which a change of the configuration must be applied.
    configuration_apply_ms: Milliseconds = 2_000.0
    #: Time after which no request may reach an endpoint that is leaving.
    endpoint_leave_ms: Milliseconds = 2_000.0
    #: Length of the window in which organisations' quotas are checked.
    quota_window_s: _model.Seconds = 1.0
    #: Allowed share above a quota in a window.
    quota_overage: _model.Share = 0.0
    #: Tokens allowed above a quota in a window, besides that share.
    quota_slack: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0

    @property
    def apply_limit_s(self) -> float:
        """Return the time within which any change must be applied."""
        limit_ms = min(self.configuration_apply_ms, self.endpoint_leave_ms)
        return limit_ms / 1000


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway, an entry that calls endpoints directly."""

    role: typing.Literal["gateway"]
    #: Name of the host.
    host_id: _model.Name
    #: Failure domain of the host.
    failure_domain: _model.Name
    listen: GatewayListenSettings
    platform: GatewayPlatformSettings
    bounds: GatewayBounds
    #: Maximum number of open files of the process.
    open_files_limit: _model.Count
    #: Maximum memory of the process, in megabytes.
    memory_limit_mb: _model.Count
    #: Bandwidth of the host's network link, in Mbit/s.
    uplink_mbps: typing.Annotated[float, msgspec.Meta(gt=0)] = 1_000.0
    #: Number of gateways that poll the store for all in a larger fleet; with 0
    #: each polls for itself.
    store_watchers: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    #: Name of the placement policy.
    placer: _model.Name = "two_stage"
    #: Name of the policy that plans engines' roles.
    role_plan: _model.Name = "by_load"
    #: Name of the policy that finds prompt parts that crash engines.
    quarantine: _model.Name = "crash_counts"
    trace: _model.TraceSettings = attrs.field(factory=_model.TraceSettings)
    log: _model.LogSettings = attrs.field(factory=_model.LogSettings)
