"""Continuous batching at token level, without I/O or a clock.

Each step spends a budget of prefill tokens on requests in order of priority
and arrival, and generates one token for each request whose prefill is done.
"""

import itertools

import attrs

from bilberrydeal import ports
from bilberrydeal import prefixes

from . import _cache
from . import _text


@attrs.frozen
class Rates:
    """How fast an engine works."""

    #: Time of an empty step.
    step_s: float = 0.004
    #: Time that each prefill token adds to its step.
    prefill_token_s: float = 0.00002
    #: Time that each generated token adds to its step.
    decode_token_s: float = 0.0001
    #: Prefill tokens in one step, of an engine with both roles.
    prefill_budget: int = 256
    #: Requests that are worked on at once.
    running_limit: int = 32
    #: Blocks that the prefix cache holds.
    cache_blocks: int = 4096
    #: How late cache events are shown.
    event_delay_s: float = 0.5


#: Factor on the prefill budget of each role.
_BUDGET_FACTOR = {
    ports.EngineRole.PREFILL: 4.0,
    ports.EngineRole.BOTH: 1.0,
    ports.EngineRole.DECODE: 0.25,
}


@attrs.define(eq=False)
class Running:
    """One request from its admission to its end."""

    request: ports.EngineRequest
    arrived_s: float
    prompt_tokens: int
    hashes: tuple[int, ...]
    #: Prompt tokens found in the cache; set when work begins.
    cached_tokens: int = 0
    #: Prompt tokens still to be computed.
    prefill_left: int = 0
    #: Whether work has begun.
    admitted: bool = False
    #: Words generated.
    output: list[str] = attrs.field(factory=list)
    #: Set when it has ended.
    finish_reason: str = ""
    #: Words still to come.
    source: "itertools.chain[str]" = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.source = itertools.chain(_text.words(self.request.prompt))

    @property
    def order(self) -> tuple[int, float]:
        """Return what waiting requests are sorted by."""
        return self.request.priority, self.arrived_s


class Batch:
    """All requests of one engine.

    Example::

        batch = Batch(Rates())
        batch.submit(request, now_s=0.0)
        duration_s, changed = batch.step(ports.EngineRole.BOTH, now_s=0.0)
    """

    def __init__(self, rates: Rates) -> None:
        self.rates = rates
        self.cache = _cache.PrefixCache(
            rates.cache_blocks, rates.event_delay_s
        )
        self.waiting: list[Running] = []
        self.running: list[Running] = []
        self._imported: set[int] = set()

    def submit(self, request: ports.EngineRequest, now_s: float) -> Running:
        """Queue a request."""
        item = Running(
            request=request,
            arrived_s=now_s,
            prompt_tokens=prefixes.estimate_tokens(request.prompt),
            hashes=prefixes.block_hashes(request.prompt),
        )
        self.waiting.append(item)
        self.waiting.sort(key=lambda item: item.order)
        return item

    def end(self, item: Running, reason: str) -> None:
        """End a request early."""
        item.finish_reason = item.finish_reason or reason
        self.waiting = [other for other in self.waiting if other is not item]
        self.running = [other for other in self.running if other is not item]

    def step(
        self, role: ports.EngineRole, now_s: float
    ) -> tuple[float, list[Running]]:
        """Work one step; return its time and the requests it changed."""
        self._admit()
        changed = [item for item in self.running if not item.prefill_left]
        budget = int(self.rates.prefill_budget * _BUDGET_FACTOR[role])
        spent = self._prefill(budget, now_s)
        for item in changed:
            self._decode(item)
        for item in changed:
            if item.finish_reason:
                self.running.remove(item)
        duration_s = (
            self.rates.step_s
            + spent * self.rates.prefill_token_s
            + len(changed) * self.rates.decode_token_s
        )
        return duration_s, changed

    def queued_prompt_tokens(self) -> int:
        """Return the prompt tokens that wait to be computed."""
        return sum(item.prompt_tokens for item in self.waiting) + sum(
            item.prefill_left for item in self.running
        )

    def _admit(self) -> None:
        free = self.rates.running_limit - len(self.running)
        for item in self.waiting[:free]:
            held = self.cache.held(item.hashes) * prefixes.BLOCK_TOKENS
            if item.request.kv_handle:
                held = item.prompt_tokens
            item.cached_tokens = min(held, item.prompt_tokens)
            item.prefill_left = item.prompt_tokens - item.cached_tokens
            item.admitted = True
            self.running.append(item)
        del self.waiting[:free]

    def _prefill(self, budget: int, now_s: float) -> int:
        left = budget
        for item in sorted(self.running, key=lambda item: item.order):
            if not item.prefill_left:
                continue
            part = min(left, item.prefill_left)
            item.prefill_left -= part
            left -= part
            if not item.prefill_left:
                self.cache.store(item.hashes, now_s)
            if not left:
                break
        return budget - left

    def _decode(self, item: Running) -> None:
        request = item.request
        stop = _text.stop_after(request.prompt)
        if len(item.output) < request.max_tokens:
            item.output.append(next(item.source))
        if stop is not None and len(item.output) >= stop:
            item.finish_reason = "stop"
        elif len(item.output) >= request.max_tokens:
            item.finish_reason = "length"
