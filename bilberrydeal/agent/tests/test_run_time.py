import pytest

from bilberrydeal import link
from bilberrydeal.agent import _run_time

#: Time per token.
TOKEN_S = 0.02


def make_submit(max_tokens: int) -> link.Submit:
    return link.Submit(
        number=link.RequestNumber("e1", 1),
        organisation="russo",
        route="completions",
        model="m",
        request_class=0,
        time_left_s=10.0,
        weight=1.0,
        idempotent=True,
        max_tokens=max_tokens,
    )


@pytest.mark.parametrize(
    ("shares", "least", "most"),
    [
        ((), 0.0, 0.0),
        # Identical requests: the estimate is exact to within a step.
        ((1.0,), 0.95, 1.05),
        ((0.5,), 0.45, 0.55),
        # Output lengths vary widely: a request may be short.
        ((0.1, 1.0), 0.0, 0.3),
    ],
)
def test_estimate_is_close_only_for_similar_requests(
    shares: tuple[float, ...], least: float, most: float
) -> None:
    """A high estimate would refuse requests that can meet their deadline."""
    estimator = _run_time.RunTimeEstimator()
    submit = make_submit(100)
    for number in range(200 if shares else 0):
        tokens = int(100 * shares[number % len(shares)])
        estimator.add(submit, tokens, TOKEN_S * (1 + tokens), float(number))
    full_run_time_s = TOKEN_S * 101
    assert (
        least <= estimator.run_time_s(submit, 200.0) / full_run_time_s <= most
    )


def test_old_samples_are_ignored() -> None:
    estimator = _run_time.RunTimeEstimator()
    estimator.add(make_submit(10), 10, 1.0, 0.0)
    assert estimator.run_time_s(make_submit(10), 1.0) > 0.0
    assert (
        estimator.run_time_s(
            make_submit(10), _run_time.SAMPLE_LIFETIME_S + 1.0
        )
        == 0.0
    )
