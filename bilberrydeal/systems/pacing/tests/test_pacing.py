import hypothesis
import hypothesis.strategies as st
import pytest

from bilberrydeal.systems import pacing

RULES = pacing.PacingRules()


# Guards against a bucket that grants more than its rate and burst allow.
@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.floats(0.5, 50.0),
    st.floats(1.0, 20.0),
    st.lists(st.floats(0.0, 3.0), min_size=1, max_size=60),
)
def test_a_bucket_never_exceeds_its_rate(
    rate_per_s: float, burst: float, gaps: list[float]
) -> None:
    bucket = pacing.TokenBucket(rate_per_s, burst, 0.0)
    now_s = 0.0
    granted = []
    for gap_s in gaps:
        now_s += gap_s
        granted.append(now_s + bucket.reserve(1.0, now_s))
    granted.sort()
    for first in range(len(granted)):
        for last in range(first, len(granted)):
            span_s = granted[last] - granted[first]
            count = last - first + 1
            assert count <= burst + rate_per_s * span_s + 1.0 + 1e-6


@pytest.mark.parametrize("processes", [1, 50, 410])
def test_deferrable_work_shares_the_store_rate(processes: int) -> None:
    """Guards against overloading the store when all processes recover."""
    start_times = []
    for number in range(processes):
        pacer = pacing.RecoveryPacer(RULES, processes, number, 0.0)
        assert (
            pacer.wait_s(pacing.RecoveryWork.URGENT, 0.0)
            <= RULES.urgent_jitter_s
        )
        waits = [
            pacer.wait_s(pacing.RecoveryWork.DEFERRABLE, 0.0)
            for _ in range(30)
        ]
        start_times.extend(waits)
    # Start times are random, so the rates of the processes add up unevenly.
    starts = 1 + 1.5 * processes / RULES.deferrable_spread_s
    bound = 1.25 * RULES.deferrable_calls_per_s + starts
    bound = min(bound, processes * (RULES.deferrable_calls_max_per_s + 1))
    for second in range(int(max(start_times)) + 1):
        calls = sum(second <= wait < second + 1 for wait in start_times)
        assert calls <= bound
