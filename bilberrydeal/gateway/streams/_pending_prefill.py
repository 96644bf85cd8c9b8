"""Counts requests in the load of engines, and learns from their times."""

import collections.abc
import contextlib

from ...systems import placement
from .. import cluster_state
from .. import core

Clock = collections.abc.Callable[[], float]


class PendingPrefill:
    """A prefill, or the transfer of its result, that an engine works on."""

    def __init__(
        self,
        load: placement.EngineLoad,
        placed: placement.Placement,
        prompt_tokens: int,
        clock: Clock,
    ) -> None:
        self._load = load
        self._placed = placed
        self._prompt_tokens = prompt_tokens
        self._clock = clock
        self._slot_free = load.requests < load.slots
        self._prefill = placement.OutstandingPrefill(
            placed.uncached_tokens,
            placed.work_tokens,
            placed.deferred,
            clock(),
        )
        if placed.work_tokens:
            load.start_prefill(self._prefill)

    @property
    def _known_queue(self) -> bool:
        """Return whether it is known what the engine works on before.

        Requests that come later overtake a deferred one that has to wait, and
        those that decode occupy slots for long.
        """
        if self._placed.deferred:
            return self._placed.work_tokens <= self._placed.uncached_tokens
        return self._slot_free or self._load.prefill_only

    def finished(self, sent_s: float) -> None:
        """Remove the prefill and learn from the time that it took."""
        if self._prefill not in self._load.outstanding:
            return
        self._load.end_prefill(self._prefill)
        now_s = self._clock()
        if self._known_queue:
            self._load.record_prefill(self._prefill, now_s - sent_s, now_s)

    def transferred(self, sent_s: float) -> None:
        """Learn from the time that a transfer took."""
        if self._slot_free and not self._placed.deferred:
            self._load.speed.record_transfer(
                self._prompt_tokens, self._clock() - sent_s
            )

    def abandoned(self) -> None:
        """Remove the prefill unless it is finished."""
        if self._prefill not in self._load.outstanding:
            return
        now_s = self._clock()
        waited_s = now_s - self._prefill.sent_s
        self._load.end_prefill(self._prefill)
        if self._known_queue:
            self._load.record_unfinished(self._prefill, waited_s, now_s)


@contextlib.contextmanager
def tracked(
    upstream: cluster_state.Upstream,
    placed: placement.Placement,
    admitted: core.AdmittedRequest,
    progress: core.RequestProgress,
    clock: Clock,
) -> collections.abc.Iterator[PendingPrefill]:
    """Count a request in the engine's load while it is there."""
    load = upstream.load
    assert load is not None
    progress.tried.append(upstream.endpoint.endpoint_id)
    prompt = admitted.prompt or core.NO_PROMPT
    load.record_prompt(prompt)
    rank = placement.engine_rank(admitted.priority, placed.deferred)
    pending = PendingPrefill(load, placed, prompt.tokens, clock)
    load.own_counts.add(rank, 1)
    try:
        yield pending
    finally:
        pending.abandoned()
        load.own_counts.add(rank, -1)
