"""Tests of giving a prefill up."""

import pytest

from ... import placement


@pytest.mark.parametrize(
    ("expected_s", "time_left_s", "late_s"),
    [(0.1, 2.0, 1.5), (1.2, 2.0, 1.8), (0.1, 0.4, 0.3)],
)
def test_overdue_prefill_is_late_while_its_caller_can_come_back(
    expected_s: float, time_left_s: float, late_s: float
) -> None:
    placed = placement.Placement("p0", True, 6_000.0, expected_s)
    assert placement.too_late_after_s(placed, time_left_s) == pytest.approx(
        late_s
    )
