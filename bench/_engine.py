"""Simulated engine with continuous batching and a prefix cache."""

import collections
import collections.abc
import heapq
import math
import typing

import attrs

from . import _clock


@attrs.frozen
class EngineRates:
    """Speed and capacity of an engine."""

    #: Time of an empty step, in seconds.
    step_s: float = 0.012
    #: Time that each decoding request adds to a step, in seconds.
    step_per_request_s: float = 0.0008
    #: Prompt tokens computed per second.
    prefill_tokens_per_s: float = 8_000.0
    #: Maximum number of prompt tokens computed in one step.
    chunk_tokens: int = 512
    #: Maximum number of requests in the batch.
    batch_limit: int = 16
    #: Capacity of the KV memory for the batch, in tokens.
    kv_tokens: int = 120_000
    #: Capacity of the prefix cache, in blocks.
    cache_blocks: int = 2_048
    #: Tokens in a block.
    block_tokens: int = 64

    def full_step_s(self) -> float:
        """Return the time of a step with a full batch, in seconds."""
        return self.step_s + self.batch_limit * self.step_per_request_s

    def decode_tokens_per_s(self) -> float:
        """Return the tokens that a full batch generates per second."""
        return self.batch_limit / self.full_step_s()


class JobListener(typing.Protocol):
    """Receives the events of a job, at their simulated time."""

    def first_token(self, job: "Job") -> None:
        """The prompt has been computed."""

    def ended(self, job: "Job") -> None:
        """All tokens have been generated."""

    def failed(self, job: "Job") -> None:
        """The engine was lost."""


@attrs.define(eq=False)
class Job:
    """One request submitted to an engine."""

    #: Identifier of the request.
    key: str
    #: Hash chain of the prompt's blocks.
    blocks: tuple[int, ...]
    #: Prompt tokens.
    prompt_tokens: int
    #: Tokens that will be generated.
    output_tokens: int
    #: Prompts with a lower value are computed first.
    priority: int
    #: Receives the events of the job.
    listener: JobListener
    #: Prompt tokens found in the prefix cache.
    cached_tokens: int = 0
    #: Prompt tokens still to be computed.
    prefill_left: int = 0
    #: Step that generates the last token; set when decoding starts.
    last_step: int = 0


class FakeEngine:
    """Batches continuously: each step prefills one chunk and decodes."""

    def __init__(
        self,
        clock: _clock.Clock,
        rates: EngineRates,
        on_token_gap: collections.abc.Callable[[float, int], None],
    ) -> None:
        self.rates = rates
        self.slow_factor = 1.0
        self.busy_s = 0.0
        self._clock = clock
        self._on_token_gap = on_token_gap
        self._waiting: collections.deque[Job] = collections.deque()
        self._prefilling: list[Job] = []
        self._decoding: list[tuple[int, int, Job]] = []
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._evicted: list[int] = []
        self._stored: list[int] = []
        self._kv_tokens = 0
        self._steps = 0
        self._decode_sequence = 0
        #: Identifier, start, step length and number of the steps scheduled
        #: as one run; consecutive steps that only decode form a single run.
        self._run_id = 0
        self._run_start_s = 0.0
        self._run_step_s = 0.0
        self._run_steps = 0

    def submit(self, job: Job) -> None:
        """Add a job."""
        self._waiting.append(job)
        if not self._run_steps:
            self._begin_run()
        elif self._run_steps > 1:
            self._shorten_run()

    def crash(self) -> None:
        """Fail all jobs and clear the cache."""
        jobs = [*self._waiting, *self._prefilling]
        jobs += [job for _, _, job in self._decoding]
        self._waiting.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._cache.clear()
        self._kv_tokens = 0
        self._run_id += 1
        self._run_steps = 0
        for job in jobs:
            job.listener.failed(job)

    def queued_prompt_tokens(self) -> int:
        """Return the prompt tokens that are not computed yet."""
        return sum(job.prefill_left for job in self._prefilling) + sum(
            job.prompt_tokens for job in self._waiting
        )

    def queued_output_tokens(self) -> int:
        """Return the tokens still to be generated."""
        decoding = sum(last_step for last_step, _, _ in self._decoding)
        decoding -= self._steps * len(self._decoding)
        return decoding + sum(
            job.output_tokens for job in (*self._prefilling, *self._waiting)
        )

    def cache_events(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the blocks stored and evicted since the last call."""
        events = tuple(self._stored), tuple(self._evicted)
        self._stored.clear()
        self._evicted.clear()
        return events

    def _begin_run(self) -> None:
        self._admit_waiting()
        decoding = len(self._decoding)
        chunk_tokens_computed = self._compute_chunk()
        if not decoding and not self._prefilling:
            return
        step_s = self.rates.step_s + decoding * self.rates.step_per_request_s
        step_s += chunk_tokens_computed / self.rates.prefill_tokens_per_s
        step_s *= self.slow_factor
        steps = 1
        if not self._prefilling:
            steps = max(1, self._decoding[0][0] - self._steps)
        self._run_id += 1
        self._run_start_s = self._clock.now_s
        self._run_step_s = step_s
        self._run_steps = steps
        self._schedule_run_end()

    def _schedule_run_end(self) -> None:
        run_id = self._run_id
        end_s = self._run_start_s + self._run_steps * self._run_step_s
        self._clock.call_at(end_s, lambda: self._end_run(run_id))

    def _shorten_run(self) -> None:
        """Shorten the current run so that it ends with the current step."""
        elapsed_s = self._clock.now_s - self._run_start_s
        completed = math.floor(elapsed_s / self._run_step_s) + 1
        if completed < self._run_steps:
            self._run_id += 1
            self._run_steps = completed
            self._schedule_run_end()

    def _end_run(self, run_id: int) -> None:
        if run_id != self._run_id:
            return
        steps = self._run_steps
        self._run_steps = 0
        self._steps += steps
        self.busy_s += steps * self._run_step_s
        if self._decoding:
            self._on_token_gap(self._run_step_s, steps * len(self._decoding))
        ended = []
        while self._decoding and self._decoding[0][0] <= self._steps:
            ended.append(heapq.heappop(self._decoding)[2])
        self._start_decoding()
        for job in ended:
            self._kv_tokens -= job.prompt_tokens + job.output_tokens
            job.listener.ended(job)
        if not self._run_steps:
            self._begin_run()

    def _admit_waiting(self) -> None:
        while self._waiting:
            job = self._waiting[0]
            required_tokens = job.prompt_tokens + job.output_tokens
            batch_size = len(self._prefilling) + len(self._decoding)
            kv_full = self._kv_tokens + required_tokens > self.rates.kv_tokens
            if batch_size >= self.rates.batch_limit or (
                batch_size and kv_full
            ):
                return
            self._waiting.popleft()
            self._kv_tokens += required_tokens
            job.cached_tokens = min(
                self._cached_prefix_tokens(job), job.prompt_tokens - 1
            )
            job.prefill_left = job.prompt_tokens - job.cached_tokens
            self._prefilling.append(job)
            self._prefilling.sort(key=lambda job: job.priority)

    def _compute_chunk(self) -> int:
        """Compute the prompt tokens of this step and return their number."""
        remaining = self.rates.chunk_tokens
        for job in self._prefilling:
            computed = min(remaining, job.prefill_left)
            job.prefill_left -= computed
            remaining -= computed
            if not remaining:
                break
        return self.rates.chunk_tokens - remaining

    def _start_decoding(self) -> None:
        completed = [job for job in self._prefilling if not job.prefill_left]
        for job in completed:
            self._prefilling.remove(job)
            self._store_blocks(job)
            self._decode_sequence += 1
            job.last_step = self._steps + job.output_tokens - 1
            heapq.heappush(
                self._decoding, (job.last_step, self._decode_sequence, job)
            )
            job.listener.first_token(job)

    def _cached_prefix_tokens(self, job: Job) -> int:
        blocks = 0
        for block in job.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            blocks += 1
        return blocks * self.rates.block_tokens

    def _store_blocks(self, job: Job) -> None:
        for block in job.blocks:
            if block not in self._cache:
                self._stored.append(block)
                self._cache[block] = None
        while len(self._cache) > self.rates.cache_blocks:
            self._evicted.append(self._cache.popitem(last=False)[0])
