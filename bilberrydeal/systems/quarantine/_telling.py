"""What one gateway tells others, and when."""

import collections.abc

from . import _base
from . import _crashes
from . import _repeats
from . import _reports

#: Shortest interval at which a quarantine is told, in seconds.
QUARANTINE_INTERVAL_S = 0.5
#: Gateways that tell all quarantines to all others in a second.
TELLERS_PER_S = 20.0


class Telling:
    """Tells evidence several times, and quarantines as long as they last."""

    def __init__(self) -> None:
        #: Runs of engines that were lost.
        self.losses = _repeats.Repeats()
        #: Parts that others suspect.
        self.sound = _repeats.Repeats()
        #: Runs that others took for lost.
        self.alive = _repeats.Repeats()
        self._quarantines_told_s = float("-inf")

    def tell_quarantines(self) -> None:
        """Tell all quarantines at once, as one has changed."""
        self._quarantines_told_s = float("-inf")

    def news(
        self,
        crashes: collections.abc.Iterable[_crashes.Crash],
        quarantines: tuple[_base.Quarantine, ...],
        gateways: int,
        now_s: float,
    ) -> _base.News:
        """Return what is due to be told in a fleet of some gateways."""
        reports: tuple[_base.QuarantineReport, ...] = ()
        interval_s = max(QUARANTINE_INTERVAL_S, gateways / TELLERS_PER_S)
        if now_s - self._quarantines_told_s >= interval_s:
            self._quarantines_told_s = now_s
            reports = _reports.quarantine_reports(quarantines, now_s)
        due = self.losses.due(_reports.NEWS_LIMIT, now_s)
        lost = [crash for crash in crashes if crash.process in due]
        return _base.News(
            losses=_reports.loss_reports(lost, now_s),
            sound=_parts_in(self.sound.due(_reports.NEWS_LIMIT, now_s)),
            alive=_names_in(self.alive.due(_reports.NEWS_LIMIT, now_s)),
            quarantines=reports,
        )


def _parts_in(names: list[str | bytes]) -> tuple[bytes, ...]:
    return tuple(name for name in names if isinstance(name, bytes))


def _names_in(names: list[str | bytes]) -> tuple[str, ...]:
    return tuple(name for name in names if isinstance(name, str))
