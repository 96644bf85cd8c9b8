"""Builds the parts of a gateway process and connects them."""

import collections.abc
import random

from .. import decoding
from .. import platform
from .. import settings
from .. import telemetry
from ..systems import health
from ..systems import placement
from ..systems import quarantine
from ..systems import quotas as quota_systems
from ..systems import retries
from . import _uplink
from . import cluster_state
from . import core
from . import duties
from . import messaging
from . import peer_exchange
from . import quotas
from . import sending
from . import serving
from . import streams

Clock = collections.abc.Callable[[], float]


class Parts:
    """The parts of a gateway process, connected but not running."""

    def __init__(
        self, gateway_settings: settings.GatewaySettings, clock: Clock
    ) -> None:
        self._clock = clock
        self._rng = random.SystemRandom()
        self.shutdown_state = core.ShutdownState()
        self.store = platform.PlatformStore(
            *decoding.split_address(gateway_settings.platform.store)
        )
        self.connectivity = cluster_state.StoreConnectivity(
            last_response_s=clock(),
            silence_s=cluster_state.silence_s(
                gateway_settings.bounds.configuration_apply_ms / 1000
            ),
        )
        self.tracing = telemetry.Tracing(gateway_settings.trace, "gateway")
        self.uplink = _uplink.Uplink(gateway_settings.uplink_mbps, clock)
        self.cluster = cluster_state.ClusterState(
            health.HEALTH.get("outlier")(self._rng.getrandbits(32)),
            gateway_settings.bounds.configuration_apply_ms / 1000,
            gateway_settings.bounds.apply_limit_s,
            self.connectivity,
        )
        self.store.subscribe_responses(
            lambda: self.connectivity.note_response(clock())
        )
        self.datagrams = messaging.Datagrams()
        self.coordination = duties.Coordination(
            gateway_settings,
            self.store,
            self.cluster,
            self.datagrams,
            self._rng,
        )
        self.budget = retries.WindowBudget(
            _budget_limits(gateway_settings), clock()
        )
        self.load_exchange = peer_exchange.LoadExchange(
            self.datagrams,
            self.cluster,
            self.coordination.incarnation,
            self._peers,
            self.uplink,
            clock,
        )
        self.hints = cluster_state.StoreHints(
            self.datagrams,
            self.coordination.incarnation,
            self._peers,
            lambda: self.coordination.position,
            gateway_settings.store_watchers,
            gateway_settings.bounds.apply_limit_s,
            clock,
        )
        self.limit_broadcast = peer_exchange.LimitBroadcast(
            self.datagrams,
            self.cluster,
            self.coordination.incarnation,
            self._peers,
            clock,
        )
        self.capability_broadcast = peer_exchange.CapabilityBroadcast(
            self.datagrams,
            self.cluster,
            self.coordination.incarnation,
            self._peers,
            clock,
        )
        self.metrics = core.GatewayMetrics()
        self.quotas = quotas.Quotas(
            self.datagrams,
            self.cluster,
            self.coordination.incarnation,
            gateway_settings.listen.peers,
            self._quota_listing,
            _quota_bounds(gateway_settings),
            self.metrics,
            clock,
        )
        self.quarantine = self._new_quarantine(gateway_settings)
        self.origins = self.coordination.origins(self.metrics, clock)
        self.endpoint_updater = cluster_state.EndpointUpdater(
            self.cluster, self.connectivity, clock
        )
        self.request_handler = self._new_request_handler(gateway_settings)

    def apply_settings(
        self, gateway_settings: settings.GatewaySettings
    ) -> None:
        """Apply the settings that can change at run time."""
        self.budget.limits = _budget_limits(gateway_settings)
        self.uplink.set_rate(gateway_settings.uplink_mbps)
        self.store.set_address(
            *decoding.split_address(gateway_settings.platform.store)
        )
        self.coordination.usage.set_address(
            *decoding.split_address(gateway_settings.platform.usage)
        )

    def _new_quarantine(
        self, gateway_settings: settings.GatewaySettings
    ) -> sending.RequestQuarantine:
        found = sending.RequestQuarantine(
            quarantine.QUARANTINES.get(gateway_settings.quarantine)(),
            self.datagrams,
            self.coordination.incarnation,
            gateway_settings.listen.peers,
            self._peers,
            lambda: self.coordination.lease_held,
            self.metrics,
            self._rng,
            self._clock,
        )
        self.cluster.subscribe_restarts(found.endpoint_restarted)
        self.cluster.subscribe_lapses(found.endpoint_gone)
        return found

    def _new_request_handler(
        self, gateway_settings: settings.GatewaySettings
    ) -> serving.RequestHandler:
        retry_policy = sending.RetryPolicy(
            self.cluster, self.budget, self._clock
        )
        sender = sending.Sender(
            self.cluster,
            retry_policy,
            self.uplink,
            self.tracing,
            self.quarantine,
            self._clock,
        )
        return serving.RequestHandler(
            admission=serving.Admission(self.cluster, self._rng),
            cluster=self.cluster,
            plain=serving.PlainServer(
                self.cluster,
                sender,
                retry_policy,
                self.coordination.usage_counter,
                gateway_settings.failure_domain,
                self.quarantine,
                self._clock,
            ),
            stream=streams.StreamServer(
                self.cluster,
                sender,
                retry_policy,
                self.coordination.usage_counter,
                placement.PLACERS.get(gateway_settings.placer)(),
                self.uplink,
                gateway_settings.failure_domain,
                self.quarantine,
                self.origins.resolver,
                self._clock,
            ),
            retry_policy=retry_policy,
            quota=self.quotas,
            metrics=self.metrics,
            tracing=self.tracing,
            connectivity=self.connectivity,
            shutdown=self.shutdown_state,
            clock=self._clock,
        )

    def _peers(self) -> tuple[messaging.Address, ...]:
        return self.coordination.peers

    def _quota_listing(self) -> quotas.Listing:
        coordination = self.coordination
        return quotas.Listing(
            coordination.others,
            coordination.settled,
            coordination.row_left_s,
            coordination.list_age_s,
        )


def _budget_limits(
    gateway_settings: settings.GatewaySettings,
) -> retries.WindowLimits:
    return retries.WindowLimits(
        window_s=gateway_settings.bounds.extra_sends_window_s,
        ratio=gateway_settings.bounds.extra_sends_ratio,
        base_allowance=gateway_settings.bounds.extra_sends_slack,
    )


def _quota_bounds(
    gateway_settings: settings.GatewaySettings,
) -> quota_systems.FallbackBounds:
    bounds = gateway_settings.bounds
    return quota_systems.FallbackBounds(
        window_s=bounds.quota_window_s,
        overage=bounds.quota_overage,
        slack_tokens=bounds.quota_slack,
    )
