from bilberrydeal import link
from bilberrydeal.entry.core import _traces


def test_oldest_requests_are_evicted() -> None:
    traces = _traces.RequestTraces(lambda: 0.0)
    for sequence in range(_traces.MAX_REQUESTS + 1):
        number = link.RequestNumber("entry", sequence)
        traces.add_step(number, "dispatch", "answered")
    assert traces.get("entry-0") is None
    assert traces.get("entry-1") is not None


def test_steps_have_the_time_since_the_first_step() -> None:
    times = iter([5.0, 5.25])
    traces = _traces.RequestTraces(lambda: next(times))
    number = link.RequestNumber("entry", 1)
    traces.add_step(number, "dispatch", "routed to ep1")
    traces.add_step(number, "dispatch", "answered")
    trace = traces.get("entry-1")
    assert trace is not None
    assert [step.at_s for step in trace.steps] == [0.0, 0.25]
