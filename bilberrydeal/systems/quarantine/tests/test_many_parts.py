"""Crashing parts of prompts that have many parts, or long ones."""

import pytest

from .. import _base
from .. import _reports
from . import test_crash_counts

BAD = test_crash_counts.BAD
DECIDED_S = test_crash_counts.DECIDED_S


def _turns(conversation: int, count: int) -> list[bytes]:
    """Return parts that no other conversation has."""
    return [b"c%d.%d" % (conversation, turn) for turn in range(count)]


@pytest.mark.parametrize("before", [0, 7, 8, 12, 100, 1300])
@pytest.mark.parametrize("behind", [0, 9])
def test_part_behind_many_others_is_quarantined(
    before: int, behind: int
) -> None:
    """Guards against parts that are dropped from a lost prompt."""
    gateway = test_crash_counts.Gateway()
    other = test_crash_counts.Gateway()
    for number in range(5):
        turns = _turns(number, before + behind)
        gateway.lose(number, *turns[:before], BAD, *turns[before:])
        for _round in range(15):
            gateway.wait(0.1)
            other.wait(0.1)
            gateway.tell(other)
    for each in (gateway, other):
        each.wait(DECIDED_S)
        assert each.refuses(*_turns(9, 20), BAD)
        assert not each.refuses(*_turns(9, 20))


def test_part_of_one_among_many_prompts_is_quarantined() -> None:
    """Guards against prompts that are dropped from a lost engine."""
    gateway = test_crash_counts.Gateway()
    for number in range(5):
        for request in range(400):
            turn = b"t%d.%d" % (number, request)
            gateway.lose(number, turn, request=b"r%d.%d" % (number, request))
        gateway.lose(number, BAD, request=b"last%d" % number)
        gateway.wait(1.5)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(BAD)


def test_part_with_a_long_identifier_is_quarantined() -> None:
    """Guards against identifiers that are left out for their length."""
    long = b"x" * 4000
    gateway = test_crash_counts.Gateway()
    for number in range(5):
        gateway.lose(number, *_base.prompt_parts([b"aa%d" % number, long]))
        gateway.wait(1.5)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(*_base.prompt_parts([long]))
    assert not gateway.refuses(*_base.prompt_parts([b"y" * 4000]))


@pytest.mark.parametrize(
    ("prompts", "parts"), [(0, 0), (1, 1), (500, 3), (40, 100), (6, 1300)]
)
def test_news_are_told_in_datagrams_of_bounded_size(
    prompts: int, parts: int
) -> None:
    lost = tuple(
        _base.SuspectPrompt(
            b"r%d" % number,
            tuple(b"%08x" % (number * parts + n) for n in range(parts)),
            True,
        )
        for number in range(prompts)
    )
    losses = tuple(
        _base.LossReport(f"e{n}@1", "d", 1.0, lost[n::3]) for n in range(3)
    )
    news = _base.News(losses, (b"sound",), ("e9@1",))
    found = _reports.datagrams(news)
    told = [
        (loss.process, prompt)
        for each in found
        for loss in each.losses
        for prompt in loss.prompts
    ]
    assert sorted(told, key=str) == sorted(
        [(loss.process, prompt) for loss in losses for prompt in loss.prompts],
        key=str,
    )
    assert {loss.process for each in found for loss in each.losses} == {
        loss.process for loss in losses
    }
    assert sum(each.sound == news.sound for each in found) == 1
    for each in found:
        sizes = [
            _reports._size_bytes(prompt)
            for loss in each.losses
            for prompt in loss.prompts
        ]
        assert sum(sizes) <= _reports.DATAGRAM_PARTS_BYTES or len(sizes) == 1
    assert _reports.datagrams(_base.News()) == []
