"""Placer that prefills where prompt parts are cached."""

import math

from . import _base
from . import _entities
from . import _fetching
from . import _options
from . import _parts
from . import _slot_lending

#: Most requests at an engine per slot; those without a slot wait there in the
#: order of their ranks.
QUEUE_FACTOR = 2
#: The same limit for adding a deferred request.
DEFERRED_QUEUE_FACTOR = 1.25
#: Share of the slots of a decode engine that deferred requests may occupy;
#: more of them would delay requests that are not deferred.
DEFERRED_SLOTS_SHARE = 0.25
#: Share of the uncached shared tokens that the affinity engine is assumed to
#: have cached without this process knowing.
AFFINITY_CACHE_SHARE = 0.15
#: Cost of an engine whose slots are all busy, in seconds.
BUSY_SLOTS_PENALTY_S = 0.02
#: Cost of decoding in another failure domain than that of the gateway, in
#: seconds: as much as a quarter of an engine's slots being busy. The body of
#: the request then crosses domains, which costs far more than moving the KV
#: cache.
REMOTE_DECODE_PENALTY_S = 0.005
#: Share of the target within which the first token must be expected.
TARGET_SHARE = 0.85
#: Share of the time left within which the first token of a deferred request
#: must be expected; requests that arrive later will overtake it.
DEFERRED_DEADLINE_SHARE = 0.6
#: Shortest time after which a refused caller is told to retry, in seconds.
MIN_RETRY_AFTER_S = 0.05


@_base.PLACERS.register("two_stage")
class TwoStagePlacer:
    """Balances queue length against cached prompt parts at each engine.

    Long prompts are prefilled by the prefill engine that should have most of
    them cached, or by a decode engine if that is sooner. Rendezvous hashing
    sends requests that share a part to the same engine. A request that would
    miss its target is deferred: it waits behind those that can meet theirs.
    A request that would still miss its deadline is refused.
    """

    def place(
        self, request: _base.Request, engines: _base.Engines, now_s: float
    ) -> _base.Outcome:
        """Choose the next engine for a request."""
        if engines and not request.tried and not request.resumed:
            # The rest of a request has another target than its route.
            engines[0].long_streams.record_target(
                request.rank, request.target_s
            )
        options = self._options(request, engines, now_s)
        if not options:
            return _base.DeadlineUnreachable(MIN_RETRY_AFTER_S)
        limit_s = min(request.target_s * TARGET_SHARE, request.time_left_s)
        in_time = [
            option for option in options if option.expected_s <= limit_s
        ]
        if not in_time:
            return self._defer(request, options, engines)
        best = min(
            in_time, key=lambda option: _occupancy_cost_s(request, option)
        )
        return placement_at(best, best.expected_s, deferred=False)

    def _defer(
        self,
        request: _base.Request,
        options: list[_options.Option],
        engines: _base.Engines,
    ) -> _base.Outcome:
        """Place a late request behind those that can meet their targets.

        It waits at a prefill engine if possible: a queue of long prompts at a
        decode engine would slow down the decoding of many others.
        """
        separate_options = [
            option for option in options if option.separate_decode
        ]
        best = _best_deferred(request, separate_options or options)
        late_s = (
            best.deferred_s - request.time_left_s * DEFERRED_DEADLINE_SHARE
        )
        if late_s > 0.0:
            retry_s = max(late_s, MIN_RETRY_AFTER_S)
            return _base.DeadlineUnreachable(retry_s, best.deferred_s)
        if not _may_defer(request, best.engine, engines):
            # By then the requests deferred earlier have been served.
            return _base.DeadlineUnreachable(best.deferred_s, best.deferred_s)
        return placement_at(best, best.deferred_s, deferred=True)

    def decode_engine(
        self, request: _base.Request, prefilled_at: str, engines: _base.Engines
    ) -> str | None:
        """Return the decode engine with the least load.

        The body of the request is sent to it from this gateway, so one in the
        gateway's own failure domain is preferred wherever it was prefilled.
        """
        available = [
            engine
            for engine in _base.untried_decode_engines(request, engines)
            if engine.requests < engine.slots * QUEUE_FACTOR
        ]
        available = _slot_lending.preferred(
            request.rank,
            available,
            [engine for engine in engines if not engine.prefill_only],
        )
        if not available:
            return None

        def cost(engine: _entities.EngineLoad) -> float:
            waits_s = engine.prefill_wait_s
            share = engine.requests / engine.slots
            remote = engine.failure_domain != request.failure_domain
            return (
                waits_s
                + share * BUSY_SLOTS_PENALTY_S
                + remote * REMOTE_DECODE_PENALTY_S
            )

        return min(available, key=cost).engine_id

    def _uncached_tokens(
        self,
        prompt: _parts.Prompt,
        engine: _entities.EngineLoad,
        has_affinity: bool,
    ) -> float:
        """Return the number of prompt tokens that an engine has to prefill."""
        cached = float(engine.cache.cached_tokens(prompt))
        if has_affinity:
            cached += (
                max(prompt.shared_tokens - cached, 0.0) * AFFINITY_CACHE_SHARE
            )
        return max(prompt.tokens - cached, 1.0)

    def _options(
        self, request: _base.Request, engines: _base.Engines, now_s: float
    ) -> list[_options.Option]:
        available = [
            engine
            for engine in engines
            if engine.engine_id not in request.tried
            and engine.requests < engine.slots * QUEUE_FACTOR
            and (request.may_separate or not engine.prefill_only)
        ]
        eligible = _options.eligible(request, available, engines)
        if not eligible:
            return []
        affinity_id = _options.affinity_engine(request.prompt, eligible)
        sources = _fetching.FetchSources(request.prompt, engines)
        decode_wait = _options.slot_wait(
            request,
            _slot_lending.queueing(
                request.rank,
                [engine for engine in available if not engine.prefill_only],
                [engine for engine in engines if not engine.prefill_only],
            ),
        )
        left_share = _options.deferred_share(engines, now_s)
        options = []
        for engine in eligible:
            uncached = self._uncached_tokens(
                request.prompt, engine, engine.engine_id == affinity_id
            )
            fetch = sources.best_for(engine, request.prompt.tokens - uncached)
            if fetch is not None:
                uncached = max(uncached - fetch.tokens, 1.0)
            options.append(
                _options.evaluate_option(
                    request,
                    engine,
                    decode_wait,
                    uncached,
                    fetch,
                    left_share,
                    now_s,
                )
            )
        return options


def _occupancy_cost_s(
    request: _base.Request, option: _options.Option
) -> float:
    """Return the cost of an option, for long streams with its busy slots.

    The short prompts of long streams cost the same everywhere. Without the
    busy slots, gateways would send them all to one engine until it is full.
    """
    engine = option.engine
    if not engine.long_streams.is_long(request.rank):
        return option.cost_s
    share = engine.requests / engine.slots
    return option.cost_s + share * BUSY_SLOTS_PENALTY_S


def _best_deferred(
    request: _base.Request, options: list[_options.Option]
) -> _options.Option:
    """Return the option for a request that will miss its target.

    It costs least among those that are in time for the caller.
    """
    limit_s = request.time_left_s * DEFERRED_DEADLINE_SHARE
    in_time = [option for option in options if option.deferred_s <= limit_s]
    if in_time:
        return min(in_time, key=lambda option: option.deferred_cost_s)
    return min(options, key=lambda option: option.deferred_s)


def _may_defer(
    request: _base.Request,
    chosen: _entities.EngineLoad,
    engines: _base.Engines,
) -> bool:
    """Return whether a request may be deferred.

    Short prompts delay no prefill, and refusing a request that was already
    started would lose its work.
    """
    if (
        request.may_have_run
        or request.prompt.tokens < _options.SHORT_PROMPT_TOKENS
    ):
        return True
    return _has_deferred_capacity(request, chosen, engines)


def _has_deferred_capacity(
    request: _base.Request,
    chosen: _entities.EngineLoad,
    engines: _base.Engines,
) -> bool:
    """Return whether another deferred request leaves enough free slots."""
    shares = [
        engine.deferred_requests(request.rank) / engine.slots
        for engine in engines
        if not engine.prefill_only
    ]
    return (
        chosen.requests < chosen.slots * DEFERRED_QUEUE_FACTOR
        and min(shares, default=math.inf) < DEFERRED_SLOTS_SHARE
    )


def placement_at(
    option: _options.Option, expected_s: float, deferred: bool
) -> _base.Placement:
    """Return the placement for an option."""
    work_tokens = option.work_tokens
    if deferred:
        work_tokens = option.engine.waiting_tokens + option.uncached_tokens
    return _base.Placement(
        engine_id=option.engine.engine_id,
        separate_decode=option.separate_decode,
        uncached_tokens=option.uncached_tokens,
        expected_s=expected_s,
        prefill_s=option.prefill_s,
        work_tokens=work_tokens,
        slot_wait_s=option.slot_wait_s,
        fetch_from=option.fetch.source_id if option.fetch else None,
        deferred=deferred,
    )
