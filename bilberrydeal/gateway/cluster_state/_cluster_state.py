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
from ...systems import placement
from . import _connectivity
from . import _departures
from . import _endpoint_limit
from . import _freshness
from . import _held_versions
from . import _new_versions
from . import _poll_times
from . import _service_state
from . import _upstream

LOG = telemetry.logger("knowledge")
#: Share of an endpoint's connection limit that all gateways use together.
CONNECTIONS_SHARE = 0.9
#: Smallest connection limit of a gateway to an endpoint.
CONNECTIONS_FLOOR = 8
#: Share of an engine's KV cache assumed to hold shared prompt parts.
CACHE_SHARE = 0.8
#: Most faults of quotas in a log line; the line has their number.
MAX_LOGGED_FAULTS = 10
#: Multiple of the longest timeout of streams for which callers may come back
#: to one: it may have begun at the end of the first attempt.
STREAM_LIFETIMES = 2.0
#: Shortest such time, also while no configuration is known, in seconds.
MIN_STREAM_LIFETIME_S = 30.0
#: Time within which changes must be applied unless told otherwise, in seconds.
APPLY_LIMIT_S = 3.0
#: Most removed endpoints that are remembered.
REMOVED_LIMIT = 256


Clock = collections.abc.Callable[[], float]


#: Gets the former run of an endpoint that has started again, or an endpoint
#: whose entry lapsed.
OnGone = collections.abc.Callable[[_upstream.Upstream], None]


class ClusterState:
    """The configuration and the endpoints as last read from the store."""

    def __init__(
        self,
        health_system: health.HealthSystem,
        configuration_limit_s: float = APPLY_LIMIT_S,
        endpoints_limit_s: float = APPLY_LIMIT_S,
        connectivity: _connectivity.StoreConnectivity | None = None,
    ) -> None:
        #: Newest configuration, ``None`` before the first.
        self.configuration: catalogue.Configuration | None = None
        #: How recently the store confirmed that it is the newest.
        self.configuration_freshness = _freshness.TableFreshness(
            configuration_limit_s
        )
        if connectivity is not None:
            self.configuration_freshness.connectivity = connectivity
        #: For how long callers may come back to a stream, in seconds.
        self.stream_lifetime_s = MIN_STREAM_LIFETIME_S
        #: Routes of that configuration.
        self.routes = catalogue.RouteTable(())
        times = _poll_times.endpoints_times(endpoints_limit_s)
        #: As of when the store told all endpoints.
        self.endpoints_freshness = _freshness.TableFreshness(
            times.confirmed_within_s
        )
        #: When software versions were first seen.
        self.new_versions = _new_versions.NewVersions(times.confirmed_within_s)
        #: Those at which no stream begins, by service.
        self._held: dict[str, _held_versions.HeldVersions] = {}
        #: Whether the endpoints were read at least once.
        self.endpoints_loaded = False
        #: Number of live gateways, including this one.
        self.members = 1
        #: Endpoints by id.
        self.endpoints: dict[str, _upstream.Upstream] = {}
        self.health = health_system
        self.tables = systems.Tables()
        self._departures = _departures.Departures()
        #: State of the services that have, or had, endpoints, by name.
        self._services: dict[str, _service_state.ServiceState] = {}
        #: All gateways, which share the request limits of endpoints.
        self._gateways = limits.ProcessGroup()
        self._on_restart: list[OnGone] = []
        self._on_lapse: list[OnGone] = []
        #: Endpoints that were removed, the latest ones, by id.
        self._removed: dict[str, _upstream.Upstream] = {}

    def set_configuration(
        self, configuration: catalogue.Configuration
    ) -> bool:
        """Apply a configuration unless it or a newer one is in force."""
        present = self.configuration
        if present is not None and present.version >= configuration.version:
            return False
        self.configuration = configuration
        self.routes = catalogue.RouteTable(configuration.routes)
        self.stream_lifetime_s = _stream_lifetime_s(configuration)
        for upstream in self.endpoints.values():
            self._set_limits(upstream)
        if configuration.quota_faults:
            LOG.error(
                "Quotas not applied.",
                version=configuration.version,
                faults=configuration.quota_faults[:MAX_LOGGED_FAULTS],
                count=len(configuration.quota_faults),
            )
        return True

    def subscribe_restarts(self, handler: OnGone) -> None:
        """Register what gets the former run of a restarted endpoint."""
        self._on_restart.append(handler)

    def subscribe_lapses(self, handler: OnGone) -> None:
        """Register what gets an endpoint that is gone without leaving."""
        self._on_lapse.append(handler)

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
            self._service(endpoint.service).add(upstream)
            self._held.pop(endpoint.service, None)
            LOG.info(
                "Endpoint known.",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                address=endpoint.address,
                stage=endpoint.role,
                software_version=endpoint.software_version,
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
                upstream.note_role_changed()
            upstream.load.role = endpoint.role

    def note_signals(
        self,
        upstream: _upstream.Upstream,
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
            upstream.limit.observe(signals.limit_per_s, sent_s, now_s)
        if signals.leaving:
            self.note_leaving(upstream)

    def signals_recorder(
        self, upstream: _upstream.Upstream, clock: Clock
    ) -> platform.OnSignals:
        """Return what records the signals in the response to a next call."""
        sent_s = clock()

        def record(signals: platform.EndpointSignals) -> None:
            self.note_signals(upstream, signals, sent_s, clock())

        return record

    def note_leaving(self, upstream: _upstream.Upstream) -> None:
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
        if upstream.endpoint.ready:
            for handler in self._on_lapse:
                handler(upstream)
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

    @property
    def is_first_gateway(self) -> bool:
        """Return whether this gateway comes first in the order of all."""
        return self._gateways.names[:1] == (self._gateways.own,)

    def limited_count(self) -> int:
        """Return the number of endpoints that name a limit now."""
        return sum(
            math.isfinite(upstream.limit.limit_per_s)
            for upstream in self.endpoints.values()
        )

    def of_service(self, service: str) -> list[_upstream.Upstream]:
        """Return the endpoints of a service."""
        found = self._services.get(service)
        return list(found.upstreams.values()) if found is not None else []

    def software_versions(self) -> dict[str, set[str]]:
        """Return the software versions of the engines of each service."""
        found: dict[str, set[str]] = {}
        for upstream in self.endpoints.values():
            if upstream.load is not None:
                versions = found.setdefault(upstream.endpoint.service, set())
                versions.add(upstream.endpoint.software_version)
        return found

    def set_clock_offset(self, offset_s: float) -> None:
        """Set the gateways' common clock minus the steady clock."""
        self._gateways.clock_offset_s = offset_s

    def wait_s(self, service: str, now_s: float) -> float:
        """Return the time until an endpoint of a service takes requests.

        It is 0 if there are endpoints that neither pause nor have named a
        limit that is used up.
        """
        found = self._services.get(service)
        return found.wait_s(now_s) if found is not None else 0.0

    def engines(
        self,
        service: str,
        affinity: bytes,
        now_s: float,
        software_version: str | None = None,
    ) -> list[placement.EngineLoad]:
        """Return the usable engines that are candidates for a request.

        In a large fleet requests of one affinity get the same small subset.
        With a software version only engines of that version may decode, and
        without one none of a version that others may not know of yet, and
        none of one that has a single decode engine if others can do without.
        """
        found = self._services.get(service)
        if found is None:
            return []
        if software_version is not None:
            return found.engines(affinity, now_s, software_version)
        held = self._held_versions(service, now_s)
        return found.engines(
            affinity, now_s, held=held.versions, avoided=held.avoided
        )

    def avoided_versions(self, service: str, now_s: float) -> frozenset[str]:
        """Return the software versions at which streams don't begin."""
        held = self._held_versions(service, now_s)
        return held.versions | held.avoided

    def _held_versions(
        self, service: str, now_s: float
    ) -> _held_versions.HeldVersions:
        held = self._held.get(service)
        if held is None or now_s >= held.until_s:
            engines = [
                upstream
                for upstream in self.of_service(service)
                if upstream.load is not None
            ]
            held = _held_versions.decide(
                service, engines, self.new_versions, now_s
            )
            self._held[service] = held
        return held

    def stream_slots(self) -> float:
        """Return the slots that long streams of all services need."""
        return sum(
            service.long_streams.slots_needed
            for service in self._services.values()
        )

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
        upstream: _upstream.Upstream,
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
        self._note_outcome(upstream, succeeded)

    def _note_outcome(
        self, upstream: _upstream.Upstream, succeeded: bool
    ) -> None:
        """Let streams begin elsewhere as soon as an engine fails."""
        if upstream.failed is not succeeded:
            return
        upstream.failed = not succeeded
        service = upstream.endpoint.service
        held = self._held.get(service)
        if held is not None and held.avoided:
            del self._held[service]

    def observe_progress(
        self, upstream: _upstream.Upstream, now_s: float
    ) -> None:
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
        for service in self._services:
            self._held_versions(service, now_s)
        self.health.run(self.tables, now_s)

    def _report_restart(
        self, before: _upstream.Upstream | None, endpoint: catalogue.Endpoint
    ) -> None:
        if before is None:
            return
        if endpoint.started_ms > before.endpoint.started_ms:
            for handler in self._on_restart:
                handler(before)

    def _detach(self, upstream: _upstream.Upstream) -> None:
        """Close an endpoint's connections and remove it from its service."""
        endpoint = upstream.endpoint
        upstream.pool.close()
        self._services[endpoint.service].remove(endpoint.endpoint_id)
        self._held.pop(endpoint.service, None)

    def _new_upstream(
        self, endpoint: catalogue.Endpoint
    ) -> _upstream.Upstream:
        view = systems.EndpointView(
            endpoint_id=endpoint.endpoint_id,
            failure_domain=endpoint.failure_domain,
            service=endpoint.service,
            role=endpoint.role or ports.EngineRole.BOTH,
        )
        self.tables.of(systems.EndpointView).put(view)
        upstream = _upstream.Upstream(
            endpoint=endpoint,
            pool=http1.Pool(
                endpoint.host, endpoint.port, platform.HEADERS.request_id
            ),
            view=view,
            load=self._service(endpoint.service).new_load(
                endpoint, self._cache_tokens(endpoint.service)
            ),
            limit=_endpoint_limit.EndpointLimit(
                endpoint.endpoint_id,
                limits.TurnShare(endpoint.endpoint_id, self._gateways),
            ),
        )
        self._set_limits(upstream)
        return upstream

    def _service(self, service: str) -> _service_state.ServiceState:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _service_state.ServiceState()
        return found

    def _cache_tokens(self, service: str) -> int:
        if self.configuration is None:
            return 0
        found = self.configuration.services.get(service)
        if found is None or found.engine is None:
            return 0
        return int(found.engine.kv_capacity_tokens * CACHE_SHARE)

    def _set_limits(self, upstream: _upstream.Upstream) -> None:
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
            self._service(found.name).set_fetch_time(
                found.engine.kv_transfer_token_s
            )


def _stream_lifetime_s(configuration: catalogue.Configuration) -> float:
    """Return for how long callers may come back to a stream."""
    longest_s = max(
        (
            route.timeout_s
            for route in configuration.routes
            if route.kind is catalogue.RouteKind.STREAM
        ),
        default=0.0,
    )
    return max(longest_s * STREAM_LIFETIMES, MIN_STREAM_LIFETIME_S)


def _same_process(
    before: catalogue.Endpoint, after: catalogue.Endpoint
) -> bool:
    return (before.host, before.port, before.started_ms, before.service) == (
        after.host,
        after.port,
        after.started_ms,
        after.service,
    )
