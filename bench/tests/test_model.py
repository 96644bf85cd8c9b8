import attrs
import pytest

from bench import _clock
from bench import _engine
from bench import _experiments
from bench import _request_path
from bench import _summary

RATES = _engine.EngineRates()


@attrs.define
class Hearing:
    clock: _clock.Clock
    first_s: dict[str, float] = attrs.field(factory=dict)
    ended_s: dict[str, float] = attrs.field(factory=dict)
    lost: list[str] = attrs.field(factory=list)

    def first_token(self, job: _engine.Job) -> None:
        self.first_s[job.key] = self.clock.now_s

    def ended(self, job: _engine.Job) -> None:
        self.ended_s[job.key] = self.clock.now_s

    def failed(self, job: _engine.Job) -> None:
        self.lost.append(job.key)


@pytest.fixture
def heard() -> Hearing:
    return Hearing(_clock.Clock())


def engine(heard: Hearing) -> _engine.FakeEngine:
    return _engine.FakeEngine(heard.clock, RATES, lambda gap_s, tokens: None)


def job(heard: Hearing, key: str, blocks: int = 0) -> _engine.Job:
    prompt_tokens = blocks * RATES.block_tokens + 100
    return _engine.Job(key, tuple(range(blocks)), prompt_tokens, 20, 0, heard)


def test_a_cached_prompt_is_faster(heard: Hearing) -> None:
    one = engine(heard)
    one.submit(job(heard, "cold", 32))
    heard.clock.run(10.0)
    one.submit(job(heard, "warm", 32))
    heard.clock.run(20.0)
    cold_s = heard.first_s["cold"]
    warm_s = heard.first_s["warm"] - 10.0
    saved_s = 32 * RATES.block_tokens / RATES.prefill_tokens_per_s
    assert cold_s - warm_s == pytest.approx(
        saved_s + 4 * RATES.step_s, abs=RATES.step_s
    )


def test_a_batch_is_slower_for_each_but_faster_in_all(heard: Hearing) -> None:
    alone = engine(heard)
    alone.submit(job(heard, "alone"))
    together = engine(heard)
    for number in range(8):
        together.submit(job(heard, str(number)))
    heard.clock.run(60.0)
    last_s = max(heard.ended_s.values())
    assert heard.ended_s["alone"] < last_s < 8 * heard.ended_s["alone"]


def test_a_job_that_comes_later_joins_the_batch(heard: Hearing) -> None:
    one = engine(heard)
    one.submit(job(heard, "first"))
    heard.clock.run(0.1)
    one.submit(job(heard, "second"))
    heard.clock.run(60.0)
    assert heard.first_s["second"] < heard.ended_s["first"]


def test_a_lost_engine_fails_its_jobs(heard: Hearing) -> None:
    one = engine(heard)
    one.submit(job(heard, "a"))
    heard.clock.run(0.1)
    one.lose()
    heard.clock.run(60.0)
    assert heard.lost == ["a"]
    assert heard.ended_s == {}


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
    shares = _request_path.fair_shares(offered, weights, capacity)
    assert shares == pytest.approx(expected)


def test_a_missed_target_is_said() -> None:
    case = _experiments.Case("x", "small", "calm", "ours", 1)
    figures = (_experiments.Figure("goodput", 0.9),)
    measured = [_experiments.Measured(case, figures)]
    targets = (
        _experiments.Target("", "ours", "goodput", 0.95),
        _experiments.Target("calm", "ours", "goodput", 0.95, at_most=True),
    )
    lines = _summary.verdicts(measured, targets)
    assert [line.split(":")[0] for line in lines] == ["MISSED", "met"]
