"""Streams that end as they do if their engines are lost."""

import pytest

from .. import _unproven_ends
from . import test_crash_counts

BAD = test_crash_counts.BAD
SOUND = test_crash_counts.SOUND
DECIDED_S = test_crash_counts.DECIDED_S


def _end(gateway: test_crash_counts.Gateway, number: int) -> None:
    """Let a stream of a sound request end with its connection."""
    parts = (SOUND, b"own%d" % number)
    gateway.system.observe_unproven_end(f"e{number}@1", parts, gateway.now_s)


def _respond(gateway: test_crash_counts.Gateway, number: int) -> None:
    gateway.system.observe_response(
        f"e{number}@1", gateway.now_s, gateway.now_s
    )


@pytest.mark.parametrize(
    ("pause_s", "is_sound"), [(0.0, False), (0.3, True), (1.5, True)]
)
def test_first_part_of_all_prompts_is_not_quarantined_for_another(
    pause_s: float, is_sound: bool
) -> None:
    """Guards against a whole route in quarantine for one of its parts."""
    gateway = test_crash_counts.Gateway()
    _end(gateway, 9)
    gateway.wait(pause_s or 1e-3)
    _respond(gateway, 9)
    gateway.crash(5, SOUND, BAD)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(SOUND, BAD)
    assert gateway.refuses(BAD) == is_sound
    assert not gateway.refuses(SOUND)


def test_response_of_a_later_run_proves_nothing() -> None:
    """The engine may have started again under its id."""
    gateway = test_crash_counts.Gateway()
    _end(gateway, 9)
    gateway.wait(2.5)
    _respond(gateway, 9)
    gateway.crash(5, SOUND)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(SOUND)


def test_end_with_an_engine_that_is_lost_proves_nothing() -> None:
    gateway = test_crash_counts.Gateway()
    for number in range(5):
        _end(gateway, number)
        gateway.lose(number, SOUND)
        gateway.wait(0.3)
        # A response to a request of its next run, not registered yet.
        _respond(gateway, number)
        gateway.system.observe_end(f"e{number}@1", gateway.now_s)
        gateway.wait(1.2)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(SOUND)


def test_memory_is_bounded_and_forgotten() -> None:
    ends = _unproven_ends.UnprovenEnds(0.1, 2.0)
    for number in range(3 * _unproven_ends.LIMIT):
        ends.add(f"e{number % 7}@1", (b"a", b"b"), number / 1e4)
    held = sum(map(len, ends._ends.values()))
    assert held == ends._count == _unproven_ends.LIMIT
    ends.drop("e3@1")
    held = sum(map(len, ends._ends.values()))
    assert held == ends._count
    ends.expire(100.0)
    assert ends._count == 0
    assert not ends._ends
