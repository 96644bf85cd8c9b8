"""How soon gateways that start at the same time know of each other."""

import pytest

from ..duties import _coordination


@pytest.mark.parametrize(
    ("members", "age_s", "pause_s"),
    [
        (1, 0.0, 0.5),
        (4, 5.9, 0.5),
        (4, 6.0, 4.0),
        (60, 1.0, 1.5),
        (60, 6.0, 7.5),
        (800, 1.0, 20.0),
    ],
)
def test_members_are_read_often_after_the_start(
    members: int, age_s: float, pause_s: float
) -> None:
    """Guards against crashes that only a gateway that is killed knows."""
    assert _coordination.members_pause_s(members, age_s) == pause_s
