import pytest

from bilberrydeal import link
from bilberrydeal.link import _history

ANSWER = link.Finished(sequence=1, chunk=1, status=201, body=b"x" * 1000)


@pytest.mark.parametrize(
    ("age_s", "remembered", "floors"),
    [
        (_history.IDEMPOTENT_RETENTION_S / 2, [1, 2, 3], (0, 0)),
        (_history.IDEMPOTENT_RETENTION_S + 1, [2, 3], (1, 0)),
        (_history.RETENTION_S + 1, [], (1, 3)),
    ],
)
def test_forgotten_request_raises_floor(
    age_s: float, remembered: list[int], floors: tuple[int, int]
) -> None:
    history = _history.RequestHistory()
    history.add_idempotent(1, started=True, now_s=0.0)
    history.add(2, started=True, now_s=0.0, answer=ANSWER)
    history.add_tombstone(3, now_s=0.0)
    history.expire(age_s)
    assert [n for n in (1, 2, 3) if history.get(n)] == remembered
    assert (history.idempotent_floor, history.non_idempotent_floor) == floors


def test_number_of_ended_requests_is_bounded() -> None:
    history = _history.RequestHistory()
    for sequence in range(1, _history.ENDED_REQUESTS_LIMIT + 3):
        history.add_idempotent(sequence, started=True, now_s=0.0)
    assert history.get(2) is None
    assert history.get(3) is not None
    assert history.idempotent_floor == 2


def test_oldest_answers_are_dropped_but_ends_remembered() -> None:
    history = _history.RequestHistory()
    count = _history.ANSWER_BODIES_LIMIT_BYTES // len(ANSWER.body) + 2
    for sequence in range(1, count + 1):
        history.add(sequence, started=True, now_s=0.0, answer=ANSWER)
    ends = [history.get(sequence) for sequence in range(1, count + 1)]
    assert all(end is not None and end.started for end in ends)
    kept = [end for end in ends if end is not None and end.answer]
    assert len(kept) * len(ANSWER.body) <= _history.ANSWER_BODIES_LIMIT_BYTES
    assert ends[0] is not None
    assert ends[0].answer is None
