import pytest

from bilberrydeal import link
from bilberrydeal import ports
from bilberrydeal.entry.accounting import _unbilled
from bilberrydeal.entry.core import _at_most_once
from bilberrydeal.entry.core import _billing
from bilberrydeal.entry.tests import fakes


def answered_request(
    sequence: int, agent: str = "a1", organisation: str = "russo"
) -> _billing.AnsweredRequest:
    return _billing.AnsweredRequest(
        number=link.RequestNumber("e", sequence),
        organisation=organisation,
        endpoint_id="a",
        agent=agent,
        figures=ports.OrganisationFigures(calls=1),
        answered_at_s=float(sequence),
    )


def pop_lost_sequences(
    unbilled: _unbilled.UnbilledAnswers, now_s: float = 10.0
) -> list[int]:
    """Return the answers lost with agent ``a1``."""
    answers = unbilled.pop_lost(lambda answer: answer.agent == "a1", now_s)
    return [answer.number.sequence for answer in answers]


def test_answers_of_a_lost_agent_are_returned_exactly_once() -> None:
    unbilled = _unbilled.UnbilledAnswers()
    for sequence, agent in ((1, "a1"), (2, "a2"), (3, "a1")):
        unbilled.answered(answered_request(sequence, agent))
    assert pop_lost_sequences(unbilled) == [1, 3]
    assert pop_lost_sequences(unbilled) == []
    assert len(unbilled) == 1


@pytest.mark.parametrize("record_first", [True, False])
def test_answer_with_a_record_is_not_lost(record_first: bool) -> None:
    unbilled = _unbilled.UnbilledAnswers()
    number = link.RequestNumber("e", 1)
    if record_first:
        unbilled.recorded(number)
    unbilled.answered(answered_request(1))
    if not record_first:
        unbilled.recorded(number)
    assert pop_lost_sequences(unbilled) == []
    assert len(unbilled) == 0


def test_answers_are_dropped_after_the_record_timeout() -> None:
    unbilled = _unbilled.UnbilledAnswers()
    unbilled.answered(answered_request(1, "a2"))
    unbilled.answered(answered_request(2, "a2"))
    assert pop_lost_sequences(unbilled, 1.0 + _unbilled.RECORD_TIMEOUT_S) == []
    assert len(unbilled) == 1


def test_open_routes_are_not_kept_and_kept_answers_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_unbilled, "MAX_ANSWERS", 3)
    unbilled = _unbilled.UnbilledAnswers()
    unbilled.answered(answered_request(1, organisation=""))
    assert len(unbilled) == 0
    for sequence in range(1, 9):
        unbilled.answered(answered_request(sequence))
        unbilled.recorded(link.RequestNumber("e", 100 + sequence))
    assert pop_lost_sequences(unbilled) == [6, 7, 8]
    assert len(unbilled._recorded) == 3


async def test_answer_is_billed_with_the_counts_of_its_agent() -> None:
    end = link.Finished(
        sequence=1,
        chunk=1,
        status=200,
        prompt_tokens=7,
        cached_tokens=3,
        output_tokens=4,
    )
    harness = fakes.DispatcherHarness((fakes.FakeLink("a", [end]),))
    await _at_most_once.final_event(
        harness.dispatcher().run(fakes.plain_request())
    )
    (answer,) = harness.answered_requests
    assert answer.agent == "a-agent"
    assert answer.figures == ports.OrganisationFigures(7, 3, 4, 1)
