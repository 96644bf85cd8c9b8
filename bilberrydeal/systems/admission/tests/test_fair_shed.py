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
def test_a_flood_leaves_room_for_others(first: str) -> None:
    control = admission.FairShed(100)
    assert admitted(control, first, 1_000) <= 75
    assert admitted(control, "other", 5) == 5


def test_no_more_than_the_bound_is_in_flight() -> None:
    control = admission.FairShed(50)
    total = sum(admitted(control, f"o{n}", 100) for n in range(50))
    assert total <= 50


def test_shed_organisations_are_refused_early_others_not() -> None:
    control = admission.FairShed(10_000)
    tables = systems.Tables()
    for number in range(400):
        now_s = number * 0.01
        verdict = control.admit(tables, request("flooder"), now_s)
        if verdict.refusal is None:
            shed = number % 10 != 0
            control.release(request("flooder"), now_s, shed, 7.0)
        calm = control.admit(tables, request("calm"), now_s)
        assert calm.refusal is None
        control.release(request("calm"), now_s)
    late = [control.admit(tables, request("flooder"), 4.0) for _ in range(100)]
    refused = [one for one in late if one.refusal is not None]
    assert len(refused) > 50
    assert refused[0].refusal is errors.ErrorCode.OVERLOADED
    assert refused[0].retry_after_s == 7.0


def test_slow_answers_are_no_reason_to_shed() -> None:
    control = admission.FairShed(10_000)
    assert admitted(control, "patient", 500) == 500


def test_a_passed_deadline_is_refused() -> None:
    control = admission.FairShed(10)
    verdict = control.admit(systems.Tables(), request("o", 1.0), 2.0)
    assert verdict.refusal is errors.ErrorCode.DEADLINE_HOPELESS
