"""The base class of routers."""

import collections.abc
import random
import typing

import attrs

from ... import registry
from .. import _entities
from .. import _tables
from . import _load
from . import _weight_distribution

#: Module-level alias, as it is compared for each endpoint and request.
CLOSED = _entities.CircuitState.CLOSED


@attrs.frozen
class RouterOptions:
    """Properties of the process that routes."""

    #: Failure domain of this process.
    failure_domain: str
    #: Seed of the random choices.
    seed: int = 0
    #: Prompt tokens per block of :attr:`PendingRequest.blocks`.
    block_tokens: int = 64
    #: Expected capacity of an endpoint's prefix cache, in blocks.
    cache_blocks: int = 4_096


class Router:
    """Assigns endpoints to pending requests.

    ``run`` assigns an endpoint to each row of ``PendingRequest`` without one,
    unless no endpoint is available. The caller removes rows once they are
    sent, and calls ``record_end`` when a request has ended.

    Example::

        router = ROUTERS.get("prefix_bounded")(RouterOptions("domain1"))
        tables.of(PendingRequest).put(request)
        router.run(tables, now_s)
        if not request.endpoint_id:
            ...  # refuse as not run
    """

    reads: typing.ClassVar[tuple[type, ...]] = (_entities.EndpointView,)
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.PendingRequest,)

    def __init__(self, options: RouterOptions) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet_load_ratio = _load.FleetLoadRatio()
        self.weight_distribution = _weight_distribution.WeightDistribution()

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Assign an endpoint to each request without one."""
        endpoints = tables.of(_entities.EndpointView)
        for request in tables.of(_entities.PendingRequest):
            if not request.endpoint_id:
                self._assign(endpoints, request, now_s)

    def record_end(
        self,
        tables: _tables.Tables,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> None:
        """Record that a request has ended at its endpoints."""
        views = tables.of(_entities.EndpointView)
        for name in (request.endpoint_id, request.prefill_endpoint_id):
            view = views.get(name)
            if view is not None:
                _load.finished(view)

    def record_load_report(
        self,
        tables: _tables.Tables,
        endpoint_id: str,
        load: _entities.EndpointLoad,
        now_s: float,
    ) -> None:
        """Apply an endpoint's load report."""
        view = tables.of(_entities.EndpointView).get(endpoint_id)
        if view is not None:
            self.fleet_load_ratio.record_report(view, load)

    def record_cache_events(
        self,
        endpoint_id: str,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Apply an endpoint's cache events."""

    def reset_cache(self, endpoint_id: str) -> None:
        """Record that an endpoint has restarted with an empty cache."""

    def load_s(self, view: _entities.EndpointView) -> float:
        """Return the delay caused by requests in flight, in seconds."""
        return _load.load_s(view, self.fleet_load_ratio.ratio)

    def choose(
        self,
        candidates: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _entities.EndpointView:
        """Return one of the candidates, which are not empty."""
        raise NotImplementedError

    def _assign(
        self,
        endpoints: _tables.Table[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> None:
        service = request.service
        tried = request.tried_endpoint_ids
        candidates = [
            view
            for view in endpoints
            if view.accepting
            and view.service == service
            and (view.circuit is CLOSED or view.available)
            and view.endpoint_id not in tried
        ]
        if not candidates:
            return
        chosen = self.choose(candidates, request, now_s)
        request.endpoint_id = chosen.endpoint_id
        to_compute = request.prompt_tokens - request.cached_tokens
        request.expected_ttft_s = self.load_s(chosen)
        request.expected_ttft_s += _load.prefill_s(chosen, to_compute)
        request.weight_factor = self.weight_distribution.weight_factor(
            request.organisation, chosen.endpoint_id, len(candidates), now_s
        )
        _load.sent(chosen, now_s)


#: Routers by their names in settings.
ROUTERS: registry.Registry[
    collections.abc.Callable[[RouterOptions], Router]
] = registry.Registry("router")
