"""Tests of the simulated engine, the fair shares and the target results."""

import attrs
import pytest

from bench import _clock
from bench import _engine
from bench import _experiments
from bench import _request_path
from bench import _summary

RATES = _engine.EngineRates()


@attrs.define
class RecordingListener:
    clock: _clock.Clock
    first_token_at_s: dict[str, float] = attrs.field(factory=dict)
    ended_at_s: dict[str, float] = attrs.field(factory=dict)
    failed_jobs: list[str] = attrs.field(factory=list)

    def first_token(self, job: _engine.Job) -> None:
        self.first_token_at_s[job.key] = self.clock.now_s

    def ended(self, job: _engine.Job) -> None:
        self.ended_at_s[job.key] = self.clock.now_s

    def failed(self, job: _engine.Job) -> None:
        self.failed_jobs.append(job.key)


@pytest.fixture
def listener() -> RecordingListener:
    return RecordingListener(_clock.Clock())


def engine(listener: RecordingListener) -> _engine.FakeEngine:
    return _engine.FakeEngine(
        listener.clock, RATES, lambda gap_s, tokens: None
    )


def job(listener: RecordingListener, key: str, blocks: int = 0) -> _engine.Job:
    prompt_tokens = blocks * RATES.block_tokens + 100
    return _engine.Job(
        key, tuple(range(blocks)), prompt_tokens, 20, 0, listener
    )


def test_a_cached_prompt_is_faster(listener: RecordingListener) -> None:
    """Guards against a prefix cache that saves no prefill time."""
    simulated = engine(listener)
    simulated.submit(job(listener, "cold", 32))
    listener.clock.run(10.0)
    simulated.submit(job(listener, "warm", 32))
    listener.clock.run(20.0)
    cold_s = listener.first_token_at_s["cold"]
    warm_s = listener.first_token_at_s["warm"] - 10.0
    saved_s = 32 * RATES.block_tokens / RATES.prefill_tokens_per_s
    assert cold_s - warm_s == pytest.approx(
        saved_s + 4 * RATES.step_s, abs=RATES.step_s
    )


def test_a_batch_slows_each_job_but_raises_throughput(
    listener: RecordingListener,
) -> None:
    """Guards against a batch without cost per request, or without gain."""
    alone = engine(listener)
    alone.submit(job(listener, "alone"))
    together = engine(listener)
    for number in range(8):
        together.submit(job(listener, str(number)))
    listener.clock.run(60.0)
    last_s = max(listener.ended_at_s.values())
    assert (
        listener.ended_at_s["alone"]
        < last_s
        < 8 * listener.ended_at_s["alone"]
    )


def test_a_later_job_joins_the_running_batch(
    listener: RecordingListener,
) -> None:
    """Guards against a run of decode steps that delays new jobs to its end."""
    simulated = engine(listener)
    simulated.submit(job(listener, "first"))
    listener.clock.run(0.1)
    simulated.submit(job(listener, "second"))
    listener.clock.run(60.0)
    assert listener.first_token_at_s["second"] < listener.ended_at_s["first"]


def test_a_crashed_engine_fails_its_jobs(listener: RecordingListener) -> None:
    """Guards against jobs that end after their engine has crashed."""
    simulated = engine(listener)
    simulated.submit(job(listener, "a"))
    listener.clock.run(0.1)
    simulated.crash()
    listener.clock.run(60.0)
    assert listener.failed_jobs == ["a"]
    assert listener.ended_at_s == {}


@pytest.mark.parametrize(
    ("offered", "weights", "capacity", "expected"),
    [
        ([10.0, 10.0], (1.0, 1.0), 30.0, [10.0, 10.0]),
        ([90.0, 90.0], (1.0, 2.0), 30.0, [10.0, 20.0]),
        ([4.0, 90.0, 90.0], (1.0, 1.0, 1.0), 30.0, [4.0, 13.0, 13.0]),
    ],
)
def test_fair_shares(
    offered: list[float],
    weights: tuple[float, ...],
    capacity: float,
    expected: list[float],
) -> None:
    """Guards against shares that leave capacity unused or ignore weights."""
    shares = _request_path.fair_shares(offered, weights, capacity)
    assert shares == pytest.approx(expected)


def test_a_missed_target_is_reported() -> None:
    """Guards against a missed target that is reported as met."""
    case = _experiments.Case("x", "small", "calm", "ours", 1)
    figures = (_experiments.Figure("goodput", 0.9),)
    measurements = [_experiments.Measurement(case, figures)]
    targets = (
        _experiments.Target("", "ours", "goodput", 0.95),
        _experiments.Target("calm", "ours", "goodput", 0.95, at_most=True),
    )
    lines = _summary.target_results(measurements, targets)
    assert [line.split(":")[0] for line in lines] == ["MISSED", "met"]
