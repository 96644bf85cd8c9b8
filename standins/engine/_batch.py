"""Model of continuous batching at token level, without I/O or a clock.

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
    """Speed and capacity of an engine."""

    #: Duration of an empty step, in seconds.
    step_s: float = 0.004
    #: Time that each prefill token adds to a step, in seconds.
    prefill_token_s: float = 0.00002
    #: Time that each generated token adds to a step, in seconds.
    decode_token_s: float = 0.0001
    #: Prefill tokens per step for an engine with both roles.
    prefill_budget: int = 256
    #: Maximum number of concurrently running requests.
    running_limit: int = 32
    #: Capacity of the prefix cache, in blocks.
    cache_blocks: int = 4096
    #: Delay before cache events become visible, in seconds.
    event_delay_s: float = 0.5


#: Factor that each role applies to the prefill budget.
_PREFILL_BUDGET_FACTOR = {
    ports.EngineRole.PREFILL: 4.0,
    ports.EngineRole.BOTH: 1.0,
    ports.EngineRole.DECODE: 0.25,
}


@attrs.define(eq=False)
class Running:
    """A request from submission to completion."""

    request: ports.EngineRequest
    arrived_s: float
    prompt_tokens: int
    hashes: tuple[int, ...]
    #: Prompt tokens found in the cache; set on admission.
    cached_tokens: int = 0
    #: Prompt tokens that are not yet prefilled.
    prefill_left: int = 0
    #: Whether the request was moved from waiting to running.
    admitted: bool = False
    #: Generated words, one per token.
    output: list[str] = attrs.field(factory=list)
    #: Why the request finished; empty until then.
    finish_reason: str = ""
    #: Words that are not yet generated.
    pending_words: "itertools.chain[str]" = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.pending_words = itertools.chain(_text.words(self.request.prompt))

    @property
    def sort_key(self) -> tuple[int, float]:
        """Return the key by which requests are scheduled."""
        return self.request.priority, self.arrived_s


class Batch:
    """Schedules all requests of one engine.

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
        """Add a request to the waiting queue."""
        item = Running(
            request=request,
            arrived_s=now_s,
            prompt_tokens=prefixes.estimate_tokens(request.prompt),
            hashes=prefixes.block_hashes(request.prompt),
        )
        self.waiting.append(item)
        self.waiting.sort(key=lambda item: item.sort_key)
        return item

    def finish(self, item: Running, reason: str) -> None:
        """Finish a request before its last token."""
        item.finish_reason = item.finish_reason or reason
        self.waiting = [other for other in self.waiting if other is not item]
        self.running = [other for other in self.running if other is not item]

    def step(
        self, role: ports.EngineRole, now_s: float
    ) -> tuple[float, list[Running]]:
        """Run one step; return its duration and the requests that decoded."""
        self._admit()
        changed = [item for item in self.running if not item.prefill_left]
        budget = int(self.rates.prefill_budget * _PREFILL_BUDGET_FACTOR[role])
        prefilled = self._prefill(budget, now_s)
        for item in changed:
            self._decode(item)
        for item in changed:
            if item.finish_reason:
                self.running.remove(item)
        duration_s = (
            self.rates.step_s
            + prefilled * self.rates.prefill_token_s
            + len(changed) * self.rates.decode_token_s
        )
        return duration_s, changed

    def queued_prompt_tokens(self) -> int:
        """Return the number of prompt tokens that are not yet prefilled."""
        return sum(item.prompt_tokens for item in self.waiting) + sum(
            item.prefill_left for item in self.running
        )

    def _admit(self) -> None:
        free_slots = self.rates.running_limit - len(self.running)
        for item in self.waiting[:free_slots]:
            cached_tokens = (
                self.cache.match_prefix(item.hashes) * prefixes.BLOCK_TOKENS
            )
            if item.request.kv_handle:
                cached_tokens = item.prompt_tokens
            item.cached_tokens = min(cached_tokens, item.prompt_tokens)
            item.prefill_left = item.prompt_tokens - item.cached_tokens
            item.admitted = True
            self.running.append(item)
        del self.waiting[:free_slots]

    def _prefill(self, budget: int, now_s: float) -> int:
        remaining = budget
        for item in sorted(self.running, key=lambda item: item.sort_key):
            if not item.prefill_left:
                continue
            tokens = min(remaining, item.prefill_left)
            item.prefill_left -= tokens
            remaining -= tokens
            if not item.prefill_left:
                self.cache.store(item.hashes, now_s)
            if not remaining:
                break
        return budget - remaining

    def _decode(self, item: Running) -> None:
        request = item.request
        stop = _text.stop_after(request.prompt)
        if len(item.output) < request.max_tokens:
            item.output.append(next(item.pending_words))
        if stop is not None and len(item.output) >= stop:
            item.finish_reason = "stop"
        elif len(item.output) >= request.max_tokens:
            item.finish_reason = "length"
