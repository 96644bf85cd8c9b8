import pytest

from bilberrydeal import errors
from bilberrydeal import systems
from bilberrydeal.systems import admission


def request(
    organisation: str, deadline_s: float = 100.0
) -> systems.PendingRequest:
    return systems.PendingRequest(
        "r", organisation, "model", deadline_s=deadline_s
    )


def admitted(
    control: admission.AdmissionControl, organisation: str, count: int
) -> int:
    tables = systems.Tables()
    tables.of(systems.OrganisationView).put(
        systems.OrganisationView("heavy", 3.0)
    )
    return sum(
        control.admit(tables, request(organisation), 0.0).refusal is None
        for _ in range(count)
    )


@pytest.mark.parametrize("first", ["flooder", "heavy"])
def test_flood_leaves_capacity_for_others(first: str) -> None:
    """Guards against one organisation using all requests in flight."""
    control = admission.FairShed(100)
    assert admitted(control, first, 1_000) <= 75
    assert admitted(control, "other", 5) == 5


def test_requests_in_flight_stay_within_the_limit() -> None:
    """Guards against many organisations exceeding the limit together."""
    control = admission.FairShed(50)
    total = sum(admitted(control, f"o{n}", 100) for n in range(50))
    assert total <= 50


def test_only_shed_organisations_are_refused_early() -> None:
    """Guards against sending requests that endpoints would shed anyway."""
    control = admission.FairShed(10_000)
    tables = systems.Tables()
    for number in range(400):
        now_s = number * 0.01
        decision = control.admit(tables, request("flooder"), now_s)
        if decision.refusal is None:
            shed = number % 10 != 0
            control.release(request("flooder"), now_s, shed, 7.0)
        calm = control.admit(tables, request("calm"), now_s)
        assert calm.refusal is None
        control.release(request("calm"), now_s)
    late = [control.admit(tables, request("flooder"), 4.0) for _ in range(100)]
    refused = [decision for decision in late if decision.refusal is not None]
    assert len(refused) > 50
    assert refused[0].refusal is errors.ErrorCode.OVERLOADED
    assert refused[0].retry_after_s == 7.0


def test_slow_responses_cause_no_shedding() -> None:
    """Guards against counting requests in flight as shed."""
    control = admission.FairShed(10_000)
    assert admitted(control, "patient", 500) == 500


def test_request_past_its_deadline_is_refused() -> None:
    """Guards against admitting requests that nobody waits for."""
    control = admission.FairShed(10)
    decision = control.admit(systems.Tables(), request("o", 1.0), 2.0)
    assert decision.refusal is errors.ErrorCode.DEADLINE_HOPELESS
