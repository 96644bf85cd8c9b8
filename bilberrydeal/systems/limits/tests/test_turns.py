"""A rate limit that processes share by turns."""

import math
import random

import pytest

from ... import limits

STEP_S = 0.05
SPAN_S = 4.0


class _Processes:
    """Processes that share one limit, each with a clock of its own."""

    def __init__(self, count: int, rate_per_s: float, seed: int = 1) -> None:
        self.random = random.Random(seed)
        names = tuple(f"p{number:03d}" for number in range(count))
        self.skews_s = [self.random.uniform(-50.0, 50.0) for _ in names]
        self.groups = [
            limits.ProcessGroup(name, names, -skew_s)
            for name, skew_s in zip(names, self.skews_s, strict=True)
        ]
        self.shares = [
            limits.TurnShare("endpoint", group) for group in self.groups
        ]
        self.set_rate(rate_per_s, 0.0)
        self.taken_s: list[float] = []

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Let all processes know another limit."""
        for share, skew_s in zip(self.shares, self.skews_s, strict=True):
            share.set_rate(rate_per_s, now_s + skew_s)

    def play(self, from_s: float, to_s: float, demand: float = 1.0) -> None:
        """Let a share of the processes take what they can in each step."""
        for step in range(int(from_s / STEP_S), int(to_s / STEP_S)):
            now_s = step * STEP_S
            for share, skew_s in zip(self.shares, self.skews_s, strict=True):
                if self.random.random() > demand:
                    continue
                while share.take(now_s + skew_s):
                    self.taken_s.append(now_s)


def _most_in_a_span(times_s: list[float]) -> int:
    return max(
        sum(begin_s <= each < begin_s + SPAN_S for each in times_s)
        for begin_s in times_s
    )


RATES = [0.0, 0.3, 1.0, 2.0, 11.7, 60.0]


@pytest.mark.parametrize("rate_per_s", RATES)
@pytest.mark.parametrize("count", [1, 2, 4, 31, 68])
@pytest.mark.parametrize("demand", [1.0, 0.01])
def test_processes_together_stay_within_the_rate_and_its_burst(
    count: int, rate_per_s: float, demand: float
) -> None:
    processes = _Processes(count, rate_per_s)
    processes.play(0.0, 90.0, demand)
    rate_per_s = max(rate_per_s, 0.1)
    most = rate_per_s * (SPAN_S + 1.0) + 2.0
    assert _most_in_a_span(processes.taken_s) <= most + 1e-6


@pytest.mark.parametrize("rate_per_s", RATES[1:])
@pytest.mark.parametrize("count", [1, 2, 4, 31, 68])
def test_most_of_a_rate_is_used_where_all_processes_need_it(
    count: int, rate_per_s: float
) -> None:
    processes = _Processes(count, rate_per_s)
    length_s = 120.0 / min(rate_per_s, 1.0)
    processes.play(0.0, length_s)
    assert len(processes.taken_s) >= 0.7 * rate_per_s * length_s


def test_every_process_gets_a_turn() -> None:
    processes = _Processes(31, 2.0)
    first_s = [math.inf] * 31
    for step in range(int(400.0 / STEP_S)):
        for number, share in enumerate(processes.shares):
            now_s = step * STEP_S
            if share.take(now_s + processes.skews_s[number]):
                first_s[number] = min(first_s[number], now_s)
    assert max(first_s) < 400.0


def test_nothing_is_sent_at_once_when_a_limit_begins() -> None:
    processes = _Processes(4, math.inf)
    processes.set_rate(2.0, 100.0)
    processes.play(100.0, 101.0)
    assert not processes.taken_s


@pytest.mark.parametrize("count", [4, 31])
def test_a_lower_rate_holds_as_soon_as_it_is_known(count: int) -> None:
    processes = _Processes(count, 60.0)
    processes.play(0.0, 30.0)
    processes.set_rate(1.0, 30.0)
    processes.taken_s.clear()
    processes.play(30.0, 60.0)
    assert _most_in_a_span(processes.taken_s) <= 1.0 * (SPAN_S + 1.0) + 2.0


def test_a_process_that_does_not_know_the_others_sends_nothing() -> None:
    share = limits.TurnShare("endpoint", limits.ProcessGroup("p1"))
    assert not share.wait_s(0.0)
    share.set_rate(100.0, 0.0)
    assert share.wait_s(60.0) > 0.0
    assert not share.take(60.0)


def test_an_ended_limit_holds_nothing_back() -> None:
    share = limits.TurnShare("endpoint", limits.ProcessGroup("p1", ("p1",)))
    share.set_rate(0.5, 0.0)
    assert not share.take(0.1)
    share.set_rate(math.inf, 0.2)
    assert all(share.take(0.2) for _ in range(100))
    share.set_rate(0.5, 0.3)
    assert not share.take(0.3)


@pytest.mark.parametrize("rate_per_s", [0.3, 2.0, 11.7])
def test_wait_is_no_longer_than_a_holder_takes_to_gain_a_request(
    rate_per_s: float,
) -> None:
    processes = _Processes(68, rate_per_s)
    processes.play(0.0, 60.0)
    burst = rate_per_s + 2.0
    for share, skew_s in zip(processes.shares, processes.skews_s, strict=True):
        assert share.wait_s(60.0 + skew_s) <= burst / rate_per_s
