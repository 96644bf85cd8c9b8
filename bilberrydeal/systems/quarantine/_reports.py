"""Reports of one gateway's evidence to others."""

import collections.abc

from . import _base
from . import _crashes

#: Most items of a kind, and most prompts of lost engines, in a datagram.
NEWS_LIMIT = 128


def loss_reports(
    crashes: list[_crashes.Crash], now_s: float
) -> tuple[_base.LossReport, ...]:
    """Return reports of lost engines, the newest first."""
    reports = []
    room = NEWS_LIMIT
    for crash in sorted(crashes, key=lambda each: -each.at_s):
        prompts = tuple(
            sorted(
                filter(_has_parts, crash.prompts.values()),
                key=lambda prompt: not prompt.started,
            )[:room]
        )
        room -= len(prompts)
        reports.append(
            _base.LossReport(
                crash.process,
                crash.failure_domain,
                now_s - crash.at_s,
                prompts,
            )
        )
    return tuple(reports)


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


def _has_parts(prompt: _base.SuspectPrompt) -> bool:
    return bool(prompt.parts)
