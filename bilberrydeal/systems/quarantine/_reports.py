"""Reports of one gateway's evidence to others."""

import collections.abc

import attrs

from . import _base
from . import _crashes

#: Most items of a kind in the news of one moment.
NEWS_LIMIT = 128
#: Most parts of lost prompts in the news of one moment, in bytes.
NEWS_PARTS_BYTES_LIMIT = 131_072
#: The same in one datagram, unless it has a single prompt.
DATAGRAM_PARTS_BYTES = 16_384
#: Bytes that a prompt takes beside its parts.
PROMPT_BYTES = 32


def loss_reports(
    crashes: list[_crashes.Crash], now_s: float
) -> tuple[_base.LossReport, ...]:
    """Return reports of lost engines, the newest first."""
    reports = []
    room = NEWS_PARTS_BYTES_LIMIT
    for crash in sorted(crashes, key=lambda each: -each.at_s):
        prompts = []
        for prompt in sorted(
            crash.prompts(), key=lambda each: not each.started
        ):
            room -= _size_bytes(prompt)
            if room < 0:
                break
            prompts.append(prompt)
        reports.append(
            _base.LossReport(
                crash.process,
                crash.failure_domain,
                now_s - crash.at_s,
                tuple(prompts),
                now_s - crash.sent_s if crash.sent_s is not None else None,
            )
        )
    return tuple(reports)


def datagrams(news: _base.News) -> list[_base.News]:
    """Return news in parts that fit into datagrams, none if it is empty."""
    if news.empty:
        return []
    found: list[_base.News] = []
    losses: list[_base.LossReport] = []
    room = DATAGRAM_PARTS_BYTES
    for report in news.losses:
        rest = list(report.prompts)
        while True:
            prompts, room = _fitting(rest, room, empty=not losses)
            losses.append(attrs.evolve(report, prompts=tuple(prompts)))
            rest = rest[len(prompts) :]
            if not rest:
                break
            found.append(_base.News(losses=tuple(losses)))
            losses = []
            room = DATAGRAM_PARTS_BYTES
    return [*found, attrs.evolve(news, losses=tuple(losses))]


def _fitting(
    prompts: list[_base.SuspectPrompt], room: int, empty: bool
) -> tuple[list[_base.SuspectPrompt], int]:
    """Return the first prompts that fit, one at least if nothing is there."""
    fitting: list[_base.SuspectPrompt] = []
    for prompt in prompts:
        size = _size_bytes(prompt)
        if size > room and (fitting or not empty):
            break
        fitting.append(prompt)
        room -= size
    return fitting, room


def _size_bytes(prompt: _base.SuspectPrompt) -> int:
    return sum(len(part) + 2 for part in prompt.parts) + PROMPT_BYTES


def quarantine_reports(
    quarantines: collections.abc.Iterable[_base.Quarantine], now_s: float
) -> tuple[_base.QuarantineReport, ...]:
    """Return reports of quarantines."""
    return tuple(
        _base.QuarantineReport(
            tuple(sorted(each.parts)),
            now_s - each.decided_s,
            now_s - each.renewed_s,
            each.crashes,
            each.engines,
        )
        for each in quarantines
    )
