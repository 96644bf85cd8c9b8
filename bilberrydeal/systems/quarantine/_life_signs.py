"""What tells whether engines that were lost run on."""

from . import _crashes

#: A lost engine that responds to a request sent after so long still runs, in
#: seconds; one that responds much later may have started again.
ALIVE_AFTER_S = 0.1
ALIVE_WITHIN_S = 2.0
#: Time within which the next run of a crashed engine is known, in seconds.
#: Until then its responses are taken for those of the run before.
RESTART_KNOWN_S = 10.0
#: Time for which a response of an engine is remembered, in seconds.
RESPONSES_KEPT_S = 10.0


class LifeSigns:
    """Responses of engines and the ends of their processes."""

    def __init__(self) -> None:
        #: When the newest request was sent that an engine responded to, by
        #: process.
        self._responses_s: dict[str, float] = {}
        #: When engine processes ended for certain.
        self._ended_s: dict[str, float] = {}
        #: Losses of engines that seem to have responded afterwards.
        self._retracted: dict[str, _crashes.Crash] = {}

    def note_response(self, process: str, sent_s: float) -> None:
        """Record that an engine responded to a request sent at a time."""
        self._responses_s[process] = max(
            sent_s, self._responses_s.get(process, sent_s)
        )

    def note_end(self, process: str, now_s: float) -> list[_crashes.Crash]:
        """Record that a process has ended.

        Returns its losses that a response seemed to contradict.
        """
        self._ended_s[process] = now_s
        return [
            self._retracted.pop(run)
            for run in list(self._retracted)
            if _crashes.process_of(run) == process
        ]

    def retract(self, crash: _crashes.Crash) -> None:
        """Remember a loss that a response seems to contradict."""
        self._retracted[crash.process] = crash

    def responded_after(self, crash: _crashes.Crash) -> bool:
        """Return whether an engine responded soon after its loss."""
        sent_s = self._responses_s.get(_crashes.process_of(crash.process))
        return (
            sent_s is not None
            and sent_s >= crash.at_s + ALIVE_AFTER_S
            and sent_s < crash.at_s + ALIVE_WITHIN_S
        )

    def ended(self, run: str) -> bool:
        """Return whether the process of a run has ended for certain."""
        return _crashes.process_of(run) in self._ended_s

    def expire(self, now_s: float) -> None:
        """Forget what is too old to matter."""
        for process, sent_s in list(self._responses_s.items()):
            if now_s - sent_s >= RESPONSES_KEPT_S:
                del self._responses_s[process]
        for run, crash in list(self._retracted.items()):
            if now_s - crash.at_s >= RESTART_KNOWN_S:
                del self._retracted[run]
        for process, at_s in list(self._ended_s.items()):
            if now_s - at_s >= _crashes.KEPT_S:
                del self._ended_s[process]
