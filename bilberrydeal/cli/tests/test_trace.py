"""Tests the request timeline that is built from logs."""

import pathlib

import pytest

from .. import _commands_trace
from .. import _trace

LOG = """\
  1.0 g1 {"version": 7, "event": "knowledge: Configuration in force.", \
"timestamp": "t1"}
not a log line
  1.5 g2 {"event": "following: Store lost.", "timestamp": "t2"}
  2.0 g1 {"request": "r1", "reason": "lost, x", "event": \
"plain: Send repeated.", "timestamp": "t3"}
  2.1 g1 {"request": "r1", "status": 200, "steps": [{"at_ms": 1.5, "kind": \
"read", "endpoint": "e1", "expected_ms": 34.0, "deferred": true, "outcome": \
"status 200"}], "event": "request: Request ended.", "timestamp": "t4"}
  2.2 g1 {"request": "r3", "status": 504, "steps": [{"at_ms": 1.5, "kind": \
"read", "endpoint": "e1", "expected_ms": 34.0, "link_wait_ms": null, \
"outcome": "under way"}], "event": "request: Request ended.", \
"timestamp": "t4"}
  2.2 g1 {broken
  2.3 g1 {"request": "r2", "event": "request: Request ended.", \
"timestamp": "t5"}
"""


def test_timeline_has_steps_and_state_events() -> None:
    """Lines of other requests and other processes must not appear."""
    timeline = _trace.request_timeline(
        _trace.parse("x", LOG.splitlines()), "r1"
    )
    text = "\n".join(timeline)
    assert "Send repeated" in text
    assert "state: t1 g1 knowledge: Configuration in force" in text
    assert (
        "read at e1, expected in 34 ms, deferred behind requests in time"
        in text
    )
    assert "r2" not in text
    assert "Store lost" not in text


def test_timeline_reports_unfinished_link_wait() -> None:
    """A step that still waits for the link must not look like a sent one."""
    timeline = _trace.request_timeline(
        _trace.parse("x", LOG.splitlines()), "r3"
    )
    assert "still waiting for the host's link at the end" in "\n".join(
        timeline
    )


@pytest.mark.parametrize(("request_id", "code"), [("r1", 0), ("nobody", 1)])
def test_command_reads_log_files(
    tmp_path: pathlib.Path, request_id: str, code: int
) -> None:
    path = tmp_path / "g.log"
    path.write_text(LOG)
    assert _commands_trace.trace(request_id, path) == code


REPEATED = """\
  1.0 g1 {"request": "r1", "status": 502, "fingerprint": "f1", "event": \
"request: Request ended.", "timestamp": "t1"}
  2.0 g2 {"request": "r2", "status": 502, "fingerprint": "f1", "event": \
"request: Request ended.", "timestamp": "t2"}
  2.5 g2 {"request": "r3", "status": 502, "fingerprint": "f2", "event": \
"request: Request ended.", "timestamp": "t3"}
"""


def test_timeline_has_the_other_visits_of_a_request() -> None:
    lines = _trace.parse("x", REPEATED.splitlines())
    text = "\n".join(_trace.request_timeline(lines, "r1"))
    assert "the same request as r2: t2 g2 status 502" in text
    assert "r3" not in text
