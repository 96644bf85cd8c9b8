import pytest

from bilberrydeal import link
from bilberrydeal import ports
from bilberrydeal.entry.accounting import _unbilled
from bilberrydeal.entry.core import _at_most_once
from bilberrydeal.entry.core import _billing
from bilberrydeal.entry.tests import fakes


def answered(
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


def lost(kept: _unbilled.Unbilled, now_s: float = 10.0) -> list[int]:
    """Return the answers lost with agent ``a1``."""
    found = kept.lost(lambda answer: answer.agent == "a1", now_s)
    return [one.number.sequence for one in found]


def test_only_answers_of_a_lost_agent_are_lost_and_once() -> None:
    kept = _unbilled.Unbilled()
    for sequence, agent in ((1, "a1"), (2, "a2"), (3, "a1")):
        kept.answered(answered(sequence, agent))
    assert lost(kept) == [1, 3]
    assert lost(kept) == []
    assert len(kept) == 1


@pytest.mark.parametrize("record_first", [True, False])
def test_an_answer_with_a_record_is_not_lost(record_first: bool) -> None:
    kept = _unbilled.Unbilled()
    number = link.RequestNumber("e", 1)
    if record_first:
        kept.recorded(number)
    kept.answered(answered(1))
    if not record_first:
        kept.recorded(number)
    assert lost(kept) == []
    assert len(kept) == 0


def test_an_agent_that_lives_for_long_has_handed_over() -> None:
    kept = _unbilled.Unbilled()
    kept.answered(answered(1, "a2"))
    kept.answered(answered(2, "a2"))
    assert lost(kept, 1.0 + _unbilled.KEPT_S) == []
    assert len(kept) == 1


def test_open_routes_are_not_billed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_unbilled, "LIMIT", 3)
    kept = _unbilled.Unbilled()
    kept.answered(answered(1, organisation=""))
    assert len(kept) == 0
    for sequence in range(1, 9):
        kept.answered(answered(sequence))
        kept.recorded(link.RequestNumber("e", 100 + sequence))
    assert lost(kept) == [6, 7, 8]
    assert len(kept._seen) == 3


async def test_an_answer_is_noted_as_its_agent_counts_it() -> None:
    end = link.Finished(
        sequence=1,
        chunk=1,
        status=200,
        prompt_tokens=7,
        cached_tokens=3,
        output_tokens=4,
    )
    bench = fakes.Bench((fakes.FakeLink("a", [end]),))
    await _at_most_once.final_event(
        bench.dispatcher().run(fakes.plain_request())
    )
    (noted,) = bench.ended
    assert noted.agent == "a-agent"
    assert noted.figures == ports.OrganisationFigures(7, 3, 4, 1)
