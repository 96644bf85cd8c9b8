"""A gateway's view of the configuration and the endpoints."""

import collections.abc
import math

import attrs

from ... import catalogue
from ... import http1
from ... import platform
from ... import ports
from ... import systems
from ... import telemetry
from ...systems import health
from ...systems import limits
from ...systems import pacing
from ...systems import placement
from . import _departures
from . import _endpoint_limit

LOG = telemetry.logger("knowledge")
#: Share of an endpoint's connection limit that all gateways use together.
CONNECTIONS_SHARE = 0.9
#: Smallest connection limit of a gateway to an endpoint.
CONNECTIONS_FLOOR = 8
#: First pause after a rejection, in seconds; doubles with each.
REJECTED_PAUSE_FIRST_S = 0.1
#: Longest such pause, in seconds.
REJECTED_PAUSE_LIMIT_S = 0.8
#: Share of an engine's KV cache assumed to hold shared prompt parts.
CACHE_SHARE = 0.8
#: Most removed endpoints that are remembered.
REMOVED_LIMIT = 256
#: Share by which a limit has to change to be logged.
LIMIT_CHANGED_SHARE = 0.1


Clock = collections.abc.Callable[[], float]


@attrs.define(eq=False)
class Upstream:
    """An endpoint with its connection pool, circuit and load."""

    #: The endpoint as it registered itself.
    endpoint: catalogue.Endpoint
    #: Connections to it.
    pool: http1.Pool
    #: Circuit state, set by the health system.
    view: systems.EndpointView
    #: Its load, ``None`` for a plain service.
    load: placement.EngineLoad | None
    #: The request limit that it names.
    limit: _endpoint_limit.EndpointLimit
    #: Whether another endpoint responded at its address.
    misdirected: bool = False

    #: Consecutive immediate rejections.
    rejections: int = 0
    #: No request is sent to it before this time, monotonic seconds.
    paused_until_s: float = 0.0
    #: End of an announced role change, monotonic seconds.
    changing_until_s: float = 0.0
    #: Pause for which the endpoint has asked.
    pause: pacing.RequestedPause = attrs.field(factory=pacing.RequestedPause)

    def changing_role(self, now_s: float) -> bool:
        """Return whether it is changing its role."""
        return now_s < self.changing_until_s

    def usable(self, now_s: float) -> bool:
        """Return whether requests may be sent to it."""
        return (
            self.endpoint.ready
            and not self.misdirected
            and self.view.available
            and not self.pool.exhausted
            and now_s >= self.paused_until_s
            and self.pause.permits(self.pool.busy, now_s)
            and not self.limit.share.wait_s(now_s)
            and not self.changing_role(now_s)
        )

    def wait_s(self, now_s: float) -> float:
        """Return the time until it ends its pause and its limit permits."""
        return max(self.pause.left_s(now_s), self.limit.share.wait_s(now_s))

    def note_rejection(self, now_s: float) -> None:
        """Pause sends after an immediate rejection: it is full or busy."""
        self.rejections += 1
        pause_s = REJECTED_PAUSE_FIRST_S * 2.0 ** (self.rejections - 1)
        self.paused_until_s = now_s + min(pause_s, REJECTED_PAUSE_LIMIT_S)

    def note_acceptance(self, now_s: float) -> None:
        """Reset the rejection count after an accepted request."""
        self.rejections = 0
        self.pause.accepted(now_s)


#: Gets the former run of an endpoint that has started again.
OnRestart = collections.abc.Callable[[Upstream], None]


class ClusterState:
    """The configuration and the endpoints as last read from the store."""

    def __init__(self, health_system: health.HealthSystem) -> None:
        #: Newest configuration, ``None`` before the first.
        self.configuration: catalogue.Configuration | None = None
        #: Routes of that configuration.
        self.routes = catalogue.RouteTable(())
        #: Whether the endpoints were read at least once.
        self.endpoints_loaded = False
        #: Number of live gateways, including this one.
        self.members = 1
        #: Endpoints by id.
        self.endpoints: dict[str, Upstream] = {}
        self.health = health_system
        self.tables = systems.Tables()
        self._departures = _departures.Departures()
        #: Endpoints by service and id.
        self._by_service: dict[str, dict[str, Upstream]] = {}
        #: Engines by service, rebuilt when one is added or removed.
        self._engine_rings: dict[str, placement.EngineRing] = {}
        #: Learned slot occupancy times by service.
        self._slot_times: dict[str, placement.SlotTimes] = {}
        #: What other gateways send, by service.
        self._arrivals: dict[str, placement.PeerArrivals] = {}
        #: Learned speed of the engines by service.
        self._speeds: dict[str, placement.ServiceSpeed] = {}
        #: All gateways, which share the request limits of endpoints.
        self._gateways = limits.ProcessGroup()
        self._on_restart: list[OnRestart] = []
        #: Endpoints that were removed, the latest ones, by id.
        self._removed: dict[str, Upstream] = {}
        #: Endpoints that have named a limit, by id.
        self.limited: dict[str, Upstream] = {}

    def set_configuration(
        self, configuration: catalogue.Configuration
    ) -> bool:
        """Apply a configuration unless it or a newer one is in force."""
        present = self.configuration
        if present is not None and present.version >= configuration.version:
            return False
        self.configuration = configuration
        self.routes = catalogue.RouteTable(configuration.routes)
        for upstream in self.endpoints.values():
            self._set_limits(upstream)
        LOG.info(
            "Configuration in force.",
            version=configuration.version,
            before=present.version if present else None,
            routes=len(configuration.routes),
        )
        return True

    def subscribe_restarts(self, handler: OnRestart) -> None:
        """Register what gets the former run of a restarted endpoint."""
        self._on_restart.append(handler)

    def set_endpoint(self, endpoint: catalogue.Endpoint) -> None:
        """Add or update an endpoint."""
        if self._departures.covers(endpoint):
            endpoint = attrs.evolve(endpoint, ready=False)
        upstream = self.endpoints.get(endpoint.endpoint_id)
        if upstream is None or not _same_process(upstream.endpoint, endpoint):
            if upstream is not None:
                self._detach(upstream)
            self._report_restart(
                upstream or self._removed.pop(endpoint.endpoint_id, None),
                endpoint,
            )
            upstream = self._new_upstream(endpoint)
            self.endpoints[endpoint.endpoint_id] = upstream
            of_service = self._by_service.setdefault(endpoint.service, {})
            of_service[endpoint.endpoint_id] = upstream
            self._engine_rings.pop(endpoint.service, None)
            LOG.info(
                "Endpoint known.",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                address=endpoint.address,
                stage=endpoint.role,
            )
        elif endpoint.ready != upstream.endpoint.ready:
            LOG.info(
                "Endpoint changed.",
                endpoint=endpoint.endpoint_id,
                ready=endpoint.ready,
            )
        upstream.endpoint = endpoint
        if upstream.load is not None and endpoint.role is not None:
            if upstream.load.role is not endpoint.role:
                # The role change is complete.
                upstream.changing_until_s = 0.0
            upstream.load.role = endpoint.role

    def note_signals(
        self,
        upstream: Upstream,
        signals: platform.EndpointSignals,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record what the response to a request sent at a time told."""
        if signals.pause_s:
            upstream.pause.request(signals.pause_s, now_s)
            LOG.info(
                "Endpoint pauses.",
                endpoint=upstream.endpoint.endpoint_id,
                pause_s=signals.pause_s,
            )
        if signals.limit_per_s is not None:
            before_per_s = upstream.limit.limit_per_s
            upstream.limit.observe(signals.limit_per_s, sent_s, now_s)
            self._limit_changed(upstream, before_per_s, None)
        if signals.leaving:
            self.note_leaving(upstream)

    def learn_limit(
        self,
        upstream: Upstream,
        limit_per_s: float,
        said_s: float,
        now_s: float,
        told_by: str,
    ) -> bool:
        """Record what another gateway told; return whether it is newer."""
        before_per_s = upstream.limit.limit_per_s
        newer = upstream.limit.learn(limit_per_s, said_s, now_s)
        self._limit_changed(upstream, before_per_s, told_by)
        return newer

    def _limit_changed(
        self, upstream: Upstream, before_per_s: float, told_by: str | None
    ) -> None:
        if upstream.limit.limit_per_s != before_per_s:
            self.limited[upstream.endpoint.endpoint_id] = upstream
            _log_limit(upstream, before_per_s, told_by)

    def signals_recorder(
        self, upstream: Upstream, clock: Clock
    ) -> platform.OnSignals:
        """Return what records the signals in the response to a next call."""
        sent_s = clock()

        def record(signals: platform.EndpointSignals) -> None:
            self.note_signals(upstream, signals, sent_s, clock())

        return record

    def note_leaving(self, upstream: Upstream) -> None:
        """Record that an endpoint leaves; requests in flight continue."""
        self._departures.add(upstream.endpoint)
        if upstream.endpoint.ready:
            upstream.endpoint = attrs.evolve(upstream.endpoint, ready=False)
            LOG.info(
                "Endpoint leaves.", endpoint=upstream.endpoint.endpoint_id
            )

    def remove_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Remove an endpoint; requests in flight there continue."""
        upstream = self.endpoints.pop(endpoint_id, None)
        if upstream is None:
            return
        self._detach(upstream)
        self._removed[endpoint_id] = upstream
        if len(self._removed) > REMOVED_LIMIT:
            del self._removed[next(iter(self._removed))]
        upstream.endpoint = attrs.evolve(upstream.endpoint, ready=False)
        self.tables.of(systems.EndpointView).remove(endpoint_id)
        LOG.info("Endpoint removed.", endpoint=endpoint_id, reason=reason)

    def set_gateways(
        self, own: str, others: collections.abc.Iterable[str]
    ) -> None:
        """Set the live gateways, this one and the others."""
        self._gateways.own = own
        self._gateways.names = tuple(sorted({own, *others}))
        members = len(self._gateways.names)
        if members == self.members:
            return
        self.members = members
        for upstream in self.endpoints.values():
            self._set_limits(upstream)

    def limited_count(self) -> int:
        """Return the number of endpoints that name a limit now."""
        return sum(
            math.isfinite(upstream.limit.limit_per_s)
            for upstream in self.limited.values()
        )

    def of_service(self, service: str) -> list[Upstream]:
        """Return the endpoints of a service."""
        return list(self._by_service.get(service, {}).values())

    def set_clock_offset(self, offset_s: float) -> None:
        """Set the gateways' common clock minus the steady clock."""
        self._gateways.clock_offset_s = offset_s

    def wait_s(self, service: str, now_s: float) -> float:
        """Return the time until an endpoint of a service takes requests.

        It is 0 if there are endpoints that neither pause nor have named a
        limit that is used up.
        """
        ready = [
            upstream
            for upstream in self.of_service(service)
            if upstream.endpoint.ready
        ]
        return min((upstream.wait_s(now_s) for upstream in ready), default=0.0)

    def engines(
        self, service: str, affinity: bytes, now_s: float
    ) -> list[placement.EngineLoad]:
        """Return the usable engines that are candidates for a request.

        In a large fleet requests of one affinity get the same small subset.
        """
        ring = self._engine_rings.get(service)
        if ring is None:
            loads = [
                upstream.load
                for upstream in self.of_service(service)
                if upstream.load is not None
            ]
            ring = placement.EngineRing(loads)
            self._engine_rings[service] = ring
            if service in self._arrivals:
                self._arrivals[service].prefill_engines = sum(
                    load.prefill_only for load in loads
                )

        def usable(load: placement.EngineLoad) -> bool:
            return self.endpoints[load.engine_id].usable(now_s)

        return ring.candidates(affinity, usable)

    def loads(self) -> list[placement.EngineLoad]:
        """Return the loads of all engines."""
        return [
            upstream.load
            for upstream in self.endpoints.values()
            if upstream.load is not None
        ]

    def load_of(self, engine_id: str) -> placement.EngineLoad | None:
        """Return the load of an engine, ``None`` if it is not known."""
        upstream = self.endpoints.get(engine_id)
        return upstream.load if upstream is not None else None

    def observe(
        self,
        upstream: Upstream,
        succeeded: bool,
        now_s: float,
        silent: bool = False,
    ) -> None:
        """Report the outcome of a send to the health system.

        ``silent`` tells that it failed because nothing came in time.
        """
        self.health.observe(
            health.Observation(
                upstream.endpoint.endpoint_id, succeeded, silent=silent
            ),
            now_s,
        )
        upstream.view.in_flight = upstream.pool.busy

    def observe_progress(self, upstream: Upstream, now_s: float) -> None:
        """Report that an ejected endpoint goes on with a response."""
        if upstream.view.circuit is systems.CircuitState.OPEN:
            self.observe(upstream, True, now_s)

    def sweep(self, now_s: float) -> None:
        """Update circuits and close idle connections."""
        for upstream in self.endpoints.values():
            upstream.view.in_flight = upstream.pool.busy
            upstream.pool.close_expired(now_s)
            if upstream.load is not None:
                upstream.load.speed.expire(now_s)
        self.health.run(self.tables, now_s)

    def _report_restart(
        self, before: Upstream | None, endpoint: catalogue.Endpoint
    ) -> None:
        if before is None:
            return
        if endpoint.started_ms > before.endpoint.started_ms:
            for handler in self._on_restart:
                handler(before)

    def _detach(self, upstream: Upstream) -> None:
        """Close an endpoint's connections and remove it from its service."""
        endpoint = upstream.endpoint
        upstream.pool.close()
        self.limited.pop(endpoint.endpoint_id, None)
        self._by_service[endpoint.service].pop(endpoint.endpoint_id, None)
        self._engine_rings.pop(endpoint.service, None)

    def _new_upstream(self, endpoint: catalogue.Endpoint) -> Upstream:
        view = systems.EndpointView(
            endpoint_id=endpoint.endpoint_id,
            failure_domain=endpoint.failure_domain,
            service=endpoint.service,
            role=endpoint.role or ports.EngineRole.BOTH,
        )
        self.tables.of(systems.EndpointView).put(view)
        upstream = Upstream(
            endpoint=endpoint,
            pool=http1.Pool(
                endpoint.host, endpoint.port, platform.HEADERS.request_id
            ),
            view=view,
            load=self._new_load(endpoint),
            limit=_endpoint_limit.EndpointLimit(
                limits.TurnShare(endpoint.endpoint_id, self._gateways)
            ),
        )
        self._set_limits(upstream)
        return upstream

    def _new_load(
        self, endpoint: catalogue.Endpoint
    ) -> placement.EngineLoad | None:
        if endpoint.role is None:
            return None
        return placement.EngineLoad(
            engine_id=endpoint.endpoint_id,
            failure_domain=endpoint.failure_domain,
            service=endpoint.service,
            role=endpoint.role,
            slots=endpoint.slots,
            cache=placement.PartCache(self._cache_tokens(endpoint.service)),
            slot_times=self._slot_times.setdefault(
                endpoint.service, placement.SlotTimes()
            ),
            arrivals=self._arrivals.setdefault(
                endpoint.service, placement.PeerArrivals()
            ),
            speed=placement.EngineSpeed(
                self._speeds.setdefault(
                    endpoint.service, placement.ServiceSpeed()
                )
            ),
        )

    def _cache_tokens(self, service: str) -> int:
        if self.configuration is None:
            return 0
        found = self.configuration.services.get(service)
        if found is None or found.engine is None:
            return 0
        return int(found.engine.kv_capacity_tokens * CACHE_SHARE)

    def _set_limits(self, upstream: Upstream) -> None:
        if self.configuration is None:
            return
        found = self.configuration.services.get(upstream.endpoint.service)
        if found is None:
            return
        share = found.connections_limit * CONNECTIONS_SHARE / self.members
        upstream.pool.limit = max(int(share), CONNECTIONS_FLOOR)
        if upstream.load is not None:
            upstream.load.cache.set_capacity(
                self._cache_tokens(upstream.endpoint.service)
            )
        if found.engine is not None:
            speed = self._speeds.setdefault(
                found.name, placement.ServiceSpeed()
            )
            speed.fetch_token_s = found.engine.kv_transfer_token_s


def _log_limit(
    upstream: Upstream, before_per_s: float, told_by: str | None
) -> None:
    """Log a limit that began, ended or changed by much."""
    limit_per_s = upstream.limit.limit_per_s
    if math.isfinite(limit_per_s) and math.isfinite(before_per_s):
        change = abs(limit_per_s - before_per_s)
        if change <= LIMIT_CHANGED_SHARE * before_per_s:
            return
    LOG.info(
        "Endpoint limits requests."
        if math.isfinite(limit_per_s)
        else "Endpoint limits requests no longer.",
        endpoint=upstream.endpoint.endpoint_id,
        limit_per_s=_or_none(limit_per_s),
        before_per_s=_or_none(before_per_s),
        told_by=told_by,
    )


def _or_none(limit_per_s: float) -> float | None:
    return limit_per_s if math.isfinite(limit_per_s) else None


def _same_process(
    before: catalogue.Endpoint, after: catalogue.Endpoint
) -> bool:
    return (before.host, before.port, before.started_ms, before.service) == (
        after.host,
        after.port,
        after.started_ms,
        after.service,
    )
