from bilberrydeal import link
from bilberrydeal.entry.core import _journal


def test_oldest_requests_are_forgotten() -> None:
    journal = _journal.Journal(lambda: 0.0)
    for sequence in range(_journal.REQUESTS_KEPT + 1):
        number = link.RequestNumber("entry", sequence)
        journal.note(number, "dispatch", "answered")
    assert journal.trace("entry-0") is None
    assert journal.trace("entry-1") is not None


def test_steps_carry_the_time_since_the_first() -> None:
    times = iter([5.0, 5.25])
    journal = _journal.Journal(lambda: next(times))
    number = link.RequestNumber("entry", 1)
    journal.note(number, "dispatch", "routed to ep1")
    journal.note(number, "dispatch", "answered")
    trace = journal.trace("entry-1")
    assert trace is not None
    assert [step.at_s for step in trace.steps] == [0.0, 0.25]
