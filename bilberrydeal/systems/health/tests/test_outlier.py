from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal import systems
from bilberrydeal.systems import health

OPEN = systems.CircuitState.OPEN
HALF_OPEN = systems.CircuitState.HALF_OPEN
CLOSED = systems.CircuitState.CLOSED


def world(count: int) -> systems.Tables:
    tables = systems.Tables()
    for number in range(count):
        tables.of(systems.EndpointView).put(
            systems.EndpointView(f"e{number}", "domain0", "model")
        )
    return tables


def observe(
    system: health.HealthSystem,
    endpoint_id: str,
    succeeded: bool,
    now_s: float,
    times: int = 6,
    slowness: float = 1.0,
) -> None:
    for _ in range(times):
        system.observe(
            health.Observation(endpoint_id, succeeded, slowness), now_s
        )


def circuit(tables: systems.Tables, name: str) -> systems.CircuitState:
    view = tables.of(systems.EndpointView).get(name)
    assert view is not None
    return view.circuit


# Guards against overloading the remaining endpoints of a service by ejecting
# too many.
@settings(derandomize=True, deadline=None)
@given(
    st.integers(1, 20),
    st.lists(
        st.tuples(st.integers(0, 19), st.booleans(), st.floats(0.1, 50.0)),
        max_size=80,
    ),
)
def test_no_more_than_a_share_is_ejected(
    count: int, events: list[tuple[int, bool, float]]
) -> None:
    tables = world(count)
    system = health.OutlierHealth(1)
    for number, (endpoint, succeeded, slowness) in enumerate(events):
        name = f"e{endpoint % count}"
        now_s = number * 0.3
        observe(system, name, succeeded, now_s, slowness=slowness)
        system.run(tables, now_s)
        away = sum(
            view.circuit is OPEN for view in tables.of(systems.EndpointView)
        )
        assert away <= max(int(count * 0.3), 1 if count > 1 else 0)


def test_failing_endpoint_is_ejected_probed_and_restored() -> None:
    """Guards against requests to a failing endpoint and endless ejection."""
    tables = world(5)
    system = health.OutlierHealth(1)
    observe(system, "e0", False, 0.0)
    system.run(tables, 0.0)
    assert circuit(tables, "e0") is OPEN
    assert system.probes(tables, 0.1) == []
    system.run(tables, 3.0)
    assert circuit(tables, "e0") is HALF_OPEN
    assert system.probes(tables, 3.0) == ["e0"]
    observe(system, "e0", False, 3.1, times=1)
    system.run(tables, 3.1)
    assert circuit(tables, "e0") is OPEN
    system.run(tables, 5.0)
    assert circuit(tables, "e0") is OPEN, "the open time must double"
    system.run(tables, 9.0)
    observe(system, "e0", True, 9.1)
    system.run(tables, 9.1)
    assert circuit(tables, "e0") is CLOSED


def _eject(system: health.OutlierHealth, silent: bool) -> systems.Tables:
    """Eject ``e0`` by six failures at 1 s."""
    tables = world(4)
    for _ in range(6):
        failure = health.Observation("e0", False, silent=silent)
        system.observe(failure, 1.0)
    system.run(tables, 1.0)
    assert circuit(tables, "e0") is OPEN
    return tables


@pytest.mark.parametrize(
    ("silent", "state"), [(True, HALF_OPEN), (False, OPEN)]
)
def test_silent_endpoint_is_not_ejected_longer_than_its_silence(
    silent: bool, state: systems.CircuitState
) -> None:
    system = health.OutlierHealth(1)
    tables = _eject(system, silent)
    system.observe(health.Observation("e0", True), 1.4)
    system.run(tables, 1.5)
    assert circuit(tables, "e0") is state


def test_ended_silences_do_not_lengthen_the_next_ejection() -> None:
    system = health.OutlierHealth(1)
    tables = _eject(system, silent=True)
    for number in range(4):
        heard_s = 2.0 + number
        system.observe(health.Observation("e0", True), heard_s)
        system.run(tables, heard_s)
        silence = health.Observation("e0", False, silent=True)
        system.observe(silence, heard_s + 0.2)
        system.run(tables, heard_s + 0.3)
        assert circuit(tables, "e0") is OPEN
    # The first opening lasts 2.5 s at most.
    system.run(tables, heard_s + 0.3 + 2.6)
    assert circuit(tables, "e0") is HALF_OPEN


def test_slow_endpoint_is_ejected_unless_all_are_slow() -> None:
    """Guards against ejecting endpoints for slowness that all share."""
    for slow, expected in (
        (["e0"], OPEN),
        ([f"e{n}" for n in range(5)], CLOSED),
    ):
        tables = world(5)
        system = health.OutlierHealth(1)
        for number in range(5):
            name = f"e{number}"
            slowness = 6.0 if name in slow else 1.0
            observe(system, name, True, 0.0, 20, slowness)
        system.run(tables, 0.0)
        assert circuit(tables, "e0") is expected


def test_record_of_removed_endpoint_is_deleted() -> None:
    """Guards against judging a new endpoint by its predecessor's failures."""
    tables = world(3)
    system = health.OutlierHealth(1)
    observe(system, "e0", False, 0.0)
    tables.of(systems.EndpointView).remove("e0")
    system.run(tables, 0.0)
    tables.of(systems.EndpointView).put(
        systems.EndpointView("e0", "domain0", "model")
    )
    system.run(tables, 0.1)
    assert circuit(tables, "e0") is CLOSED
