"""Runs whose callers left while an endpoint may still have been at work."""

import collections

import attrs

from ...systems import quarantine

#: An endpoint that is known as lost within this time may have been crashed by
#: such a run, in seconds: its entry lapses by then.
KEPT_S = 6.0
#: Most runs remembered; the oldest yield.
LIMIT = 4_096


@attrs.frozen
class AbandonedRun:
    """A request that nobody waits for any longer."""

    #: Identifies the run of the endpoint that it was sent to.
    process: str
    #: What stands for the request, which itself may be large.
    suspects: tuple[quarantine.Parts, ...]
    #: Whether its response had started.
    started: bool
    #: When it was sent, and when its caller left, monotonic seconds.
    sent_s: float
    left_s: float


class AbandonedRuns:
    """Remembers them until it is seen whether the endpoint goes on.

    Example::

        runs.add(run)
        runs.take("e1@17", now_s)  # [run], as e1 was lost
    """

    def __init__(self) -> None:
        self._runs: collections.deque[AbandonedRun] = collections.deque(
            maxlen=LIMIT
        )

    def add(self, run: AbandonedRun) -> None:
        """Remember a run."""
        self._expire(run.left_s)
        self._runs.append(run)

    def take(self, process: str, now_s: float) -> list[AbandonedRun]:
        """Return and forget the runs at a process that was lost."""
        self._expire(now_s)
        found = [run for run in self._runs if run.process == process]
        for run in found:
            self._runs.remove(run)
        return found

    def _expire(self, now_s: float) -> None:
        while self._runs and now_s - self._runs[0].left_s >= KEPT_S:
            self._runs.popleft()
