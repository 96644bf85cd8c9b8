"""Which changes of an endpoint's status are reported, and when."""

import typing

import attrs
import pytest

from .. import _status_reports
from . import harness

LOADED = attrs.evolve(harness.STATUS, running=8, kv_used_share=0.5)


@pytest.mark.parametrize(
    ("change", "after_s", "due"),
    [
        ({}, 60.0, False),
        ({"running": 9}, 60.0, False),
        ({"running": 11}, 60.0, True),
        ({"running": 11}, 4.9, False),
        ({"running": 4, "waiting": 4}, 60.0, False),
        ({"running": 0}, 5.0, True),
        ({"kv_used_share": 0.55}, 60.0, False),
        ({"kv_used_share": 0.7}, 5.0, True),
        ({"accepting": False}, 0.0, True),
        ({"role": "decode"}, 0.0, True),
        ({"order_version": 2}, 0.0, True),
    ],
    ids=str,
)
def test_status_report_is_due(
    change: dict[str, typing.Any], after_s: float, due: bool
) -> None:
    reports = _status_reports.StatusReports(5.0)
    reports.add_entry("a")
    assert reports.due("a", LOADED, 0.0)
    changed = attrs.evolve(LOADED, **change)
    assert reports.due("a", changed, after_s) == due
    assert not reports.due("a", changed, after_s)


def test_new_link_gets_full_report() -> None:
    reports = _status_reports.StatusReports(5.0)
    assert not reports.due("a", LOADED, 0.0)
    for _ in range(2):
        reports.add_entry("a")
        assert reports.due("a", LOADED, 0.0)
    reports.remove_entry("a")
    assert not reports.due("a", LOADED, 9.0)
