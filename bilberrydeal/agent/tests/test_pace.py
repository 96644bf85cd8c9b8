import pytest

from bilberrydeal import link
from bilberrydeal.agent import _pace

#: Time of one token.
TOKEN_S = 0.02


def _submit(max_tokens: int) -> link.Submit:
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
        # All alike: what a request needs is known to within a step.
        ((1.0,), 0.95, 1.05),
        ((0.5,), 0.45, 0.55),
        # Answers end anywhere: a request may need little.
        ((0.1, 1.0), 0.0, 0.3),
    ],
)
def test_run_time_is_as_certain_as_requests_were_alike(
    shares: tuple[float, ...], least: float, most: float
) -> None:
    pace = _pace.Pace()
    submit = _submit(100)
    for number in range(200 if shares else 0):
        tokens = int(100 * shares[number % len(shares)])
        pace.add(submit, tokens, TOKEN_S * (1 + tokens), float(number))
    whole_s = TOKEN_S * 101
    assert least <= pace.run_time_s(submit, 200.0) / whole_s <= most


def test_old_samples_say_nothing() -> None:
    pace = _pace.Pace()
    pace.add(_submit(10), 10, 1.0, 0.0)
    assert pace.run_time_s(_submit(10), 1.0) > 0.0
    assert pace.run_time_s(_submit(10), _pace.MEMORY_S + 1.0) == 0.0
