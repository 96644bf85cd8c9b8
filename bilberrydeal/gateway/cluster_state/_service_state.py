"""The endpoints of one service, and what was learned of them."""

from ... import catalogue
from ...systems import placement
from . import _upstream


class ServiceState:
    """The endpoints of a service, and what holds for all its engines.

    What was learned is kept while the service has no endpoints.
    """

    def __init__(self) -> None:
        #: Endpoints by id.
        self.upstreams: dict[str, _upstream.Upstream] = {}
        #: Learned need of long streams.
        self.long_streams = placement.LongStreams()
        #: Learned slot occupancy times.
        self._slot_times = placement.SlotTimes()
        #: What other gateways send.
        self._arrivals = placement.PeerArrivals()
        #: Learned speed of the engines.
        self._speed = placement.ServiceSpeed()
        #: All engines, rebuilt when one was added or removed.
        self._engine_ring: placement.EngineRing | None = None

    def add(self, upstream: _upstream.Upstream) -> None:
        """Add an endpoint, or replace the one that has its id."""
        self.upstreams[upstream.endpoint.endpoint_id] = upstream
        self._engine_ring = None

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint, if it is known."""
        self.upstreams.pop(endpoint_id, None)
        self._engine_ring = None

    def set_fetch_time(self, fetch_token_s: float) -> None:
        """Set the time in which engines fetch a token of the KV cache."""
        self._speed.fetch_token_s = fetch_token_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until an endpoint takes requests.

        It is 0 if there are endpoints that neither pause nor have named a
        limit that is used up.
        """
        ready = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.endpoint.ready
        ]
        return min((upstream.wait_s(now_s) for upstream in ready), default=0.0)

    def engines(
        self,
        affinity: bytes,
        now_s: float,
        software_version: str | None = None,
        held: frozenset[str] = frozenset(),
        avoided: frozenset[str] = frozenset(),
    ) -> list[placement.EngineLoad]:
        """Return the usable engines that are candidates for a request.

        In a large fleet requests of one affinity get the same small subset.
        With a software version only engines of that version may decode, and
        in no case those of versions that are ``held``. Those of versions that
        are ``avoided`` may only if no other can.
        """
        if avoided:
            found = self.engines(affinity, now_s, held=held | avoided)
            if any(not load.prefill_only for load in found):
                return found

        def usable(load: placement.EngineLoad) -> bool:
            upstream = self.upstreams[load.engine_id]
            if not upstream.usable(now_s):
                return False
            return load.prefill_only or (
                upstream.has_version(software_version)
                and upstream.endpoint.software_version not in held
            )

        found = self._ring().candidates(affinity, usable)
        restricted = software_version is not None or bool(held)
        if restricted and all(load.prefill_only for load in found):
            # A subset may lack a version that few engines have.
            found += [
                load
                for load in self._loads()
                if not load.prefill_only and usable(load)
            ]
        return found

    def new_load(
        self, endpoint: catalogue.Endpoint, cache_tokens: int
    ) -> placement.EngineLoad | None:
        """Return the load of a new engine, ``None`` for a plain endpoint."""
        if endpoint.role is None:
            return None
        return placement.EngineLoad(
            engine_id=endpoint.endpoint_id,
            failure_domain=endpoint.failure_domain,
            service=endpoint.service,
            role=endpoint.role,
            slots=endpoint.slots,
            software_version=endpoint.software_version,
            cache=placement.PartCache(cache_tokens),
            slot_times=self._slot_times,
            long_streams=self.long_streams,
            arrivals=self._arrivals,
            speed=placement.EngineSpeed(self._speed),
        )

    def _ring(self) -> placement.EngineRing:
        if self._engine_ring is None:
            loads = self._loads()
            self._engine_ring = placement.EngineRing(loads)
            self._arrivals.prefill_engines = sum(
                load.prefill_only for load in loads
            )
        return self._engine_ring

    def _loads(self) -> list[placement.EngineLoad]:
        return [
            upstream.load
            for upstream in self.upstreams.values()
            if upstream.load is not None
        ]
