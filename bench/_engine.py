"""A fake engine: a few rates, a batch and a prefix cache."""

import collections
import collections.abc
import heapq
import math
import typing

import attrs

from . import _clock


@attrs.frozen
class EngineRates:
    """How fast an engine is and how much it holds."""

    #: Time of a step that does nothing, in seconds.
    step_s: float = 0.012
    #: Added to a step for each request that decodes, in seconds.
    step_per_request_s: float = 0.0008
    #: Prompt tokens computed a second.
    prefill_tokens_per_s: float = 8_000.0
    #: Prompt tokens computed in one step at most.
    chunk_tokens: int = 512
    #: Requests in the batch.
    batch_limit: int = 16
    #: Tokens that the KV memory holds for the batch.
    kv_tokens: int = 120_000
    #: Blocks that the prefix cache holds.
    cache_blocks: int = 2_048
    #: Tokens in a block.
    block_tokens: int = 64

    def full_step_s(self) -> float:
        """Return the time of a step with a full batch, in seconds."""
        return self.step_s + self.batch_limit * self.step_per_request_s

    def decode_tokens_per_s(self) -> float:
        """Return the tokens generated a second by a full batch."""
        return self.batch_limit / self.full_step_s()


class Listener(typing.Protocol):
    """Hears of a job; called in the model's time."""

    def first_token(self, job: "Job") -> None:
        """The prompt has been computed."""

    def ended(self, job: "Job") -> None:
        """All tokens have been generated."""

    def failed(self, job: "Job") -> None:
        """The engine was lost."""


@attrs.define(eq=False)
class Job:
    """One request in an engine."""

    #: Number of the request.
    key: str
    #: Hash chain of its prompt.
    blocks: tuple[int, ...]
    #: Prompt tokens.
    prompt_tokens: int
    #: Tokens that it will generate.
    output_tokens: int
    #: Lower is computed first.
    priority: int
    #: Who hears of it.
    listener: Listener
    #: Prompt tokens found in the cache.
    cached_tokens: int = 0
    #: Prompt tokens still to be computed.
    prefill_left: int = 0
    #: Step at which its last token comes, once it decodes.
    last_step: int = 0


class FakeEngine:
    """Batches continuously: each step computes a chunk and decodes."""

    def __init__(
        self,
        clock: _clock.Clock,
        rates: EngineRates,
        gap: collections.abc.Callable[[float, int], None],
    ) -> None:
        self.rates = rates
        self.slow_factor = 1.0
        self.busy_s = 0.0
        self._clock = clock
        self._gap = gap
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
        self._count = 0
        #: Identity, start, length of a step and number of the steps under
        #: way; steps that only decode are taken together.
        self._run = 0
        self._run_start_s = 0.0
        self._run_step_s = 0.0
        self._run_steps = 0

    def submit(self, job: Job) -> None:
        """Add a job."""
        self._waiting.append(job)
        if not self._run_steps:
            self._begin()
        elif self._run_steps > 1:
            self._cut_short()

    def lose(self) -> None:
        """Fail all jobs and forget the cache."""
        jobs = [*self._waiting, *self._prefilling]
        jobs += [job for _, _, job in self._decoding]
        self._waiting.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._cache.clear()
        self._kv_tokens = 0
        self._run += 1
        self._run_steps = 0
        for job in jobs:
            job.listener.failed(job)

    def queued_prompt_tokens(self) -> int:
        """Return the prompt tokens that are not computed yet."""
        return sum(j.prefill_left for j in self._prefilling) + sum(
            j.prompt_tokens for j in self._waiting
        )

    def queued_output_tokens(self) -> int:
        """Return the tokens still to be generated."""
        decoding = sum(last for last, _, _ in self._decoding)
        decoding -= self._steps * len(self._decoding)
        return decoding + sum(
            j.output_tokens for j in (*self._prefilling, *self._waiting)
        )

    def cache_events(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the blocks stored and evicted since the last call."""
        events = tuple(self._stored), tuple(self._evicted)
        self._stored.clear()
        self._evicted.clear()
        return events

    def _begin(self) -> None:
        self._admit()
        decoding = len(self._decoding)
        chunk = self._chunk()
        if not decoding and not self._prefilling:
            return
        step_s = self.rates.step_s + decoding * self.rates.step_per_request_s
        step_s += chunk / self.rates.prefill_tokens_per_s
        step_s *= self.slow_factor
        steps = 1
        if not self._prefilling:
            steps = max(1, self._decoding[0][0] - self._steps)
        self._run += 1
        self._run_start_s = self._clock.now_s
        self._run_step_s = step_s
        self._run_steps = steps
        self._end_later()

    def _end_later(self) -> None:
        run = self._run
        end_s = self._run_start_s + self._run_steps * self._run_step_s
        self._clock.at(end_s, lambda: self._end(run))

    def _cut_short(self) -> None:
        """End steps that were taken together after the one under way."""
        passed_s = self._clock.now_s - self._run_start_s
        done = math.floor(passed_s / self._run_step_s) + 1
        if done < self._run_steps:
            self._run += 1
            self._run_steps = done
            self._end_later()

    def _end(self, run: int) -> None:
        if run != self._run:
            return
        steps = self._run_steps
        self._run_steps = 0
        self._steps += steps
        self.busy_s += steps * self._run_step_s
        if self._decoding:
            self._gap(self._run_step_s, steps * len(self._decoding))
        ended = []
        while self._decoding and self._decoding[0][0] <= self._steps:
            ended.append(heapq.heappop(self._decoding)[2])
        self._start_decoding()
        for job in ended:
            self._kv_tokens -= job.prompt_tokens + job.output_tokens
            job.listener.ended(job)
        if not self._run_steps:
            self._begin()

    def _admit(self) -> None:
        while self._waiting:
            job = self._waiting[0]
            need = job.prompt_tokens + job.output_tokens
            batch = len(self._prefilling) + len(self._decoding)
            full = self._kv_tokens + need > self.rates.kv_tokens
            if batch >= self.rates.batch_limit or (batch and full):
                return
            self._waiting.popleft()
            self._kv_tokens += need
            job.cached_tokens = min(self._hit(job), job.prompt_tokens - 1)
            job.prefill_left = job.prompt_tokens - job.cached_tokens
            self._prefilling.append(job)
            self._prefilling.sort(key=lambda j: j.priority)

    def _chunk(self) -> int:
        """Compute prompt tokens of this step and return how many."""
        left = self.rates.chunk_tokens
        for job in self._prefilling:
            part = min(left, job.prefill_left)
            job.prefill_left -= part
            left -= part
            if not left:
                break
        return self.rates.chunk_tokens - left

    def _start_decoding(self) -> None:
        done = [job for job in self._prefilling if not job.prefill_left]
        for job in done:
            self._prefilling.remove(job)
            self._store(job)
            self._count += 1
            job.last_step = self._steps + job.output_tokens - 1
            heapq.heappush(self._decoding, (job.last_step, self._count, job))
            job.listener.first_token(job)

    def _hit(self, job: Job) -> int:
        blocks = 0
        for block in job.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            blocks += 1
        return blocks * self.rates.block_tokens

    def _store(self, job: Job) -> None:
        for block in job.blocks:
            if block not in self._cache:
                self._stored.append(block)
                self._cache[block] = None
        while len(self._cache) > self.rates.cache_blocks:
            self._evicted.append(self._cache.popitem(last=False)[0])
