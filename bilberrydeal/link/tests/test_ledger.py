import pytest

from bilberrydeal import link
from bilberrydeal.link import _ledger

RECEIPT = link.Finished(sequence=1, chunk=1, status=201, body=b"x" * 1000)


@pytest.mark.parametrize(
    ("age_s", "remembered", "floors"),
    [
        (_ledger.SHORT_MEMORY_S / 2, [1, 2, 3], (0, 0)),
        (_ledger.SHORT_MEMORY_S + 1, [2, 3], (1, 0)),
        (_ledger.LONG_MEMORY_S + 1, [], (1, 3)),
    ],
)
def test_what_is_forgotten_raises_a_floor(
    age_s: float, remembered: list[int], floors: tuple[int, int]
) -> None:
    ledger = _ledger.Ledger()
    ledger.put_idempotent(1, started=True, now_s=0.0)
    ledger.put(2, started=True, now_s=0.0, answer=RECEIPT)
    ledger.bury(3, now_s=0.0)
    ledger.expire(age_s)
    assert [n for n in (1, 2, 3) if ledger.get(n)] == remembered
    assert (ledger.short_floor, ledger.long_floor) == floors


def test_number_of_ends_is_bounded() -> None:
    ledger = _ledger.Ledger()
    for sequence in range(1, _ledger.ENDS_LIMIT + 3):
        ledger.put_idempotent(sequence, started=True, now_s=0.0)
    assert ledger.get(2) is None
    assert ledger.get(3) is not None
    assert ledger.short_floor == 2


def test_oldest_answers_go_but_their_ends_stay() -> None:
    ledger = _ledger.Ledger()
    count = _ledger.ANSWERS_LIMIT_BYTES // len(RECEIPT.body) + 2
    for sequence in range(1, count + 1):
        ledger.put(sequence, started=True, now_s=0.0, answer=RECEIPT)
    ends = [ledger.get(sequence) for sequence in range(1, count + 1)]
    assert all(end is not None and end.started for end in ends)
    kept = [end for end in ends if end is not None and end.answer]
    assert len(kept) * len(RECEIPT.body) <= _ledger.ANSWERS_LIMIT_BYTES
    assert ends[0] is not None
    assert ends[0].answer is None
