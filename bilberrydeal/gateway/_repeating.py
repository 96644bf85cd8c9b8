"""Decides whether a request is sent once more."""

import collections.abc

from .. import telemetry
from ..systems import retries
from . import _knowledge
from . import _work

LOG = telemetry.logger("repeating")
#: A send is not repeated with less time left, in seconds.
LEFT_FLOOR_S = 0.04

#: Sends of one more try: a prompt may be read apart first.
PLAIN_SENDS = 1
STREAM_SENDS = 2

Clock = collections.abc.Callable[[], float]


class Repeater:
    """Holds sends to the route's limit, the deadline and the budget."""

    def __init__(
        self,
        knowledge: _knowledge.Knowledge,
        budget: retries.WindowBudget,
        clock: Clock,
    ) -> None:
        self._knowledge = knowledge
        self._budget = budget
        self._clock = clock

    def note_request(self, service: str) -> None:
        """Note a request, which earns a share of a repeat."""
        self._budget.note_request(service, self._clock())

    def note_send(self, work: _work.Work, journey: _work.Journey) -> None:
        """Note a send; each after a request's first is an extra one."""
        journey.arrivals += 1
        if journey.arrivals > 1:
            self._budget.spend(work.service, self._clock())

    def note_read(self, work: _work.Work, journey: _work.Journey) -> None:
        """Note that a prompt was read; the first reading does not count."""
        if journey.prompt_read:
            return
        journey.prompt_read = True
        journey.arrivals -= 1
        if journey.arrivals > 0:
            self._budget.refund(work.service, self._clock())

    def granted(
        self, work: _work.Work, journey: _work.Journey, reason: str
    ) -> bool:
        """Return whether a request may be sent to another endpoint."""
        now_s = self._clock()
        if journey.attempts >= work.route.attempts_limit:
            return False
        if now_s + LEFT_FLOOR_S > work.deadline_s:
            return False
        granted = self._budget.has_room(
            work.service,
            PLAIN_SENDS if work.prompt is None else STREAM_SENDS,
            self._knowledge.members,
            now_s,
        )
        LOG.info(
            "Send repeated." if granted else "No budget to repeat a send.",
            request=work.request_id.decode("latin-1"),
            reason=reason,
            attempts=journey.attempts,
        )
        return granted
