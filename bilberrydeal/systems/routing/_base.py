"""What every router does."""

import collections.abc
import random
import typing

import attrs

from ... import registry
from .. import _entities
from .. import _tables
from . import _load
from . import _spread

#: A name of its own, for it is compared for each endpoint and request.
CLOSED = _entities.CircuitState.CLOSED


@attrs.frozen
class RouterOptions:
    """What a router needs to know of its process."""

    #: The failure domain that this process is in.
    failure_domain: str
    #: Seed of the random choices.
    seed: int = 0
    #: Prompt tokens in a block of :attr:`PendingRequest.blocks`.
    block_tokens: int = 64
    #: Blocks that an endpoint's prefix cache likely holds.
    cache_blocks: int = 4_096


class Router:
    """Gives waiting requests an endpoint.

    ``run`` assigns each row of ``PendingRequest`` without an endpoint; one
    for which no endpoint can be found stays without. The caller removes rows
    once they are sent, and calls ``finished`` when a request has ended.

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
        self.sharing = _load.Sharing()
        self.spread = _spread.Spread()

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Assign an endpoint to each request that waits for one."""
        endpoints = tables.of(_entities.EndpointView)
        for request in tables.of(_entities.PendingRequest):
            if not request.endpoint_id:
                self._assign(endpoints, request, now_s)

    def finished(
        self,
        tables: _tables.Tables,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> None:
        """Note that a request that had an endpoint has ended there."""
        views = tables.of(_entities.EndpointView)
        for name in (request.endpoint_id, request.prefill_endpoint_id):
            view = views.get(name)
            if view is not None:
                _load.finished(view)

    def reported(
        self,
        tables: _tables.Tables,
        endpoint_id: str,
        figures: _entities.LoadFigures,
        now_s: float,
    ) -> None:
        """Take an endpoint's load report."""
        view = tables.of(_entities.EndpointView).get(endpoint_id)
        if view is not None:
            self.sharing.take(view, figures)

    def cache_changed(
        self,
        endpoint_id: str,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Take an endpoint's cache events."""

    def cache_lost(self, endpoint_id: str) -> None:
        """Note that an endpoint has begun anew with an empty cache."""

    def load_s(self, view: _entities.EndpointView) -> float:
        """Return the delay by what is in flight, in seconds."""
        return _load.load_s(view, self.sharing.factor)

    def choose(
        self,
        candidates: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _entities.EndpointView:
        """Return one of the candidates, of which there is at least one."""
        raise NotImplementedError

    def _assign(
        self,
        endpoints: _tables.Table[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> None:
        service = request.service
        tried = request.tried
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
        request.expected_first_s = self.load_s(chosen)
        request.expected_first_s += _load.prefill_s(chosen, to_compute)
        request.weight_factor = self.spread.weight_factor(
            request.organisation, chosen.endpoint_id, len(candidates), now_s
        )
        _load.sent(chosen, now_s)


#: Routers by the names that settings use.
ROUTERS: registry.Registry[
    collections.abc.Callable[[RouterOptions], Router]
] = registry.Registry("router")
